// Package quarantine finds requests and parts of prompts that crash the servers which begin
// to answer them, and keeps them from the servers.
//
// A crash names the fingerprints and the parts of all requests whose answers had not begun or
// only just; most of them were there by chance. One is blamed when it was there in several
// separate crashes, and no request with it has been served in between anywhere: what was there
// by chance is served by other servers. Servers that end together, such as those of a rack,
// count as one crash, but for a request that was sent to a server after another one had ended
// under it. A request that servers only broke off, while nothing shows that they have ended, is
// blamed after more of these. A request under which several servers have ended, but which is not proven
// to crash them, is sent by one router, one at a time. A crash that is explained counts for nothing
// else, and a whole request is blamed before its parts.
//
// Fingerprints and parts share the name "part" below where they are treated alike.
//
// Each router decides by itself from the same reports, which all routers exchange. A
// Tracker does no I/O, takes the time as an argument and is not safe for concurrent use.
package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// minCrashes is the number of crashes after which a part is quarantined. The platform
	// bounds what happens after the fifth; a part that is rarely asked for may be there by
	// chance in two.
	minCrashes = 3
	// minSeparation is the time between two crashes that count separately.
	minSeparation = 200 * time.Millisecond
	// settleTime is how long after the last of these crashes a report that the part is
	// sound may still arrive.
	settleTime = 300 * time.Millisecond
	// minBroken is the number of times that servers must have broken a request off, or ended under
	// it, when not all of these ends are known; and minBrokenServers the number of such
	// servers. The platform bounds what happens after the third crash to three requests.
	minBroken        = 5
	minBrokenServers = 2
	// doubtBroken is the number of such times from which a request is not sent to another server.
	doubtBroken = 3
	// doubtCrashes is the number of crashes from which a broken request with the part is
	// not sent to another engine.
	doubtCrashes = 2
	// suspicionTime is how long crashes count.
	suspicionTime = 10 * time.Minute
	// firstTrial is the time after which a request with a quarantined part may be tried
	// once, since another version of the engines may serve it. It doubles, up to maxTrial,
	// with each trial that crashes an engine, and ends the answers in progress there.
	firstTrial = 5 * time.Minute
	maxTrial   = time.Hour
	// trialStep is the time by which a router's turn to try, also a suspected request, comes after that
	// of the router before it, which may get none with the part.
	trialStep = time.Minute
	// suspectServers is the number of servers after whose end a request is sent by one router, one at a
	// time, until one is served or it is proven to crash servers. When they end together, their
	// ends count once, but more callers may send the same request at the same moment.
	suspectServers = 3
	// SuspectTrialTime is the least time between two such attempts. The answer to one, or the report of a
	// crash, comes sooner as a rule.
	SuspectTrialTime = time.Second
	// forgetTime is how long a part is remembered that nobody asks for.
	forgetTime = time.Hour
	// maxSuspects and maxEntries bound the parts that are remembered. When there are too many
	// suspects, those of one crash are forgotten after crowdedTime.
	maxSuspects = 8192
	crowdedTime = time.Minute
	maxEntries  = 256
)

// Sent is a request that a server had when it ended.
type Sent struct {
	Fingerprint uint64
	At          time.Time
}

// Change is a change of what is believed of a part.
type Change struct {
	Part uint64
	// Request is set when Part is the fingerprint of a request.
	Request bool
	// Quarantined is false when the part is sound again.
	Quarantined bool
	// Suspected is set when Part is a request that one router may send at a time.
	Suspected bool
	// Crashes is the number of engines that ended; 0 when another router has decided.
	Crashes int
	// Received is set when another router has decided.
	Received bool
}

// Verdict is the decision on a request.
type Verdict struct {
	// Refused is set when the request must not be sent to an engine because of Part, which is
	// its fingerprint when Request is set.
	Refused bool
	Part    uint64
	Request bool
	// Suspected is set when the request may crash servers, which is not proven.
	Suspected bool
	// RetryAfter is the time until the part may be tried again.
	RetryAfter time.Duration
	// Trial is set when the request is the one that tries the part again.
	Trial bool
}

// crash is an engine that ended at a time.
type crash struct {
	engine uint64
	at     time.Time
	// sentAt is when the engine got the request; zero for a part of a prompt.
	sentAt time.Time
	// broken is set when the engine broke the request off and may not have ended.
	broken bool
}

