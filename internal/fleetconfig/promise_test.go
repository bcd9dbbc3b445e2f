package fleetconfig

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"pgregory.net/rapid"

	_ "github.com/bluebellwell/bluebellwell/internal/testseed" // fixed seed

	"github.com/bluebellwell/bluebellwell/internal/findings"
	"github.com/bluebellwell/bluebellwell/internal/standin/logsim"
)

const (
	worldRetention = 10 * time.Minute
	// inForceLimit is the time of the promise on accepted configurations.
	inForceLimit = 3 * time.Second
)

type simRouter struct {
	name    string
	link    *logsim.Link
	reader  *Reader
	paused  bool
	side    int // routers hear only peers on the same side of a partition
	applied uint64
	// oldList is set on a router that the VM list has dropped while it runs on;
	// it is the last list that the router saw.
	oldList []*simRouter
}

type acceptance struct {
	offset uint64
	at     time.Time
}

// world is the fleet, its operators and the log. The publishers sit on side 0.
type world struct {
	clock      *clockwork.FakeClock
	sim        *logsim.Log
	routers    []*simRouter
	publishers []*Publisher
	started    int
	published  int
	accepted   map[string]acceptance
	// reported holds the final answers to the operators: accepted or rejected.
	reported map[string]bool
	// versions[n] is the model's configuration before the record at offset n:
	// workspace name to record id. verdicts holds the model's first verdict on
	// each id.
	versions []map[string]string
	verdicts map[string]bool
}

// Routers implements FleetStatus.
func (w *world) Routers(context.Context) ([]RouterStatus, error) {
	var out []RouterStatus
	for _, r := range w.listed() {
		s := RouterStatus{VM: r.name}
		if !r.paused && r.side == 0 {
			s = RouterStatus{VM: r.name, Answered: true, InForce: r.reader.Snapshot().Log.Applied, Versions: []int{1, 2}}
		}
		out = append(out, s)
	}
	return out, nil
}

func (w *world) listed() []*simRouter {
	return slices.DeleteFunc(slices.Clone(w.routers), func(r *simRouter) bool { return r.oldList != nil })
}

// list returns the VM list as a router sees it.
func (w *world) list(r *simRouter) []*simRouter {
	if r.oldList != nil {
		return r.oldList
	}
	return w.listed()
}

func (w *world) current(r *simRouter) bool {
	self := r.reader.Snapshot().Log
	self.SelfListed = true
	now := w.clock.Now()
	list := w.list(r)
	var peers []PeerStatus
	for _, p := range w.routers {
		if p == r || p.paused || p.side != r.side || !slices.Contains(list, p) {
			continue
		}
		reply, _ := p.reader.ConfigReply(math.MaxUint64, false)
		peers = append(peers, PeerStatusOf(p.name, now, reply))
	}
	ok, _ := Current(now, self, peers, len(list))
	return ok && !r.paused
}

func (w *world) start() *simRouter {
	w.started++
	r := &simRouter{name: fmt.Sprintf("vm-%03d", w.started), link: w.sim.Link()}
	r.reader = NewReader(ReaderOptions{
		Log: r.link, Clock: w.clock, Retention: worldRetention,
		Rank: func() int { return slices.Index(w.routers, r) },
	})
	w.routers = append(w.routers, r)
	return r
}

func (w *world) stop(r *simRouter) {
	w.routers = slices.DeleteFunc(w.routers, func(x *simRouter) bool { return x == r })
}

// fetch asks the peers in reach for their state.
func (w *world) fetch(r *simRouter) {
	for _, p := range w.routers {
		if p != r && p.side == r.side && !p.paused {
			reply, _ := p.reader.ConfigReply(r.reader.Snapshot().Log.Applied, w.current(p))
			_, _ = r.reader.TakeReply(p.name, w.clock.Now(), reply)
		}
	}
}

func (w *world) step(r *simRouter) {
	if !r.paused {
		// A failed step is part of the scenario.
		_ = r.reader.Step(context.Background())
	}
}

func (w *world) stepAll() {
	for _, r := range w.routers {
		w.step(r)
	}
}

func (w *world) stepPublisher(p *Publisher) {
	result, err := p.Step(context.Background())
	var invalid *findings.Error
	switch {
	case result != nil:
		w.reported[result.ID] = true
		w.accepted[result.ID] = acceptance{result.Offset, w.clock.Now()}
	case errors.As(err, &invalid) && !errors.Is(err, ErrOutcomeUnknown):
		w.reported[p.record.ID] = false
	case Retryable(err):
		return
	}
	w.publishers = slices.DeleteFunc(w.publishers, func(x *Publisher) bool { return x == p })
}

