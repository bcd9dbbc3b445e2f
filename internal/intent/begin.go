package intent

import (
	"fmt"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellwell/bluebellwell/internal/peerpb"
	"github.com/bluebellwell/bluebellwell/internal/statechart"
)

// maxUnsent is the number of unsuccessful attempts to send a BEGIN to an owner
// after which the request is refused.
const maxUnsent = 4

// RefusedError means that a BEGIN was refused before anything could be
// dispatched, and that it will not be dispatched: the caller receives not_run.
type RefusedError struct {
	// Code is one of the Detail values.
	Code string
}

// Error returns a message with the reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("non-repeatable request refused before dispatch: %s", e.Code)
}

// beginExchange is the entry router's side of one BEGIN. It sends BEGIN until
// the call may have reached an owner. After the first lost reply the uid is
// abandoned: only QUERY is sent, and no reply to it allows a dispatch of the
// uid. The state chart decides which results are possible. It does no I/O and
// is not safe for concurrent use.
type beginExchange struct {
	call    *peerpb.IntentCall
	machine *statechart.Machine
	reply   *peerpb.IntentReply
	// code is the reason of a refusal.
	code   string
	unsent int
	// abandoned is set when the uid will not be dispatched but may hold the key
	// now or later.
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

// nextCall returns the call to send next.
func (b *beginExchange) nextCall() *peerpb.IntentCall {
	if b.machine.State() == statechart.NonRepeatableReceived {
		return b.call
	}
	query := proto.CloneOf(b.call)
	query.Op = peerpb.IntentOp_INTENT_OP_QUERY
	return query
}

// recordNotSent records that the last call certainly reached no owner.
func (b *beginExchange) recordNotSent(code string) {
	b.unsent++
	if b.unsent >= maxUnsent {
		b.refuse(code)
	}
}

// recordLostReply records that the last call may have reached an owner.
func (b *beginExchange) recordLostReply() {
	b.markPending()
	b.abandoned = true
}

// markPending records that an intent may have been appended to the log.
func (b *beginExchange) markPending() {
	b.fire(statechart.NonRepeatableAppendIntentEvent)
}

// expire ends the request at its deadline.
func (b *beginExchange) expire(code string) {
	b.refuse(code)
	if !b.finished() {
		b.end(statechart.NonRepeatableUndecidedEvent, undecidedReply())
	}
}

// recordReply handles the reply of an owner.
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
		// The intent may hold the key. A QUERY shows whether it does.
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

// recordQueryReply leaves the state pending after a reply that decides nothing.
// A WON reply is one of those, because the uid was abandoned.
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

// refuse has an effect only while no record can have been appended.
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
// withdrawn because it may hold the key now or later.
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
