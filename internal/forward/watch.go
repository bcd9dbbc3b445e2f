package forward

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/registry"
	"github.com/bluebellwell/bluebellwell/internal/routing"
)

const (
	// silenceFactor is the silence, in objectives, or in gap objectives of a
	// stream, after which a request that
	// may be repeated is taken to another server.
	silenceFactor = 3
	// minSilence keeps short objectives from repeating ordinary answers.
	minSilence = 250 * time.Millisecond
	// minStreamSilence is the least silence of a stream; callers abandon one after a
	// gap of two seconds or more.
	minStreamSilence = time.Second
)

// watch observes the progress of one attempt. When a request that may be
// repeated makes none for too long, watch cancels the attempt.
type watch struct {
	call         *call
	key          registry.Key
	limit        time.Duration
	cancel       context.CancelCauseFunc
	timer        *time.Timer
	lastProgress atomic.Int64
}

func (c *call) watch(cancel context.CancelCauseFunc, key registry.Key) *watch {
	w := &watch{call: c, key: key, cancel: cancel, limit: silenceLimit(c.route)}
	w.lastProgress.Store(int64(time.Since(c.arrived)))
	if c.route.MayRepeat() && c.attempts.ran+1 < c.route.MaxAttempts {
		w.timer = time.AfterFunc(w.limit, w.check)
	}
	return w
}

// silenceLimit is how long an attempt on a route may make no progress.
func silenceLimit(r *routing.Route) time.Duration {
	if r.Kind == routing.Stream {
		return max(silenceFactor*r.GapObjective, minStreamSilence)
	}
	return max(silenceFactor*r.Objective, minSilence)
}

// recordProgress notes that the server has sent something.
func (w *watch) recordProgress() {
	w.lastProgress.Store(int64(time.Since(w.call.arrived)))
	w.call.pool.recordProgress(time.Now(), w.key)
}

// check runs on the timer's goroutine.
func (w *watch) check() {
	idle := time.Since(w.call.arrived) - time.Duration(w.lastProgress.Load())
	if idle < w.limit {
		w.timer.Reset(w.limit - idle)
		return
	}
	if w.call.pool.budget.Left(time.Now()) >= 1 {
		w.cancel(errSilent)
	}
}

func (w *watch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}
