package digest

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/namedlimit"
	"github.com/bluebellwell/bluebellwell/internal/placement"
)

// limitsPerDatagram bounds the limits of one datagram.
const limitsPerDatagram = 48

// Limit is what a router has heard of the limit that a server names.
type Limit struct {
	// Server is the short hash of the incarnation, see ShortHash.
	Server uint32
	// PerSecond is the rate; negative when the server no longer names one.
	PerSecond float64
	// Age is the time since the answer that named it.
	Age time.Duration
}

// Field numbers of a limit.
const (
	limitServer    = 1
	limitPerSecond = 2
	limitAge       = 3
)

func appendLimit(b []byte, l Limit) []byte {
	inner := appendVarint(nil, limitServer, uint64(l.Server))
	inner = appendFixed(inner, limitPerSecond, math.Float64bits(l.PerSecond))
	inner = appendPositive(inner, limitAge, l.Age.Milliseconds())
	return appendInner(b, fieldLimit, inner)
}

func (m *Message) decodeLimit(b []byte) error {
	l := Limit{}
	err := eachField(b, func(field protowire.Number, v uint64, _ []byte) error {
		switch field {
		case limitServer:
			l.Server = uint32(v)
		case limitPerSecond:
			l.PerSecond = math.Float64frombits(v)
		case limitAge:
			l.Age = reportAge(v)
		}
		return nil
	})
	if !namedlimit.Usable(l.PerSecond) {
		l.PerSecond = -1
	}
	m.Limits = append(m.Limits, l)
	return err
}

// sendLimits tells all routers what servers have said of their limits since the last call.
func (e *Exchange) sendLimits(targets []netip.Addr) {
	for part := range slices.Chunk(e.state.TakeLimits(), limitsPerDatagram) {
		e.sendTo(targets, &Message{Sender: e.sender, Limits: part})
	}
}

// LimitShare returns this router's share in the requests to a server that names a limit. The sender is
// the first of the live routers in an order by rendezvous hashing, on which routers agree
// that hear the same others.
func (e *Exchange) LimitShare(server uint64) namedlimit.Share {
	e.mu.Lock()
	share, ok := e.shares[server]
	if ok {
		e.mu.Unlock()
		return share
	}
	now := time.Now()
	share = e.peers.Share(now, server)
	e.shares[server] = share
	view, changed := *e.peers.senders, e.peers.senders.allowed != e.maySendToCold
	e.maySendToCold = view.allowed
	e.mu.Unlock()
	if changed {
		e.events.Emit(event.ColdSenderChanged, "allowed", view.allowed, "live", view.live, "hearing", view.hearing, "routers", view.most)
	}
	return share
}

// clearShares makes the shares be computed anew. The caller holds e.mu.
func (e *Exchange) clearShares() {
	clear(e.shares)
	e.peers.senders = nil
}

// Share returns this router's share in the requests to a server that names a limit or is cold. What it knows of the
// others counts as of the first call after a change.
func (p *Peers) Share(now time.Time, server uint64) namedlimit.Share {
	if p.senders == nil {
		p.senders = p.viewSenders(now)
	}
	v := p.senders
	own := placement.Mix(server, addrHash(p.self))
	first := !slices.ContainsFunc(v.hashes, func(hash uint64) bool { return placement.Mix(server, hash) > own })
	return namedlimit.Share{Sender: first, Sole: v.isSole(server), Routers: v.live, Before: v.before}
}

func addrHash(addr netip.Addr) uint64 { return placement.Hash(addr.String()) }
