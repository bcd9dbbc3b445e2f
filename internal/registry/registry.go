// Package registry keeps a router's view of the servers of all pools: which exist,
// which are leaving, and which incarnation runs. It is a pure state machine over
// entries that are read from the platform's store, and takes the time as an
// argument.
package registry

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellwell/bluebellwell/internal/logpos"
)

// RemovalGrace is how long a removed server is still used after an outage of the
// store. The platform restores the entries of live servers within about two
// seconds of the end of the outage. This period plus the time to detect the end
// is less than the three seconds after which removals must again apply at once.
const RemovalGrace = 2000 * time.Millisecond

// Server is one incarnation of a server.
type Server struct {
	ID         string
	Pool       string
	Addr       string
	DataCentre string
	// Slots is the number of requests that the server processes concurrently.
	Slots int
	// Born distinguishes incarnations under one ID: the Unix millisecond of the start.
	Born int64
	// Version is that of the server's software. What two versions write does not fit together.
	Version string
	// Leaving is set when the server takes no new requests.
	Leaving bool
	// Engine is set for model engines, which cache prompt prefixes.
	Engine bool
	// ColdLeft is how long the server is cold yet by its entry, as of when that was read: NotCold when it says that
	// it is not, 0 when it says nothing. It and Start change with time and are no change of the server.
	ColdLeft time.Duration
	// Start is what is known of when the incarnation started.
	Start Start
}

// Key identifies an incarnation.
type Key struct {
	ID   string
	Addr string
	Born int64
}

// Key returns the identity of the incarnation.
func (s *Server) Key() Key { return Key{ID: s.ID, Addr: s.Addr, Born: s.Born} }

// Hash returns the hash of an incarnation, which is the same on all routers.
func (k Key) Hash() uint64 {
	d := xxhash.New()
	// Writing to a hash cannot fail.
	_, _ = fmt.Fprintf(d, "%s|%s|%d", k.ID, k.Addr, k.Born)
	return d.Sum64()
}

// viewHash returns a hash of the incarnation and of whether it leaves. Fields that only some versions of the program
// know are left out.
func (s *Server) viewHash() uint32 {
	d := xxhash.New()
	// Writing to a hash cannot fail.
	_, _ = fmt.Fprintf(d, "%d|%t", s.Key().Hash(), s.Leaving)
	return uint32(d.Sum64())
}

// Entry is the newest record about one server.
type Entry struct {
	ID string
	// Server is nil when the entry was deleted or names no usable server.
	Server *Server
	// Position is that of the record in the store's topic.
	Position logpos.Position
}

// Change describes a change of one server. Old is nil for an added server, New for
// a removed one.
type Change struct {
	Old *Server
	New *Server
	// Position is that of the record which caused the change, or of the end of the
	// list in which the server was missing.
	Position logpos.Position
}

// Registry is one router's view of the servers. It is not safe for concurrent use.
type Registry struct {
	servers map[string]*Server
	// known has the newest applied entry of each server, removed ones included, so
	// that an older record does not undo a newer one, which may have come from another
	// router.
	known map[string]Entry
	// copyEnd is the position after the first list of the store's era. Earlier records of
	// the era may come from the older copy with which it began.
	copyEnd logpos.Position
	// returned names the servers that were known to have left and that the first list of
	// the store's era has, until something later is read about them.
	returned map[string]bool
	// pendingRemovals holds the removals whose grace period has not ended.
	pendingRemovals map[string]removal
	// hash is the sum of hashes, which has one for each server without a pending removal.
	hash   uint32
	hashes map[string]uint32
	starts starts
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
		known:           map[string]Entry{},
		returned:        map[string]bool{},
		pendingRemovals: map[string]removal{},
		hashes:          map[string]uint32{},
	}
}

// Apply applies single records in order and returns the changes. Removals read
// before graceUntil take effect only then, unless the server has been added again.
func (r *Registry) Apply(now time.Time, entries []Entry, graceUntil time.Time) []Change {
	var changes []Change
	for _, e := range entries {
		switch {
		case !e.Position.Before(r.decided(e.ID)):
			changes = r.apply(changes, now, e, graceUntil)
		case r.confirmsRemoval(e) && !now.Before(graceUntil):
			changes = r.remove(changes, now, r.pendingRemovals[e.ID].entry, time.Time{})
		}
	}
	return changes
}

// confirmsRemoval reports whether a removal says what a later record or list, whose removal is still
// pending, says as well. Another router that sends it has waited for the end of its own grace.
func (r *Registry) confirmsRemoval(e Entry) bool {
	pending, ok := r.pendingRemovals[e.ID]
	return ok && e.Server == nil && pending.entry.Position.Era == e.Position.Era
}

// decided returns the position of what was read last about a server, which may be a list
// that lacks it.
func (r *Registry) decided(id string) logpos.Position {
	position := r.known[id].Position
	if pending, ok := r.pendingRemovals[id]; ok {
		position = logpos.Max(position, pending.entry.Position)
	}
	return position
}

func (r *Registry) apply(changes []Change, now time.Time, e Entry, graceUntil time.Time) []Change {
	r.known[e.ID] = e
	delete(r.returned, e.ID)
	if e.Server == nil {
		return r.remove(changes, now, e, graceUntil)
	}
	return r.set(changes, now, e)
}

