package overload

import (
	"fmt"
	"testing"
	"time"
)

var now = time.Unix(1000, 0)

// fullPool is the load of a pool whose requests wait.
var fullPool = Load{Own: 20, OwnAtReport: 20, Slots: 10}

// measured returns a controller of a pool whose requests take a second in a slot, and 10 ms
// to the first byte.
func measured() *Controller {
	c := New()
	for range 500 {
		c.Decide(now, Load{Slots: 10}, Request{Workspace: "w", Route: "r", CallerTimeout: 10 * time.Second})
		c.RecordAnswer(10*time.Millisecond, time.Second)
	}
	return c
}

func request() Request {
	return Request{Workspace: "w", Route: "r", Objective: time.Second, CallerTimeout: 10 * time.Second, Remaining: 10 * time.Second}
}

// Guards against refusals that nothing justifies, and against late requests that are admitted.
func TestOnlyAFullPoolRefuses(t *testing.T) {
	for name, c := range map[string]struct {
		change func(c **Controller, load *Load, r *Request)
		want   bool
	}{
		"full":               {func(**Controller, *Load, *Request) {}, false},
		"free slots":         {func(_ **Controller, l *Load, r *Request) { l.Own, r.Objective = 9, time.Nanosecond }, true},
		"unknown size":       {func(_ **Controller, l *Load, _ *Request) { l.Slots = 0 }, true},
		"few own requests":   {func(_ **Controller, l *Load, _ *Request) { l.Own, l.OwnAtReport, l.Others = 2, 2, 50 }, true},
		"some own requests":  {func(_ **Controller, l *Load, _ *Request) { l.Own, l.OwnAtReport, l.Others = 3, 3, 50 }, false},
		"no objective":       {func(_ **Controller, _ *Load, r *Request) { r.Objective = 0 }, true},
		"nothing measured":   {func(c **Controller, _ *Load, r *Request) { *c, r.Objective = New(), time.Nanosecond }, true},
		"long objective":     {func(_ **Controller, _ *Load, r *Request) { r.Objective = time.Minute }, true},
		"others' load alone": {func(_ **Controller, l *Load, _ *Request) { l.Own, l.OwnAtReport, l.Others = 5, 5, 15 }, false},
	} {
		controller, load, r := measured(), fullPool, request()
		c.change(&controller, &load, &r)
		if d := controller.Decide(now, load, r); d.Admitted != c.want {
			t.Errorf("%s: %+v, want admitted %v", name, d, c.want)
		}
	}
}

// Guards against requests to a pool of unknown size that spoil the times of a known one.
func TestUnknownSizeIsNoLoad(t *testing.T) {
	c := measured()
	c.Decide(now, Load{Own: 5, OwnAtReport: 5}, request())
	for range 500 {
		c.RecordAnswer(10*time.Millisecond, time.Second)
	}
	if got := c.Expected(fullPool); got < 900*time.Millisecond || got > 1100*time.Millisecond {
		t.Errorf("%v expected behind a queue of a second", got)
	}
}

// Guards against a wait that does not grow with the queue, and against one that counts the
// time in the slot.
func TestExpectedTimeIsThatOfTheQueue(t *testing.T) {
	c := measured()
	for own, want := range map[int]time.Duration{5: 10 * time.Millisecond, 10: 10 * time.Millisecond, 15: 510 * time.Millisecond, 20: 1010 * time.Millisecond} {
		if got := c.Expected(Load{Own: own, OwnAtReport: own, Slots: 10}); got < want-time.Millisecond || got > want+time.Millisecond {
			t.Errorf("%v expected with %d requests at 10 slots, want %v", got, own, want)
		}
	}
}

// Guards against a pool whose own queue makes it look slower, and against one slow answer
// that closes it.
func TestWaitForASlotIsNoTimeInIt(t *testing.T) {
	c := New()
	for range 500 {
		c.Decide(now, fullPool, Request{Workspace: "w"})
		// Of two seconds each request waits for one.
		c.RecordAnswer(1010*time.Millisecond, 2*time.Second)
	}
	if got := c.Expected(fullPool); got < 900*time.Millisecond || got > 1100*time.Millisecond {
		t.Errorf("%v expected behind a queue of a second", got)
	}
	before := c.Expected(fullPool)
	c.RecordAnswer(0, 20*time.Second)
	if c.responseTimes.firstByte < 0 {
		t.Errorf("%v s to the first byte after an answer that did not wait", c.responseTimes.firstByte)
	}
	if after := c.Expected(fullPool); after > 2*before {
		t.Errorf("%v expected after one slow answer, %v before", after, before)
	}
}

