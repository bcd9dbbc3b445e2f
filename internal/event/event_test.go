package event

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"testing"

	"github.com/hashicorp/go-hclog"
)

var update = flag.Bool("update", false, "write docs/events.md")

const cataloguePage = "../../docs/events.md"

// Guards against a page that differs from the registered events in number, level
// or text. Run with -update after a change of the events.
func TestCataloguePage(t *testing.T) {
	if *update {
		if err := os.WriteFile(cataloguePage, []byte(Catalogue()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	page, err := os.ReadFile(cataloguePage)
	if err != nil {
		t.Fatal(err)
	}
	if got := string(page); got != Catalogue() {
		t.Fatalf("docs/events.md differs from the registered events; run go test ./internal/event -update\n%s", Catalogue())
	}
}

// Guards against events with the same text or without a usable level.
func TestEventsAreDistinct(t *testing.T) {
	texts := map[string]int{}
	for id, e := range All() {
		if e.ID != id || e.Text == "" || e.Level < hclog.Trace || e.Level > hclog.Error {
			t.Errorf("event %d is not usable: %+v", id, e)
		}
		if other, dup := texts[e.Text]; dup {
			t.Errorf("events %d and %d have the same text", id, other)
		}
		texts[e.Text] = id
	}
}

// Guards against a second event that takes the number of an existing one.
func TestNumberUsedTwice(t *testing.T) {
	defer func() {
		if recover() == nil {
			t.Fatal("the second use of a number was accepted")
		}
	}()
	register(RouterStarted.ID, hclog.Info, "another text")
}

// Guards against log lines without the number of their event.
func TestEmitWritesNumber(t *testing.T) {
	var out bytes.Buffer
	log := NewLogger(hclog.New(&hclog.LoggerOptions{Output: &out, JSONFormat: true}))
	log.Emit(RouterReady, "vm", "r-1")
	var line map[string]any
	if err := json.Unmarshal(out.Bytes(), &line); err != nil {
		t.Fatal(err)
	}
	if line["event"] != float64(101) || line["vm"] != "r-1" || line["@level"] != "info" {
		t.Fatalf("got the line %v, want event 101 of r-1 at level info", line)
	}
}
