package balance

import "time"

const (
	// silenceLimit is the silence of a server with requests in flight from
	// which it gets no new ones. Streams send several events in this time.
	silenceLimit = 700 * time.Millisecond
	// outcomeHistory is the number of last outcomes that the failure rate counts.
	outcomeHistory = 16
	// minFailures failures in the window eject a server.
	minFailures = 3
	// minFailureShare is the share of failures in the window that ejects.
	minFailureShare = 0.25
	// failureEjection is how long a failing server gets no requests. It doubles, up
	// to failureEjectionMost, when the server fails again soon after its return.
	failureEjection    = 2 * time.Second
	maxFailureEjection = 8 * time.Second
	// Unreachable servers are tried again after a delay that doubles.
	minUnreachablePause = 250 * time.Millisecond
	maxUnreachablePause = 2 * time.Second
	// refusedPause keeps requests from a server that has just refused one.
	refusedPause = 100 * time.Millisecond
)

// health is the belief about a server from the outcomes of its requests.
type health struct {
	// lastActivity is when the server last sent something or, without anything in
	// flight, when the first request was sent to it.
	lastActivity time.Time
	// outcomes has a bit for each failure; the newest is bit 0.
	outcomes uint32
	count    int
	// recent counts the outcomes that other routers are told.
	recent window
	// ejectedUntil ends an ejection for failures, ejection is how long it lasts.
	ejectedUntil     time.Time
	ejectionDuration time.Duration
	// pausedUntil ends a pause after a refused connection or request.
	pausedUntil      time.Time
	unreachablePause time.Duration
}

func (h *health) begin(now time.Time, own int) {
	if own <= 1 {
		h.lastActivity = now
	}
}

func (h *health) progress(now time.Time) {
	h.lastActivity = now
	h.unreachablePause = 0
}

// silent reports whether the server owes something and has sent nothing for too long.
func (h *health) silent(now time.Time, own int) bool {
	return own > 0 && now.Sub(h.lastActivity) > silenceLimit
}

func (h *health) failing(now time.Time) bool { return now.Before(h.ejectedUntil) }

// unavailable reports whether the server refuses connections or requests, or is silent.
func (h *health) unavailable(now time.Time, own int) bool {
	return now.Before(h.pausedUntil) || h.silent(now, own)
}

func (h *health) ejected(now time.Time, own int) bool {
	return h.failing(now) || h.unavailable(now, own)
}

// end takes an outcome and reports whether it ejected the server.
func (h *health) end(now time.Time, o Outcome, mayEject bool) bool {
	switch o {
	case Served:
		h.record(now, false)
		h.unreachablePause = 0
	case Refused:
		h.pausedUntil = now.Add(refusedPause)
	case Unreachable:
		h.unreachablePause = min(max(2*h.unreachablePause, minUnreachablePause), maxUnreachablePause)
		h.pausedUntil = now.Add(h.unreachablePause)
		return true
	case Failed:
		h.record(now, true)
		if mayEject && h.failsTooOften() {
			h.eject(now)
			return true
		}
	case Cancelled, Disputed:
	}
	return false
}

// eject keeps requests from a failing server. What it has done before says
// nothing about it when it returns.
func (h *health) eject(now time.Time) {
	if now.Sub(h.ejectedUntil) < h.ejectionDuration {
		h.ejectionDuration = min(2*h.ejectionDuration, maxFailureEjection)
	} else {
		h.ejectionDuration = failureEjection
	}
	h.ejectedUntil = now.Add(h.ejectionDuration)
	h.outcomes, h.count = 0, 0
}

func (h *health) record(now time.Time, failed bool) {
	h.recent.add(now, failed)
	bit := uint32(0)
	if failed {
		bit = 1
	}
	h.outcomes = (h.outcomes<<1 | bit) & (1<<outcomeHistory - 1)
	h.count = min(h.count+1, outcomeHistory)
}

func (h *health) failsTooOften() bool {
	failures := 0
	for bits := h.outcomes; bits != 0; bits &= bits - 1 {
		failures++
	}
	return tooManyFailures(failures, h.count)
}

// tooManyFailures reports whether failures among outcomes eject a server.
func tooManyFailures(failures, outcomes int) bool {
	return failures >= minFailures && float64(failures) >= minFailureShare*float64(outcomes)
}
