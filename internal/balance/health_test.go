package balance

import (
	"testing"
	"time"
)

// ejectedFor returns how long a server gets no requests, in steps of 10 ms.
func ejectedFor(h *health, now time.Time) time.Duration {
	for d := time.Duration(0); ; d += 10 * time.Millisecond {
		if !h.ejected(now.Add(d), 0) {
			return d
		}
	}
}

// Guards against a server that is down and is tried too often, never again, or with long
// pauses after it has come back.
func TestPauseOfAnUnreachableServerDoubles(t *testing.T) {
	var h health
	for i, want := range []time.Duration{250, 500, 1000, 2000, 2000} {
		h.end(start, Unreachable, true)
		if got := ejectedFor(&h, start); got != want*time.Millisecond {
			t.Errorf("pause %v after refused connection %d, want %v", got, i+1, want*time.Millisecond)
		}
	}
	for name, good := range map[string]func(){
		"a served request": func() { h.end(start, Served, true) },
		"data":             func() { h.recordProgress(start) },
	} {
		for range 3 {
			h.end(start, Unreachable, true)
		}
		good()
		h.end(start, Unreachable, true)
		if got := ejectedFor(&h, start); got != minUnreachablePause {
			t.Errorf("pause %v after %s and a refused connection, want %v", got, name, minUnreachablePause)
		}
	}
	var refusing health
	refusing.end(start, Refused, true)
	if got := ejectedFor(&refusing, start); got != 100*time.Millisecond {
		t.Errorf("pause %v after a refused request, want 100 ms", got)
	}
}

// Guards against ejections without an end, and against a server that is ejected for long
// although its last ejection is long ago.
func TestEjectionsHaveALongestLength(t *testing.T) {
	var h health
	now := start
	for i, want := range []time.Duration{2, 4, 8, 8} {
		h.eject(now)
		if got := ejectedFor(&h, now); got != want*time.Second {
			t.Errorf("ejection %d lasts %v, want %v", i+1, got, want*time.Second)
		}
		now = h.ejectedUntil
	}
	now = now.Add(time.Minute)
	h.eject(now)
	if got := ejectedFor(&h, now); got != 2*time.Second {
		t.Errorf("ejection %v a minute after the last, want 2 s", got)
	}
}

// Guards against ejections for few failures, for failures among many successes, or for those
// of long ago.
func TestFailuresThatEject(t *testing.T) {
	for name, c := range map[string]struct {
		outcomes string
		want     bool
	}{
		"two failures":           {"ff", false},
		"three failures":         {"fff", true},
		"a quarter":              {"sssssssssfff", true},
		"less than a quarter":    {"ssssssssssfff", false},
		"failures of long ago":   {"ffssssssssssssssssff", false},
		"after an ejection":      {"fffff", false},
		"three after an ejected": {"ffffff", true},
	} {
		var h health
		ejected := false
		for _, o := range c.outcomes {
			outcome := Served
			if o == 'f' {
				outcome = Failed
			}
			ejected = h.end(start, outcome, true)
		}
		if ejected != c.want {
			t.Errorf("%s: the last outcome ejects %v, want %v", name, ejected, c.want)
		}
	}
}

// Guards against silence that a further request hides, and against short prompts that excuse
// it.
func TestSilenceLastsUntilTheServerSends(t *testing.T) {
	var h health
	h.begin(start, 1, start)
	late := start.Add(silenceLimit + 1)
	h.begin(late, 2, late)
	if !h.silent(late, 2) {
		t.Error("a second request hides the silence of a server")
	}
	h.recordProgress(late)
	if h.silent(late.Add(silenceLimit), 2) {
		t.Error("a server that has sent data is silent")
	}
	idle := late.Add(time.Hour)
	if h.silent(idle, 0) {
		t.Error("a server without requests is silent")
	}
	h.begin(idle, 1, idle.Add(minLongReading-1))
	if !h.silent(idle.Add(silenceLimit+1), 1) {
		t.Error("a short prompt excuses silence")
	}
	h.begin(idle, 1, idle.Add(minLongReading))
	if h.silent(idle.Add(silenceLimit+minLongReading), 1) {
		t.Error("a long prompt does not excuse silence")
	}
}

// Guards against a server that fails requests which others serve and is not ejected, and
// against one that is ejected longer for the same failures.
func TestConfirmedAndSharedFailuresEjectOnce(t *testing.T) {
	p := pool(9)
	bad := p.members[0]
	ejected := false
	for range minFailures {
		ejected = p.ConfirmFailure(start, bad.server.Key())
	}
	if !ejected {
		t.Errorf("%d confirmed failures eject no server", minFailures)
	}
	p = pool(9)
	failing := func(server uint64) (failed, ended int) {
		if server == p.members[0].hash {
			return 5, 5
		}
		return 0, 5
	}
	first, again := p.EjectFailing(start, failing), p.EjectFailing(start, failing)
	if len(first) != 1 || len(again) != 0 {
		t.Errorf("ejected %d and then %d servers, want the failing one once", len(first), len(again))
	}
}

// Guards against a request that goes from one unreachable server to the next, although others
// answer.
func TestRequestThatMeetsUnreachableServersGoesToTheOneLastHeard(t *testing.T) {
	p := pool(12)
	for i, m := range p.members[:3] {
		p.RecordProgress(start.Add(time.Duration(i)*time.Second), m.server.Key())
	}
	now := start.Add(time.Minute)
	job := large(1)
	if got := pick(t, p, now, job); got.Reason == ReasonLastHeard {
		t.Error("a request that has met no unreachable server goes to the one last heard")
	}
	job.Unreachable = manyUnreachable
	if got := pick(t, p, now, job); got.Server != p.members[2].server || got.Reason != ReasonLastHeard {
		t.Errorf("server %s, reason %s; want the one last heard, %s", got.Server.ID, got.Reason, p.members[2].server.ID)
	}
	p.End(now, p.members[2].server.Key(), Unreachable)
	later := now.Add(maxUnreachablePause)
	if got := pick(t, p, later, job); got.Server != p.members[1].server {
		t.Errorf("server %s, want %s: the one last heard could not be reached since", got.Server.ID, p.members[1].server.ID)
	}
	for range 40 {
		p.Begin(later, at(p.members[1]), Job{})
		p.RecordProgress(later, p.members[1].server.Key())
	}
	if got := pick(t, p, later, job); got.Server != p.members[0].server {
		t.Errorf("server %s, want %s: the one last heard is at the bound of its load", got.Server.ID, p.members[0].server.ID)
	}
}
