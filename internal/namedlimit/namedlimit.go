// Package namedlimit keeps to the rate of requests that a server names for all routers
// together. One router, the sender, may use the whole rate; the others send the server
// nothing. A share for each router would leave most of a small rate unused, since callers
// reach routers unevenly, and a full bucket at each would exceed it. When nobody has heard the
// server for a while, each router may use its share, so that the end of a limit is noticed.
//
// A Limit does no I/O, takes the time as an argument and is not safe for concurrent use.
package namedlimit

import (
	"math"
	"time"
)

const (
	// silence is the time without an answer of the server after which all routers may
	// send it a share.
	silence = 5 * time.Second
	// minPerSecond lets a server that names less, or 0, still tell that its limit has ended.
	minPerSecond = 0.1
	// burst is the time whose requests may be sent at once; one request always may.
	burst = 250 * time.Millisecond
	// unaskedTime is the time after which the sender should send a request, to use the limit and to
	// notice its end.
	unaskedTime = 750 * time.Millisecond
	// retellInterval is how often the sender tells the others that the limit is still named, or
	// that it has ended, since datagrams are lost. The latter it does for endRetold.
	retellInterval = time.Second
	endRetold      = 10 * time.Second
)

// Statement is what a server said of its limit at a time.
type Statement struct {
	// PerSecond is the rate; negative when the server named none.
	PerSecond float64
	At        time.Time
}

// Limited reports whether the server named a limit.
func (s Statement) Limited() bool { return s.PerSecond >= 0 }

// Usable reports whether a rate can be a limit.
func Usable(perSecond float64) bool { return perSecond >= 0 && !math.IsInf(perSecond, 0) }

// Share is the part of a router in the requests to a server.
type Share struct {
	// Sender is set at the router that may use the whole rate.
	Sender bool
	// Sole is set at a router that is the sender as far as it and a majority of the routers know, and that may so
	// send to a server which must not get the rate twice.
	Sole bool
	// Routers is the number of routers, and Before the number of those that come before this one.
	Routers, Before int
}

// Limit is what a router knows of one server's limit. The zero value is no limit.
type Limit struct {
	last   Statement
	bucket Bucket
	// sentAt is when this router sent a request last.
	sentAt time.Time
	// untold is set when the others have to be told, and toldAt is when that was done last.
	untold bool
	toldAt time.Time
}

// Active reports whether the server names a limit.
func (l *Limit) Active() bool { return !l.last.At.IsZero() && l.last.Limited() }

// PerSecond returns the rate of an active limit.
func (l *Limit) PerSecond() float64 { return l.last.PerSecond }

// Record records what the server said in an answer to a request that was sent at a time. It
// reports whether the limit began, changed or ended. An answer without a limit ends one only
// when its request was sent after the limit was named last.
func (l *Limit) Record(s Statement, sentAt time.Time) (changed bool) {
	if !s.Limited() && (!l.Active() || sentAt.Before(l.last.At)) {
		return false
	}
	changed = l.apply(s)
	l.untold = l.untold || changed
	return changed
}

// Receive records what another router has heard, and reports whether it changes the limit.
func (l *Limit) Receive(s Statement) (changed bool) {
	if !s.At.After(l.last.At) {
		return false
	}
	changed = l.apply(s)
	if !changed {
		// Another one has told the same.
		l.untold = false
	}
	return changed
}

func (l *Limit) apply(s Statement) (changed bool) {
	changed = l.Active() != s.Limited() || l.Active() && l.last.PerSecond != s.PerSecond
	l.last = s
	return changed
}

// Allows reports whether a request may be sent.
func (l *Limit) Allows(now time.Time, share Share) bool {
	if !l.Active() {
		return true
	}
	l.fill(now, share)
	return l.bucket.tokens >= 1
}

// Wait returns how long it takes until a request may be sent, as far as is known.
func (l *Limit) Wait(now time.Time, share Share) time.Duration {
	if l.Allows(now, share) {
		return 0
	}
	if l.bucket.rate == 0 {
		return silence
	}
	return l.bucket.wait()
}

// fill adds the requests that have become allowed.
func (l *Limit) fill(now time.Time, share Share) {
	rate := l.shareOf(now, share)
	l.bucket.fill(now, rate, max(1, rate*burst.Seconds()))
}

// shareOf returns the requests a second that this router may send.
func (l *Limit) shareOf(now time.Time, share Share) float64 {
	rate := max(l.last.PerSecond, minPerSecond)
	switch {
	case share.Sender:
		return rate
	case now.Sub(l.last.At) >= silence:
		return rate / float64(max(share.Routers, 1))
	}
	return 0
}

// Take counts a request that is sent.
func (l *Limit) Take(now time.Time) {
	l.bucket.take()
	l.sentAt = now
}

// Unasked reports whether this router has sent the server nothing for a while.
func (l *Limit) Unasked(now time.Time) bool { return l.Active() && now.Sub(l.sentAt) >= unaskedTime }

// TakeStatement returns what the others have to be told now, if anything.
func (l *Limit) TakeStatement(now time.Time, share Share) (Statement, bool) {
	news := l.last.At.After(l.toldAt)
	if !l.last.Limited() {
		news = now.Sub(l.last.At) < endRetold
	}
	retell := !l.last.At.IsZero() && share.Sender && news && now.Sub(l.toldAt) >= retellInterval
	if !l.untold && !retell {
		return Statement{}, false
	}
	l.untold, l.toldAt = false, now
	return l.last, true
}