// Replace applies a full list that ends before the position next. Servers that are
// not listed are removed, unless a later record of them was applied. Entries of the
// list that may be of an older copy and contradict what is known are not applied
// but returned as outdated.
func (r *Registry) Replace(now time.Time, entries []Entry, next logpos.Position, graceUntil time.Time) (changes []Change, outdated []Entry) {
	if r.copyEnd.Era < next.Era {
		r.copyEnd = next
		clear(r.returned)
	}
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
		switch {
		case e.Position.Before(r.known[e.ID].Position):
		case r.isOutdated(e):
			outdated = append(outdated, e)
			if r.known[e.ID].Server == nil {
				r.returned[e.ID] = true
			}
		default:
			changes = r.apply(changes, now, e, graceUntil)
		}
	}
	for _, s := range r.Servers() {
		if !listed[s.ID] && r.known[s.ID].Position.Before(next) {
			changes = r.remove(changes, now, Entry{ID: s.ID, Position: next.Prev()}, graceUntil)
		}
	}
	r.starts.listed = true
	return changes, outdated
}

// isOutdated reports whether an entry may come from the older copy with which the era
// of the store began, and says that a server runs which is known to leave, to have
// left or to run as a later incarnation.
func (r *Registry) isOutdated(e Entry) bool {
	known, ok := r.known[e.ID]
	ofCopy := e.Position.Era == r.copyEnd.Era && e.Position.Before(r.copyEnd) && known.Position.Era < e.Position.Era
	if !ok || !ofCopy || e.Server == nil {
		return false
	}
	s := known.Server
	if s == nil || s.Key() != e.Server.Key() {
		return s == nil || e.Server.Born <= s.Born
	}
	return s.Leaving && !e.Server.Leaving
}

// WrittenAgain returns those of the records that a new era of the store has regained: each
// is the first one of its server since the list with which the era began, and says what
// was known before. They change nothing here, but a router that knows the servers from
// the older copy only does not know them. It is called before Apply.
func (r *Registry) WrittenAgain(entries []Entry) []Entry {
	var again []Entry
	for _, e := range entries {
		known, ok := r.known[e.ID]
		afterCopy := e.Position.Era == r.copyEnd.Era && !e.Position.Before(r.copyEnd)
		if ok && afterCopy && known.Position.Era < e.Position.Era && sameServer(known.Server, e.Server) {
			again = append(again, e)
		}
	}
	return again
}

// RemovedAgain returns the removals that a list shows by lacking servers which the first
// list of the era had, and which were known to have left before. Like the records of
// WrittenAgain they change nothing here. It is called before Replace, and returns each once.
func (r *Registry) RemovedAgain(entries []Entry, next logpos.Position) []Entry {
	if r.copyEnd.Era != next.Era {
		return nil
	}
	listed := make(map[string]bool, len(entries))
	for _, e := range entries {
		listed[e.ID] = true
	}
	var again []Entry
	for id := range r.returned {
		if !listed[id] {
			again = append(again, Entry{ID: id, Position: next.Prev()})
			r.known[id] = Entry{ID: id, Position: next.Prev()}
			delete(r.returned, id)
		}
	}
	slices.SortFunc(again, func(a, b Entry) int { return cmp.Compare(a.ID, b.ID) })
	return again
}

func sameServer(a, b *Server) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.withoutTimes() == b.withoutTimes()
}

// Expire applies the removals whose grace period has ended.
func (r *Registry) Expire(now time.Time) []Change {
	var changes []Change
	for _, pending := range r.pendingRemovals {
		if !now.Before(pending.deadline) {
			changes = r.remove(changes, now, pending.entry, time.Time{})
		}
	}
	return changes
}

func (r *Registry) set(changes []Change, now time.Time, e Entry) []Change {
	defer r.updateHash(e.ID)
	delete(r.pendingRemovals, e.ID)
	old := r.servers[e.ID]
	if sameServer(old, e.Server) {
		return changes
	}
	s := *e.Server
	s.Start = r.starts.of(now, &s)
	r.servers[e.ID] = &s
	return append(changes, Change{Old: old, New: &s, Position: e.Position})
}

func (r *Registry) remove(changes []Change, now time.Time, e Entry, graceUntil time.Time) []Change {
	defer r.updateHash(e.ID)
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
	r.known[e.ID] = Entry{ID: e.ID, Position: logpos.Max(r.known[e.ID].Position, e.Position)}
	return append(changes, Change{Old: old, Position: e.Position})
}

// updateHash adds what is known of a server to the hash, in place of what was known before.
func (r *Registry) updateHash(id string) {
	r.hash -= r.hashes[id]
	delete(r.hashes, id)
	s := r.servers[id]
	if _, pending := r.pendingRemovals[id]; s == nil || pending {
		return
	}
	r.hashes[id] = s.viewHash()
	r.hash += r.hashes[id]
}

// Hash returns a hash of the servers and of whether they leave. Two registries that hold the same
// servers have the same hash, whatever each has read. A removal counts from when it is known, also during its grace
// period.
func (r *Registry) Hash() uint32 { return r.hash }

// Servers returns all servers, ordered by ID.
func (r *Registry) Servers() []*Server {
	list := make([]*Server, 0, len(r.servers))
	for _, s := range r.servers {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *Server) int { return cmp.Compare(a.ID, b.ID) })
	return list
}

// Len returns the number of servers.
func (r *Registry) Len() int { return len(r.servers) }
