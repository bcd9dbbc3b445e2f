// Package connreuse decides whether requests may use kept connections to a server. A
// server that sends bytes nobody asked for, or that closes kept connections just as a
// request arrives, loses requests on kept connections but serves them on new ones.
package connreuse

import "time"

const (
	// minPeriod is the length of the first period without reuse. It doubles up to maxPeriod
	// when the server shows a sign again soon after. A period costs a new connection for
	// each request, an early end of it about one request.
	minPeriod = 2 * time.Second
	maxPeriod = time.Minute
	// memory is how long after the end of a period a new sign counts as a repeat.
	memory = time.Minute
	// closeThreshold is the number of closes within closeWindow that end the reuse. One is
	// ordinary: an idle timeout, a restart. A server that restarts again and again needs
	// seconds for each of them.
	closeThreshold = 3
	closeWindow    = 10 * time.Second
	// minCloseShare is the least share of closes among the exchanges on kept connections
	// since the first close. A server that loses a few answers does so on any connection.
	minCloseShare = 0.25
	// excuse is how long closes don't count after a new connection has ended in the same
	// way, which shows that the reuse is not their cause.
	excuse = time.Minute
)

// Cause is the sign for which connections are not reused.
type Cause string

// The causes.
const (
	// UnaskedBytes: bytes arrived on an idle connection, or bytes that are no answer on a
	// kept one.
	UnaskedBytes Cause = "unasked_bytes"
	// OtherAnswer: an answer that does not belong to the request arrived on a kept connection.
	OtherAnswer Cause = "answer_of_another_request"
	// Closes: exchanges on kept connections ended without an answer, again and again.
	Closes Cause = "unannounced_closes"
)

// Change is a change of the decision.
type Change struct {
	// Allowed is whether connections may be reused from now on.
	Allowed bool
	Cause   Cause
	// Period is the length of the period without reuse that begins or has ended.
	Period time.Duration
}

// State is what is known of the connections to one server. The zero value allows reuse.
// It is not safe for concurrent use.
type State struct {
	// until is the end of the latest period without reuse, and cause and period are its
	// cause and length; zero before the first one.
	until  time.Time
	cause  Cause
	period time.Duration
	// ended is set when the end of the latest period has been reported.
	ended bool

	// closes counts the closes since firstClose, and keptAnswers the answers on kept
	// connections since then. lastClose is the latest counted one, and
	// answered is set when an exchange that began after it had an answer.
	closes      int
	keptAnswers int
	firstClose  time.Time
	lastClose   time.Time
	answered    bool
	// excusedUntil is when closes count again.
	excusedUntil time.Time
}

// MayReuse reports whether connections may be reused now. The change is the end of a
// period, which is returned once.
func (s *State) MayReuse(now time.Time) (bool, *Change) {
	if now.Before(s.until) {
		return false, nil
	}
	if s.period == 0 || s.ended {
		return true, nil
	}
	s.ended = true
	return true, &Change{Allowed: true, Cause: s.cause, Period: s.period}
}

// Remaining returns how long connections must not be reused yet; 0 when they may be.
func (s *State) Remaining(now time.Time) time.Duration { return max(s.until.Sub(now), 0) }

// RecordUnasked records bytes on an idle connection.
func (s *State) RecordUnasked(now time.Time) *Change {
	return s.forbid(now, now, UnaskedBytes)
}

// RecordSpoiled records that an exchange on a kept connection got an answer that belongs to
// another request, or bytes that are no answer. The exchange began at begun.
func (s *State) RecordSpoiled(now, begun time.Time, cause Cause) *Change {
	return s.forbid(now, begun, cause)
}

// RecordAnswered records that an exchange that began at begun got its answer. reused is set
// for a kept connection.
func (s *State) RecordAnswered(begun time.Time, reused bool) {
	if reused {
		s.keptAnswers++
	}
	if begun.After(s.lastClose) {
		s.answered = true
	}
}

// RecordUnanswered records that the server closed the connection of an exchange, which
// began at begun, without an answer. reused is set for a kept connection.
//
// A server that ends closes all its connections at the same time and answers nothing in
// between. So a close counts only when the exchange began after the last counted one, and
// another exchange that also began after it had an answer.
func (s *State) RecordUnanswered(now, begun time.Time, reused bool) *Change {
	if !reused {
		return s.excuseCloses(now)
	}
	if now.Before(s.excusedUntil) || begun.Before(s.until) {
		return nil
	}
	if s.closes > 0 && !(begun.After(s.lastClose) && s.answered) {
		return nil
	}
	if s.closes == 0 || now.Sub(s.firstClose) > closeWindow {
		s.closes, s.keptAnswers, s.firstClose = 0, 0, now
	}
	s.closes++
	s.lastClose, s.answered = now, false
	if !s.closesTooOften() && !s.repeats(now, Closes) {
		return nil
	}
	return s.forbid(now, begun, Closes)
}

func (s *State) closesTooOften() bool {
	return s.closes >= closeThreshold && float64(s.closes) >= minCloseShare*float64(s.closes+s.keptAnswers)
}

// excuseCloses ends a period that began because of closes and ignores further ones for a
// while.
func (s *State) excuseCloses(now time.Time) *Change {
	s.closes = 0
	s.excusedUntil = now.Add(excuse)
	if s.cause != Closes || !now.Before(s.until) {
		return nil
	}
	s.until = now
	_, change := s.MayReuse(now)
	return change
}

// repeats reports whether the latest period ended a short time ago and had the same cause.
func (s *State) repeats(now time.Time, cause Cause) bool {
	return s.period > 0 && s.cause == cause && now.Sub(s.until) < memory
}

// forbid begins a period without reuse. Signs of a connection from before the end of the
// latest period tell nothing new.
func (s *State) forbid(now, begun time.Time, cause Cause) *Change {
	if begun.Before(s.until) {
		return nil
	}
	if s.period > 0 && now.Sub(s.until) < memory {
		s.period = min(2*s.period, maxPeriod)
	} else {
		s.period = minPeriod
	}
	s.until, s.cause, s.ended = now.Add(s.period), cause, false
	s.closes = 0
	return &Change{Cause: cause, Period: s.period}
}
