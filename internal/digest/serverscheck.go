package digest

import (
	"net/netip"
	"slices"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/event"
)

// Positions say how far a router has read, but not what it has missed: a removal leaves no record in a list, so that a
// reader that starts again knows nothing of it and the others are not told. Each digest therefore has a hash of the
// servers that its sender knows. A router that does not come to the hash of a reader reads the whole list again. It
// sends what that has changed to all, so the others wait a little longer, each in turn.

const (
	// differenceSettle is how long a difference must last. The changes of a reader are on the way for
	// 0.1 s at most in a fleet of 340.
	differenceSettle = 300 * time.Millisecond
	// minListPause and maxListPause bound the time between two lists while the difference remains. One that a list does
	// not end may be the reader's.
	minListPause = time.Second
	maxListPause = 30 * time.Second
)

// KnownServers says which servers a router knows, by hashes of all of them together.
type KnownServers struct {
	// Hash is that of the servers; 0 before the first list.
	Hash uint32
	// Earlier are the hashes of a moment ago. A reader's digest may have been sent before the newest change.
	Earlier []uint32
	// Lists counts the whole lists that were read.
	Lists int
}

// matches reports whether the servers of a hash are known, or were a moment ago.
func (k KnownServers) matches(hash uint32) bool {
	return hash == k.Hash || slices.Contains(k.Earlier, hash)
}

// serversCheck is what a router knows of the difference between its servers and those of the readers.
type serversCheck struct {
	// since is when a difference was first seen, or when the list was last read for it.
	since time.Time
	// lists is KnownServers.Lists at that time, and attempts counts the lists that have not ended the difference.
	lists    int
	attempts int
	// due is set while the list is to be read, and reader is one that knows other servers.
	due    bool
	reader netip.Addr
}

// differingReader returns a reader of the store whose servers are not those that this router knows. Only readers that were
// heard lately and know the same era count.
func (p *Peers) differingReader(now time.Time, own OwnReads, known KnownServers) (netip.Addr, bool) {
	if known.Hash == 0 {
		return netip.Addr{}, false
	}
	for addr, peer := range p.tracked {
		comparable := peer.Reading && peer.role == RoleReader && peer.serversHash != 0 && peer.storeEra == own.Era
		if comparable && now.Sub(peer.LastReceived) < readerTimeout && !known.matches(peer.serversHash) {
			return addr, true
		}
	}
	return netip.Addr{}, false
}

// MustListServers reports whether this router has to read the list of servers again, because a reader of the store knows
// others for longer than a change is on the way.
func (p *Peers) MustListServers(now time.Time, own OwnReads, known KnownServers) bool {
	c := &p.servers
	reader, differs := p.differingReader(now, own, known)
	if !differs {
		*c = serversCheck{}
		return false
	}
	c.reader = reader
	switch {
	case c.since.IsZero():
		c.since, c.lists = now, known.Lists
	case c.lists != known.Lists:
		c.since, c.lists = now, known.Lists
		c.attempts++
	}
	wait := differenceSettle + takeoverWait(p.othersBefore(now), 1)
	if c.attempts > 0 {
		wait += min(minListPause<<min(c.attempts-1, 8), maxListPause)
	}
	c.due = now.Sub(c.since) >= wait
	return c.due
}

// othersBefore returns the number of live peers with a lower address that are no readers.
func (p *Peers) othersBefore(now time.Time) int {
	n := 0
	for _, peer := range p.Live(now) {
		if peer.role != RoleReader && peer.Addr.Less(p.self) {
			n++
		}
	}
	return n
}

// MustListServers reports whether this router has to read the whole list of servers again, and logs when that begins.
func (e *Exchange) MustListServers() bool {
	progress := e.state.Progress()
	now := time.Now()
	e.mu.Lock()
	before := e.peers.servers.due
	must := e.peers.MustListServers(now, progress.OwnReads, progress.Servers)
	check := e.peers.servers
	e.mu.Unlock()
	if must && !before {
		e.events.Emit(event.ServersDiffer, "reader", check.reader.String(), "for_ms", now.Sub(check.since).Milliseconds(), "lists_read", check.attempts, "era", progress.OwnReads.Era)
	}
	return must
}
