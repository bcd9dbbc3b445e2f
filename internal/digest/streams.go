package digest

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/bluebellwell/bluebellwell/internal/placement"
	"github.com/bluebellwell/bluebellwell/internal/streamversion"
)

const (
	// streamHolders is the number of other routers that are told of a stream while there are several versions, and
	// askedHolders the number of those that are asked: routers that disagree on who is live
	// disagree on the first ones by a few places.
	streamHolders = 3
	// largeFleetPeers is the number of other routers from which on one holder is told of a stream while there is one version. In a
	// fleet of 340 each stream takes a datagram to each holder; in a small one a few routers that stand still may be two holders.
	largeFleetPeers = 100
	askedHolders    = 8
	// streamsPerDatagram bounds the streams of one datagram.
	streamsPerDatagram = 32
	// newStreamsInterval is the time for which new streams are collected. While servers of several versions are known the others
	// are told at once.
	newStreamsInterval = 500 * time.Millisecond
	// maxReadAge is the highest age that counts. Later calls have failed by then.
	maxReadAge = time.Minute
)

// Field numbers of a stream.
const (
	streamID      = 1
	streamVersion = 2
)

// TellStreams tells the routers that hold each stream which version began it.
func (e *Exchange) TellStreams(list []streamversion.Record) {
	e.tellStreams(e.livePeers(), list, streamHolders)
}

// tellStreams tells the first holders of each stream.
func (e *Exchange) tellStreams(live []rankedPeer, list []streamversion.Record, holders int) {
	byHolder := make(map[netip.Addr][]streamversion.Record)
	for _, r := range list {
		for _, holder := range holdersOf(live, r.Stream, holders) {
			byHolder[holder.addr] = append(byHolder[holder.addr], r)
		}
	}
	for addr, records := range byHolder {
		for part := range slices.Chunk(records, streamsPerDatagram) {
			e.sendTo([]netip.Addr{addr}, &Message{Sender: e.sender, Streams: part})
		}
	}
}

// tellNewStreams tells the holders of each new stream which version began them, also while there is one version only: this router may
// stand still or be cut off when a second one comes, and nobody would know of them.
func (e *Exchange) tellNewStreams(now time.Time) {
	if now.Sub(e.streamsToldAt) < newStreamsInterval {
		return
	}
	e.streamsToldAt = now
	list := e.state.TakeNewStreams()
	if len(list) == 0 {
		return
	}
	live := e.livePeers()
	holders := streamHolders
	if len(live) >= largeFleetPeers {
		holders = 1
	}
	e.tellStreams(live, list, holders)
}

// AskForStream asks the routers that may hold a stream which version began it, and for AnyStream the readers of the store as well.
// Their answers go to the state. It returns how many would be asked if all routers were heard that there have been lately, and
// whether more than half of these are heard.
func (e *Exchange) AskForStream(s streamversion.Stream) (routers int, hearsMost bool) {
	e.mu.Lock()
	heard, most := e.peers.heardOf(time.Now())
	readers := e.peers.heardReaders
	e.mu.Unlock()
	addrs := askedFor(e.livePeers(), readers, s)
	e.sendTo(addrs, &Message{Sender: e.sender, AskedStreams: []uint64{uint64(s)}})
	return min(most-1, askedHolders), 2*heard > most
}

// askedFor returns the routers that are asked for a stream.
func askedFor(live []rankedPeer, readers []netip.Addr, s streamversion.Stream) []netip.Addr {
	var addrs []netip.Addr
	for _, holder := range holdersOf(live, s, askedHolders) {
		addrs = append(addrs, holder.addr)
	}
	if s != streamversion.AnyStream {
		return addrs
	}
	for _, reader := range readers {
		if !slices.Contains(addrs, reader) {
			addrs = append(addrs, reader)
		}
	}
	return addrs
}

// heardOf returns the number of routers that are heard and the largest number lately. This router counts.
func (p *Peers) heardOf(now time.Time) (heard, most int) {
	live := p.Live(now)
	heard = len(live) + 1
	most = p.recordMost(now, heard)
	for _, peer := range live {
		most = max(most, peer.routers)
	}
	return heard, most
}

// HasOthers reports whether this router has heard others lately that have not said that they stop.
func (e *Exchange) HasOthers() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peers.hasOthers(time.Now())
}

