package balance

import (
	"testing"
	"time"
)

// timedEngines returns a pool of engines that say how long work takes.
func timedEngines(n int) *Pool {
	p := pool(n)
	for _, m := range p.members {
		say(p, start, m, 0, 1)
	}
	return p
}

// Guards against homes that are given up for a short wait, and against holders that keep requests although
// another engine would have read the prefix sooner.
func TestHolderIsPassedOverForALongWaitOnly(t *testing.T) {
	job := large(1)
	job.Objective = 800 * time.Millisecond
	for wait, want := range map[time.Duration]Reason{
		0: ReasonCached, 150 * time.Millisecond: ReasonCached, 400 * time.Millisecond: ReasonCached, 900 * time.Millisecond: ReasonSpill,
	} {
		p := timedEngines(9)
		c := pick(t, p, start, job)
		p.Begin(start, c, job)
		p.End(start, c.Server.Key(), Served)
		now := start.Add(time.Second)
		p.byKey[c.Server.Key()].readUntil = now.Add(wait)
		if got := pick(t, p, now, job); got.Reason != want {
			t.Errorf("wait of %v: %s, want %s", wait, got.Reason, want)
		}
		// A holder that takes 2.5 times as long has 2.5 times the wait.
		say(p, now, p.byKey[c.Server.Key()], 0, 2.5)
		if got := pick(t, p, now, job); wait == 400*time.Millisecond && got.Reason != ReasonSpill {
			t.Errorf("wait of %v at a slow holder: %s, want %s", wait, got.Reason, ReasonSpill)
		}
	}
}

// Guards against a small prefix that moves with each short wait, so that it is read everywhere.
func TestSmallPrefixStaysForAShortWait(t *testing.T) {
	job := Job{Prefixes: []Prefix{{Hash: prefix(1), Tokens: 1000}}, PromptTokens: 1100, Objective: 800 * time.Millisecond}
	for wait, want := range map[time.Duration]Reason{150 * time.Millisecond: ReasonCached, 250 * time.Millisecond: ReasonSpill} {
		p := timedEngines(9)
		c := pick(t, p, start, job)
		p.Begin(start, c, job)
		p.End(start, c.Server.Key(), Served)
		now := start.Add(time.Second)
		p.byKey[c.Server.Key()].readUntil = now.Add(wait)
		if got := pick(t, p, now, job); got.Reason != want {
			t.Errorf("wait of %v: %s, want %s", wait, got.Reason, want)
		}
	}
}

// Guards against a new home that depends on small differences, about which routers disagree, and against one at
// which the prompt would be read far too late.
func TestHomesDependOnLargeDifferencesOnly(t *testing.T) {
	job := large(1)
	job.Objective = 800 * time.Millisecond
	home := pick(t, pool(9), start, job).Server.ID
	p := timedEngines(9)
	for i, m := range p.members {
		say(p, start, m, 0, 1+0.3*float64(i%2))
	}
	if got := pick(t, p, start, job).Server.ID; got != home {
		t.Errorf("home %s, want %s whatever the usual speeds", got, home)
	}
	for _, m := range p.members {
		if m.server.ID == home {
			say(p, start, m, 0, 2.5)
		}
	}
	if got := pick(t, p, start, job).Server.ID; got == home {
		t.Errorf("home is an engine that reads the prompt in half a second, the others in 0.2 s")
	}
}
