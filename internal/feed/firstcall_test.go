package feed

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/logpos"
)

// silentSource never answers the calls that it gets while it is silent.
type silentSource struct {
	silent atomic.Bool
	calls  atomic.Int32
	// delay is the time of an answer.
	delay time.Duration
}

func (s *silentSource) Newest(ctx context.Context) (Page, error) {
	s.calls.Add(1)
	if !s.silent.Load() {
		select {
		case <-time.After(s.delay):
			return page(5, "a").page, nil
		case <-ctx.Done():
		}
	}
	<-ctx.Done()
	return Page{Era: NoEra}, ctx.Err()
}

func (s *silentSource) Read(ctx context.Context, _ int64, _ time.Duration) (Page, error) {
	return s.Newest(ctx)
}

// firstCallFollower returns a follower that has another router's report when reported is set.
func firstCallFollower(s Source, reported *atomic.Bool) (*Follower, *recorder) {
	r := &recorder{}
	return New(s, Options{
		Timing: func() Timing { return Timing{Pause: time.Second, Timeout: waitForAnswer} },
		PeerPosition: func() logpos.Position {
			if reported.Load() {
				return logpos.Position{Offset: 4}
			}
			return logpos.None
		},
		Eras:        &Eras{},
		EraReported: func(int64) time.Time { return time.Time{} },
	}, r), r
}

// waitForAnswer is longer than any call of these tests should last.
const waitForAnswer = 20 * time.Second

// stepUntilRead makes calls until the follower has read the list.
func stepUntilRead(t *testing.T, f *Follower) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), waitForAnswer)
	defer cancel()
	for ctx.Err() == nil && !f.position.complete {
		f.Step(ctx)
	}
	if !f.position.complete {
		t.Fatal("the follower has read nothing")
	}
}

// Guards against a router that starts while the store is silent and waits for the end of its first call, which is never
// answered, long after the store has returned.
func TestFirstCallIsMadeAgainWhenTheStoreWasSilent(t *testing.T) {
	for name, c := range map[string]struct {
		reported bool
		most     int32
	}{
		"nobody has read it":          {most: 4},
		"another router has read now": {reported: true, most: 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, reported := &silentSource{}, &atomic.Bool{}
			s.silent.Store(true)
			f, r := firstCallFollower(s, reported)
			if c.reported {
				// After so many calls only the report ends the next one in time.
				f.repeated = 8
			}
			time.AfterFunc(150*time.Millisecond, func() {
				s.silent.Store(false)
				reported.Store(c.reported)
			})
			stepUntilRead(t, f)
			if calls := s.calls.Load(); calls > c.most || len(r.events) > 1 {
				t.Errorf("%d calls, reported %v, want %d at most and only the list", calls, r.events, c.most)
			}
		})
	}
}

// Guards against a router that gives up each call to a slow store too early.
func TestFirstCallWaitsLongerForASlowStore(t *testing.T) {
	t.Parallel()
	s := &silentSource{delay: 1200 * time.Millisecond}
	f, _ := firstCallFollower(s, &atomic.Bool{})
	stepUntilRead(t, f)
	if calls := s.calls.Load(); calls > 4 {
		t.Errorf("%d calls to a store that answers after 1.2 s, want 4 at most", calls)
	}
}
