package admission

import (
	"fmt"
	"testing"
	"time"
)

// benchPool returns a pool with 14 requests in flight on each engine.
func benchPool(engines int) (*Pool, []*Ticket) {
	p := NewPool(testConfig(1.25, 0), Deps{Rand: func() float64 { return 0.5 }})
	p.SetEngines(start, testEngines(engines))
	p.SetShare(start, 1, time.Time{})
	running := make([]*Ticket, 14*engines)
	for i := range running {
		running[i] = p.Submit(start, &Request{Workspace: "w", Chat: fmt.Sprint(i)})
	}
	return p, running
}

// BenchmarkSubmitRelease measures the release of one request and the submission of
// another, of a returning or a new chat, in a pool without waiting requests.
func BenchmarkSubmitRelease(b *testing.B) {
	for _, engines := range []int{18, 200, 1400} {
		for _, kind := range []string{"returning", "new"} {
			b.Run(fmt.Sprintf("engines=%d/%s", engines, kind), func(b *testing.B) {
				p, running := benchPool(engines)
				reqs := make([]*Request, 4096)
				for i := range reqs {
					reqs[i] = &Request{Workspace: "w", Chat: fmt.Sprint("chat", i), PromptTokens: 2000}
				}
				res := Result{PromptTokens: 2000, OutputTokens: 100}
				if kind == "new" {
					res.EngineFailed = true
				}
				now := start
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					now = now.Add(time.Millisecond)
					at := i % len(running)
					p.Release(now, running[at], res)
					running[at] = p.Submit(now, reqs[i%len(reqs)])
				}
			})
		}
	}
}

// BenchmarkQueue releases and submits requests in a full pool in which every
// workspace has waiting requests.
func BenchmarkQueue(b *testing.B) {
	for _, workspaces := range []int{100, 5000, 38000} {
		b.Run(fmt.Sprintf("workspaces=%d", workspaces), func(b *testing.B) {
			cfg := testConfig(1.25, 14)
			cfg.Pool.QueueLimit = 2*workspaces + 1
			p := NewPool(cfg, Deps{Rand: func() float64 { return 0.5 }})
			p.SetEngines(start, testEngines(18))
			p.SetShare(start, 1, time.Time{})
			tickets := fillPool(p, 18*14, "standard")
			submit := func(i int) {
				req := &Request{Workspace: fmt.Sprint("w", i%workspaces), Deadline: start.Add(time.Hour)}
				tickets = append(tickets, p.Submit(start, req))
			}
			for i := range 2 * workspaces {
				submit(i)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				// Requests run in order of arrival here, as all weights are equal.
				p.Release(start, tickets[i], Result{})
				submit(i)
			}
			if got := p.Stats().Counters["released"]; got != int64(b.N) {
				b.Fatalf("%d of %d releases took effect", got, b.N)
			}
		})
	}
}
