package router

import (
	"net/http"
	"sync"

	"github.com/bluebellwell/bluebellwell/internal/entry"
)

// outcomeCounts counts callers' answers by outcome.
type outcomeCounts struct {
	mu     sync.Mutex
	counts map[string]int64
}

func (c *outcomeCounts) add(outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts == nil {
		c.counts = map[string]int64{}
	}
	c.counts[outcome]++
}

func (c *outcomeCounts) snapshot() map[string]int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make(map[string]int64, len(c.counts))
	for outcome, n := range c.counts {
		counts[outcome] = n
	}
	return counts
}

// countRequests wraps h to count requests in progress, so that a stop can wait for
// them, and answers by outcome.
func (r *Router) countRequests(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		r.activeRequests.Add(1)
		defer r.activeRequests.Add(-1)
		// Deferred, because an aborted answer of a plain HTTP service ends the
		// handler with a panic.
		defer func() {
			if outcome := w.Header().Get(entry.HeaderOutcome); outcome != "" {
				r.outcomes.add(outcome)
			}
		}()
		h.ServeHTTP(w, req)
	})
}
