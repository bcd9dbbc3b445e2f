// Package registry keeps what a router believes about the servers of all
// pools: which exist, which are leaving, and which incarnation runs. It is a
// pure state machine over entries that are read from the platform's store.
package registry

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RemovalGrace is how long after the end of an outage of the store a removed
// server is still used. The platform has the entries of live servers back
// within about two seconds of the store's return. Together with the time in
// which the return is noticed it stays below the three seconds after which the
// router must again honour removals at once.
const RemovalGrace = 2000 * time.Millisecond

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
	// Engine is set for model engines, which keep the parts of prompts.
	Engine bool
}

// Key identifies an incarnation.
type Key struct {
	ID   string
	Addr string
	Born int64
}

// Key returns the identity of the incarnation.
func (s *Server) Key() Key { return Key{ID: s.ID, Addr: s.Addr, Born: s.Born} }

// Hash returns a number that all routers compute alike for an incarnation.
func (k Key) Hash() uint64 {
	d := xxhash.New()
	// Writing to a hash cannot fail.
	_, _ = fmt.Fprintf(d, "%s|%s|%d", k.ID, k.Addr, k.Born)
	return d.Sum64()
}

// Entry is the newest record about one server.
type Entry struct {
	ID string
	// Server is nil when the entry is dropped, or names no usable server.
	Server *Server
	// Offset is the place of the record in the store's topic.
	Offset int64
}

// Change describes how an update changed the belief about one server.
type Change struct {
	Old *Server
	New *Server
	// Offset is that of the record which caused the change; negative when time did.
	Offset int64
}

// Registry is the belief of one router. It is not safe for concurrent use.
type Registry struct {
	servers map[string]*Server
	// offsets has the newest applied record of each server, removed ones
	// included, so that news which another router has told are not undone by an
	// older record.
	offsets map[string]int64
	// pendingRemovals holds the removals that are still in their grace.
	pendingRemovals map[string]removal
}

// removal is a removal that takes effect later.
type removal struct {
	entry    Entry
	deadline time.Time
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{
		servers:         map[string]*Server{},
		offsets:         map[string]int64{},
		pendingRemovals: map[string]removal{},
	}
}

// Apply applies single records in order and returns what changed. Removals
// read before graceUntil take effect only then, unless the server is back.
func (r *Registry) Apply(now time.Time, entries []Entry, graceUntil time.Time) []Change {
	var changes []Change
	for _, e := range entries {
		if e.Offset < r.offsets[e.ID] {
			continue
		}
		r.offsets[e.ID] = e.Offset
		if e.Server == nil {
			changes = r.remove(changes, now, e, graceUntil)
			continue
		}
		changes = r.set(changes, e)
	}
	return changes
}

// Replace applies a full list that ends before the offset next. Servers that it
// does not name are removed, unless a later record has named them.
func (r *Registry) Replace(now time.Time, entries []Entry, next int64, graceUntil time.Time) []Change {
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
	}
	changes := r.Apply(now, entries, graceUntil)
	for _, s := range r.Servers() {
		if !listed[s.ID] && r.offsets[s.ID] < next {
			changes = r.remove(changes, now, Entry{ID: s.ID, Offset: noOffset}, graceUntil)
		}
	}
	return changes
}

// Expire drops the servers whose grace has ended.
func (r *Registry) Expire(now time.Time) []Change {
	var changes []Change
	for _, pending := range r.pendingRemovals {
		if !now.Before(pending.deadline) {
			changes = r.remove(changes, now, pending.entry, time.Time{})
		}
	}
	return changes
}

// noOffset marks changes that no single record caused.
const noOffset = -1

func (r *Registry) set(changes []Change, e Entry) []Change {
	delete(r.pendingRemovals, e.ID)
	old := r.servers[e.ID]
	if old != nil && *old == *e.Server {
		return changes
	}
	r.servers[e.ID] = e.Server
	return append(changes, Change{Old: old, New: e.Server, Offset: e.Offset})
}

func (r *Registry) remove(changes []Change, now time.Time, e Entry, graceUntil time.Time) []Change {
	old := r.servers[e.ID]
	if old == nil {
		return changes
	}
	if now.Before(graceUntil) {
		r.pendingRemovals[e.ID] = removal{entry: e, deadline: graceUntil}
		return changes
	}
	delete(r.pendingRemovals, e.ID)
	delete(r.servers, e.ID)
	return append(changes, Change{Old: old, Offset: e.Offset})
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
