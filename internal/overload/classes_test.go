package overload_test

import (
	"testing"
	"time"
)

// Requests of two routes: interactive ones, which are the most urgent, and others that may wait.
var (
	interactive = request{group: "interactive", workspace: "a", route: "fast", objective: 500 * time.Millisecond, work: simWork}
	patient     = request{group: "patient", workspace: "b", route: "slow", priority: 2, objective: 2 * time.Second, work: simWork}
)

// longQueues lets the servers queue more than any request may wait, so that only the routers refuse.
func longQueues(load func(s *sim)) func(s *sim) {
	return func(s *sim) {
		s.queue = 200
		load(s)
	}
}

// Guards against requests that may wait for seconds and fill the queue with it, so that urgent ones, which accept
// less, are refused.
func TestPatientRequestsLeaveRoomForUrgentOnes(t *testing.T) {
	_, with := compare(t, 3, longQueues(func(s *sim) {
		s.sendLike(0, 14*time.Second, 60, interactive)
		s.sendLike(0, 14*time.Second, 90, patient)
		s.sendLike(4*time.Second, 14*time.Second, 400, patient)
	}))
	if got := with["interactive"].inTimeShare(); got < 0.95 {
		t.Errorf("%.2f of the interactive requests in time, want at least 0.95", got)
	}
	if got := with["patient"].inTimeShare(); got < 0.5 {
		t.Errorf("%.2f of the patient requests in time, want at least 0.5", got)
	}
}

// Guards against requests that may wait and are refused for good while urgent ones fill the pool.
func TestUrgentRequestsLeaveAShareToPatientOnes(t *testing.T) {
	_, with := compare(t, 3, longQueues(func(s *sim) {
		s.sendLike(0, 14*time.Second, 60, patient)
		s.sendLike(0, 14*time.Second, 90, interactive)
		s.sendLike(4*time.Second, 14*time.Second, 400, interactive)
	}))
	if got := with["patient"].inTimeShare(); got < 0.85 {
		t.Errorf("%.2f of the patient requests in time, want at least 0.85", got)
	}
	if got := with["interactive"].inTimeShare(); got < 0.5 {
		t.Errorf("%.2f of the interactive requests in time, want at least 0.5", got)
	}
}

// Guards against a longer objective that counts as a higher priority.
func TestLongerObjectiveIsNoPriority(t *testing.T) {
	_, with := compare(t, 3, longQueues(func(s *sim) {
		equal := patient
		equal.priority = interactive.priority
		s.sendLike(0, 14*time.Second, 60, interactive)
		s.sendLike(0, 14*time.Second, 90, equal)
		s.sendLike(4*time.Second, 14*time.Second, 400, equal)
	}))
	if a, b := with["interactive"].inTimeShare(), with["patient"].inTimeShare(); a < 0.8*b {
		t.Errorf("%.2f of the interactive and %.2f of the patient requests in time, want about the same", a, b)
	}
}

// Guards against waits that nobody else needs: requests with a long objective alone may wait.
func TestPatientRequestsWaitWhereNoOthersAre(t *testing.T) {
	burst := func(r request) map[string]*requestCounts {
		_, with := compare(t, 3, longQueues(func(s *sim) {
			s.sendLike(0, 8*time.Second, 150, r)
			s.sendLike(4*time.Second, 5*time.Second, 400, r)
		}))
		return with
	}
	if got := burst(patient)["patient"]; got.inTimeShare() < 0.98 {
		t.Errorf("%.2f of a burst of a second in time, want 0.98", got.inTimeShare())
	}
	if got := burst(interactive)["interactive"]; got.refusals == 0 {
		t.Error("no interactive request was refused in the same burst")
	}
}

// Guards against the largest tenth of requests being refused much more than the rest.
func TestLargeRequestsAreNotRefusedMore(t *testing.T) {
	_, with := compare(t, 3, func(s *sim) {
		large := interactive
		large.group, large.work = "large", 5*simWork
		for _, burst := range []float64{1, 2} {
			s.sendLike(0, 14*time.Second, 10*burst, large)
			s.sendLike(0, 14*time.Second, 90*burst, interactive)
		}
	})
	share := func(c *requestCounts) float64 { return float64(c.refused) / float64(c.sent) }
	if large, rest := share(with["large"]), share(with["interactive"]); large > 1.3*rest {
		t.Errorf("%.2f of the largest tenth refused, %.2f of the rest", large, rest)
	}
}

// Guards against a workspace that sends seven times its usual and makes those of others late or refused.
func TestSevenfoldSurgeStaysWithItsWorkspace(t *testing.T) {
	_, with := compare(t, 3, func(s *sim) {
		for _, w := range []string{"a", "b", "c", "d"} {
			others := interactive
			others.group, others.workspace = "others", w
			s.sendLike(0, 16*time.Second, 40, others)
		}
		surging := interactive
		surging.group, surging.workspace = "surging", "e"
		s.sendLike(0, 6*time.Second, 40, surging)
		s.sendLike(6*time.Second, 14*time.Second, 280, surging)
	})
	if got := with["others"].inTimeShare(); got < 0.97 {
		t.Errorf("%.2f of the other workspaces' requests in time, want at least 0.97", got)
	}
	if got := with["surging"].inTimeShare(); got < 0.4 {
		t.Errorf("%.2f of the surging workspace's requests in time, want at least 0.4", got)
	}
}

// Guards against callers that are refused in a burst, return together, and are refused again although the burst is over.
func TestReturningCallersAreServedAfterABurst(t *testing.T) {
	without, with := compare(t, 3, func(s *sim) {
		s.send(0, 4*time.Second, 150, "calm", "a", 2)
		for i := range 5 {
			from := time.Duration(4+2*i) * time.Second
			s.send(from, from+700*time.Millisecond, 700, "burst", "a", 2)
		}
	})
	got := with["burst"]
	if 5*got.refused > got.sent || got.refused > without["burst"].refused {
		t.Errorf("%d of %d refused in the end, want at most a fifth, and the %d of the servers' queues alone", got.refused, got.sent, without["burst"].refused)
	}
	if got.inTimeShare() < 0.5 {
		t.Errorf("%.2f in time, want at least 0.5", got.inTimeShare())
	}
}

// Guards against callers that return late, are admitted as if they came for the first time, and delay those that can still
// be in time.
func TestReturningCallersDoNotDelayOthers(t *testing.T) {
	_, with := compare(t, 3, func(s *sim) {
		s.send(0, 4*time.Second, 150, "calm", "a", 2)
		s.send(4*time.Second, 14*time.Second, 350, "burst", "a", 2)
	})
	if got := with["burst"]; 20*got.late > got.sent || got.inTimeShare() < 0.86 {
		t.Errorf("%d of %d late and %.2f in time, want at most a twentieth and at least 0.86", got.late, got.sent, got.inTimeShare())
	}
}
