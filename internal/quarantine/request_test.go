package quarantine

import (
	"testing"
	"time"
)

// crashUnder records that an engine ended 50 ms after it got a request.
func crashUnder(t *Tracker, engine uint64, sent time.Duration, fingerprint uint64, parts ...uint64) {
	end := at(sent + 50*time.Millisecond)
	t.RecordCrash(end, end, engine, parts, []Sent{{Fingerprint: fingerprint, At: at(sent)}})
}

// Guards against a request that is repeated and ends all servers of a pool within a moment,
// which looks like a rack that goes down.
func TestRequestSentOnAfterEachCrashIsBlamed(t *testing.T) {
	tr := New()
	for i := range 3 {
		crashUnder(tr, uint64(100+i), time.Duration(i)*60*time.Millisecond, 9)
	}
	expectParts(t, quarantined(tr, time.Second), 9)
	if v := tr.Check(at(time.Second), []uint64{5, 9}, first); !v.Refused || !v.Request || v.Part != 9 {
		t.Errorf("verdict %+v, want a refusal because of the request", v)
	}
}

// Guards against a popular request that is blamed when a rack goes down: all servers had it
// before the first of them ended.
func TestRequestAtServersThatEndTogetherIsNotBlamed(t *testing.T) {
	tr := New()
	for i := range 5 {
		end := at(100*time.Millisecond + time.Duration(i)*30*time.Millisecond)
		tr.RecordCrash(end, end, uint64(100+i), nil, []Sent{{Fingerprint: 9, At: start}})
	}
	expectParts(t, quarantined(tr, time.Second))
}

// endTogether records that servers ended at the same moment under a request.
func endTogether(t *Tracker, servers int, sent time.Duration, fingerprint uint64) {
	for i := range uint64(servers) {
		end := at(sent + 60*time.Millisecond)
		t.RecordCrash(end, end, uint64(sent)+i, []uint64{7}, []Sent{{Fingerprint: fingerprint, At: at(sent)}})
	}
}

// Guards against a request that many callers send at once and that ends as many servers again
// each time, and against a router that never takes over from one that gets no such request.
func TestRequestThatEndsServersTogetherIsSentOneAtATime(t *testing.T) {
	tr := New()
	endTogether(tr, suspectServers, 0, 9)
	second := func() int { return 1 }
	if v := tr.Check(at(time.Second), []uint64{9}, second); !v.Refused || !v.Suspected || v.RetryAfter != SuspectTrialTime {
		t.Errorf("verdict %+v of the second router, want a refusal for %v", v, SuspectTrialTime)
	}
	if v := tr.Check(at(time.Second), []uint64{9}, first); !v.Trial || v.Refused {
		t.Errorf("verdict %+v of the first router, want a trial", v)
	}
	if v := tr.Check(at(time.Second+SuspectTrialTime/2), []uint64{9}, first); !v.Refused {
		t.Errorf("verdict %+v beside a trial, want a refusal", v)
	}
	if v := tr.Check(at(time.Second+SuspectTrialTime), []uint64{9}, first); !v.Trial {
		t.Errorf("verdict %+v after a trial, want the next one", v)
	}
	if v := tr.Check(at(60*time.Millisecond+trialStep), []uint64{9}, second); !v.Trial {
		t.Errorf("verdict %+v of the second router after %v, want a trial", v, trialStep)
	}
	endTogether(tr, 1, 70*time.Second, 9)
	endTogether(tr, 1, 72*time.Second, 9)
	expectParts(t, quarantined(tr, 73*time.Second), 9)
}

// Guards against a popular request, or a part of a prompt, that is refused after a rack has gone down.
func TestSuspectedRequestIsFreeWhenItIsServed(t *testing.T) {
	tr := New()
	second := func() int { return 1 }
	endTogether(tr, 2, 0, 9)
	if v := tr.Check(at(time.Second), []uint64{7, 9}, second); v != (Verdict{}) {
		t.Errorf("verdict %+v after the end of two servers, want none", v)
	}
	endTogether(tr, suspectServers, time.Second, 9)
	if v := tr.Check(at(2*time.Second), []uint64{7}, second); v != (Verdict{}) {
		t.Errorf("verdict %+v on a part of a prompt, want none", v)
	}
	other := New()
	other.Apply(at(2*time.Second), tr.Take(at(2*time.Second), false))
	if got := other.Update(at(2 * time.Second)); len(got) != 1 || !got[0].Suspected {
		t.Errorf("changes %+v at another router, want a suspected request", got)
	}
	tr.RecordServed(at(2*time.Second), []uint64{9})
	other.Apply(at(2*time.Second), tr.Take(at(2*time.Second), false))
	for _, router := range []*Tracker{tr, other} {
		if v := router.Check(at(2*time.Second), []uint64{9}, second); v != (Verdict{}) {
			t.Errorf("verdict %+v after the request was served, want none", v)
		}
	}
	if got := other.Update(at(2 * time.Second)); len(got) != 1 || got[0].Suspected || got[0].Quarantined {
		t.Errorf("changes %+v at another router, want the end of the suspicion", got)
	}
}

