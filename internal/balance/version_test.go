package balance

import (
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/registry"
	"github.com/bluebellwell/bluebellwell/internal/streamversion"
)

// versionedPool has two servers of version v1 and four of v2.
func versionedPool() *Pool {
	p := NewPool(Limits{CapFactor: 2, CapExtra: 3})
	var list []*registry.Server
	for i, version := range []string{"v1", "v1", "v2", "v2", "v2", "v2"} {
		list = append(list, &registry.Server{ID: string(rune('a' + i)), Slots: 64, Version: version, Engine: true})
	}
	p.SetServers(list)
	return p
}

// Guards against a stream that goes on at another version than the one that began it, and against a
// version with few servers that drowns under the streams that go back to it.
func TestStreamsGoOnAtTheirVersionWithinTheBound(t *testing.T) {
	p, now := versionedPool(), time.Unix(1_000_000, 0)
	sent := 0
	for i := range 100 {
		job := Job{Version: streamversion.VersionOf("v1"), Random: uint64(i)}
		choice, ok := p.Pick(now, job)
		if !ok {
			break
		}
		if choice.Server.Version != "v1" {
			t.Fatalf("chosen: %s of version %s, want v1", choice.Server.ID, choice.Server.Version)
		}
		p.Begin(now, choice, job)
		sent++
	}
	if sent < 6 || sent > 40 {
		t.Errorf("%d of 100 streams go on at two of six idle servers, want those within the bound", sent)
	}
}

// Guards against memory of one version that is copied to an engine of another.
func TestPrefixIsCopiedWithinAVersion(t *testing.T) {
	p, now := versionedPool(), time.Unix(1_000_000, 0)
	p.RecordCached(now, Placement{PrefixHash: 7, Server: p.members[0].hash, Tokens: 1000})
	job := &Job{Prefixes: []Prefix{{Hash: 7, Tokens: 1000}}, PromptTokens: 1100}
	if source, _ := p.reuse(now, p.members[1], job); source != p.members[0] {
		t.Error("the prefix is not copied from the engine of the same version")
	}
	if source, read := p.reuse(now, p.members[2], job); source != nil || read != 1100 {
		t.Errorf("copied from %v, %d tokens to read; want all of them", source, read)
	}
}
