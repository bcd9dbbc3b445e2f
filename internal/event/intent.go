package event

import "github.com/hashicorp/go-hclog"

// Events 300 to 399: non-repeatable requests.
var (
	IntentStreamOpened     = register(300, hclog.Info, "intent stream was opened")
	IntentStreamClosed     = register(301, hclog.Info, "intent stream was closed")
	IntentStreamReady      = register(302, hclog.Info, "intent stream has been read to its head and serves calls")
	IntentLogUnavailable   = register(303, hclog.Warn, "log service does not answer; non-repeatable requests are refused")
	IntentReplyLost        = register(304, hclog.Warn, "no reply from the owner of the intent stream")
	IntentNotDispatched    = register(305, hclog.Warn, "non-repeatable request is not dispatched after a lost or undecided reply about its intent")
	IntentWithdrawn        = register(306, hclog.Info, "intent of an undispatched request was withdrawn")
	IntentWithdrawalFailed = register(307, hclog.Warn, "intent of an undispatched request could not be withdrawn")
)
