package digest

import (
	"net/netip"
	"testing"
	"time"
)

// BenchmarkShares measures the shares of a router in 140 limited or cold servers after a change, in a fleet of 340 that all
// hear each other.
func BenchmarkShares(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	p := NewPeers(netip.AddrFrom4([4]byte{10, 0, 0, 0}), nil)
	p.since = now.Add(-time.Hour)
	var heard []uint16
	for i := range 339 {
		heard = append(heard, shortAddrHash(netip.AddrFrom4([4]byte{10, 0, byte(1 + i/200), byte(i % 200)})))
	}
	heard = append(heard, shortAddrHash(p.self))
	for i := range 339 {
		p.RecordMessage(now, netip.AddrFrom4([4]byte{10, 0, byte(1 + i/200), byte(i % 200)}), &Message{Sender: uint64(i), Heard: heard, Routers: 340})
	}
	for b.Loop() {
		p.senders = nil
		for server := range uint64(140) {
			p.Share(now, server)
		}
	}
}
