// Package registry keeps what a router believes about the servers of all
// pools: which exist, which are leaving, and which incarnation runs. It is a
// pure state machine over entries that are read from the platform's store.
package registry

import (
	"cmp"
	"slices"
	"time"
)

// ReturnGrace is how long after the end of an outage of the store a removed
// server is still used. The platform has the entries of live servers back
// within about two seconds of the store's return.
const ReturnGrace = 2500 * time.Millisecond

// Server is one incarnation of a server.
type Server struct {
	ID         string
	Pool       string
	Addr       string
	DataCentre string
	// Slots is the number of requests that the server works on at once.
	Slots int
	// Born distinguishes incarnations under one ID: the Unix millisecond of the start.
	Born int64
	// Leaving servers take no new request.
	Leaving bool
	// CacheTokens is the size of the prompt cache; 0 for plain servers.
	CacheTokens int
}

// Key identifies an incarnation.
type Key struct {
	ID   string
	Addr string
	Born int64
}

// Key returns the identity of the incarnation.
func (s *Server) Key() Key { return Key{ID: s.ID, Addr: s.Addr, Born: s.Born} }

// Entry is the newest record about one server.
type Entry struct {
	ID string
	// Server is nil when the entry is dropped, or names no usable server.
	Server *Server
}

// Change describes how an update changed the belief about one server.
type Change struct {
	Old *Server
	New *Server
}

// Registry is the belief of one router. It is not safe for concurrent use.
type Registry struct {
	servers map[string]*Server
	// missing holds the removed servers that are still in their grace, and its end.
	missing map[string]time.Time
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{servers: map[string]*Server{}, missing: map[string]time.Time{}}
}

// Apply applies single records in order and returns what changed. Removals
// read before graceUntil take effect only then, unless the server is back.
func (r *Registry) Apply(now time.Time, entries []Entry, graceUntil time.Time) []Change {
	var changes []Change
	for _, e := range entries {
		if e.Server == nil {
			changes = r.remove(changes, now, e.ID, graceUntil)
			continue
		}
		changes = r.set(changes, e.Server)
	}
	return changes
}

// Replace applies a full list. Servers that it does not name are removed.
func (r *Registry) Replace(now time.Time, entries []Entry, graceUntil time.Time) []Change {
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
	}
	changes := r.Apply(now, entries, graceUntil)
	for _, s := range r.Servers() {
		if !listed[s.ID] {
			changes = r.remove(changes, now, s.ID, graceUntil)
		}
	}
	return changes
}

// Expire drops the servers whose grace has ended.
func (r *Registry) Expire(now time.Time) []Change {
	var changes []Change
	for id, until := range r.missing {
		if !now.Before(until) {
			changes = r.remove(changes, now, id, time.Time{})
		}
	}
	return changes
}

func (r *Registry) set(changes []Change, s *Server) []Change {
	delete(r.missing, s.ID)
	old := r.servers[s.ID]
	if old != nil && *old == *s {
		return changes
	}
	r.servers[s.ID] = s
	return append(changes, Change{Old: old, New: s})
}

func (r *Registry) remove(changes []Change, now time.Time, id string, graceUntil time.Time) []Change {
	old := r.servers[id]
	if old == nil {
		return changes
	}
	if now.Before(graceUntil) {
		r.missing[id] = graceUntil
		return changes
	}
	delete(r.missing, id)
	delete(r.servers, id)
	return append(changes, Change{Old: old})
}

// Servers returns all known servers, ordered by ID.
func (r *Registry) Servers() []*Server {
	list := make([]*Server, 0, len(r.servers))
	for _, s := range r.servers {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *Server) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Len returns the number of known servers.
func (r *Registry) Len() int { return len(r.servers) }
