package quarantine

import (
	"slices"
	"testing"
	"time"
)

var start = time.Unix(1_000_000, 0)

// at returns a time after the start of a test.
func at(d time.Duration) time.Time { return start.Add(d) }

// first and fourth are the turns of routers.
func first() int { return 0 }

func fourth() int { return 3 }

// crashed returns a tracker after crashes of different engines at times, each under the parts.
func crashed(parts []uint64, times ...time.Duration) *Tracker {
	t := New()
	for i, d := range times {
		t.RecordCrash(at(d), at(d), uint64(100+i), parts, nil)
	}
	return t
}

// quarantined returns the parts that are quarantined at a time.
func quarantined(t *Tracker, d time.Duration) []uint64 {
	t.Update(at(d))
	return t.Parts()
}

func expectParts(t *testing.T, got []uint64, want ...uint64) {
	t.Helper()
	if !slices.Equal(got, want) {
		t.Errorf("parts %v are quarantined, want %v", got, want)
	}
}

// Guards against a part that goes on to crash engines, and against one that is blamed
// before the reports of the other routers can have arrived.
func TestPartIsBlamedAfterSeparateCrashes(t *testing.T) {
	expectParts(t, quarantined(crashed([]uint64{7}, 0, time.Second), 3*time.Second))
	tr := crashed([]uint64{7}, 0, time.Second, 2*time.Second)
	expectParts(t, quarantined(tr, 2*time.Second+settleTime-1))
	expectParts(t, quarantined(tr, 2*time.Second+settleTime), 7)
	if v := tr.Check(at(3*time.Second), []uint64{5, 7}, first); !v.Refused || v.Part != 7 || v.RetryAfter <= 0 {
		t.Errorf("verdict %+v on a request with the part, want a refusal", v)
	}
	if v := tr.Check(at(3*time.Second), []uint64{5}, first); v.Refused {
		t.Errorf("verdict %+v on a request without it", v)
	}
}

// Guards against sound parts that are refused because they were there each time: the first
// part of many prompts always is.
func TestPartThatIsServedElsewhereIsNotBlamed(t *testing.T) {
	tr := New()
	for i := range 10 {
		d := time.Duration(i) * time.Second
		tr.RecordCrash(at(d), at(d), uint64(100+i), []uint64{1, 7}, nil)
		tr.RecordServed(at(d+50*time.Millisecond), []uint64{1, 8})
	}
	expectParts(t, quarantined(tr, 10*time.Second), 7)
}

// Guards against a rack or a data centre that goes down and takes the parts that were there
// with it, and against the same engine counted again.
func TestEnginesThatEndTogetherCountOnce(t *testing.T) {
	expectParts(t, quarantined(crashed([]uint64{7}, 0, 50*time.Millisecond, 100*time.Millisecond, 150*time.Millisecond), time.Second))
	tr := New()
	for i := range 5 {
		d := time.Duration(i) * time.Second
		tr.RecordCrash(at(d), at(d), 100, []uint64{7}, nil)
	}
	expectParts(t, quarantined(tr, 6*time.Second))
}

// Guards against rare parts that are blamed for crashes which a known part has caused.
func TestExplainedCrashesCountForNoOtherPart(t *testing.T) {
	tr := crashed([]uint64{7}, 0, time.Second, 2*time.Second)
	tr.RecordCrash(at(2*time.Second), at(2*time.Second), 101, []uint64{9}, nil)
	tr.RecordCrash(at(2*time.Second), at(2*time.Second), 102, []uint64{9}, nil)
	tr.Update(at(3 * time.Second))
	for i := range 3 {
		d := time.Duration(4+i) * time.Second
		tr.RecordCrash(at(d), at(d), uint64(200+i), []uint64{9, 7}, nil)
		tr.RecordCrash(at(d), at(d), uint64(200+i), []uint64{9}, nil)
	}
	expectParts(t, quarantined(tr, 10*time.Second), 7)
	if tr.Doubtful([]uint64{9}) {
		t.Error("a part that was there is doubtful")
	}
}

// Guards against crashes that count for good: three in a week are chance.
func TestOldCrashesDoNotCount(t *testing.T) {
	tr := crashed([]uint64{7}, 0, time.Second)
	tr.Update(at(time.Second + suspicionTime + 1))
	d := time.Second + suspicionTime + 2
	tr.RecordCrash(at(d), at(d), 300, []uint64{7}, nil)
	expectParts(t, quarantined(tr, d+time.Second))
}

// Guards against a request that ends two engines because it is repeated.
func TestRequestWithASuspectedPartIsDoubtful(t *testing.T) {
	if crashed([]uint64{7}, 0).Doubtful([]uint64{7}) {
		t.Error("doubtful after one crash")
	}
	if crashed([]uint64{7}, 0, 50*time.Millisecond).Doubtful([]uint64{7}) {
		t.Error("doubtful after two engines that ended together")
	}
	if !crashed([]uint64{7}, 0, time.Second).Doubtful([]uint64{1, 7}) {
		t.Error("not doubtful after two crashes")
	}
}

