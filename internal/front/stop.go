package front

import (
	"context"
	"errors"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/event"
)

const (
	// rotationTime is how long callers' new connections still arrive after the
	// router says that it is not ready: two questions a second apart, and one more.
	rotationTime = 2500 * time.Millisecond
	// stopMargin ends the process before the platform kills it.
	stopMargin = 400 * time.Millisecond
	// idleCheckInterval is how often a stopping router looks for what is in progress.
	idleCheckInterval = 50 * time.Millisecond
)

// Stop ends the router gracefully. It goes on serving until the platform sends
// no more callers, then waits for the requests in progress, and ends when ctx does.
func (f *Front) Stop(ctx context.Context) error {
	began := time.Now()
	f.tracker.stop()
	end := began.Add(f.bounds.Load().Stop - stopMargin)
	f.handler.Stop(began, end)
	f.events.Emit(event.FrontStopping, "running", f.handler.Running())
	rotation := time.AfterFunc(rotationTime, f.edge.CloseWaiting)
	defer rotation.Stop()
	f.wait(ctx, end, func(now time.Time) bool { return now.After(began.Add(rotationTime)) && f.handler.Running() == 0 })
	// A request may arrive at any moment until nothing is accepted any more.
	drained := f.edge.Drain()
	f.wait(ctx, end, func(time.Time) bool { return f.edge.Open() == 0 })
	f.events.Emit(event.FrontStopped, "running", f.handler.Running(), "after_ms", time.Since(began).Milliseconds())
	f.tomb.Kill(nil)
	return errors.Join(drained, f.tomb.Wait())
}

// wait returns when done says so, at end, or when ctx ends.
func (f *Front) wait(ctx context.Context, end time.Time, done func(now time.Time) bool) {
	tick := time.NewTicker(idleCheckInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.tomb.Dying():
			return
		case now := <-tick.C:
			if now.After(end) || done(now) {
				return
			}
		}
	}
}
