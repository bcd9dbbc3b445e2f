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

// begin is the entry router's side of one BEGIN. It asks with BEGIN until the
// call may have reached an owner. From the first lost answer on the uid is
// given up: only QUERY is sent, and no answer to it lets the uid be dispatched.
// The state chart decides which results are possible. It does no I/O and is not
// safe for concurrent use.
type begin struct {
	call    *peerpb.IntentCall
	machine *statechart.Machine
	reply   *peerpb.IntentReply
	code    string
	unsent  int
	// gaveUp is set when the uid may come to hold the key although it will not
	// be dispatched.
	gaveUp bool
}

func newBegin(call *peerpb.IntentCall) *begin {
	return &begin{call: call, machine: statechart.NewMachine(statechart.NonRepeatable())}
}

// over reports whether the result is known.
func (b *begin) over() bool {
	s := b.machine.State()
	return s != statechart.NonRepeatableReceived && s != statechart.NonRepeatableIntentPending
}

// next returns the call to send.
func (b *begin) next() *peerpb.IntentCall {
	if b.machine.State() == statechart.NonRepeatableReceived {
		return b.call
	}
	query := proto.CloneOf(b.call)
	query.Op = peerpb.IntentOp_INTENT_OP_QUERY
	return query
}

// notSent notes that the last call certainly reached no owner.
func (b *begin) notSent(code string) {
	b.unsent++
	if b.unsent >= maxUnsent {
		b.refuse(code)
	}
}

// lost notes that the last call may have reached an owner.
func (b *begin) lost() {
	b.pending()
	b.gaveUp = true
}

// pending notes that an intent may have been recorded.
func (b *begin) pending() {
	b.fire(statechart.NonRepeatableAppendIntentEvent)
}

// giveUp ends the request when its time has passed.
func (b *begin) giveUp(code string) {
	b.refuse(code)
	if !b.over() {
		b.end(statechart.NonRepeatableUndecidedEvent, undecided())
	}
}

// replied takes the reply of an owner.
func (b *begin) replied(r *peerpb.IntentReply) {
	if b.machine.State() == statechart.NonRepeatableReceived {
		b.repliedToBegin(r)
	} else {
		b.repliedToQuery(r)
	}
}

func (b *begin) repliedToBegin(r *peerpb.IntentReply) {
	switch r.State {
	case peerpb.IntentState_INTENT_STATE_WON:
		b.pending()
		b.end(statechart.NonRepeatableIntentWonEvent, r)
	case peerpb.IntentState_INTENT_STATE_NOT_RUN:
		b.repliedNotRun(r)
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
		b.lost()
	}
}

func (b *begin) repliedNotRun(r *peerpb.IntentReply) {
	switch r.Detail {
	case DetailVoided, DetailSuperseded:
		b.pending()
		b.end(statechart.NonRepeatableVoidedEvent, r)
	case DetailNotOwner:
		b.notSent(r.Detail)
	default:
		b.refuse(r.Detail)
	}
}

// repliedToQuery leaves the state pending for a reply that decides nothing. A
// WON reply is one of those: the uid was given up.
func (b *begin) repliedToQuery(r *peerpb.IntentReply) {
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
func (b *begin) refuse(code string) {
	if b.fire(statechart.NonRepeatableRefusedEvent) {
		b.code = code
	}
}

func (b *begin) end(e statechart.Event, r *peerpb.IntentReply) {
	if b.fire(e) {
		b.reply = r
	}
}

func (b *begin) fire(e statechart.Event) bool {
	changed, err := b.machine.Fire(e)
	return err == nil && changed
}

// result returns the reply or the error, and whether the uid has to be
// withdrawn because it may hold the key or come to hold it.
func (b *begin) result() (r *peerpb.IntentReply, withdraw bool, err error) {
	if b.reply == nil {
		return nil, false, &RefusedError{Code: b.code}
	}
	switch b.reply.State {
	case peerpb.IntentState_INTENT_STATE_IN_PROGRESS,
		peerpb.IntentState_INTENT_STATE_UNKNOWN,
		peerpb.IntentState_INTENT_STATE_DIGEST_MISMATCH:
		return b.reply, b.gaveUp, nil
	}
	return b.reply, false, nil
}
