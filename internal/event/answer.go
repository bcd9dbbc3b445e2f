package event

import "github.com/hashicorp/go-hclog"

// Events 400 to 499: engines, backend servers and answers.
var (
	FrameDropped          = register(400, hclog.Warn, "answer frame dropped by the sequence check")
	StreamBroken          = register(401, hclog.Warn, "engine stream ended before the answer was complete")
	StreamResumed         = register(402, hclog.Info, "engine stream resumed")
	EngineProtocolError   = register(403, hclog.Error, "engine violated the protocol")
	AnswerIncomplete      = register(404, hclog.Warn, "engine failed before the answer was complete")
	BackendOutcomeUnknown = register(405, hclog.Warn, "backend server did not answer a request that it may have run")
)
