package front

import (
	"github.com/bluebellwell/bluebellwell/internal/registry"
)

// recordCold records what entries say of whether their servers are cold. The others are told what is new of entries that this
// router has read itself; heartbeats that say the same again tell them nothing.
func (t *tracker) recordCold(entries []registry.Entry, changes []registry.Change, read bool) {
	first := make(map[registry.Key]bool, len(changes))
	for _, c := range changes {
		if c.New != nil && (c.Old == nil || c.Old.Key() != c.New.Key()) {
			first[c.New.Key()] = true
			t.state.RecordStart(c.New)
		}
	}
	news := false
	for _, e := range entries {
		if e.Server != nil && e.Server.ColdLeft != 0 && t.servers.IsNewest(e) {
			news = t.state.RecordColdEntry(e.Server, first[e.Server.Key()], read) || news
		}
	}
	if news && read {
		t.exchange.SendSoon()
	}
}
