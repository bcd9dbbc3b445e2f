package event

import "github.com/hashicorp/go-hclog"

// Events 200 to 299: configuration and its log stream.
var (
	ConfigAccepted           = register(200, hclog.Info, "configuration record is in force")
	ConfigRejected           = register(201, hclog.Warn, "configuration record was rejected")
	ConfigDuplicate          = register(202, hclog.Debug, "configuration record was ignored because its id is already in use")
	ConfigUnreadable         = register(203, hclog.Error, "configuration record has a schema version that cannot be read")
	ConfigStateLoaded        = register(204, hclog.Info, "configuration state was loaded from a checkpoint")
	ConfigCheckpointUnusable = register(205, hclog.Warn, "configuration checkpoint is not usable")
	ConfigCheckpointWritten  = register(206, hclog.Info, "configuration checkpoint was written")
	ConfigCheckpointFailed   = register(207, hclog.Warn, "configuration checkpoint was not confirmed")
	ConfigBelowFloor         = register(208, hclog.Warn, "log no longer keeps the next configuration record; searching for a checkpoint")
	ConfigAheadOfLog         = register(209, hclog.Error, "log head is below the configuration in force")
	ConfigReadFailed         = register(210, hclog.Debug, "configuration stream could not be read")
)
