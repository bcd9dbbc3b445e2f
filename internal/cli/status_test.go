package cli

import (
	"bytes"
	"strings"
	"testing"

	"github.com/bluebellwell/bluebellwell/internal/admission"
	"github.com/bluebellwell/bluebellwell/internal/status"
	"github.com/bluebellwell/bluebellwell/internal/vmlist"
)

// Guards against a report that does not show routers that disagree or are behind,
// or a pool that no router reports, and against sums that leave out a router.
func TestFleetReport(t *testing.T) {
	offset := uint64(7)
	pool := admission.Stats{
		Pool: "p", Closed: "not_owner",
		Counters: map[string]int64{"prompt_tokens": 200, "cached_tokens": 150},
		Refused:  map[admission.Code]int64{"queue_full": 3, "deadline": 0},
	}
	view := func(name string, doc status.Router) routerView {
		return routerView{VM: vmlist.VM{Name: name, Role: vmlist.RoleRouter, State: vmlist.StateLive}, Status: &doc}
	}
	routers := []routerView{
		view("a", status.Router{
			Config: status.Configuration{NextOffset: 9}, Owners: map[string]string{"p": "a", "q": "b"},
			Pools: []admission.Stats{pool}, Callers: map[string]int64{"not_run": 2}, VMList: status.VMList{Down: []string{"e"}},
			Control: status.Control{Bytes: 100, BytesPerSecond: 50, ByCategory: map[string]int64{"probe": 40, "claim": 60}},
		}),
		view("b", status.Router{
			Config: status.Configuration{NextOffset: 7, UnreadableOffset: &offset}, Owners: map[string]string{"p": "b"},
			Pools: []admission.Stats{pool}, Callers: map[string]int64{"not_run": 1},
			Orders: []status.Order{{Engine: "e", Model: "m", Version: "v2", Role: "chat", State: "repaired", Fencing: 5, Holder: "b"},
				{Engine: "e", Model: "old", Unload: true, State: "proposed", Fencing: 5, Holder: "b"}}, VMList: status.VMList{Down: []string{"e"}},
		}),
		view("c", status.Router{Config: status.Configuration{NextOffset: 8}}),
	}
	var out bytes.Buffer
	if err := newFleetReport(&vmlist.List{}, routers).write(&out); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"down: e\n", "with an outcome: not_run 3\n", "7 (cannot read 7)", "8 (behind)",
		"pool p, owner a, b, reported by a\n", "pool p, owner a, b, reported by b\n", "pool q, owner b, not reported\n",
		"cache reuse 75.0%, refused: queue_full 3\n", "closed: not_owner", "e         m      v2       chat  repaired  5        b\n", "e         old    unload   -     proposed",
		"TOTAL  CLAIM  PROBE", "50     30     20",
	} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %q in:\n%s", want, out.String())
		}
	}
}
