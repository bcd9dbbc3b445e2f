package digest

import (
	"net/netip"
	"slices"
	"testing"

	"github.com/bluebellwell/bluebellwell/internal/placement"
	"github.com/bluebellwell/bluebellwell/internal/streamversion"
)

// Guards against a large fleet in which no reader of the store is among the few routers that are asked whether there is one
// version, so that after a kill of most nobody can show it; and against readers that every question for a stream reaches.
func TestReadersAreAskedWhetherThereIsOneVersion(t *testing.T) {
	t.Parallel()
	var live []rankedPeer
	var readers []netip.Addr
	for i := range byte(60) {
		addr := netip.AddrFrom4([4]byte{10, 0, 0, i})
		live = append(live, rankedPeer{addr: addr, hash: placement.Mix(uint64(i), 1)})
	}
	holders := holdersOf(live, streamversion.AnyStream, len(live))
	for _, last := range holders[len(holders)-maxReaders:] {
		readers = append(readers, last.addr)
	}
	asked := askedFor(live, readers, streamversion.AnyStream)
	for _, reader := range readers {
		if !slices.Contains(asked, reader) {
			t.Errorf("reader %s is not asked", reader)
		}
	}
	if len(asked) != askedHolders+maxReaders {
		t.Errorf("%d routers are asked, want %d", len(asked), askedHolders+maxReaders)
	}
	if again := askedFor(live, addrsOf(holders[:maxReaders]), streamversion.AnyStream); len(again) != askedHolders {
		t.Errorf("%d routers are asked, want %d: a reader among them is asked once", len(again), askedHolders)
	}
	if one := askedFor(live, readers, 7); len(one) != askedHolders {
		t.Errorf("%d routers are asked for a stream, want %d", len(one), askedHolders)
	}
}

func addrsOf(list []rankedPeer) []netip.Addr {
	var addrs []netip.Addr
	for _, p := range list {
		addrs = append(addrs, p.addr)
	}
	return addrs
}
