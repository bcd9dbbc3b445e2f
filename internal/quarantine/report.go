package quarantine

import (
	"slices"
	"time"
)

// SentRequest is a request that an engine had, and the time since it was sent there.
type SentRequest struct {
	Fingerprint uint64
	Age         time.Duration
}

// Crash is an engine that has ended under requests with the parts. Engine is the hash of
// its incarnation.
type Crash struct {
	Engine   uint64
	Parts    []uint64
	Requests []SentRequest
	// Broken is set when the engine broke the requests off and may not have ended.
	Broken bool
	// Age is the time since the crash.
	Age time.Duration
}

// Entry is a quarantined part.
type Entry struct {
	Part uint64
	// Request is set when Part is the fingerprint of a request.
	Request bool
	// Age is the time since it was quarantined, and Idle since a request with it came.
	Age  time.Duration
	Idle time.Duration
	// NextTrial is the time until a request with it may be tried.
	NextTrial time.Duration
	// Trials is the number of trials that have crashed an engine.
	Trials int
}

// sent returns the requests with the times at which they were sent.
func (c Crash) sent(now time.Time) []Sent {
	var list []Sent
	for _, r := range c.Requests {
		list = append(list, Sent{Fingerprint: r.Fingerprint, At: now.Add(-r.Age)})
	}
	return list
}

// Report is what a router tells the others.
type Report struct {
	Crashes []Crash
	// Sound lists parts with which requests were served after a crash under them.
	Sound   []uint64
	Entries []Entry
}

// Empty reports whether there is nothing to tell.
func (r *Report) Empty() bool { return len(r.Crashes)+len(r.Sound)+len(r.Entries) == 0 }

// outbox holds what is to be told to the others. Each crash and sound part is told twice,
// since datagrams are lost.
type outbox struct {
	crashes []pendingCrash
	sounds  []pendingSound
	// entriesChanged is set when the entries are to be told at once.
	entriesChanged bool
}

// sends counts how often a report was sent.
type sends struct {
	count int
	last  time.Time
}

type pendingCrash struct {
	crash
	sends
	parts    []uint64
	requests []Sent
}

type pendingSound struct {
	sends
	part uint64
}

const (
	// maxSends is how often a report is sent, and resendInterval the time between: datagrams
	// that follow each other closely are lost together.
	maxSends       = 2
	resendInterval = 200 * time.Millisecond
	// maxPending bounds the reports that wait to be sent.
	maxPending = 256
)

func (o *outbox) crash(c crash, parts []uint64, requests []Sent) {
	if len(o.crashes) < maxPending {
		o.crashes = append(o.crashes, pendingCrash{crash: c, parts: parts, requests: requests})
	}
}

// report returns what is told of the crash now.
func (c *pendingCrash) report(now time.Time) Crash {
	r := Crash{Engine: c.engine, Parts: c.parts, Broken: c.broken, Age: now.Sub(c.at)}
	for _, sent := range c.requests {
		r.Requests = append(r.Requests, SentRequest{Fingerprint: sent.Fingerprint, Age: now.Sub(sent.At)})
	}
	return r
}

func (o *outbox) sound(part uint64) {
	if len(o.sounds) < maxPending {
		o.sounds = append(o.sounds, pendingSound{part: part})
	}
}

// due counts a send, unless the last one was just now.
func (s *sends) due(now time.Time) bool {
	if s.count > 0 && now.Sub(s.last) < resendInterval {
		return false
	}
	s.count++
	s.last = now
	return true
}

// Take returns what is to be sent now: crashes and sound parts, and the entries when they
// have changed or all is set.
func (t *Tracker) Take(now time.Time, all bool) Report {
	o := &t.outbox
	var r Report
	for i := range o.crashes {
		if c := &o.crashes[i]; c.due(now) {
			r.Crashes = append(r.Crashes, c.report(now))
		}
	}
	o.crashes = slices.DeleteFunc(o.crashes, func(c pendingCrash) bool { return c.count >= maxSends })
	for i := range o.sounds {
		if s := &o.sounds[i]; s.due(now) {
			r.Sound = append(r.Sound, s.part)
		}
	}
	o.sounds = slices.DeleteFunc(o.sounds, func(s pendingSound) bool { return s.count >= maxSends })
	if all || o.entriesChanged {
		r.Entries = t.Entries(now)
	}
	o.entriesChanged = false
	return r
}

// Entries returns the quarantined parts.
func (t *Tracker) Entries(now time.Time) []Entry {
	var list []Entry
	for _, part := range t.Parts() {
		e := t.entries[part]
		list = append(list, Entry{
			Part: part, Request: e.request, Age: now.Sub(e.since), Idle: now.Sub(e.lastAsked), NextTrial: max(e.nextTrial.Sub(now), 0), Trials: e.trials,
		})
	}
	return list
}

// Apply records what another router has told.
func (t *Tracker) Apply(now time.Time, r Report) {
	for _, e := range r.Entries {
		t.adopt(now, e)
	}
	for _, c := range r.Crashes {
		t.applyCrash(now, crash{engine: c.Engine, at: now.Add(-c.Age), broken: c.Broken}, c.Parts, c.sent(now))
	}
	for _, part := range r.Sound {
		t.clear(now, part, true)
	}
}

// adopt takes over a part that another router has quarantined. One that was found sound
// since then is told again.
func (t *Tracker) adopt(now time.Time, received Entry) {
	since := now.Add(-received.Age)
	if at, ok := t.sound[received.Part]; ok && at.After(since) {
		t.outbox.sound(received.Part)
		return
	}
	if received.Idle > forgetTime {
		return
	}
	e := t.entries[received.Part]
	if e == nil {
		if len(t.entries) >= maxEntries {
			return
		}
		e = &entry{since: since, request: received.Request}
		t.entries[received.Part] = e
		delete(t.suspects, received.Part)
		t.changes = append(t.changes, Change{Part: received.Part, Request: received.Request, Quarantined: true, Received: true})
	}
	e.lastAsked = latest(e.lastAsked, now.Add(-received.Idle))
	e.nextTrial = latest(e.nextTrial, now.Add(received.NextTrial))
	e.trials = max(e.trials, received.Trials)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
