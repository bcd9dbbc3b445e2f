package feed

import (
	"context"
	"net/http/httptrace"
	"sync"
	"time"
)

// maxAnswerTime bounds the time in which an answer arrives, so that one of which a byte comes now and then ends as well. 10 MB
// take that long over a link of 10 Mbit/s.
const maxAnswerTime = 8 * time.Second

// answerWatch ends a call whose answer does not begin, stands still, or takes too long. It is safe for concurrent use.
type answerWatch struct {
	// cancel ends the call, and timeout is the longest time without a part of the answer.
	cancel  context.CancelFunc
	timeout time.Duration

	mu sync.Mutex
	// begun is set once a part of the answer has arrived, ended when the call is over or was cancelled before.
	begun, ended bool
	// due is when the call ends unless a part of the answer arrives, and latest when the answer must be whole, as of its
	// beginning.
	due, latest time.Time
	// stalled ends the call. overdue tells the observer that the answer has not begun; nil when that isn't asked for.
	stalled, overdue *time.Timer
}

// answerKey is the key of the answerWatch in the context of a call.
type answerKey struct{}

// Arriving records that a part of the answer to the call with this context has arrived, so that a large answer over a slow
// link is not ended as one that the store does not give. It has no effect in the contexts of other calls.
func Arriving(ctx context.Context) {
	if w, ok := ctx.Value(answerKey{}).(*answerWatch); ok {
		w.progress()
	}
}

// beginCall returns the context of a call that the store may hold for a wait. The watch must be ended.
func (f *Follower) beginCall(ctx context.Context, wait time.Duration, timing Timing) (context.Context, *answerWatch) {
	ctx, cancel := context.WithCancel(ctx)
	w := &answerWatch{cancel: cancel, timeout: timing.Timeout}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.due = time.Now().Add(wait + timing.Timeout)
	w.stalled = time.AfterFunc(time.Until(w.due), cancel)
	if timing.Overdue > 0 {
		w.overdue = time.AfterFunc(wait+timing.Overdue, func() { w.reportOverdue(f.observer, wait+timing.Overdue) })
	}
	ctx = context.WithValue(ctx, answerKey{}, w)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotFirstResponseByte: w.progress}), w
}

// progress records that a part of the answer has arrived.
func (w *answerWatch) progress() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return
	}
	now := time.Now()
	if !w.begun {
		w.begun, w.latest = true, now.Add(maxAnswerTime)
	}
	w.due = now.Add(min(w.timeout, w.latest.Sub(now)))
	w.stalled.Reset(w.due.Sub(now))
}

// reportOverdue tells the observer that the answer has not begun. The lock keeps the observer's other calls, which follow the
// end of the call, from being made at the same time.
func (w *answerWatch) reportOverdue(o Observer, waited time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.begun && !w.ended {
		o.CallOverdue(waited)
	}
}

// cancelUnlessBegun ends the call unless its answer has begun, and reports whether it did.
func (w *answerWatch) cancelUnlessBegun() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.begun || w.ended {
		return false
	}
	w.ended = true
	w.cancel()
	return true
}

// end ends the watch and releases its context.
func (w *answerWatch) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ended = true
	w.stalled.Stop()
	if w.overdue != nil {
		w.overdue.Stop()
	}
	w.cancel()
}