// publish starts the publication of a change to what some router has in force.
func (w *world) publish(t *rapid.T) {
	name := rapid.SampledFrom([]string{"w0", "w1", "w2"}).Draw(t, "workspace")
	version := ""
	if len(w.routers) > 0 {
		seen := rapid.SampledFrom(w.routers).Draw(t, "seen").reader.Snapshot()
		if seen.Config != nil && seen.Config.Workspaces[name] != nil {
			version = seen.Config.Workspaces[name].Version
		}
	}
	w.published++
	id := fmt.Sprintf("rec-%03d", w.published)
	data := workspaceRecord(id, name, version)
	if version != "" && rapid.Bool().Draw(t, "delete") {
		data = deleteRecord(id, name, version)
	}
	p, err := NewPublisher(PublishOptions{Log: w.sim, Fleet: w, Clock: w.clock, File: "f"}, data)
	if err != nil {
		t.Fatal(err)
	}
	w.publishers = append(w.publishers, p)
}

// extendModel folds new records of the ledger by the rules of the design page,
// without the code under test.
func (w *world) extendModel() {
	ledger := w.sim.Records(StreamName)
	for n := len(w.versions) - 1; n < len(ledger); n++ {
		next := maps.Clone(w.versions[n])
		w.versions = append(w.versions, next)
		var rec struct {
			ID      string
			Changes []struct {
				Name, Replaces string
				Delete         bool
			}
		}
		if IsCheckpoint(ledger[n].Data) || json.Unmarshal(ledger[n].Data, &rec) != nil {
			continue
		}
		if _, known := w.verdicts[rec.ID]; known {
			continue
		}
		c := rec.Changes[0]
		w.verdicts[rec.ID] = next[c.Name] == c.Replaces
		if !w.verdicts[rec.ID] {
			continue
		}
		next[c.Name] = rec.ID
		if c.Delete {
			delete(next, c.Name)
		}
	}
}

// check is the promise: what was reported accepted is in force on every ready
// router and never reverts or goes missing; what was reported rejected never
// takes effect.
func (w *world) check(t *rapid.T) {
	w.extendModel()
	for id, accepted := range w.reported {
		if accepted != w.verdicts[id] {
			t.Fatalf("record %s was reported accepted: %v, and took effect: %v", id, accepted, w.verdicts[id])
		}
	}
	for _, r := range w.routers {
		w.checkRouter(t, r)
	}
}

func (w *world) checkRouter(t *rapid.T, r *simRouter) {
	snap := r.reader.Snapshot()
	if snap.Log.Applied < r.applied {
		t.Fatalf("router %s went back from offset %d to %d", r.name, r.applied, snap.Log.Applied)
	}
	r.applied = snap.Log.Applied
	if w.current(r) {
		for id, a := range w.accepted {
			// A router that the list has dropped did not hold up the acceptance; it
			// has inForceLimit to notice.
			if r.oldList != nil && w.clock.Since(a.at) <= inForceLimit {
				continue
			}
			if snap.Log.Applied <= a.offset {
				t.Fatalf("router %s is ready at offset %d without the accepted record %s at %d", r.name, snap.Log.Applied, id, a.offset)
			}
		}
	}
	if !snap.Log.HasState {
		return
	}
	got := map[string]string{}
	for name, ws := range snap.Config.Workspaces {
		got[name] = ws.Version
	}
	if want := w.versions[snap.Log.Applied]; !maps.Equal(got, want) {
		t.Fatalf("router %s has %v in force at offset %d, want %v", r.name, got, snap.Log.Applied, want)
	}
}

// heal ends all faults and checks that the fleet becomes current and that the
// operators get their answers.
func (w *world) heal(t *rapid.T) {
	w.endFaults()
	w.stepAll()
	w.stepAll()
	page, _ := w.sim.Read(context.Background(), StreamName, 0, 1, 0)
	// If the log forgot a record before any router read it, nobody knows the
	// configuration and no router may become ready.
	recoverable := false
	for _, r := range w.routers {
		log := r.reader.Snapshot().Log
		recoverable = recoverable || log.HasState && log.Applied >= page.Floor
	}
	for round := 0; round < 60; round++ {
		w.clock.Advance(time.Second)
		w.run(1)
		for _, r := range w.routers {
			if !w.current(r) {
				w.fetch(r)
			}
		}
		w.check(t)
	}
	for _, r := range w.routers {
		if recoverable && !w.current(r) {
			t.Fatalf("router %s is not ready after all faults ended: %+v", r.name, r.reader.Snapshot().Log)
		}
	}
	if recoverable && len(w.publishers) > 0 {
		t.Fatalf("%d operators have no answer after all faults ended", len(w.publishers))
	}
}

// Guards against an accepted configuration that reverts, is missing on a ready
// router or gets lost, under lost, late and repeated appends, log outages,
// partitions, pauses, retention, and the replacement of all routers.
func TestAcceptedConfigurationStaysInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClockAt(time.Unix(1_800_000_000, 0))
		w := &world{
			clock:    clock,
			sim:      logsim.New(logsim.Options{Clock: clock, Retention: worldRetention}),
			accepted: map[string]acceptance{},
			reported: map[string]bool{},
			versions: []map[string]string{{}},
			verdicts: map[string]bool{},
		}
		for i := 0; i < 3; i++ {
			w.start()
		}
		w.run(2)
		t.Repeat(w.actions())
		w.heal(t)
	})
}

