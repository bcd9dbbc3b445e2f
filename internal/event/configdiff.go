package event

import "github.com/hashicorp/go-hclog"

// Events 1340 to 1349: differences of the configuration between routers.
var (
	ConfigDifferenceSent     = register(1340, hclog.Info, "difference to a new configuration for the other routers, which is sent unless it is too large")
	ConfigDifferenceUnusable = register(1341, hclog.Warn, "difference of the configuration from another router cannot be applied; the store is read")
)
