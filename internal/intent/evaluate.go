package intent

import (
	"slices"
	"time"
	"unicode/utf8"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellwell/bluebellwell/internal/peerpb"
)

// Values of IntentReply.Detail.
const (
	// DetailNotOwner: the called router does not own the stream; nothing was recorded.
	DetailNotOwner = "not_owner"
	// DetailLogUnavailable: the log did not answer; nothing was recorded.
	DetailLogUnavailable = "log_unavailable"
	// DetailRateLimited: the log refused the append; nothing was recorded.
	DetailRateLimited = "rate_limited"
	// DetailTooManyTries: the key was voided too often; nothing was recorded.
	DetailTooManyTries = "too_many_tries"
	// DetailInvalid: the call has missing or oversized fields; nothing was recorded.
	DetailInvalid = "invalid_call"
	// DetailVoided: the uid was withdrawn before it was dispatched.
	DetailVoided = "voided"
	// DetailSuperseded: the uid's intent lost, and no uid holds the key now.
	DetailSuperseded = "superseded"
	// DetailUndecided: the time limit passed before the log showed a winner.
	DetailUndecided = "undecided"
	// DetailHolderEnded: the holder's time limit passed without an outcome.
	DetailHolderEnded = "holder_ended"
	// DetailNotHolder: an outcome came from a uid that does not hold the key.
	DetailNotHolder = "not_holder"
	// DetailKeyExpired: the key is older than the window.
	DetailKeyExpired = "key_expired"
	// DetailIssuedInFuture: the key's issue time is in the future.
	DetailIssuedInFuture = "issued_in_future"
)

// dispatchLimit is the time that a holder has between its intent and its
// dispatch, in addition to the request's deadline.
const dispatchLimit = 10 * time.Second

// defaultDeadline is assumed for a request without a deadline.
const defaultDeadline = 150 * time.Second

// maxDeadline keeps an untrusted deadline in the range of the record's field.
const maxDeadline = time.Hour

// view is the state that a call is evaluated against.
type view struct {
	fold   *Fold
	limits Limits
	// now is the local time.
	now time.Time
	// completeFrom is the earliest issue time from which the fold has every
	// record of a key.
	completeFrom time.Time
}

// decision is a reply to a call, or a record that has to be appended first.
type decision struct {
	reply  *peerpb.IntentReply
	record *peerpb.IntentRecord
	// final is set when records that have not been read yet cannot change the reply.
	final bool
}

// evaluate decides a call by the current fold. After the call's record has been
// read back, the call is evaluated again with appended set, which always gives
// a reply.
func (v view) evaluate(c *peerpb.IntentCall, appended bool) decision {
	if detail := validateCall(c); detail != "" {
		return decision{reply: notRunReply(detail), final: true}
	}
	id := KeyID(c.Workspace, c.Key)
	e, found := v.fold.Lookup(id)
	if found {
		c = proto.CloneOf(c)
		// The first issue time of a key is kept, so that a caller that changes
		// it with each retry gets the state of the key.
		c.IssuedUnixMs = e.IssuedMillis
	} else {
		e.Generation = 1
	}
	if e.Outcome != nil && e.Holder == c.Uid {
		return decision{reply: doneReply(e), final: true}
	}
	switch c.Op {
	case peerpb.IntentOp_INTENT_OP_BEGIN:
		return v.evaluateBegin(id, e, c, appended)
	case peerpb.IntentOp_INTENT_OP_QUERY:
		return v.evaluateQuery(id, e, c, appended)
	case peerpb.IntentOp_INTENT_OP_ABANDON:
		return v.evaluateAbandon(id, e, c, appended)
	}
	return v.evaluateOutcome(id, e, c, appended)
}

func (v view) evaluateBegin(id ID, e Entry, c *peerpb.IntentCall, appended bool) decision {
	if r := v.checkWindow(c.IssuedUnixMs); r != nil && !(appended && e.Holder == c.Uid) {
		return decision{reply: r, final: true}
	}
	switch {
	case e.Holder == c.Uid && appended:
		return decision{reply: &peerpb.IntentReply{
			State:      peerpb.IntentState_INTENT_STATE_WON,
			Generation: uint64(e.Generation),
			Fencing:    e.Fencing,
			Uid:        e.Holder,
		}}
	case e.Holder != "":
		return decision{reply: v.duplicateReply(e, c), final: e.Outcome != nil}
	case slices.Contains(e.Withdrawn, c.Uid):
		return decision{reply: notRunReply(DetailVoided), final: true}
	case appended:
		return decision{reply: notRunReply(DetailSuperseded)}
	case e.Generation >= maxGenerations:
		return decision{reply: notRunReply(DetailTooManyTries)}
	}
	return decision{record: &peerpb.IntentRecord{Kind: &peerpb.IntentRecord_Intent{Intent: &peerpb.Intent{
		Id:           id[:],
		Uid:          c.Uid,
		Generation:   e.Generation,
		Digest:       truncateDigest(c.Digest),
		IssuedUnixMs: c.IssuedUnixMs,
		LimitMs:      holderLimitMillis(c.DeadlineMs),
	}}}}
}

// evaluateQuery returns the state of a key to a router that has abandoned its
// own uid, and withdraws that uid unless another one holds the key.
func (v view) evaluateQuery(id ID, e Entry, c *peerpb.IntentCall, appended bool) decision {
	if r := v.checkWindow(c.IssuedUnixMs); r != nil {
		return decision{reply: r, final: true}
	}
	if e.Holder != "" && e.Holder != c.Uid {
		return decision{reply: v.duplicateReply(e, c), final: e.Outcome != nil}
	}
	return v.evaluateAbandon(id, e, c, appended)
}

