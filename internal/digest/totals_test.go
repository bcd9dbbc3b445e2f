package digest

import (
	"math"
	"slices"
	"testing"

	"github.com/bluebellwell/bluebellwell/internal/logpos"
)

// Guards against totals that leave out loaded servers when not all fit.
func TestMostLoadedKeepsLoadedServers(t *testing.T) {
	totals := make(map[uint32]int)
	var all []int
	for i := range uint32(3 * loadsPerDatagram) {
		totals[i] = int(i % 100)
		all = append(all, totals[i])
	}
	slices.Sort(all)
	least := all[len(all)-loadsPerDatagram]
	list := mostLoaded(totals, loadsPerDatagram)
	if len(list) != loadsPerDatagram {
		t.Fatalf("%d servers in the list, want as many as fit", len(list))
	}
	for _, l := range list {
		if l.InFlight < least {
			t.Fatalf("includes a server with %d requests and leaves out others with %d", l.InFlight, least)
		}
	}
}

// Guards against datagrams larger than a frame: they are fragmented, and one lost
// fragment loses the whole datagram.
func TestFullDatagramFits(t *testing.T) {
	m := &Message{Sender: 1, LoadsComplete: true, Reading: true, Synced: true, Progress: []Progress{{0, logpos.Position{Era: 1 << 40, Offset: 1 << 40}}, {1, logpos.Position{Era: 1 << 40, Offset: 1 << 40}}}, StoreEra: 1 << 40, ConfigVersion: 1 << 40, ListEnd: 1 << 40, ServersHash: math.MaxUint32}
	for i := range uint32(loadsPerDatagram) {
		m.TotalLoads = append(m.TotalLoads, Load{Server: i, InFlight: 200})
	}
	for i := range uint32(outcomesPerDatagram) {
		m.TotalFailures = append(m.TotalFailures, Outcomes{Server: i, Failed: 100, Ended: 120})
	}
	if n := len(Encode(m)); n > maxDatagram {
		t.Errorf("%d bytes, at most %d fit", n, maxDatagram)
	}
}
