package digest

import (
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
)

// Guards against times of a router that has gone or reports none any more, and times that are added to another pool's.
func TestTimesOfLivePeers(t *testing.T) {
	p := NewPeers(addr(1), nil)
	p.RecordMessage(start, addr(2), &Message{Sender: 2, LoadsComplete: true, Times: []PoolTimes{{Pool: 3, Served: 5, Objectives: 4000, InUse: 600}}})
	p.RecordMessage(start, addr(3), &Message{Sender: 3, LoadsComplete: true, Times: []PoolTimes{{Pool: 3, Served: 1, Refused: 2}, {Pool: 4, Served: 7}}})
	own := []PoolTimes{{Pool: 3, Served: 1, Objectives: 100, Refused: 1, InUse: 10}}
	got := p.Times(start.Add(outcomesMaxAge-time.Millisecond), own)
	slices.SortFunc(got, func(a, b PoolTimes) int { return int(a.Pool) - int(b.Pool) })
	if want := []PoolTimes{{Pool: 3, Served: 7, Objectives: 4100, Refused: 3, InUse: 610}, {Pool: 4, Served: 7}}; !slices.Equal(got, want) {
		t.Errorf("times %v, want %v", got, want)
	}
	p.RecordMessage(start.Add(time.Millisecond), addr(2), &Message{Sender: 2, LoadsComplete: true})
	if got := p.Times(start.Add(outcomesMaxAge), own); !slices.Equal(got, own) {
		t.Errorf("times %v of others that have none or are silent, want %v", got, own)
	}
}

// Guards against a value out of range that costs the other entries or the whole digest.
func TestUnusableTimesAreLeftOut(t *testing.T) {
	b := Encode(&Message{Sender: 9, Times: []PoolTimes{{Pool: 1, Served: maxPoolTimesValue + 1}, {Pool: 2, Served: 3}}})
	b = protowire.AppendTag(b, fieldTotalTimes, protowire.BytesType)
	b = protowire.AppendBytes(b, []byte{1, 2, 3, 4, 0x80})
	m, err := Decode(b)
	if err != nil || m.Sender != 9 || !slices.Equal(m.Times, []PoolTimes{{Pool: 2, Served: 3}}) || len(m.TotalTimes) != 0 {
		t.Errorf("got %+v, %v", m, err)
	}
}

// Guards against datagrams larger than a frame, and against pools with requests that are left out for those without.
func TestTimesFitTheDatagram(t *testing.T) {
	var list []PoolTimes
	for i := range uint32(3 * poolTimesPerDatagram) {
		list = append(list, PoolTimes{Pool: i, Served: int(i % 40)})
	}
	fit := fitPoolTimes(list)
	if len(fit) != poolTimesPerDatagram || slices.ContainsFunc(fit, func(p PoolTimes) bool { return p.Served < 24 }) {
		t.Errorf("%d pools fit: %v", len(fit), fit)
	}
	m := &Message{Sender: 1, TotalTimes: fit}
	withoutTimesIfTooLarge(m)
	if len(m.TotalTimes) == 0 {
		t.Error("times are left out although they fit")
	}
	for i := range uint32(loadsPerDatagram + outcomesPerDatagram) {
		m.TotalLoads = append(m.TotalLoads, Load{Server: i, InFlight: 200})
	}
	if withoutTimesIfTooLarge(m); len(m.TotalTimes) != 0 {
		t.Errorf("%d bytes, at most %d fit", len(Encode(m)), maxDatagram)
	}
}
