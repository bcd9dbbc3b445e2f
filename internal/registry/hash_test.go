package registry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellwell/bluebellwell/internal/logpos"
)

// Guards against routers that know the same servers and take each other's for different ones, or the reverse: the hash
// depends on the servers only, not on the records, lists and removals by which they became known.
func TestHashIsThatOfTheServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, now, offset := New(), start, int64(0)
		ids := []string{"a", "b", "c"}
		draw := func() Entry {
			id := rapid.SampledFrom(ids).Draw(t, "id")
			born := rapid.Int64Range(1, 2).Draw(t, "born")
			e := rapid.SampledFrom([]Entry{readyEntry(id, born), leavingEntry(id, born), {ID: id}}).Draw(t, "entry")
			offset++
			e.Position = at(offset)
			return e
		}
		for range rapid.IntRange(0, 12).Draw(t, "steps") {
			grace := now.Add(time.Duration(rapid.IntRange(-1, 1).Draw(t, "grace")) * time.Second)
			if rapid.Bool().Draw(t, "list") {
				e := draw()
				r.Replace(now, []Entry{e}, at(offset+1), grace)
			} else {
				r.Apply(now, []Entry{draw()}, grace)
			}
			now = now.Add(time.Second / 2)
			r.Expire(now)
		}
		fresh := New()
		for _, s := range r.Servers() {
			if _, pending := r.pendingRemovals[s.ID]; !pending {
				fresh.Apply(now, []Entry{{ID: s.ID, Server: s, Position: logpos.Position{Offset: 1}}}, time.Time{})
			}
		}
		if r.Hash() != fresh.Hash() {
			t.Fatalf("hash %x, want %x of the same servers", r.Hash(), fresh.Hash())
		}
		other := draw()
		before := fresh.state(other.ID)
		old := fresh.servers[other.ID]
		fresh.Apply(now, []Entry{other}, time.Time{})
		changed := fresh.state(other.ID) != before || old != nil && other.Server != nil && old.Key() != other.Server.Key()
		if changed == (fresh.Hash() == r.Hash()) {
			t.Fatalf("%s was %s, is %s: hash %x and %x", other.ID, before, fresh.state(other.ID), r.Hash(), fresh.Hash())
		}
	})
}