// Guards against routers that all wait for the next report while a queue runs empty, and
// against a single request that is taken for a trend.
func TestOthersFollowTheOwnTrend(t *testing.T) {
	if got := (Load{Own: 16, OwnAtReport: 36, Others: 100}).InFlight(); got != 66 {
		t.Errorf("%v requests after the own ones have halved, want 66", got)
	}
	if got := (Load{Own: 1, OwnAtReport: 0, Others: 100}).InFlight(); got > 130 {
		t.Errorf("%v requests after the first own one, want about 126", got)
	}
}

// Guards against urgent requests, usual workspaces and first attempts that are refused
// before others, and against requests that can never be admitted.
func TestBoundDependsOnWhoAsks(t *testing.T) {
	usual := measured().Decide(now, fullPool, request()).Bound
	if usual != 800*time.Millisecond {
		t.Fatalf("bound %v, want 0.8 of the objective", usual)
	}
	c := measured()
	less := request()
	less.Priority = 2
	// The priority 1 is not in use.
	if got := c.Decide(now, fullPool, less).Bound; got != 600*time.Millisecond {
		t.Errorf("bound %v below one more urgent priority, want 600 ms", got)
	}
	if got := c.Decide(now.Add(time.Hour), fullPool, less).Bound; got != 800*time.Millisecond {
		t.Errorf("bound %v when the urgent priority is no longer in use, want 800 ms", got)
	}
	for _, priority := range []int{-1, 1 << 20} {
		r := request()
		r.Priority = priority
		if d := measured().Decide(now, fullPool, r); d.Bound <= 0 {
			t.Errorf("%+v for the priority %d", d, priority)
		}
	}
	for _, spent := range []struct{ callers, own, want time.Duration }{
		{0, 150 * time.Millisecond, 650 * time.Millisecond},
		{200 * time.Millisecond, 0, 600 * time.Millisecond},
		{200 * time.Millisecond, 100 * time.Millisecond, 500 * time.Millisecond},
		// The objective is over: only a short wait of a fifth of it is accepted.
		{time.Second, 0, 210 * time.Millisecond},
	} {
		retry := request()
		retry.CallerTimeout -= spent.callers
		retry.Spent = spent.own
		d := measured().Decide(now, fullPool, retry)
		if d.Retrying != (spent.callers > 0) || d.Bound < spent.want-4*time.Millisecond || d.Bound > spent.want+4*time.Millisecond {
			t.Errorf("%+v for a caller that has spent %+v, want a bound of %v", d, spent, spent.want)
		}
	}
	c = measured()
	var d Decision
	surge := request()
	surge.Workspace = "surging"
	for range 30 {
		d = c.Decide(now, fullPool, surge)
	}
	if !d.Surging || d.Bound > 481*time.Millisecond || d.Bound < 479*time.Millisecond {
		t.Errorf("%+v for a workspace that surges, want 480 ms", d)
	}
	if d := c.Decide(now.Add(time.Minute), fullPool, surge); d.Surging {
		t.Errorf("%+v a minute after the surge", d)
	}
	slow := New()
	slow.Decide(now, Load{Slots: 10}, request())
	slow.RecordAnswer(10*time.Second, 10*time.Second)
	if d := slow.Decide(now, fullPool, request()); d.Bound < 10*time.Second {
		t.Errorf("bound %v where each first byte takes 10 s: nothing would be admitted", d.Bound)
	}
}

// Guards against a surge that is seen in a few requests, in a large workspace, or becomes
// usual because it has filled the pool.
func TestSurgeIsMoreThanUsual(t *testing.T) {
	s := newShares()
	for i := range 300 {
		at := now.Add(time.Duration(i) * 100 * time.Millisecond)
		s.recordRequest(at, "large", false)
		if s.recordRequest(at, "large", false) && i > 10 {
			t.Fatal("a workspace that is always large surges")
		}
	}
	at := now.Add(30 * time.Second)
	for i := range 3 {
		if s.recordRequest(at, "small", true) {
			t.Errorf("request %d of a small workspace is a surge", i+1)
		}
	}
	last := false
	for i := range 400 {
		last = s.recordRequest(at.Add(time.Duration(i)*10*time.Millisecond), "small", true)
	}
	if !last {
		t.Error("a workspace that fills the pool for four seconds is usual")
	}
}

// Guards against refused callers that return before the queue has shrunk, at once, or when
// their time is over.
func TestRetryAfterIsThatOfTheQueue(t *testing.T) {
	for _, c := range []struct {
		expected, bound, remaining, want time.Duration
	}{
		{3 * time.Second, time.Second, time.Minute, 2 * time.Second},
		{1010 * time.Millisecond, time.Second, time.Minute, 100 * time.Millisecond},
		{time.Minute, time.Second, 10 * time.Second, 2 * time.Second},
		{3 * time.Second, time.Second, 0, 2 * time.Second},
	} {
		if got := retryAfter(Decision{Expected: c.expected, Bound: c.bound}, c.remaining); got != c.want {
			t.Errorf("%+v: %v, want %v", c, got, c.want)
		}
	}
	d := measured().Decide(now, fullPool, request())
	if d.Admitted || d.RetryAfter < 100*time.Millisecond {
		t.Errorf("%+v, want a refusal that says when to retry", d)
	}
}

