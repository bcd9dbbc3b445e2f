package admission

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/placement"
	"github.com/bluebellwell/bluebellwell/internal/record"
)

var start = time.Date(2026, 12, 3, 8, 0, 0, 0, time.UTC)

func testConfig(multiple float64, maxInFlight int) Config {
	return Config{Pool: &record.Pool{Name: "p", LoadMultiple: multiple, MaxInFlight: maxInFlight, QueueLimit: 100}}
}

func testEngines(n int) []Engine {
	list := make([]Engine, n)
	for i := range list {
		list[i] = Engine{Name: fmt.Sprintf("engine-%d", i), Weight: 1, State: placement.Up, BootID: "b1"}
	}
	return list
}

func testPool(cfg Config, n int) *Pool {
	p := NewPool(cfg, Deps{Rand: func() float64 { return 0.5 }, Prefixes: placement.NewPrefixIndex(64)})
	p.SetEngines(start, testEngines(n))
	p.SetShare(start, 1, time.Time{})
	return p
}

// outcome returns the delivered outcome, or nil while the ticket waits.
func outcome(t *Ticket) *Outcome {
	select {
	case o := <-t.Done():
		return &o
	default:
		return nil
	}
}

func mustRun(t *testing.T, tk *Ticket) *Grant {
	t.Helper()
	o := outcome(tk)
	if o == nil || o.Grant == nil {
		t.Fatalf("request %s has outcome %+v, want a grant", tk.req.ID, o)
	}
	return o.Grant
}

func wantCode(t *testing.T, tk *Ticket, code Code) *Refusal {
	t.Helper()
	o := outcome(tk)
	if o == nil || o.Refusal == nil || o.Refusal.Code != code {
		t.Fatalf("got %+v, want refusal %s", o, code)
	}
	return o.Refusal
}

// Guards against an owner that admits requests before it gets the pool or after
// it lost it.
func TestOnlyOwnerAdmitsRequests(t *testing.T) {
	p := NewPool(testConfig(1.25, 1), Deps{Rand: func() float64 { return 0 }})
	p.SetEngines(start, testEngines(1))
	wantCode(t, p.Submit(start, &Request{Workspace: "a"}), CodeNotOwner)
	p.SetShare(start, 1, time.Time{})
	running := p.Submit(start, &Request{Workspace: "a"})
	mustRun(t, running)
	first := p.Submit(start, &Request{ID: "1", Workspace: "a"})
	second := p.Submit(start.Add(1), &Request{ID: "2", Workspace: "b"})
	requests := p.Suspend(start, CodeNotOwner)
	if len(requests) != 2 || requests[0].ID != "1" || requests[1].ID != "2" {
		t.Fatalf("Suspend returned %v, want requests 1 and 2", requests)
	}
	wantCode(t, first, CodeNotOwner)
	wantCode(t, second, CodeNotOwner)
	if !p.Release(start, running, Result{}) || p.Release(start, running, Result{}) {
		t.Fatal("a running ticket must be released exactly once after Suspend")
	}
	p.Suspend(start, CodeStopping)
	p.SetShare(start, 1, time.Time{})
	wantCode(t, p.Submit(start, &Request{Workspace: "a"}), CodeStopping)
}

// Guards against queue limits that are not applied, requests that wait after
// their deadline or without an engine, and retries beyond the budget.
func TestRefusals(t *testing.T) {
	cfg := testConfig(1.25, 1)
	cfg.Pool.QueueLimit = 2
	cfg.Workspaces = map[string]*record.Workspace{"a": {Weight: 1, MaxQueued: 1}}
	p := testPool(cfg, 1)
	running := p.Submit(start, &Request{Workspace: "a"})
	mustRun(t, running)
	waiting := p.Submit(start, &Request{Workspace: "a", Deadline: start.Add(time.Second)})
	r := wantCode(t, p.Submit(start, &Request{Workspace: "a"}), CodeWorkspaceQueueFull)
	var err error = r
	var typed *Refusal
	if !errors.As(err, &typed) || typed.RetryAfter < minRetryAfter {
		t.Fatalf("refusal %v has no retry-after", err)
	}
	other := p.Submit(start, &Request{Workspace: "b"})
	wantCode(t, p.Submit(start, &Request{Workspace: "c"}), CodeQueueFull)
	if p.Cancel(start, other) {
		t.Fatal("a waiting request was reported as running")
	}
	wantCode(t, other, CodeCancelled)
	if !p.Cancel(start, running) {
		t.Fatal("a running request was not reported as running")
	}
	if next := p.Tick(start); !next.Equal(start.Add(time.Second)) {
		t.Fatalf("next tick at %v, want the deadline of the waiting request", next)
	}
	p.Tick(start.Add(time.Second))
	wantCode(t, waiting, CodeDeadline)
	wantCode(t, p.Submit(start, &Request{Workspace: "b", Exclude: []string{"engine-0"}}), CodeNoEngine)
	for range retryBurst {
		p.Cancel(start, p.Submit(start, &Request{Workspace: "b", Retry: true}))
	}
	wantCode(t, p.Submit(start, &Request{Workspace: "b", Retry: true}), CodeRetryBudget)
	p.SetEngines(start, nil)
	wantCode(t, p.Submit(start, &Request{Workspace: "b"}), CodeNoEngine)
}

// Guards against state that is used without the pool's lock. It fails only
// under the race detector.
func TestConcurrentCallers(t *testing.T) {
	cfg := testConfig(1.25, 3)
	cfg.Pool.QueueLimit = 1000
	p := testPool(cfg, 3)
	var wg sync.WaitGroup
	for g := range 8 {
		wg.Go(func() {
			for i := range 50 {
				tk := p.Submit(start, &Request{Workspace: fmt.Sprint(g), Chat: fmt.Sprint(i % 7)})
				o := <-tk.Done()
				p.SetReportedLoad("engine-0", i)
				p.Tick(start.Add(time.Duration(i) * time.Millisecond))
				p.Stats()
				if o.Grant == nil || !p.Release(start, tk, Result{PromptTokens: 10}) {
					t.Errorf("request got %+v, want a grant that can be released", o)
				}
			}
		})
	}
	wg.Wait()
	if s := p.Stats(); s.Slots != 0 || s.Queued != 0 {
		t.Fatalf("%d slots and %d requests remain, want none", s.Slots, s.Queued)
	}
}

// Guards against an owner that was paused and grants slots after its lease
// expired.
func TestNoGrantAfterLeaseEnd(t *testing.T) {
	p := NewPool(testConfig(1.25, 4), Deps{Rand: func() float64 { return 0 }})
	p.SetEngines(start, testEngines(2))
	end := start.Add(5 * time.Second)
	p.SetShare(start, 1, end)
	mustRun(t, p.Submit(end.Add(-1), &Request{ID: "a", Workspace: "w"}))
	late := p.Submit(end, &Request{ID: "b", Workspace: "w"})
	if o := outcome(late); o != nil {
		t.Fatalf("a request got %+v after the lease expired", o)
	}
	p.SetLeaseEnd(end, end.Add(5*time.Second))
	mustRun(t, late)
}
