package slotgrant

import (
	"slices"
	"time"
)

const (
	// refusedPause is how long a server that refused a request gets no grants. Failures and refused connections double the
	// pause from minFailedPause to maxFailedPause until a request is served.
	refusedPause   = 100 * time.Millisecond
	minFailedPause = 250 * time.Millisecond
	maxFailedPause = 2 * time.Second
	// recentlyServed is how long a server that has answered another router is not paused for one that does not reach it.
	recentlyServed = 200 * time.Millisecond
	// failuresBeforePause is the number of failures in a row that pause a server: a single one may be due to its request.
	failuresBeforePause = 3
	// queuedShare is how many requests are to wait at a server, as a share of its slots: requests that end together would else leave
	// slots empty.
	queuedShare = 0.5
	// A report of a server that states its load lowers queueTarget by queueStep when requests wait there, and raises it by
	// waitsPerEmpty times as much when none does: a server may be slower with more requests than slots.
	queueStep     = 0.1
	waitsPerEmpty = 4
)

// Server is a server of the pool as the granting router sees it.
type Server struct {
	// Hash identifies the incarnation.
	Hash uint64
	// Slots is the number of requests that it works on at the same time.
	Slots int
	// Usable is set while the server may get requests.
	Usable bool
	// Load is the number of requests of all routers there, by their digests.
	Load int
}

// server is a server with its grants.
type server struct {
	Server
	// leases are the grants in use, the oldest first.
	leases []*lease
	// foreign are requests that this router has not granted, each until it should have ended.
	foreign []time.Time
	// pausedUntil is until when it gets no grants; failures and pause are those since it last served.
	pausedUntil time.Time
	failures    int
	pause       time.Duration
	// queueCut is by how much queueTarget is below the usual one, because the server says that requests wait there.
	queueCut float64
	// servedAt is when it last answered.
	servedAt time.Time
}

// available reports whether the server may get a grant if it has a free slot.
func (s *server) available(now time.Time) bool { return s.Usable && !now.Before(s.pausedUntil) }

// free returns the number of free slots; it may be negative.
func (s *server) free(now time.Time) int {
	n := 0
	for _, until := range s.foreign {
		if now.Before(until) {
			s.foreign[n] = until
			n++
		}
	}
	s.foreign = s.foreign[:n]
	return s.Slots - len(s.leases) - n
}

// ending returns the number of leases, at most limit, whose age is from age to endingWindow, and the oldest lease that is younger.
// Older ones are not counted: their grants may have been lost and their requests not begun.
func (s *server) ending(now time.Time, age time.Duration, limit int) (n int, next *lease) {
	for _, l := range s.leases {
		switch got := now.Sub(l.grantedAt); {
		case got < age:
			return min(n, limit), l
		case got < endingWindow(age):
			n++
		}
	}
	return min(n, limit), nil
}

// queueTarget returns how many requests are to wait at the server, so that one is there for each slot that ends:
// queuedShare * slots - queueCut, which is negative while the server is to have fewer requests than slots.
func (s *server) queueTarget() float64 { return queuedShare*float64(s.Slots) - s.queueCut }

// adjustQueueTarget lowers the target by queueStep after a report of requests that wait, and raises it by
// queueStep * waitsPerEmpty after one of none, so that it settles where requests wait in 4 of 5 reports. It stays between
// -queuedShare * slots and queuedShare * slots.
func (s *server) adjustQueueTarget(waits bool) {
	if waits {
		s.queueCut += queueStep
	} else {
		s.queueCut -= queueStep * waitsPerEmpty
	}
	s.queueCut = min(max(s.queueCut, 0), 2*queuedShare*float64(s.Slots))
}

// endingWindow returns the age from which a lease no longer counts as ending: 1.5 * age.
func endingWindow(age time.Duration) time.Duration { return age + age/2 }

func (s *server) remove(l *lease) {
	if i := slices.Index(s.leases, l); i >= 0 {
		s.leases = slices.Delete(s.leases, i, i+1)
	}
}

// moveLast makes a grant the newest one.
func (s *server) moveLast(l *lease) {
	s.remove(l)
	s.leases = append(s.leases, l)
}

// setForeign records n requests, at most one for each slot, that were not granted here. Request i of them counts until
// now + within * i / n, since they end one after the other.
func (s *server) setForeign(now time.Time, n int, within time.Duration) {
	n = min(max(n, 0), s.Slots)
	s.foreign = s.foreign[:0]
	for i := range n {
		s.foreign = append(s.foreign, now.Add(within*time.Duration(i+1)/time.Duration(n)))
	}
}

// recordEnd records how a request at the server ended.
func (s *server) recordEnd(now time.Time, end End) {
	switch end {
	case Served:
		s.failures, s.pause, s.servedAt = 0, 0, now
	case Refused:
		s.pausedUntil = now.Add(refusedPause)
	case Failed:
		s.failures++
		if s.failures >= failuresBeforePause {
			s.lengthenPause(now)
		}
	case Unreachable:
		if now.Sub(s.servedAt) >= recentlyServed {
			s.lengthenPause(now)
		}
	}
}

func (s *server) lengthenPause(now time.Time) {
	s.pause = min(max(2*s.pause, minFailedPause), maxFailedPause)
	s.pausedUntil = now.Add(s.pause)
}
