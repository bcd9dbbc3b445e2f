package event

import "github.com/hashicorp/go-hclog"

// Events 700 to 799: orders to engines.
var (
	OrderLeaseAcquired = register(700, hclog.Info, "lease for orders was acquired")
	OrderLeaseLost     = register(701, hclog.Warn, "lease for orders is no longer held")
	OrderSent          = register(702, hclog.Info, "order was sent to an engine")
)
