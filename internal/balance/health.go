package balance

import "time"

const (
	// silenceLimit is how long a server with requests in flight may send nothing
	// before it gets no new ones. Streams send several events in this time.
	silenceLimit = 700 * time.Millisecond
	// minLongReading is the reading time from which a prompt may keep a server silent.
	// Shorter ones don't extend silenceLimit: new requests would extend it again and
	// again at a server that has stopped to answer.
	minLongReading = 400 * time.Millisecond
	// outcomeHistory is the number of latest outcomes in the failure rate.
	outcomeHistory = 16
	// A server is ejected when at least minFailures of its outcomes, and at least
	// the share minFailureShare of them, are failures.
	minFailures     = 3
	minFailureShare = 0.25
	// failureEjection is how long a failing server gets no requests. It doubles, up
	// to maxFailureEjection, when the server fails again soon after the ejection.
	failureEjection    = 2 * time.Second
	maxFailureEjection = 8 * time.Second
	// probation is how long after an ejection a server gets only requests that may run again, while others can
	// take the rest. Servers that fail once often fail again within seconds.
	probation = 8 * time.Second
	// Unreachable servers are retried after a pause that doubles between these
	// bounds.
	minUnreachablePause = 250 * time.Millisecond
	maxUnreachablePause = 2 * time.Second
	// refusedPause is how long a server that refused a request gets no new ones.
	refusedPause = 100 * time.Millisecond
)

// health tracks a server's availability by the outcomes of its requests.
type health struct {
	// lastActivity is when the server last sent data or, if later, when it was sent
	// a request with no other in flight.
	lastActivity time.Time
	// readingUntil is when it is expected to have read the prompts that it was sent
	// by this router. It may send nothing before.
	readingUntil time.Time
	// outcomes has a bit per outcome, set for a failure; the newest is bit 0.
	outcomes uint32
	count    int
	// recent counts the outcomes that are reported to other routers.
	recent window
	// ejectedUntil is the end of an ejection for failures, ejectionDuration its
	// length.
	ejectedUntil     time.Time
	ejectionDuration time.Duration
	// pausedUntil is the end of a pause after a refused connection or request.
	pausedUntil      time.Time
	unreachablePause time.Duration
	// heardAt is when the server last sent data; zero when it could not be reached since.
	heardAt time.Time
}

func (h *health) begin(now time.Time, own int, readingUntil time.Time) {
	if own <= 1 {
		h.lastActivity = now
	}
	if readingUntil.Sub(now) >= minLongReading && readingUntil.After(h.readingUntil) {
		h.readingUntil = readingUntil
	}
}

func (h *health) recordProgress(now time.Time) {
	h.lastActivity = now
	h.unreachablePause = 0
	h.heardAt = now
}

// silent reports whether the server has requests in flight and has sent nothing
// for longer than silenceLimit, long prompts read meanwhile not counted.
func (h *health) silent(now time.Time, own int) bool {
	return own > 0 && now.Sub(h.lastActivity) > silenceLimit && now.Sub(h.readingUntil) > silenceLimit
}

// failing reports whether the server is ejected for its failures.
func (h *health) failing(now time.Time) bool { return now.Before(h.ejectedUntil) }

// onProbation reports whether the server was ejected for its failures not long ago.
func (h *health) onProbation(now time.Time) bool {
	return !h.ejectedUntil.IsZero() && now.Before(h.ejectedUntil.Add(probation))
}

// unavailable reports whether the server recently refused a connection or request,
// or is silent.
func (h *health) unavailable(now time.Time, own int) bool {
	return now.Before(h.pausedUntil) || h.silent(now, own)
}

func (h *health) ejected(now time.Time, own int) bool {
	return h.failing(now) || h.unavailable(now, own)
}

// end records an outcome and reports whether it ejected the server.
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
		h.heardAt = time.Time{}
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

// eject stops requests to a failing server and clears its recorded outcomes, which
// say nothing about its state after the ejection.
func (h *health) eject(now time.Time) {
	h.ejectionDuration = longerPause(h.ejectionDuration, now.Sub(h.ejectedUntil))
	h.ejectedUntil = now.Add(h.ejectionDuration)
	h.outcomes, h.count = 0, 0
}

// longerPause returns how long a server that failed again is kept from requests: twice the last time when that ended not long
// ago.
func longerPause(last, sinceEnd time.Duration) time.Duration {
	if sinceEnd >= last {
		return failureEjection
	}
	return min(2*last, maxFailureEjection)
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

// tooManyFailures reports whether the failures among outcomes eject a server.
func tooManyFailures(failures, outcomes int) bool {
	return failures >= minFailures && float64(failures) >= minFailureShare*float64(outcomes)
}
