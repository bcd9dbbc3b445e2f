package evacuation

import (
	"cmp"
	"time"
)

const (
	// defaultBound is the time in which an evacuation has to take effect where the settings name none.
	defaultBound = 5 * time.Second
	// gapShare is the share of the bound in which a router must run at least once. One that was frozen for longer may have missed an
	// evacuation for longer than the bound: it learns of one within 1.5 s usually, and within 2.5 s when readers are lost.
	gapShare = 0.4
	minGap   = time.Second
	// silenceShare is the share of the bound for which a router that has heard others relies on what it knows without hearing
	// anybody, neither the store nor a router.
	silenceShare = 0.7
	minSilence   = 2500 * time.Millisecond
	// drainTime is how long the datagrams that have arrived while a router was frozen may take to be read. They are as old as the
	// freeze.
	drainTime = 300 * time.Millisecond
	// readersTime is how long a router waits to hear the store or one of its readers before the view of any router ends a pause: the
	// store may be down for all, and then no evacuation can have been confirmed.
	readersTime = 3 * time.Second
)

// Pause is why a router must not send requests at the moment.
type Pause string

// Causes of a pause.
const (
	PauseNone Pause = ""
	// PauseFrozen: the process has not run for a while.
	PauseFrozen Pause = "frozen"
	// PauseIsolated: neither the store nor another router was heard for a while.
	PauseIsolated Pause = "isolated"
)

// Freshness decides whether a router may still rely on the data centres that it knows as evacuated. The zero value is that of a router
// that has just started, which may. It is not safe for concurrent use.
//
// Each call has the time by the monotonic clock, which may stand still while the process is frozen, and by the wall clock, which may be
// set; a gap by either counts. Any call shows that the process runs.
type Freshness struct {
	// bound is the time in which an evacuation has to take effect; 0 for defaultBound.
	bound            time.Duration
	ranAt, ranAtWall time.Time
	// heardAt is when the store or another router was heard last, and heardOthers is set once a router was.
	heardAt     time.Time
	heardOthers bool
	pause       Pause
	pausedAt    time.Time
}

// SetBound sets the time in which an evacuation has to take effect; 0 means the usual one.
func (f *Freshness) SetBound(d time.Duration) { f.bound = d }

// limit returns a share of the bound, but at least a time.
func (f *Freshness) limit(share float64, least time.Duration) time.Duration {
	return max(time.Duration(share*float64(cmp.Or(f.bound, defaultBound))), least)
}

// Check returns why the router must not send requests now. Call it several times a second, and before each request.
func (f *Freshness) Check(now, wall time.Time) Pause {
	gap := f.limit(gapShare, minGap)
	frozen := !f.ranAt.IsZero() && (now.Sub(f.ranAt) > gap || wall.Sub(f.ranAtWall) > gap)
	if f.heardAt.IsZero() {
		f.heardAt = now
	}
	switch {
	case frozen:
		f.pause, f.pausedAt = PauseFrozen, now
	case f.pause == PauseFrozen && !f.heardOthers && now.Sub(f.pausedAt) >= readersTime:
		// A router without others has nobody to ask while the store is down.
		f.resume(now)
	case f.pause == PauseNone && f.heardOthers && now.Sub(f.heardAt) > f.limit(silenceShare, minSilence):
		f.pause, f.pausedAt = PauseIsolated, now
	}
	f.ranAt, f.ranAtWall = now, wall
	return f.pause
}

// RecordView records that another router's view has arrived and was applied, which may end a pause. reader is set for one that reads
// the store.
func (f *Freshness) RecordView(now, wall time.Time, reader bool) {
	f.Check(now, wall)
	f.heardOthers = true
	paused := now.Sub(f.pausedAt)
	switch {
	case f.pause == PauseNone, f.pause == PauseIsolated && reader, paused >= readersTime, reader && paused >= drainTime:
		f.resume(now)
	}
}

// RecordCall records that a call for the operators' topic, which began at a time, was answered and applied. One that began before a
// freeze may have the begin of the freeze as its time, since the monotonic clock stood still.
func (f *Freshness) RecordCall(now, wall, begun time.Time) {
	if f.Check(now, wall) == PauseNone || begun.After(f.pausedAt) {
		f.resume(now)
	}
}

func (f *Freshness) resume(now time.Time) { f.pause, f.heardAt = PauseNone, now }
