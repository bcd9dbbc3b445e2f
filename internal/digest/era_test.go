package digest

import (
	"encoding/hex"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/logpos"
	"github.com/bluebellwell/bluebellwell/internal/registry"
)

// messageWithoutEra is a digest as routers sent it before positions had an era.
const messageWithoutEra = "09070000000000000028014a12090000000000000000110b000000000000004a12090100000000000000110c00000000000000" +
	"5a1f0a03692d31100950081a0170220b31302e302e302e313a38302a0030043800"

// Guards against a fleet in which routers with and without eras cannot read each
// other's digests while they are released.
func TestDigestsWithoutErasAreUnderstood(t *testing.T) {
	want := &Message{
		Sender: 7, Reading: true, Progress: []Progress{{0, pos(11)}, {1, pos(12)}},
		Servers: []ServerChange{{
			ID: "i-1", Position: pos(9), Prev: pos(8), Server: &registry.Server{ID: "i-1", Pool: "p", Addr: "10.0.0.1:80", Slots: 4},
		}},
	}
	old, err := hex.DecodeString(messageWithoutEra)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(old)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("decoded %+v, error %v; want %+v", got, err, want)
	}
	if now := hex.EncodeToString(Encode(want)); now != messageWithoutEra {
		t.Errorf("a digest without an era is encoded as %s, want %s", now, messageWithoutEra)
	}
}

// Guards against a router that relies on the reads of one which has not seen the
// store's era yet, or which knows no eras: their changes are of the past, and nobody
// would tell this router what has changed.
func TestRouterOfAnEarlierEraDoesNotReadForLaterOnes(t *testing.T) {
	p := NewPeers(addr(9), nil)
	reads := func(i int, era int64) {
		p.RecordMessage(start, addr(i), &Message{Sender: uint64(i), Reading: true, StoreEra: era, Progress: []Progress{{0, pos(1)}}})
	}
	for i, era := range []int64{0, 4, 4, 5} {
		reads(i, era)
	}
	for era, want := range map[int64][]netip.Addr{
		0: {addr(0), addr(1), addr(2)}, 4: {addr(1), addr(2), addr(3)}, 5: {addr(3), addr(9)}, 6: {addr(9)},
	} {
		if got := p.Readers(start, OwnReads{Succeed: true, Era: era}); !reflect.DeepEqual(got, want) {
			t.Errorf("readers for era %d: %v, want %v", era, got, want)
		}
	}
}

// Guards against a report of an era that is renewed by each further digest, or that an
// earlier or a later era stands for.
func TestFirstReportOfAnEraCounts(t *testing.T) {
	p := NewPeers(addr(9), nil)
	report := func(after time.Duration, era int64) {
		p.RecordMessage(start.Add(after), addr(1), &Message{Sender: 1, StoreEra: era, Progress: []Progress{{0, pos(1)}}})
	}
	report(0, 4)
	report(time.Second, 5)
	report(2*time.Second, 4)
	report(3*time.Second, 5)
	for era, want := range map[int64]time.Time{4: {}, 5: start.Add(time.Second), 6: {}} {
		if got := p.EraReported(era); !got.Equal(want) {
			t.Errorf("era %d was reported at %s, want %s", era, got, want)
		}
	}
	if got := p.NewestEra(); got != 5 {
		t.Errorf("newest era %d, want 5", got)
	}
}

// Guards against a change that is not read because the router which reports it is of an
// earlier version of the program and reports no version of its configuration.
func TestPeerWithoutAConfigurationVersionCounts(t *testing.T) {
	p := NewPeers(addr(9), nil)
	p.RecordMessage(start, addr(1), &Message{Sender: 1, Progress: []Progress{{0, pos(5)}}})
	if got := p.NewestChange(start, 0, 3); got != pos(5) {
		t.Errorf("change %s, want %s", got, pos(5))
	}
}

// Guards against a newest change, or a newest configuration, that is taken from the
// highest offset instead of the latest era, or from a router that has stopped.
func TestNewestOfThePeers(t *testing.T) {
	p := NewPeers(addr(9), nil)
	if got := p.NewestChange(start, 0, 0); got != logpos.None || p.NewestConfig(start) != 0 {
		t.Errorf("without peers: change %s, configuration %d; want none", got, p.NewestConfig(start))
	}
	report := func(i int, position logpos.Position, version int64) {
		p.RecordMessage(start, addr(i), &Message{Sender: uint64(i), ConfigVersion: version, Progress: []Progress{{0, position}}})
	}
	report(1, logpos.Position{Era: 4, Offset: 100}, 7)
	report(2, logpos.Position{Era: 5, Offset: 3}, 6)
	if got := p.NewestChange(start, 0, 0); got != (logpos.Position{Era: 5, Offset: 3}) || p.NewestConfig(start) != 7 {
		t.Errorf("change %s, configuration %d; want 5/3 and 7", got, p.NewestConfig(start))
	}
	for version, want := range map[int64]logpos.Position{6: {Era: 4, Offset: 100}, 7: logpos.None} {
		if got := p.NewestChange(start, 0, version); got != want {
			t.Errorf("change %s of peers with a configuration newer than %d, want %s", got, version, want)
		}
	}
	p.RecordMessage(start, addr(1), &Message{Sender: 1, Stopping: true})
	if got := p.NewestConfig(start); got != 6 {
		t.Errorf("configuration %d after its router has stopped, want 6", got)
	}
}