func (v view) evaluateAbandon(id ID, e Entry, c *peerpb.IntentCall, appended bool) decision {
	// The fold may lack records of a key that is outside the window.
	if r := v.checkWindow(c.IssuedUnixMs); r != nil {
		return decision{reply: r, final: true}
	}
	if slices.Contains(e.Withdrawn, c.Uid) {
		return decision{reply: notRunReply(DetailVoided), final: true}
	}
	if e.Outcome != nil {
		// Another uid ran the key, so this one can never hold it.
		return decision{reply: notRunReply(DetailSuperseded), final: true}
	}
	if appended {
		// By the log's clock the void was appended outside the window.
		return decision{reply: expiredReply(DetailKeyExpired)}
	}
	return decision{record: &peerpb.IntentRecord{Kind: &peerpb.IntentRecord_Void{Void: &peerpb.Void{
		Id:           id[:],
		Uid:          c.Uid,
		Generation:   e.Generation,
		IssuedUnixMs: c.IssuedUnixMs,
	}}}}
}

func (v view) evaluateOutcome(id ID, e Entry, c *peerpb.IntentCall, appended bool) decision {
	if e.Holder != c.Uid || appended {
		return decision{reply: &peerpb.IntentReply{State: peerpb.IntentState_INTENT_STATE_UNKNOWN, Detail: DetailNotHolder, Uid: e.Holder}}
	}
	out := &peerpb.RunOutcome{Id: id[:], Uid: c.Uid, Status: c.Status, Headers: truncateHeaders(c.Headers)}
	if len(c.Body) <= MaxBodyBytes {
		out.Body = c.Body
	} else {
		out.BodyOmitted = true
	}
	return decision{record: &peerpb.IntentRecord{Kind: &peerpb.IntentRecord_Outcome{Outcome: out}}}
}

// duplicateReply returns the state of a key that another uid holds.
func (v view) duplicateReply(e Entry, c *peerpb.IntentCall) *peerpb.IntentReply {
	r := &peerpb.IntentReply{Generation: uint64(e.Generation), Fencing: e.Fencing, Uid: e.Holder}
	var digest [digestBytes]byte
	copy(digest[:], c.Digest)
	switch {
	case digest != e.Digest:
		r.State = peerpb.IntentState_INTENT_STATE_DIGEST_MISMATCH
	case e.Outcome != nil:
		return doneReply(e)
	case v.holderEnded(e):
		r.State, r.Detail = peerpb.IntentState_INTENT_STATE_UNKNOWN, DetailHolderEnded
	default:
		r.State = peerpb.IntentState_INTENT_STATE_IN_PROGRESS
	}
	return r
}

// holderEnded reports whether the holder's time to dispatch, the request's
// deadline and the clock margin have passed since the log time of the intent.
// It changes only the wording of an answer: no other uid may run the key in
// either case.
func (v view) holderEnded(e Entry) bool {
	return v.now.After(time.UnixMilli(e.StartedMillis).Add(e.Limit + v.limits.Margin))
}

// checkWindow returns the reply to a key that is too old or was issued in the
// future, or nil. It checks both the local clock and the log's clock.
func (v view) checkWindow(issuedMillis int64) *peerpb.IntentReply {
	issued := time.UnixMilli(issuedMillis)
	if issued.After(v.now.Add(v.limits.Margin)) {
		return expiredReply(DetailIssuedInFuture)
	}
	end := issued.Add(v.limits.Window)
	if v.now.After(end) || v.fold.Newest().After(end) || issued.Before(v.completeFrom) {
		return expiredReply(DetailKeyExpired)
	}
	return nil
}

// validateCall returns the refusal detail of an invalid call, or "".
func validateCall(c *peerpb.IntentCall) string {
	validOp := c.Op >= peerpb.IntentOp_INTENT_OP_BEGIN && c.Op <= peerpb.IntentOp_INTENT_OP_QUERY
	if !validOp || c.Uid == "" || len(c.Uid) > maxUIDBytes || !utf8.ValidString(c.Uid) || c.Key == "" {
		return DetailInvalid
	}
	return ""
}

func notRunReply(detail string) *peerpb.IntentReply {
	return &peerpb.IntentReply{State: peerpb.IntentState_INTENT_STATE_NOT_RUN, Detail: detail}
}

func expiredReply(detail string) *peerpb.IntentReply {
	return &peerpb.IntentReply{State: peerpb.IntentState_INTENT_STATE_EXPIRED, Detail: detail}
}

func doneReply(e Entry) *peerpb.IntentReply {
	return &peerpb.IntentReply{
		State:       peerpb.IntentState_INTENT_STATE_DONE,
		Generation:  uint64(e.Generation),
		Fencing:     e.Fencing,
		Uid:         e.Holder,
		Status:      e.Outcome.Status,
		Headers:     e.Outcome.Headers,
		Body:        e.Outcome.Body,
		BodyOmitted: e.Outcome.BodyOmitted,
	}
}

func truncateDigest(digest []byte) []byte {
	return digest[:min(len(digest), digestBytes)]
}

// truncateHeaders returns the first headers up to the size limit, without those
// that are not UTF-8, which a record cannot hold.
func truncateHeaders(headers []*peerpb.Header) []*peerpb.Header {
	var kept []*peerpb.Header
	size := 0
	for _, h := range headers {
		size += len(h.Name) + len(h.Value)
		if size > maxHeaderBytes {
			break
		}
		if utf8.ValidString(h.Name) && utf8.ValidString(h.Value) {
			kept = append(kept, h)
		}
	}
	return kept
}

func holderLimitMillis(deadlineMillis uint32) uint32 {
	deadline := time.Duration(deadlineMillis) * time.Millisecond
	if deadline == 0 {
		deadline = defaultDeadline
	}
	return uint32((min(deadline, maxDeadline) + dispatchLimit).Milliseconds())
}