// Guards against more than one trial in a period, against trials by all routers, and
// against a part that is tried as often when it still crashes engines.
func TestTrialsAreRare(t *testing.T) {
	tr := crashed([]uint64{7}, 0, time.Second, 2*time.Second)
	tr.Update(start.Add(3 * time.Second))
	due := 3*time.Second + firstTrial
	if v := tr.Check(at(due-1), []uint64{7}, first); v.Trial {
		t.Error("a trial before its time")
	}
	if v := tr.Check(at(due), []uint64{7}, fourth); v.Trial || !v.Refused {
		t.Errorf("verdict %+v at a router whose turn has not come", v)
	}
	if v := tr.Check(at(due), []uint64{7}, first); !v.Trial || v.Refused {
		t.Errorf("verdict %+v when a trial is due", v)
	}
	if v := tr.Check(at(due+time.Second), []uint64{7}, first); v.Trial {
		t.Error("a second trial before the first has ended")
	}
	late := due + firstTrial
	tr.RecordCrash(at(late), at(late), 300, []uint64{7}, nil)
	if v := tr.Check(at(late+firstTrial), []uint64{7}, first); !v.Refused {
		t.Errorf("verdict %+v; a trial that crashes an engine must put the next one off", v)
	}
	if v := tr.Check(at(late+2*firstTrial+3*trialStep-1), []uint64{7}, fourth); v.Trial {
		t.Error("a trial of a router whose turn has not come")
	}
	if v := tr.Check(at(late+2*firstTrial+3*trialStep), []uint64{7}, fourth); !v.Trial {
		t.Errorf("verdict %+v after twice the time, when the first routers got no request with the part", v)
	}
}

// Guards against a part that is refused for good although engines serve it again.
func TestServedPartIsReleasedEverywhere(t *testing.T) {
	a, b := crashed([]uint64{7}, 0, time.Second, 2*time.Second), New()
	a.Update(at(3 * time.Second))
	b.Apply(at(3*time.Second), a.Take(at(3*time.Second), true))
	expectParts(t, b.Parts(), 7)
	stale := a.Entries(at(4 * time.Second))
	if !a.RecordServed(at(4*time.Second), []uint64{7}) {
		t.Error("the others are not told")
	}
	b.Apply(at(4*time.Second), a.Take(at(4*time.Second), false))
	expectParts(t, a.Parts())
	expectParts(t, b.Parts())
	// A router that has missed the release tells the old belief, and is told again.
	b.Apply(at(5*time.Second), Report{Entries: []Entry{{Part: 7, Age: 2 * time.Second, NextTrial: time.Minute}}})
	expectParts(t, b.Parts())
	if r := b.Take(at(5*time.Second), false); !slices.Equal(r.Sound, []uint64{7}) {
		t.Errorf("a router with an old belief is told %+v, want that the part is sound", r)
	}
	if len(stale) != 1 || stale[0].Part != 7 {
		t.Errorf("entries %+v", stale)
	}
}

// Guards against routers that learn only from the crashes that they have seen: none sees more
// than a few. Reports are told twice, since datagrams are lost.
func TestCrashesOfAllRoutersCount(t *testing.T) {
	routers := []*Tracker{New(), New(), New()}
	for i, r := range routers {
		d := time.Duration(i) * time.Second
		r.RecordCrash(at(d), at(d), uint64(100+i), []uint64{1, 7}, nil)
		for n := range 2 {
			report := r.Take(at(d+time.Duration(n)*resendInterval), false)
			if again := r.Take(at(d+time.Duration(n)*resendInterval+1), false); !again.Empty() {
				t.Errorf("told again at once: %+v", again)
			}
			if len(report.Crashes) != 1 {
				t.Fatalf("report %+v, want the crash", report)
			}
			for j, other := range routers {
				// The second router gets the second report only.
				if j != i && (j != 1 || n == 1) {
					other.Apply(at(d+time.Duration(n)*resendInterval), report)
				}
			}
		}
		if report := r.Take(at(d+time.Second), false); !report.Empty() {
			t.Errorf("a third report: %+v", report)
		}
	}
	routers[0].RecordServed(at(2500*time.Millisecond), []uint64{1})
	sound := routers[0].Take(at(2500*time.Millisecond), false)
	for _, r := range routers {
		r.Apply(at(2500*time.Millisecond), sound)
		expectParts(t, quarantined(r, 3*time.Second), 7)
	}
}

// Guards against a part that is remembered for good, and passed on among the routers.
func TestPartThatNobodyAsksForIsForgotten(t *testing.T) {
	a := crashed([]uint64{7}, 0, time.Second, 2*time.Second)
	a.Update(at(3 * time.Second))
	expectParts(t, quarantined(a, 3*time.Second+forgetTime), 7)
	b := New()
	b.Apply(at(3*time.Second+forgetTime+time.Minute), a.Take(at(3*time.Second+forgetTime+time.Minute), true))
	expectParts(t, b.Parts())
	expectParts(t, quarantined(a, 3*time.Second+forgetTime+time.Minute))
}
