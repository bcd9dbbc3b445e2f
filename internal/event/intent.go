package event

import "github.com/hashicorp/go-hclog"

// Events 300 to 399: non-repeatable requests.
var (
	IntentStreamOpened     = register(300, hclog.Info, "intent stream was opened")
	IntentStreamClosed     = register(301, hclog.Info, "intent stream was closed")
	IntentStreamReady      = register(302, hclog.Info, "intent stream is read to its head and serves calls")
	IntentLogUnavailable   = register(303, hclog.Warn, "log does not answer; non-repeatable requests are refused")
	IntentReplyLost        = register(304, hclog.Warn, "answer of the intent stream's owner was lost")
	IntentNotDispatched    = register(305, hclog.Warn, "non-repeatable request was given up after a lost answer")
	IntentWithdrawn        = register(306, hclog.Info, "given-up intent was withdrawn")
	IntentWithdrawalFailed = register(307, hclog.Warn, "given-up intent could not be withdrawn")
)
