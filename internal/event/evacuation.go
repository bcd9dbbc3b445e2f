package event

import "github.com/hashicorp/go-hclog"

// Events 1300 to 1319: evacuated data centres.
var (
	EvacuationBegun   = register(1300, hclog.Warn, "data centre is evacuated; its servers get no requests")
	EvacuationLifted  = register(1301, hclog.Info, "evacuation of a data centre has ended")
	EvacuationIgnored = register(1302, hclog.Error, "more data centres are evacuated than a router can keep; an evacuation is ignored")
	SendsPaused       = register(1303, hclog.Warn, "router has not run for a while; it sends no requests until it knows again which data centres are evacuated")
	HistoryUnread     = register(1305, hclog.Warn, "records before a list can't be read; an evacuation that the store has lost may stay in force for some seconds")
	SendsResumed      = register(1304, hclog.Info, "router knows again which data centres are evacuated")
)