// Guards against counts that grow with each workspace or route that callers name, and that
// lose those who send.
func TestCountsOfWorkspacesAndRoutesAreBounded(t *testing.T) {
	s := newShares()
	s.recordRequest(now, "idle", true)
	for i := range maxWorkspaces - 1 {
		s.recordRequest(now.Add(time.Minute), fmt.Sprint(i), false)
	}
	s.recordRequest(now.Add(time.Minute), "one more", false)
	if len(s.workspaces) != maxWorkspaces || s.workspaces["idle"] != nil {
		t.Errorf("%d workspaces, idle one kept: %v; want %d without it", len(s.workspaces), s.workspaces["idle"] != nil, maxWorkspaces)
	}
	s.recordRequest(now.Add(time.Minute), "two more", false)
	if len(s.workspaces) > maxWorkspaces {
		t.Errorf("%d workspaces, want %d at most", len(s.workspaces), maxWorkspaces)
	}
	timeouts := callerTimeouts{}
	for i := range 3 * maxRoutes {
		timeouts.spent(fmt.Sprint(i), time.Second)
	}
	if len(timeouts) > maxRoutes {
		t.Errorf("%d routes, want %d at most", len(timeouts), maxRoutes)
	}
}

// Guards against counts of admitted requests and times that grow with each route that callers name.
func TestTimesOfRoutesAreBounded(t *testing.T) {
	c := New()
	for i := range 3 * maxRoutes {
		req := request()
		req.Route = fmt.Sprint(i)
		c.Decide(now, Load{Own: 1, Slots: 10}, req)
		c.RecordRouteAnswer(req.Route, time.Second, time.Second)
	}
	if a, b := len(c.waitingClasses.routes), len(c.routeTimes); a > maxRoutes || b > maxRoutes {
		t.Errorf("counts of %d routes and times of %d, want %d at most", a, b, maxRoutes)
	}
}

// Guards against a route whose requests take far longer than those of another one and make these seem late.
func TestTimeToTheFirstByteIsThatOfTheRoute(t *testing.T) {
	c := New()
	for range 100 {
		c.Decide(now, Load{Slots: 10}, request())
		c.RecordRouteAnswer("short", 20*time.Millisecond, 20*time.Millisecond)
		c.RecordRouteAnswer("long", 2*time.Second, 2*time.Second)
	}
	req := request()
	req.Route = "short"
	if got := c.Decide(now, Load{Slots: 10}, req).Expected; got > 40*time.Millisecond {
		t.Errorf("%v expected on a route that takes 20 ms", got)
	}
	req.Route = "new"
	if got := c.Decide(now, Load{Slots: 10}, req).Expected; got < 500*time.Millisecond {
		t.Errorf("%v expected on a new route, want the mean of the pool", got)
	}
}

// Guards against a wait that is shortened by a priority that is no longer in use, and against less urgent requests that take all
// of the wait which more urgent ones accept.
func TestWaitIsShortenedByPrioritiesInUse(t *testing.T) {
	c := measured()
	urgent, patient := request(), request()
	urgent.Objective, patient.Objective, patient.Priority, patient.Route = 500*time.Millisecond, 10*time.Second, 1, "patient"
	for range 1000 {
		c.waitingClasses.admit(now, "patient")
	}
	c.Decide(now, fullPool, urgent)
	// Three quarters of 0.4 s, less and plus 10 ms for the first byte.
	if got := c.Decide(now, fullPool, patient).Bound; got < 290*time.Millisecond || got > 310*time.Millisecond {
		t.Errorf("bound %v beside urgent requests that accept 0.4 s, want 0.3 s", got)
	}
	later := now.Add(2 * priorityWindow)
	if got := c.Decide(later, fullPool, patient).Bound; got < 7*time.Second {
		t.Errorf("bound %v when there are no urgent requests, want 8 s", got)
	}
}

// Guards against refused callers that all return at the same time, or after the time that they accept.
func TestReturnsAreSpread(t *testing.T) {
	var r returns
	last := time.Duration(0)
	for i := range 10 {
		got := r.wait(now, 100*time.Millisecond, 500*time.Millisecond, 50*time.Millisecond)
		if got <= last && last < 500*time.Millisecond || got > 500*time.Millisecond || got < 100*time.Millisecond {
			t.Errorf("return %d after %v, the one before after %v", i, got, last)
		}
		last = got
	}
	if got := r.wait(now.Add(time.Minute), 100*time.Millisecond, 0, 50*time.Millisecond); got > 150*time.Millisecond {
		t.Errorf("return after %v a minute later", got)
	}
}
