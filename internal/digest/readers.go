package digest

import (
	"math"
	"net/netip"
	"slices"
	"time"
)

// A few routers read the store for all: the first by address among those whose reads
// succeed. Each says in its digests that it does so. A router that hears fewer of them
// than there should be may only have lost datagrams, as may many others at the same
// moment. If all began to read, the calls to the store would grow with the fleet. So only
// those read at once that would be readers in place of the missing ones; each of the others
// gives the ones before it the time to report themselves.

const (
	// maxReaders is the number of routers that read the store at the full rate. Two
	// may fail at once.
	maxReaders = 3
	// takeoverStep is the time by which a router waits longer than one that has half as many
	// before it. It is longer than the time until a router that begins to read is
	// heard, and 340 routers wait 1.4 s at most.
	takeoverStep = 200 * time.Millisecond
	// startWait is how long a router that has just started and has heard no other one leaves it to others to read. It
	// has read the store itself at its start. After a restart of all the routers by which they discover each other may
	// be later than the rest.
	startWait = 600 * time.Millisecond
	// eraEntryWait is how long a router that sees a new era of the store first waits for
	// the readers to see it. They wait at the store for 0.8 s at most while nothing
	// is written, and may have to be replaced before.
	eraEntryWait = 2200 * time.Millisecond
)

// OwnReads is how this router's own reads of the store go.
type OwnReads struct {
	// Succeed is set while they succeed and other routers can rely on them.
	Succeed bool
	// Recent is set when the store has answered calls lately. Without it this router can't claim to read for the others.
	Recent bool
	// Era is the era of the store as this router knows it.
	Era int64
	// ServersAsOf is the latest time of which this router has read the servers that the store had. An answer that was on the way
	// for long is as old as its call.
	ServersAsOf time.Time
}

// readerView is what a router knows about the readers of the store.
type readerView struct {
	// readers are the other routers on whose reads this one can rely.
	readers []netip.Addr
	// entering is the number of routers with that role which have not seen this router's
	// era yet.
	entering int
	// before are the routers without that role that come before this one and may take it,
	// those included that have not been heard lately but need not have been.
	before []netip.Addr
	// heard is the number of routers heard lately whose reads succeed in this router's
	// era.
	heard int
}

func (p *Peers) readerView(now time.Time, own OwnReads) readerView {
	v := readerView{}
	for _, peer := range p.tracked {
		if !peer.Reading || !p.live(peer, now) {
			continue
		}
		recent := now.Sub(peer.LastReceived) < readerTimeout
		inEra := peer.storeEra >= own.Era
		if recent && inEra {
			v.heard++
		}
		switch {
		case recent && inEra && peer.role != RoleOther:
			v.readers = append(v.readers, peer.Addr)
		case recent && peer.role == RoleReader:
			v.entering++
		case peer.role == RoleOther && peer.Addr.Less(p.self) && (recent || !p.silenceTells()):
			v.before = append(v.before, peer.Addr)
		}
	}
	slices.SortFunc(v.readers, netip.Addr.Compare)
	return v
}

// silenceTells reports whether a router without a role is heard so often that its silence
// for readerTimeout means that it is gone.
func (p *Peers) silenceTells() bool { return periodFor(len(p.tracked)) <= minPeriod }

// IsReader reports whether this router is a reader of the store. It keeps since when too
// few readers have been heard.
func (p *Peers) IsReader(now time.Time, own OwnReads) bool {
	p.updateRole(now, own, p.readerView(now, own))
	return p.reader
}

func (p *Peers) updateRole(now time.Time, own OwnReads, v readerView) {
	if p.startedAt.IsZero() {
		p.startedAt = now
	}
	p.heardReaders = v.readers[:min(maxReaders, len(v.readers))]
	lack := p.lackSince
	p.lackSince = time.Time{}
	if !own.Succeed {
		p.reader = v.heard == 0 && slices.Contains(p.firstLive(now), p.self)
		return
	}
	lower := 0
	for _, addr := range v.readers {
		if addr.Less(p.self) {
			lower++
		}
	}
	missing := maxReaders - len(v.readers)
	switch {
	case lower >= maxReaders:
		p.reader = false
	case p.reader:
	case len(p.tracked) == 0 && now.Sub(p.startedAt) < startWait:
	case v.entering == 0 && lower+len(v.before) < maxReaders:
		p.reader = true
	case missing > 0:
		if lack.IsZero() {
			lack = now
		}
		p.lackSince = lack
		wait := takeoverWait(len(v.before), missing)
		if v.entering > 0 {
			wait = max(wait, eraEntryWait)
		}
		p.reader = now.Sub(lack) >= wait
	}
}

// takeoverWait returns how long a router waits until it replaces missing readers, with a
// number of routers before it.
func takeoverWait(before, missing int) time.Duration {
	if before < missing {
		return 0
	}
	return time.Duration(float64(takeoverStep) * math.Log2(1+float64(before)/float64(missing)))
}

// Readers returns the addresses of the routers that read the store for all, and while there
// are too few of those that are about to do so: the first by address among those whose
// reads succeed, or among all live ones when no reads do. A router that knows only an
// earlier era than this one does not count: its changes have no meaning here.
func (p *Peers) Readers(now time.Time, own OwnReads) []netip.Addr {
	v := p.readerView(now, own)
	p.updateRole(now, own, v)
	if !own.Succeed && v.heard == 0 {
		return p.firstLive(now)
	}
	list := slices.Clone(v.readers)
	if p.reader {
		list = append(list, p.self)
		slices.SortFunc(list, netip.Addr.Compare)
	}
	if len(list) < maxReaders {
		slices.SortFunc(v.before, netip.Addr.Compare)
		list = append(list, v.before...)
	}
	return list[:min(maxReaders, len(list))]
}

// firstLive returns the first live routers by address, this one included.
func (p *Peers) firstLive(now time.Time) []netip.Addr {
	list := []netip.Addr{p.self}
	for _, peer := range p.Live(now) {
		list = append(list, peer.Addr)
	}
	slices.SortFunc(list, netip.Addr.Compare)
	return list[:min(maxReaders, len(list))]
}

// silence returns the time since the last message from any of some routers; 0 when there
// has been none.
func (p *Peers) silence(now time.Time, addrs []netip.Addr) time.Duration {
	last := time.Time{}
	for _, addr := range addrs {
		if peer := p.tracked[addr]; peer != nil && peer.LastReceived.After(last) {
			last = peer.LastReceived
		}
	}
	if last.IsZero() {
		return 0
	}
	return now.Sub(last)
}
