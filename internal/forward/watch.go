package forward

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/registry"
	"github.com/bluebellwell/bluebellwell/internal/routing"
)

const (
	// silenceFactor is the time without progress after which a request that may be
	// repeated goes to another server, in multiples of the latency objective, or of
	// the gap objective of a stream.
	silenceFactor = 3
	// minSilence prevents retries of ordinary answers on routes with a short objective.
	minSilence = 250 * time.Millisecond
	// minStreamSilence is the lower bound for streams. Callers abandon a stream
	// after a gap of two seconds or more.
	minStreamSilence = time.Second
)

// watch tracks the progress of one attempt and cancels it when the server sends
// nothing for too long and the request may be repeated.
type watch struct {
	call         *call
	key          registry.Key
	limit        time.Duration
	cancel       context.CancelCauseFunc
	timer        *time.Timer
	lastProgress atomic.Int64
	// committed is set while the caller has the start of an answer that no other server
	// can continue.
	committed atomic.Bool
	stopped   atomic.Bool
	// checking is set while endWhenSilent waits for a sign that the server has not ended.
	checking atomic.Bool
}

func (c *call) watch(cancel context.CancelCauseFunc, key registry.Key) *watch {
	w := &watch{call: c, key: key, cancel: cancel, limit: silenceLimit(c.route)}
	w.lastProgress.Store(int64(time.Since(c.arrivedAt)))
	if c.route.MayRepeat() && c.attempts.ran+1 < c.route.MaxAttempts {
		w.timer = time.AfterFunc(w.limit, w.check)
	}
	return w
}

// silenceLimit returns how long an attempt on a route may make no progress.
func silenceLimit(r *routing.Route) time.Duration {
	if r.Kind == routing.Stream {
		return max(silenceFactor*r.GapObjective, minStreamSilence)
	}
	return max(silenceFactor*r.Objective, minSilence)
}

// recordProgress records that the server has sent data.
func (w *watch) recordProgress() {
	w.lastProgress.Store(int64(time.Since(w.call.arrivedAt)))
	w.call.pool.recordProgress(time.Now(), w.key)
}

// body records each read of an answer's body as progress.
func (w *watch) body(body io.ReadCloser) io.ReadCloser {
	return &watchedBody{ReadCloser: body, watch: w}
}

// maxAnswerBytes bounds an answer. The platform's answers have some kilobytes; a faulty server may
// send bytes until its connection is closed.
const maxAnswerBytes = 64 << 20

// errTooLong ends the reading of an answer that exceeds maxAnswerBytes.
var errTooLong = errors.New("answer is too long")

// watchedBody is the body of an answer whose reads are progress of its server.
type watchedBody struct {
	io.ReadCloser
	watch *watch
	read  int64
}

// Read reads from the body.
func (b *watchedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if n > 0 {
		b.watch.recordProgress()
	}
	b.read += int64(n)
	if b.read > maxAnswerBytes {
		err = errTooLong
	}
	if err != nil {
		b.watch.call.attempts.readError = err
	}
	return n, err
}

// check runs on the timer's goroutine. It cancels a silent attempt when another server
// can replace it and the retry budget allows that.
func (w *watch) check() {
	if w.stopped.Load() {
		return
	}
	if w.committed.Load() {
		w.timer.Reset(w.limit)
		return
	}
	idle := time.Since(w.call.arrivedAt) - time.Duration(w.lastProgress.Load())
	if idle < w.limit {
		w.timer.Reset(w.limit - idle)
		return
	}
	if w.call.pool.budget.Remaining(time.Now()) >= 1 {
		w.cancel(errSilent)
	}
}

// errSlowRest cancels an attempt whose answer is decided, but goes on.
var errSlowRest = errors.New("rest of an answer does not end")

// limitRest cancels the attempt when the rest of an answer, which is read for the sake of its
// connection or to be kept, takes longer than a time until stop is called.
func (w *watch) limitRest(d time.Duration) (stop func() bool) {
	return time.AfterFunc(d, func() { w.cancel(errSlowRest) }).Stop
}

func (w *watch) stop() {
	w.stopped.Store(true)
	if w.timer != nil {
		w.timer.Stop()
	}
}