// follows reports whether a crash counts separately from an earlier one.
func (c crash) follows(earlier crash) bool {
	return c.at.Sub(earlier.at) >= minSeparation || c.sentAt.After(earlier.at)
}

// isKnown reports whether a known crash is the same. An engine ends once, but may break the same
// request off more often.
func (c crash) isKnown(known crash) bool {
	return known.engine == c.engine && (!known.broken || c.broken && !c.sentAt.After(known.at))
}

// entry is a quarantined part.
type entry struct {
	// request is set when the part is the fingerprint of a request.
	request                     bool
	since, lastAsked, nextTrial time.Time
	// trials is the number of trials that have crashed an engine.
	trials int
}

// Tracker holds what one router knows of the parts.
type Tracker struct {
	suspects map[uint64][]crash
	entries  map[uint64]*entry
	// explained holds the engines that a quarantined part has crashed, and sound the parts
	// that are no longer quarantined, with the times.
	explained map[uint64]time.Time
	sound     map[uint64]time.Time
	// suspectTrials holds when a suspected request was last sent.
	suspectTrials map[uint64]time.Time
	changes       []Change
	outbox        outbox
}

// New returns a tracker that knows nothing.
func New() *Tracker {
	return &Tracker{
		suspects: make(map[uint64][]crash), entries: make(map[uint64]*entry),
		explained: make(map[uint64]time.Time), sound: make(map[uint64]time.Time), suspectTrials: make(map[uint64]time.Time),
	}
}

// RecordCrash records that an engine has ended at a time under requests with the parts, to
// be told to the others.
func (t *Tracker) RecordCrash(now, at time.Time, engine uint64, parts []uint64, requests []Sent) {
	t.outbox.crash(crash{engine: engine, at: at}, parts, requests)
	t.applyCrash(now, crash{engine: engine, at: at}, parts, requests)
}

func (t *Tracker) applyCrash(now time.Time, c crash, parts []uint64, requests []Sent) {
	blamed := false
	for _, part := range parts {
		blamed = t.extend(now, part) || blamed
	}
	for _, r := range requests {
		blamed = t.extend(now, r.Fingerprint) || blamed
	}
	if blamed && !c.broken {
		t.explain(now, c.engine)
	}
	if _, ok := t.explained[c.engine]; ok {
		return
	}
	t.makeRoom(now, len(parts)+len(requests))
	for _, part := range parts {
		t.suspect(part, c)
	}
	for _, r := range requests {
		t.suspect(r.Fingerprint, crash{engine: c.engine, at: c.at, sentAt: r.At, broken: c.broken})
	}
}

// RecordBroken records that an engine has broken a request off at a time before it answered, though
// it may not have ended, to be told to the others.
func (t *Tracker) RecordBroken(now, at time.Time, engine uint64, r Sent) {
	c := crash{engine: engine, at: at, broken: true}
	t.outbox.crash(c, nil, []Sent{r})
	t.applyCrash(now, c, nil, []Sent{r})
}

// makeRoom forgets suspects of one crash when there is no room for n more.
func (t *Tracker) makeRoom(now time.Time, n int) {
	if len(t.suspects)+n <= maxSuspects {
		return
	}
	for part, list := range t.suspects {
		if len(list) == 1 && now.Sub(list[0].at) > crowdedTime {
			delete(t.suspects, part)
		}
	}
}

// extend puts the next trial of a quarantined part off after a crash, which was a trial if one
// was due, and reports whether the part is quarantined.
func (t *Tracker) extend(now time.Time, part uint64) bool {
	e := t.entries[part]
	if e != nil {
		e.extend(now)
	}
	return e != nil
}

// extend puts the next trial off after a crash, which was a trial if one was due.
func (e *entry) extend(now time.Time) {
	if !now.Before(e.nextTrial) {
		e.trials++
	}
	e.nextTrial = now.Add(e.interval())
}

func (e *entry) interval() time.Duration {
	wait := firstTrial
	for range e.trials {
		wait = min(2*wait, maxTrial)
	}
	return wait
}

