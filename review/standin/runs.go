//go:build review

package main

import "sync"

// runs collects what the servers have run, by request. It is safe for concurrent use.
type runs struct {
	mu   sync.Mutex
	byID map[string][]run
}

func newRuns() *runs { return &runs{byID: make(map[string][]run)} }

func (r *runs) add(x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byID[x.id] = append(r.byID[x.id], x)
}

func (r *runs) of(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byID[id]
}