func (w *world) endFaults() {
	w.sim.ClearFaults()
	w.routers = w.listed()
	for _, r := range w.routers {
		r.link.SetCut(false)
		r.paused, r.side = false, 0
	}
}

// run lets routers and operators work for a number of rounds.
func (w *world) run(rounds int) {
	for ; rounds > 0; rounds-- {
		w.stepAll()
		for _, p := range slices.Clone(w.publishers) {
			w.stepPublisher(p)
		}
		w.clock.Advance(200 * time.Millisecond)
	}
}

// rarely draws 1 in one of four cases, else 0.
func rarely(t *rapid.T, label string) int {
	return rapid.IntRange(0, 3).Draw(t, label) / 3
}

func skipIf(t *rapid.T, condition bool, reason string) {
	if condition {
		t.Skip(reason)
	}
}

func (w *world) pick(t *rapid.T) *simRouter {
	skipIf(t, len(w.routers) == 0, "no router")
	return rapid.SampledFrom(w.routers).Draw(t, "router")
}

func (w *world) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"":        w.check,
		"stepOne": func(t *rapid.T) { w.step(w.pick(t)) },
		"stepAll": func(*rapid.T) { w.stepAll() },
		"start": func(t *rapid.T) {
			skipIf(t, len(w.routers) >= 6, "fleet is full")
			r := w.start()
			r.side = rarely(t, "side")
			if rapid.Bool().Draw(t, "fromPeer") {
				w.fetch(r)
			}
		},
		"stop":      func(t *rapid.T) { w.stop(w.pick(t)) },
		"fetch":     func(t *rapid.T) { w.fetch(w.pick(t)) },
		"pause":     func(t *rapid.T) { w.pick(t).paused = rarely(t, "paused") == 1 },
		"partition": func(t *rapid.T) { w.pick(t).side = rarely(t, "side") },
		"cutLog":    func(t *rapid.T) { w.pick(t).link.SetCut(rarely(t, "cut") == 1) },
		// One router at a time is dropped from the list while it is cut off. No
		// rule could stop a dropped majority, which sees no sign of the rest.
		"dropFromList": func(t *rapid.T) {
			r, all := w.pick(t), w.listed()
			skipIf(t, len(all) < len(w.routers) || len(all) < 2, "another router is dropped, or this is the last one")
			r.oldList = w.list(r)
			r.link.SetCut(true)
			r.side = 1
		},
		"replaceAll": func(*rapid.T) {
			for _, old := range w.listed() {
				r := w.start()
				w.fetch(r)
				w.step(r)
				w.step(r)
				w.stop(old)
			}
		},
		"log": func(t *rapid.T) {
			w.sim.SetDown(rarely(t, "down") == 1)
			w.sim.SetReadsFail(rarely(t, "readsFail") == 1)
			w.sim.SetLoseAnswers(rapid.Bool().Draw(t, "lose"))
			w.sim.SetDelayAppends(rarely(t, "delay") == 1)
		},
		"release": func(t *rapid.T) { w.sim.ApplyDelayed(rapid.IntRange(0, 3).Draw(t, "appends")) },
		"operator": func(t *rapid.T) {
			skipIf(t, len(w.publishers) == 0, "no operator")
			if rapid.Bool().Draw(t, "gives up") {
				w.publishers = w.publishers[1:]
				return
			}
			w.stepPublisher(rapid.SampledFrom(w.publishers).Draw(t, "operator"))
		},
		"run": func(t *rapid.T) { w.run(rapid.IntRange(1, 12).Draw(t, "rounds")) },
		"publish": func(t *rapid.T) {
			skipIf(t, len(w.publishers) >= 4, "enough operators")
			w.publish(t)
			w.run(rapid.IntRange(0, 12).Draw(t, "rounds"))
		},
		"endFaults": func(*rapid.T) { w.endFaults(); w.run(12) },
		"repeatAppend": func(t *rapid.T) {
			ledger := w.sim.Records(StreamName)
			skipIf(t, len(ledger) == 0, "empty log")
			data := rapid.SampledFrom(ledger).Draw(t, "record").Data
			_, _ = w.sim.Append(context.Background(), StreamName, [][]byte{data})
		},
		"wait": func(t *rapid.T) {
			w.clock.Advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
		},
		"waitLong": func(t *rapid.T) {
			for n := rapid.IntRange(1, 30).Draw(t, "half minutes"); n > 0; n-- {
				w.clock.Advance(30 * time.Second)
				w.stepAll()
			}
		},
	}
}