// explain records that a quarantined part has crashed an engine, which then counts for no
// other part.
func (t *Tracker) explain(now time.Time, engine uint64) {
	t.explained[engine] = now
	for part, list := range t.suspects {
		list = slices.DeleteFunc(list, func(c crash) bool { return c.engine == engine })
		if len(list) == 0 {
			delete(t.suspects, part)
			continue
		}
		t.suspects[part] = list
	}
}

func (t *Tracker) suspect(part uint64, c crash) {
	list := t.suspects[part]
	if list == nil && len(t.suspects) >= maxSuspects {
		return
	}
	if slices.ContainsFunc(list, c.isKnown) {
		return
	}
	if !c.broken {
		// These were the same end.
		list = slices.DeleteFunc(list, func(known crash) bool { return known.engine == c.engine })
	}
	before := isSuspected(list)
	list = append(list, c)
	slices.SortFunc(list, func(a, b crash) int { return a.at.Compare(b.at) })
	t.suspects[part] = list
	if !before && isSuspected(list) {
		t.changes = append(t.changes, Change{Part: part, Request: true, Suspected: true, Crashes: len(list)})
	}
}

// isSuspected reports whether the crashes are those of a request that may end more servers at
// once before it is proven to crash them.
func isSuspected(list []crash) bool {
	return len(list) >= suspectServers && !list[0].sentAt.IsZero() && servers(list) >= suspectServers
}

// servers returns the number of servers that ended.
func servers(list []crash) int {
	distinct := make(map[uint64]bool, len(list))
	for _, c := range list {
		distinct[c.engine] = true
	}
	return len(distinct)
}

// separate returns the crashes that count, each a while after the one before; with broken also
// those of which nothing shows that the engine has ended.
func separate(list []crash, broken bool) []crash {
	var counted []crash
	for _, c := range list {
		if c.broken && !broken {
			continue
		}
		if n := len(counted); n == 0 || c.follows(counted[n-1]) {
			counted = append(counted, c)
		}
	}
	return counted
}

// RecordServed records that an engine has answered a request with the parts whole. It
// reports whether the others have to know of it.
func (t *Tracker) RecordServed(now time.Time, parts []uint64) (announced bool) {
	for _, part := range parts {
		if t.clear(now, part, false) {
			t.outbox.sound(part)
			announced = true
		}
	}
	return announced
}

// clear forgets the crashes under a part, and reports whether there were any.
func (t *Tracker) clear(now time.Time, part uint64, received bool) bool {
	list, suspected := t.suspects[part]
	delete(t.suspects, part)
	e := t.entries[part]
	if e == nil {
		if isSuspected(list) {
			t.changes = append(t.changes, Change{Part: part, Request: true, Received: received})
		}
		return suspected
	}
	delete(t.entries, part)
	t.sound[part] = now
	t.changes = append(t.changes, Change{Part: part, Request: e.request, Received: received})
	return true
}

// Update forgets what is old and quarantines the parts that are to blame, and returns the
// changes since the last call.
func (t *Tracker) Update(now time.Time) []Change {
	t.forget(now)
	// A request explains its crashes before its parts are blamed, which others may share.
	t.blame(now, t.guilty(now, true), true)
	t.blame(now, t.guilty(now, false), false)
	changes := t.changes
	t.changes = nil
	return changes
}

// guilty returns the requests, or the parts of prompts, that are to blame.
func (t *Tracker) guilty(now time.Time, requests bool) []uint64 {
	var guilty []uint64
	for part, list := range t.suspects {
		if isRequest := !list[0].sentAt.IsZero(); isRequest != requests {
			continue
		}
		at, ok := provenAt(list)
		if ok && now.Sub(at) >= settleTime && len(t.entries)+len(guilty) < maxEntries {
			guilty = append(guilty, part)
		}
	}
	slices.Sort(guilty)
	return guilty
}

// provenAt returns the time of the crash that proves a part guilty.
func provenAt(list []crash) (time.Time, bool) {
	if counted := separate(list, false); len(counted) >= minCrashes {
		return counted[minCrashes-1].at, true
	}
	counted := separate(list, true)
	if len(counted) < minBroken || servers(counted) < minBrokenServers {
		return time.Time{}, false
	}
	return counted[len(counted)-1].at, true
}

