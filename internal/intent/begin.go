package intent

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellwell/bluebellwell/internal/peerpb"
	"github.com/bluebellwell/bluebellwell/internal/statechart"
)

// maxUnsent is the number of owners asked for a BEGIN that reached none of them.
const maxUnsent = 4

// RefusedError means that a BEGIN was refused before anything could be
// dispatched, and that it will not be dispatched: the caller is told not_run.
type RefusedError struct {
	// Code is one of the Detail values.
	Code string
}

// Error names the reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("non-repeatable request refused before dispatch: %s", e.Code)
}

// beginExchange is the entry router's side of one BEGIN. It asks with BEGIN until the
// call may have reached an owner. From the first lost answer on the uid is
// given up: only QUERY is sent, and no answer to it lets the uid be dispatched.
// The state chart decides which results are possible. It does no I/O and is not
// safe for concurrent use.
type beginExchange struct {
	call    *peerpb.IntentCall
	machine *statechart.Machine
	reply   *peerpb.IntentReply
	code    string
	unsent  int
	// abandoned is set when the uid may come to hold the key although it will not
	// be dispatched.
	abandoned bool
}

func newBeginExchange(call *peerpb.IntentCall) *beginExchange {
	return &beginExchange{call: call, machine: statechart.NewMachine(statechart.NonRepeatable())}
}

// finished reports whether the result is known.
func (b *beginExchange) finished() bool {
	s := b.machine.State()
	return s != statechart.NonRepeatableReceived && s != statechart.NonRepeatableIntentPending
}

// nextCall returns the call to send.
func (b *beginExchange) nextCall() *peerpb.IntentCall {
	if b.machine.State() == statechart.NonRepeatableReceived {
		return b.call
	}
	query := proto.CloneOf(b.call)
	query.Op = peerpb.IntentOp_INTENT_OP_QUERY
	return query
}

// recordNotSent notes that the last call certainly reached no owner.
func (b *beginExchange) recordNotSent(code string) {
	b.unsent++
	if b.unsent >= maxUnsent {
		b.refuse(code)
	}
}

// recordLostReply notes that the last call may have reached an owner.
func (b *beginExchange) recordLostReply() {
	b.markPending()
	b.abandoned = true
}

// markPending notes that an intent may have been recorded.
func (b *beginExchange) markPending() {
	b.fire(statechart.NonRepeatableAppendIntentEvent)
}

// timeOut ends the request when its time has passed.
func (b *beginExchange) timeOut(code string) {
	b.refuse(code)
	if !b.finished() {
		b.end(statechart.NonRepeatableUndecidedEvent, undecidedReply())
	}
}

// recordReply takes the reply of an owner.
func (b *beginExchange) recordReply(r *peerpb.IntentReply) {
	if b.machine.State() == statechart.NonRepeatableReceived {
		b.recordBeginReply(r)
	} else {
		b.recordQueryReply(r)
	}
}

func (b *beginExchange) recordBeginReply(r *peerpb.IntentReply) {
	switch r.State {
	case peerpb.IntentState_INTENT_STATE_WON:
		b.markPending()
		b.end(statechart.NonRepeatableIntentWonEvent, r)
	case peerpb.IntentState_INTENT_STATE_NOT_RUN:
		b.recordNotRunReply(r)
	case peerpb.IntentState_INTENT_STATE_EXPIRED:
		b.end(statechart.NonRepeatableKeyExpiredEvent, r)
	case peerpb.IntentState_INTENT_STATE_IN_PROGRESS,
		peerpb.IntentState_INTENT_STATE_DONE,
		peerpb.IntentState_INTENT_STATE_DIGEST_MISMATCH:
		b.end(statechart.NonRepeatableDuplicateFoundEvent, r)
	default:
		if r.Detail == DetailHolderEnded {
			b.end(statechart.NonRepeatableDuplicateFoundEvent, r)
			return
		}
		// The intent may hold the key. QUERY settles it.
		b.recordLostReply()
	}
}

func (b *beginExchange) recordNotRunReply(r *peerpb.IntentReply) {
	switch r.Detail {
	case DetailVoided, DetailSuperseded:
		b.markPending()
		b.end(statechart.NonRepeatableVoidedEvent, r)
	case DetailNotOwner:
		b.recordNotSent(r.Detail)
	default:
		b.refuse(r.Detail)
	}
}

// recordQueryReply leaves the state pending for a reply that decides nothing. A
// WON reply is one of those: the uid was given up.
func (b *beginExchange) recordQueryReply(r *peerpb.IntentReply) {
	switch r.State {
	case peerpb.IntentState_INTENT_STATE_NOT_RUN:
		if r.Detail == DetailVoided {
			b.end(statechart.NonRepeatableVoidedEvent, r)
		}
	case peerpb.IntentState_INTENT_STATE_IN_PROGRESS,
		peerpb.IntentState_INTENT_STATE_DONE,
		peerpb.IntentState_INTENT_STATE_DIGEST_MISMATCH:
		b.end(statechart.NonRepeatableIntentLostEvent, r)
	case peerpb.IntentState_INTENT_STATE_EXPIRED:
		b.end(statechart.NonRepeatableUndecidedEvent, r)
	case peerpb.IntentState_INTENT_STATE_UNKNOWN:
		if r.Detail == DetailHolderEnded {
			b.end(statechart.NonRepeatableIntentLostEvent, r)
		}
	}
}

// refuse has an effect only while nothing can have been recorded.
func (b *beginExchange) refuse(code string) {
	if b.fire(statechart.NonRepeatableRefusedEvent) {
		b.code = code
	}
}

func (b *beginExchange) end(e statechart.Event, r *peerpb.IntentReply) {
	if b.fire(e) {
		b.reply = r
	}
}

func (b *beginExchange) fire(e statechart.Event) bool {
	changed, err := b.machine.Fire(e)
	return err == nil && changed
}

// result returns the reply or the error, and whether the uid has to be
// withdrawn because it may hold the key or come to hold it.
func (b *beginExchange) result() (r *peerpb.IntentReply, withdraw bool, err error) {
	if b.reply == nil {
		return nil, false, &RefusedError{Code: b.code}
	}
	switch b.reply.State {
	case peerpb.IntentState_INTENT_STATE_IN_PROGRESS,
		peerpb.IntentState_INTENT_STATE_UNKNOWN,
		peerpb.IntentState_INTENT_STATE_DIGEST_MISMATCH:
		return b.reply, b.abandoned, nil
	}
	return b.reply, false, nil
}
