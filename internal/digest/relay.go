package digest

import (
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// In a large fleet each new placement would cost a datagram to each other router, and a router would spend most of its
// processor time on those that it sends and receives. There a router sends its new placements to one of the readers of
// the store, which all know, and that one passes on what it has collected in a short time. A regular digest repeats
// placements to all, so one that is lost with its relay arrives some seconds later.

const (
	// maxRelayed bounds the placements that a relay collects.
	maxRelayed = 4096
	// relayedDatagram bounds the relayed placements of a datagram in bytes, relayedOrigin and relayedPlacement are the
	// sizes of their parts at most.
	relayedDatagram  = maxDatagram - 50
	relayedOrigin    = 12
	relayedPlacement = 24
)

// levelRelay is the level of the protocol from which on a router relays placements. A router of an earlier build
// reports none, and as long as one is live placements are sent to all.
const levelRelay = 1

// levelGrants is the level of the protocol from which on a router grants the slots of scarce pools.
const levelGrants = 2

// levelDifferences is the level of the protocol from which on a router applies differences of the configuration. Others would
// get datagrams that they skip.
const levelDifferences = 3

// ownLevel is the level of the protocol of this build.
const ownLevel = levelDifferences

// RelayedPlacements are new placements of another router than the sender. Its own come back to it and are ignored.
type RelayedPlacements struct {
	// Origin is the Sender of the router that made the placements.
	Origin     uint64
	Placements []Placement
}

// relays reports whether placements are relayed in this fleet. The caller holds e.mu.
func (e *Exchange) relays(now time.Time) bool {
	return !e.smallFleet() && e.peers.allHaveLevel(now, levelRelay)
}

// relay returns the router that passes on this one's placements; none when they are to be sent to all, and this router
// when it is a reader itself.
func (e *Exchange) relay(now time.Time) (addr netip.Addr, found bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	readers := e.peers.heardReaders
	switch {
	case !e.relays(now):
		return netip.Addr{}, false
	case e.reader:
		return e.peers.self, true
	case len(readers) == 0:
		return netip.Addr{}, false
	}
	return readers[e.sender%uint64(len(readers))], true
}

// allHaveLevel reports whether all live routers have reported a level of the protocol or a later one.
func (p *Peers) allHaveLevel(now time.Time, level int64) bool {
	for _, peer := range p.tracked {
		if p.live(peer, now) && peer.level < level {
			return false
		}
	}
	return true
}

// relayPlacements gives new placements to a relay.
func (e *Exchange) relayPlacements(relay netip.Addr, list []Placement) {
	if relay == e.peers.self {
		e.collect(e.sender, list)
		return
	}
	for part := range slices.Chunk(list, placementsPerDatagram) {
		e.sendTo([]netip.Addr{relay}, &Message{Sender: e.sender, Relay: true, Placements: part})
	}
}

// collect keeps placements of a router to be passed on.
func (e *Exchange) collect(origin uint64, list []Placement) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.collected+len(list) > maxRelayed {
		return
	}
	first := e.collected == 0
	e.toRelay[origin] = append(e.toRelay[origin], list...)
	e.collected += len(list)
	if !first {
		return
	}
	select {
	case e.relayWake <- struct{}{}:
	default:
	}
}

// sendRelayed passes on the collected placements.
func (e *Exchange) sendRelayed(targets []netip.Addr) {
	for _, m := range e.relayedMessages() {
		e.sendTo(targets, m)
	}
}

// relayedMessages returns messages with the placements that were collected, each of which fits a datagram.
func (e *Exchange) relayedMessages() []*Message {
	e.mu.Lock()
	collected := e.toRelay
	e.toRelay, e.collected = make(map[uint64][]Placement), 0
	e.mu.Unlock()
	var messages []*Message
	room := 0
	for origin, list := range collected {
		for len(list) > 0 {
			if room < relayedOrigin+relayedPlacement {
				messages = append(messages, &Message{Sender: e.sender})
				room = relayedDatagram
			}
			n := min((room-relayedOrigin)/relayedPlacement, len(list))
			m := messages[len(messages)-1]
			m.Relayed = append(m.Relayed, RelayedPlacements{Origin: origin, Placements: list[:n]})
			room -= relayedOrigin + n*relayedPlacement
			list = list[n:]
		}
	}
	return messages
}

// handleRelayed records placements that a relay passes on, and collects those that this router is to pass on.
func (e *Exchange) handleRelayed(m *Message) {
	for _, r := range m.Relayed {
		if r.Origin != e.sender {
			e.state.RecordPlacements(r.Placements)
		}
	}
	if m.Relay && len(m.Placements) > 0 {
		e.collect(m.Sender, m.Placements)
	}
}

// appendRelayed encodes each router's placements as its Sender in a fixed64, then for each placement two fixed64 and
// two varints.
func appendRelayed(b []byte, list []RelayedPlacements) []byte {
	for _, r := range list {
		packed := protowire.AppendFixed64(nil, r.Origin)
		for _, p := range r.Placements {
			packed = protowire.AppendFixed64(packed, p.PrefixHash)
			packed = protowire.AppendFixed64(packed, p.Server)
			packed = protowire.AppendVarint(packed, uint64(p.Tokens))
			packed = protowire.AppendVarint(packed, uint64(p.ReadTokens))
		}
		b = appendInner(b, fieldRelayed, packed)
	}
	return b
}

func (m *Message) decodeRelayed(b []byte) error {
	origin, n := protowire.ConsumeFixed64(b)
	if n < 0 {
		return errMalformed
	}
	r := RelayedPlacements{Origin: origin}
	for b = b[n:]; len(b) > 0; {
		var p Placement
		var err error
		if p, b, err = decodeRelayedPlacement(b); err != nil {
			return err
		}
		r.Placements = append(r.Placements, p)
	}
	if len(r.Placements) > maxPlacements || len(m.Relayed) >= maxPlacements {
		return errMalformed
	}
	m.Relayed = append(m.Relayed, r)
	return nil
}

// decodeRelayedPlacement decodes the first placement and returns the rest.
func decodeRelayedPlacement(b []byte) (Placement, []byte, error) {
	var values [fieldFourth]uint64
	for i := range values {
		consume := protowire.ConsumeFixed64
		if i >= 2 {
			consume = protowire.ConsumeVarint
		}
		v, n := consume(b)
		if n < 0 {
			return Placement{}, nil, errMalformed
		}
		values[i], b = v, b[n:]
	}
	if max(values[2], values[3]) > maxPromptTokens {
		return Placement{}, nil, errMalformed
	}
	return Placement{PrefixHash: values[0], Server: values[1], Tokens: int(values[2]), ReadTokens: int(values[3])}, b, nil
}