// blame quarantines parts, which explains the crashes under them.
func (t *Tracker) blame(now time.Time, guilty []uint64, requests bool) {
	var engines []crash
	for _, part := range guilty {
		list := t.suspects[part]
		engines = append(engines, list...)
		t.entries[part] = &entry{request: requests, since: now, lastAsked: now, nextTrial: now.Add(firstTrial)}
		t.changes = append(t.changes, Change{Part: part, Request: requests, Quarantined: true, Crashes: len(list)})
		delete(t.suspects, part)
	}
	for _, c := range engines {
		if !c.broken {
			t.explain(now, c.engine)
		}
	}
	t.outbox.entriesChanged = t.outbox.entriesChanged || len(guilty) > 0
}

func (t *Tracker) forget(now time.Time) {
	for part, list := range t.suspects {
		if now.Sub(list[len(list)-1].at) > suspicionTime {
			delete(t.suspects, part)
		}
	}
	for part, e := range t.entries {
		if now.Sub(e.lastAsked) > forgetTime {
			delete(t.entries, part)
			t.changes = append(t.changes, Change{Part: part, Request: e.request})
		}
	}
	for _, times := range []map[uint64]time.Time{t.explained, t.sound, t.suspectTrials} {
		for key, at := range times {
			if now.Sub(at) > suspicionTime {
				delete(times, key)
			}
		}
	}
}

// Check decides whether a request with the parts may be sent. turn returns how many routers
// come before this one when a part is to be tried.
func (t *Tracker) Check(now time.Time, parts []uint64, turn func() int) Verdict {
	v := Verdict{}
	for _, part := range parts {
		if e := t.entries[part]; e != nil {
			e.lastAsked = now
			tried := !now.Before(e.nextTrial) && !now.Before(e.nextTrial.Add(time.Duration(turn())*trialStep))
			v.add(Verdict{Trial: tried, Refused: !tried, Part: part, Request: e.request, RetryAfter: max(e.nextTrial.Sub(now), 0)})
		} else if list := t.suspects[part]; isSuspected(list) {
			tried := t.suspectDue(now, part, list, turn)
			v.add(Verdict{Trial: tried, Refused: !tried, Part: part, Request: true, Suspected: true, RetryAfter: SuspectTrialTime})
		}
	}
	if v.Trial {
		t.beginTrial(now, parts)
	}
	return v
}

// add takes the verdict on one more part into account: one refusal is enough, and the
// longest wait counts.
func (v *Verdict) add(part Verdict) {
	if v.Refused && (!part.Refused || part.RetryAfter <= v.RetryAfter) {
		return
	}
	*v = part
}

// suspectDue reports whether this router may send a suspected request now.
func (t *Tracker) suspectDue(now time.Time, part uint64, list []crash, turn func() int) bool {
	if now.Sub(t.suspectTrials[part]) < SuspectTrialTime {
		return false
	}
	last := list[len(list)-1].at
	return !now.Before(last.Add(time.Duration(turn()) * trialStep))
}

// beginTrial puts off the next trial of the parts, whatever becomes of this one.
func (t *Tracker) beginTrial(now time.Time, parts []uint64) {
	for _, part := range parts {
		if e := t.entries[part]; e != nil {
			e.nextTrial = now.Add(e.interval())
		} else if isSuspected(t.suspects[part]) {
			t.suspectTrials[part] = now
		}
	}
}

// Doubtful reports whether a request with the parts that an engine has broken off, and may
// have ended under, should not be sent to another one.
func (t *Tracker) Doubtful(parts []uint64) bool {
	return slices.ContainsFunc(parts, func(part uint64) bool {
		list := t.suspects[part]
		return len(separate(list, false)) >= doubtCrashes || len(separate(list, true)) >= doubtBroken
	})
}

// Quarantined reports whether one of the parts is quarantined.
func (t *Tracker) Quarantined(parts []uint64) bool {
	return slices.ContainsFunc(parts, func(part uint64) bool { return t.entries[part] != nil })
}

// Parts returns the quarantined parts, in order.
func (t *Tracker) Parts() []uint64 {
	parts := make([]uint64, 0, len(t.entries))
	for part := range t.entries {
		parts = append(parts, part)
	}
	slices.SortFunc(parts, cmp.Compare)
	return parts
}
