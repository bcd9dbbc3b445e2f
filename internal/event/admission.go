package event

import "github.com/hashicorp/go-hclog"

// Events 500 to 599: admission and placement.
var (
	AdmissionOpened    = register(500, hclog.Info, "pool admits requests")
	AdmissionSuspended = register(501, hclog.Info, "pool stopped admitting requests; its queue is returned to the entry routers")
	AdmissionRefused   = register(502, hclog.Debug, "request was refused before it ran")
	AdmissionSaturated = register(503, hclog.Warn, "every engine of the pool is at its limit")
	EngineStateChanged = register(504, hclog.Info, "engine state changed in the pool")
	AttemptsAdopted    = register(505, hclog.Info, "attempts of the previous owner were taken over")
	TokenRejected      = register(506, hclog.Debug, "placement token was ignored")
)
