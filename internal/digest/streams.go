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
	// streamHolders is the number of other routers that are told of a stream, and
	// askedHolders the number of those that are asked: routers that disagree on who is live
	// disagree on the first ones by a few places.
	streamHolders = 3
	askedHolders  = 8
	// streamsPerDatagram bounds the streams of one datagram.
	streamsPerDatagram = 32
)

// Field numbers of a stream.
const (
	streamID      = 1
	streamVersion = 2
)

// TellStreams tells the routers that hold each stream which version began it.
func (e *Exchange) TellStreams(list []streamversion.Record) {
	byHolder := make(map[netip.Addr][]streamversion.Record)
	for _, r := range list {
		for _, addr := range e.holdersOf(r.Stream, streamHolders) {
			byHolder[addr] = append(byHolder[addr], r)
		}
	}
	for addr, records := range byHolder {
		for part := range slices.Chunk(records, streamsPerDatagram) {
			e.sendTo([]netip.Addr{addr}, &Message{Sender: e.sender, Streams: part})
		}
	}
}

// AskForStream asks the routers that may hold a stream which version began it. Their answers
// go to the state.
func (e *Exchange) AskForStream(s streamversion.Stream) {
	e.sendTo(e.holdersOf(s, askedHolders), &Message{Sender: e.sender, AskedStreams: []uint64{uint64(s)}})
}

// holdersOf returns the first n of the other live routers in an order by rendezvous hashing.
func (e *Exchange) holdersOf(s streamversion.Stream, n int) []netip.Addr {
	e.mu.Lock()
	defer e.mu.Unlock()
	live := e.peers.Live(time.Now())
	slices.SortFunc(live, func(a, b *Peer) int {
		return cmp.Compare(placement.Mix(uint64(s), b.hash), placement.Mix(uint64(s), a.hash))
	})
	addrs := make([]netip.Addr, 0, n)
	for _, p := range live[:min(n, len(live))] {
		addrs = append(addrs, p.Addr)
	}
	return addrs
}

// handleStreams records what another router says of streams, and answers what it asks.
func (e *Exchange) handleStreams(from netip.Addr, m *Message) {
	if len(m.Streams) > 0 {
		e.state.RecordStreams(m.Streams)
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
		e.sendTo([]netip.Addr{from}, &Message{Sender: e.sender, Streams: known})
	}
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
