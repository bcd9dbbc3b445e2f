package event

import "github.com/hashicorp/go-hclog"

// Events 100 to 199: router life cycle and callers.
var (
	RouterStarted     = register(100, hclog.Info, "router started")
	RouterReady       = register(101, hclog.Info, "router is ready for new requests")
	RouterNotReady    = register(102, hclog.Warn, "router is no longer ready for new requests")
	RouterStopping    = register(103, hclog.Info, "graceful stop started")
	RouterStopped     = register(104, hclog.Info, "router stopped")
	RouterChartError  = register(105, hclog.Error, "state chart rejected an event")
	PeerStateUnusable = register(106, hclog.Warn, "configuration state of a peer cannot be used")
	PeerProcessEnded  = register(107, hclog.Warn, "process of another router has ended")
	PoolHandedOver    = register(108, hclog.Info, "pool handed over")
)