func (p *Peers) hasOthers(now time.Time) bool {
	_, most := p.heardOf(now)
	return most > 1
}

// ReadsStore reports whether this router reads the store for the others, with success.
func (e *Exchange) ReadsStore() bool { return e.Reading() && e.state.Progress().OwnReads.Succeed }

// HasReadSince reports whether this router reads the store for the others, and has read the servers that the store had after a
// time.
func (e *Exchange) HasReadSince(t time.Time) bool {
	own := e.state.Progress().OwnReads
	return e.Reading() && own.Succeed && own.ServersAsOf.After(t)
}

// rankedPeer is a router with its place in the order of rendezvous hashing, highest rank first.
type rankedPeer struct {
	addr netip.Addr
	hash uint64
	rank uint64
}

// livePeers returns the other live routers, without ranks.
func (e *Exchange) livePeers() []rankedPeer {
	e.mu.Lock()
	defer e.mu.Unlock()
	live := e.peers.Live(time.Now())
	list := make([]rankedPeer, len(live))
	for i, p := range live {
		list[i] = rankedPeer{addr: p.Addr, hash: p.hash}
	}
	return list
}

// holdersOf returns the first n of some routers in an order by rendezvous hashing. After a restart of all one router
// tells the others of thousands of streams, so it does not sort all of them for each.
func holdersOf(live []rankedPeer, s streamversion.Stream, n int) []rankedPeer {
	first := make([]rankedPeer, 0, n+1)
	for _, p := range live {
		p.rank = placement.Mix(uint64(s), p.hash)
		if len(first) == n && p.rank <= first[n-1].rank {
			continue
		}
		i, _ := slices.BinarySearchFunc(first, p, func(a, b rankedPeer) int { return cmp.Compare(b.rank, a.rank) })
		first = slices.Insert(first, i, p)
		first = first[:min(n, len(first))]
	}
	return first
}

// handleStreams records what another router says of streams, and answers what it asks.
func (e *Exchange) handleStreams(from netip.Addr, m *Message) {
	if len(m.Streams) > 0 {
		e.state.RecordStreams(m.Streams, streamversion.Source{Router: from, AsOf: m.serversAsOf(time.Now())})
	}
	if len(m.AskedStreams) == 0 {
		return
	}
	var known []streamversion.Record
	for _, s := range m.AskedStreams {
		if r, ok := e.state.StreamRecord(streamversion.Stream(s)); ok {
			known = append(known, r)
		}
	}
	if len(known) > 0 {
		e.sendTo([]netip.Addr{from}, &Message{Sender: e.sender, Streams: known, ReadAge: e.readAge(time.Now())})
	}
}

// readAge returns the age of the servers that this router has read from the store, as messages state it.
func (e *Exchange) readAge(now time.Time) int64 {
	own := e.state.Progress().OwnReads
	if !e.Reading() || !own.Succeed || own.ServersAsOf.IsZero() {
		return 0
	}
	return now.Sub(own.ServersAsOf).Milliseconds() + 1
}

// serversAsOf returns the time of which the sender has read the servers that the store had, by a message that has just arrived;
// the zero time when the message does not say so.
func (m *Message) serversAsOf(now time.Time) time.Time {
	if m.ReadAge == 0 || m.ReadAge > maxReadAge.Milliseconds() {
		return time.Time{}
	}
	return now.Add(-time.Duration(m.ReadAge) * time.Millisecond)
}

func appendStreams(b []byte, list []streamversion.Record, asked []uint64) []byte {
	for _, r := range list {
		inner := appendFixed(nil, streamID, uint64(r.Stream))
		inner = appendFixed(inner, streamVersion, uint64(r.Version))
		b = appendInner(b, fieldStream, inner)
	}
	if len(asked) > 0 {
		b = appendFixedList(b, fieldAskedStreams, asked)
	}
	return b
}

func (m *Message) decodeStream(b []byte) error {
	if len(m.Streams) >= streamsPerDatagram {
		return errMalformed
	}
	r := streamversion.Record{}
	err := eachField(b, func(field protowire.Number, v uint64, _ []byte) error {
		switch field {
		case streamID:
			r.Stream = streamversion.Stream(v)
		case streamVersion:
			r.Version = streamversion.Version(v)
		}
		return nil
	})
	m.Streams = append(m.Streams, r)
	return err
}
