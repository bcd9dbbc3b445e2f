package cachehint

import (
	"testing"

	"github.com/bluebellwell/bluebellwell/internal/admission"
	"github.com/bluebellwell/bluebellwell/internal/engineclient"
	"github.com/bluebellwell/bluebellwell/internal/placement"
)

// Guards against gaps that are missed or counted twice, and against events of
// an old boot that are taken for those of the new one.
func TestTracker(t *testing.T) {
	type page struct {
		boot        string
		seqs        []uint64
		lost, hints int
		after       uint64
	}
	for name, pages := range map[string][]page{
		"no gap":                          {{"1", []uint64{1, 2}, 0, 2, 2}, {"1", nil, 0, 0, 2}, {"1", []uint64{3}, 0, 1, 3}},
		"first page starts late":          {{"1", []uint64{40, 41}, 0, 2, 41}},
		"gap in a page and between pages": {{"1", []uint64{1, 4}, 2, 2, 4}, {"1", []uint64{6}, 1, 1, 6}},
		"restart":                         {{"1", []uint64{1, 2}, 0, 2, 2}, {"2", []uint64{9}, 0, 0, 0}, {"2", []uint64{1, 9}, 7, 2, 9}},
	} {
		var tr Tracker
		for i, p := range pages {
			page := engineclient.CacheEvents{BootID: p.boot}
			for _, seq := range p.seqs {
				page.Events = append(page.Events, engineclient.CacheEvent{Seq: seq, Op: "store", PrefixKey: "w/c", Tokens: 5})
			}
			u := tr.Apply("e", page)
			if u.Lost != p.lost || len(u.Hints) != p.hints || tr.LastSeq() != p.after {
				t.Errorf("%s, page %d: lost %d, %d hints, after %d", name, i, u.Lost, len(u.Hints), tr.LastSeq())
			}
		}
	}
}

// Guards against hints for another chat, boot or operation than that of the event.
func TestHint(t *testing.T) {
	for _, c := range []struct {
		ev   engineclient.CacheEvent
		want []admission.CacheEvent
	}{
		{engineclient.CacheEvent{Op: "store", PrefixKey: "w/a/b", Tokens: 7}, []admission.CacheEvent{{Engine: "e", BootID: "1", Key: placement.ChatKey("w", "a/b"), Tokens: 7}}},
		{engineclient.CacheEvent{Op: "evict", PrefixKey: "w/a", Tokens: 7}, []admission.CacheEvent{{Engine: "e", BootID: "1", Key: placement.ChatKey("w", "a"), Evicted: true}}},
		{engineclient.CacheEvent{Op: "evict", SystemKey: "s", Tokens: 7}, nil},
		{engineclient.CacheEvent{Op: "store", PrefixKey: "no-chat/"}, nil},
	} {
		var tr Tracker
		c.ev.Seq = 1
		got := tr.Apply("e", engineclient.CacheEvents{BootID: "1", Events: []engineclient.CacheEvent{c.ev}}).Hints
		if len(got) != len(c.want) || len(got) == 1 && got[0] != c.want[0] {
			t.Errorf("%+v gives %+v", c.ev, got)
		}
	}
}