// Guards against parts of a prompt that are refused, also for other requests, when one request
// has crashed the engines.
func TestRequestIsBlamedBeforeItsParts(t *testing.T) {
	tr := New()
	for i := range 4 {
		crashUnder(tr, uint64(100+i), time.Duration(i)*time.Second, 9, 1, 7)
	}
	expectParts(t, quarantined(tr, 5*time.Second), 9)
	different := New()
	for i := range 4 {
		crashUnder(different, uint64(100+i), time.Duration(i)*time.Second, uint64(20+i), 7)
	}
	expectParts(t, quarantined(different, 5*time.Second), 7)
}

// Guards against suspects that were there by chance and leave no room for those that come
// again.
func TestOldSuspectsMakeRoom(t *testing.T) {
	tr := New()
	for i := range uint64(maxSuspects) {
		tr.RecordCrash(start, start, 1000+i/50, nil, []Sent{{Fingerprint: 1000 + i, At: start}})
	}
	later := crowdedTime + time.Second
	for i := range 3 {
		crashUnder(tr, uint64(100+i), later+time.Duration(i)*time.Second, 9)
	}
	expectParts(t, quarantined(tr, later+4*time.Second), 9)
}

// Guards against a router that learns of a quarantined request and takes it for a part, and
// against crashes whose times are lost on the way.
func TestRequestsAreReportedToTheOthers(t *testing.T) {
	a, b := New(), New()
	for i := range 3 {
		crashUnder(a, uint64(100+i), time.Duration(i)*60*time.Millisecond, 9)
	}
	b.Apply(at(200*time.Millisecond), a.Take(at(200*time.Millisecond), false))
	expectParts(t, quarantined(b, time.Second), 9)
	expectParts(t, quarantined(a, time.Second), 9)
	c := New()
	c.Apply(at(time.Second), a.Take(at(time.Second), true))
	if v := c.Check(at(time.Second), []uint64{9}, first); !v.Refused || !v.Request {
		t.Errorf("verdict %+v of a router that was told", v)
	}
}

// brokenOff records that servers broke a request off, one a second in turn.
func brokenOff(t *Tracker, n, servers int, fingerprint uint64) {
	for i := range n {
		d := time.Duration(i) * time.Second
		t.RecordBroken(at(d), at(d), uint64(100+i%servers), Sent{Fingerprint: fingerprint, At: at(d - 50*time.Millisecond)})
	}
}

// Guards against a request that crashes servers which seem to go on, and against one that is blamed
// for a single server that breaks off, or too soon.
func TestRequestThatServersBreakOffIsBlamedLater(t *testing.T) {
	for _, c := range []struct {
		times, servers int
		blamed         bool
	}{{minBroken, 4, true}, {minBroken, minBrokenServers, true}, {minBroken - 1, 4, false}, {20, 1, false}} {
		tr := New()
		brokenOff(tr, c.times, c.servers, 9)
		var want []uint64
		if c.blamed {
			want = []uint64{9}
		}
		expectParts(t, quarantined(tr, time.Minute), want...)
	}
}

// Guards against a sound request that some servers break off and others answer.
func TestRequestThatIsAnsweredInBetweenIsNotBlamed(t *testing.T) {
	tr := New()
	brokenOff(tr, minBroken-1, 4, 9)
	tr.RecordServed(at(10*time.Second), []uint64{9})
	brokenOff(tr, minBroken-1, 4, 9)
	expectParts(t, quarantined(tr, time.Minute))
}

// Guards against a request that goes on to a further server within its attempt, and against an end
// that counts twice because it is confirmed after it was reported.
func TestRequestThatWasBrokenOffOftenIsDoubtful(t *testing.T) {
	tr := New()
	brokenOff(tr, doubtBroken-1, 4, 9)
	if tr.Doubtful([]uint64{9}) {
		t.Error("doubtful too soon")
	}
	tr.RecordCrash(at(time.Second), at(time.Second), 101, nil, []Sent{{Fingerprint: 9, At: at(950 * time.Millisecond)}})
	if n := len(tr.suspects[9]); n != doubtBroken-1 || tr.Doubtful([]uint64{9}) {
		t.Errorf("%d crashes count after one of them was confirmed", n)
	}
	tr.RecordBroken(at(time.Second), at(time.Second), 101, Sent{Fingerprint: 9, At: at(950 * time.Millisecond)})
	if n := len(tr.suspects[9]); n != doubtBroken-1 {
		t.Errorf("%d crashes count after a confirmed one was told as broken", n)
	}
	brokenOff(tr, doubtBroken, 4, 9)
	if !tr.Doubtful([]uint64{9}) {
		t.Error("not doubtful")
	}
}

// Guards against a server that goes on and whose later crash under another request counts for none.
func TestBrokenRequestExplainsNoCrash(t *testing.T) {
	tr := New()
	brokenOff(tr, minBroken, 2, 9)
	expectParts(t, quarantined(tr, time.Minute), 9)
	for i := range 3 {
		d := time.Minute + time.Duration(i)*time.Second
		tr.RecordCrash(at(d), at(d), uint64(100+i), []uint64{7}, nil)
	}
	expectParts(t, quarantined(tr, 2*time.Minute), 7, 9)
}
