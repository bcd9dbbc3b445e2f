package event

import "github.com/hashicorp/go-hclog"

// Events 400 to 499: engines, plain servers and answers.
var (
	FrameDropped          = register(400, hclog.Warn, "answer frame dropped by the sequence check")
	StreamBroken          = register(401, hclog.Warn, "engine stream ended before the answer was whole")
	StreamResumed         = register(402, hclog.Info, "engine stream resumed")
	EngineProtocolError   = register(403, hclog.Error, "engine broke the protocol")
	AnswerIncomplete      = register(404, hclog.Warn, "answer ended incomplete")
	BackendOutcomeUnknown = register(405, hclog.Warn, "plain server may have run a request without answer")
)
