package front

import (
	"context"
	"errors"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/event"
)

const (
	// rotationTime is how long callers' new connections still arrive after the
	// router reports that it is not ready: two readiness checks, a second apart,
	// and one more.
	rotationTime = 2500 * time.Millisecond
	// stopMargin ends the process shortly before the platform would kill it.
	stopMargin = 400 * time.Millisecond
	// idleCheckInterval is how often a stopping router checks for requests in progress.
	idleCheckInterval = 50 * time.Millisecond
)

// Stop ends the router gracefully. The router serves until the platform sends no
// more callers, then waits for the requests in progress. It ends early when ctx
// does.
func (f *Front) Stop(ctx context.Context) error {
	start := time.Now()
	f.tracker.stop()
	end := start.Add(f.bounds.Load().StopTimeout - stopMargin)
	f.handler.Stop(start, end)
	f.carrier.Decline()
	f.exchange.StopGranting()
	f.state.HandOverGrants()
	f.events.Emit(event.FrontStopping, "running", f.handler.Running())
	rotation := time.AfterFunc(rotationTime, f.edge.CloseWaiting)
	defer rotation.Stop()
	f.wait(ctx, end, func(now time.Time) bool { return now.After(start.Add(rotationTime)) && f.handler.Running() == 0 })
	// Requests may arrive until Drain, so wait again for those in progress.
	drained := f.edge.Drain()
	f.wait(ctx, end, func(time.Time) bool { return f.edge.OpenConnections() == 0 && f.carrier.Carried() == 0 })
	f.events.Emit(event.FrontStopped, "running", f.handler.Running(), "after_ms", time.Since(start).Milliseconds())
	f.tomb.Kill(nil)
	return errors.Join(drained, f.tomb.Wait())
}

// wait returns when done returns true, at end, or when ctx or the router ends.
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
