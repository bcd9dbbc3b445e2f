package forward

import (
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/balance"
	"github.com/bluebellwell/bluebellwell/internal/digest"
	"github.com/bluebellwell/bluebellwell/internal/registry"
)

// Guards against levels of a prompt that are not recognised as shared, and against a
// last part, which belongs to one request, that is.
func TestSharedPrefixes(t *testing.T) {
	headers := RequestHeaders{Model: "m", Prompt: []Part{{ID: 1, Tokens: 800}, {ID: 2, Tokens: 410}, {ID: 3, Tokens: 250}}}
	prefixes, tokens := sharedPrefixes(headers)
	want := []balance.Prefix{{Hash: prefixHash("m", 1), Tokens: 800}, {Hash: prefixHash("m", 2), Tokens: 1210}}
	if len(prefixes) != 2 || prefixes[0] != want[0] || prefixes[1] != want[1] || tokens != 1460 {
		t.Errorf("prefixes %v of %d tokens, want %v of 1460", prefixes, tokens, want)
	}
	if prefixHash("m", 1) == prefixHash("other", 1) {
		t.Error("the parts of two models count as the same")
	}
	headers.Prompt = headers.Prompt[:1]
	if prefixes, tokens := sharedPrefixes(headers); len(prefixes) != 0 || tokens != 800 {
		t.Errorf("prefixes %v of %d tokens for a single part, want none of 800", prefixes, tokens)
	}
}

// Guards against routers that send the same prefix to different engines: what another
// router has placed, or knows to be cached, is used here.
func TestPlacementsOfOtherRoutersAreUsed(t *testing.T) {
	var list []*registry.Server
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		list = append(list, &registry.Server{ID: id, Pool: "p", Addr: id + ":1", Slots: 8, Engine: true})
	}
	now := time.Now()
	for i, s := range list {
		st := NewState(Limits{Balance: balance.Limits{CapFactor: 2, CapExtra: 3}})
		st.SetServers(list)
		record := st.RecordPlacements
		if i%2 == 1 {
			record = st.RecordCached
		}
		record([]digest.Placement{{PrefixHash: 7, Server: s.Key().Hash(), Tokens: 100}})
		job := balance.Job{Prefixes: []balance.Prefix{{Hash: 7, Tokens: 100}}, PromptTokens: 120}
		c, ok, _ := st.pool("p").pick(now, job, false)
		if !ok || c.Server != s {
			t.Errorf("server %v, want %s, where another router has placed the prefix", c.Server, s.ID)
		}
	}
}

// Guards against request bodies that take more memory than the VM has.
func TestBodyMemoryIsBounded(t *testing.T) {
	b := bodyMemory{limit: 10}
	if !b.reserve(6) || b.reserve(5) {
		t.Error("a reservation beyond the limit was accepted, or one within it was not")
	}
	b.add(-6)
	if !b.reserve(10) {
		t.Error("released memory was not available")
	}
}
