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
	fleetRetention = 10 * time.Minute
	// inForceLimit is the time within which an accepted configuration must be in
	// force on every ready router.
	inForceLimit = 3 * time.Second
)

type simRouter struct {
	name    string
	link    *logsim.Link
	reader  *Reader
	paused  bool
	side    int // routers reach only peers on the same side of a partition
	applied uint64
	// staleList is set on a running router that was removed from the VM list; it
	// is the last list that the router read.
	staleList []*simRouter
}

type acceptance struct {
	offset uint64
	at     time.Time
}

// simFleet simulates the routers, the publishers and the log. The publishers are
// on side 0.
type simFleet struct {
	clock      *clockwork.FakeClock
	sim        *logsim.Log
	routers    []*simRouter
	publishers []*Publisher
	started    int
	published  int
	accepted   map[string]acceptance
	// reported holds the final results of the publications by record id: true if
	// accepted, false if rejected.
	reported map[string]bool
	// modelStates[n] is the model's configuration before the record at offset n:
	// workspace name to record id. modelAccepted holds for each id whether the
	// model accepted its first record.
	modelStates   []map[string]string
	modelAccepted map[string]bool
}

// Routers implements FleetStatus.
func (f *simFleet) Routers(context.Context) ([]RouterStatus, error) {
	var out []RouterStatus
	for _, r := range f.listed() {
		s := RouterStatus{VM: r.name}
		if !r.paused && r.side == 0 {
			s = RouterStatus{VM: r.name, Answered: true, InForce: r.reader.Snapshot().Log.Applied, Versions: []int{1, 2}}
		}
		out = append(out, s)
	}
	return out, nil
}

func (f *simFleet) listed() []*simRouter {
	return slices.DeleteFunc(slices.Clone(f.routers), func(r *simRouter) bool { return r.staleList != nil })
}

// vmList returns the VM list that a router uses.
func (f *simFleet) vmList(r *simRouter) []*simRouter {
	if r.staleList != nil {
		return r.staleList
	}
	return f.listed()
}

func (f *simFleet) isCurrent(r *simRouter) bool {
	self := r.reader.Snapshot().Log
	self.SelfListed = true
	now := f.clock.Now()
	vmList := f.vmList(r)
	var peers []PeerStatus
	for _, p := range f.routers {
		if p == r || p.paused || p.side != r.side || !slices.Contains(vmList, p) {
			continue
		}
		reply, _ := p.reader.ConfigReply(math.MaxUint64, false)
		peers = append(peers, PeerStatusOf(p.name, now, reply))
	}
	ok, _ := IsCurrent(now, self, peers, len(vmList))
	return ok && !r.paused
}

func (f *simFleet) start() *simRouter {
	f.started++
	r := &simRouter{name: fmt.Sprintf("vm-%03d", f.started), link: f.sim.Link()}
	r.reader = NewReader(ReaderOptions{
		Log: r.link, Clock: f.clock, Retention: fleetRetention,
		Rank: func() int { return slices.Index(f.routers, r) },
	})
	f.routers = append(f.routers, r)
	return r
}

func (f *simFleet) stop(r *simRouter) {
	f.routers = slices.DeleteFunc(f.routers, func(x *simRouter) bool { return x == r })
}

// fetch requests the state of all reachable peers.
func (f *simFleet) fetch(r *simRouter) {
	for _, p := range f.routers {
		if p != r && p.side == r.side && !p.paused {
			reply, _ := p.reader.ConfigReply(r.reader.Snapshot().Log.Applied, f.isCurrent(p))
			_, _ = r.reader.ApplyReply(p.name, f.clock.Now(), reply)
		}
	}
}

func (f *simFleet) step(r *simRouter) {
	if !r.paused {
		// A failed step is part of the scenario.
		_ = r.reader.Step(context.Background())
	}
}

func (f *simFleet) stepAll() {
	for _, r := range f.routers {
		f.step(r)
	}
}

func (f *simFleet) stepPublisher(p *Publisher) {
	result, err := p.Step(context.Background())
	var rejected *findings.Error
	switch {
	case result != nil:
		f.reported[result.ID] = true
		f.accepted[result.ID] = acceptance{result.Offset, f.clock.Now()}
	case errors.As(err, &rejected) && !errors.Is(err, ErrOutcomeUnknown):
		f.reported[p.record.ID] = false
	case Retryable(err):
		return
	}
	f.publishers = slices.DeleteFunc(f.publishers, func(x *Publisher) bool { return x == p })
}

// publish starts a publication that changes the configuration in force on a
// router.
func (f *simFleet) publish(t *rapid.T) {
	name := rapid.SampledFrom([]string{"w0", "w1", "w2"}).Draw(t, "workspace")
	version := ""
	if len(f.routers) > 0 {
		seen := rapid.SampledFrom(f.routers).Draw(t, "seen").reader.Snapshot()
		if seen.Config != nil && seen.Config.Workspaces[name] != nil {
			version = seen.Config.Workspaces[name].Version
		}
	}
	f.published++
	id := fmt.Sprintf("rec-%03d", f.published)
	data := workspaceRecord(id, name, version)
	if version != "" && rapid.Bool().Draw(t, "delete") {
		data = deleteRecord(id, name, version)
	}
	p, err := NewPublisher(PublishOptions{Log: f.sim, Fleet: f, Clock: f.clock, File: "f"}, data)
	if err != nil {
		t.Fatal(err)
	}
	f.publishers = append(f.publishers, p)
}

// extendModel applies new records of the log to the model, which follows the
// documented rules and does not use the code under test.
func (f *simFleet) extendModel() {
	records := f.sim.Records(StreamName)
	for n := len(f.modelStates) - 1; n < len(records); n++ {
		next := maps.Clone(f.modelStates[n])
		f.modelStates = append(f.modelStates, next)
		var rec struct {
			ID      string
			Changes []struct {
				Name, Replaces string
				Delete         bool
			}
		}
		if IsCheckpoint(records[n].Data) || json.Unmarshal(records[n].Data, &rec) != nil {
			continue
		}
		if _, evaluated := f.modelAccepted[rec.ID]; evaluated {
			continue
		}
		c := rec.Changes[0]
		f.modelAccepted[rec.ID] = next[c.Name] == c.Replaces
		if !f.modelAccepted[rec.ID] {
			continue
		}
		next[c.Name] = rec.ID
		if c.Delete {
			delete(next, c.Name)
		}
	}
}

// checkInvariants checks that a record reported accepted is in force on every
// ready router and is never reverted or missing, and that a record reported
// rejected never takes effect.
func (f *simFleet) checkInvariants(t *rapid.T) {
	f.extendModel()
	for id, accepted := range f.reported {
		if accepted != f.modelAccepted[id] {
			t.Fatalf("record %s was reported accepted: %v, and took effect: %v", id, accepted, f.modelAccepted[id])
		}
	}
	for _, r := range f.routers {
		f.checkRouter(t, r)
	}
}

func (f *simFleet) checkRouter(t *rapid.T, r *simRouter) {
	snap := r.reader.Snapshot()
	if snap.Log.Applied < r.applied {
		t.Fatalf("state of router %s returned from offset %d to %d", r.name, r.applied, snap.Log.Applied)
	}
	r.applied = snap.Log.Applied
	if f.isCurrent(r) {
		for id, a := range f.accepted {
			// The publisher did not wait for a router that was removed from the list;
			// such a router has inForceLimit to stop being current.
			if r.staleList != nil && f.clock.Since(a.at) <= inForceLimit {
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
	if want := f.modelStates[snap.Log.Applied]; !maps.Equal(got, want) {
		t.Fatalf("router %s has %v in force at offset %d, want %v", r.name, got, snap.Log.Applied, want)
	}
}

// checkRecovery ends all faults and checks that all routers become current and
// that all publications end.
func (f *simFleet) checkRecovery(t *rapid.T) {
	f.endFaults()
	f.stepAll()
	f.stepAll()
	page, _ := f.sim.Read(context.Background(), StreamName, 0, 1, 0)
	// If the log dropped a record before any router read it, the configuration is
	// lost and no router may become ready.
	recoverable := false
	for _, r := range f.routers {
		log := r.reader.Snapshot().Log
		recoverable = recoverable || log.HasState && log.Applied >= page.Floor
	}
	for round := 0; round < 60; round++ {
		f.clock.Advance(time.Second)
		f.run(1)
		for _, r := range f.routers {
			if !f.isCurrent(r) {
				f.fetch(r)
			}
		}
		f.checkInvariants(t)
	}
	for _, r := range f.routers {
		if recoverable && !f.isCurrent(r) {
			t.Fatalf("router %s is not ready after all faults ended: %+v", r.name, r.reader.Snapshot().Log)
		}
	}
	if recoverable && len(f.publishers) > 0 {
		t.Fatalf("%d publications did not end after all faults ended", len(f.publishers))
	}
}

// Guards against an accepted configuration that is reverted, missing on a ready
// router or lost, under lost, late and repeated appends, log outages,
// partitions, pauses, retention, and the replacement of all routers.
func TestAcceptedConfigurationStaysInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := clockwork.NewFakeClockAt(time.Unix(1_800_000_000, 0))
		fleet := &simFleet{
			clock:         clock,
			sim:           logsim.New(logsim.Options{Clock: clock, Retention: fleetRetention}),
			accepted:      map[string]acceptance{},
			reported:      map[string]bool{},
			modelStates:   []map[string]string{{}},
			modelAccepted: map[string]bool{},
		}
		for i := 0; i < 3; i++ {
			fleet.start()
		}
		fleet.run(2)
		t.Repeat(fleet.actions())
		fleet.checkRecovery(t)
	})
}

func (f *simFleet) endFaults() {
	f.sim.ClearFaults()
	f.routers = f.listed()
	for _, r := range f.routers {
		r.link.SetCut(false)
		r.paused, r.side = false, 0
	}
}

// run steps all routers and publishers for a number of rounds.
func (f *simFleet) run(rounds int) {
	for ; rounds > 0; rounds-- {
		f.stepAll()
		for _, p := range slices.Clone(f.publishers) {
			f.stepPublisher(p)
		}
		f.clock.Advance(200 * time.Millisecond)
	}
}

// rarely draws 1 in one of four cases, otherwise 0.
func rarely(t *rapid.T, label string) int {
	return rapid.IntRange(0, 3).Draw(t, label) / 3
}

func skipIf(t *rapid.T, condition bool, reason string) {
	if condition {
		t.Skip(reason)
	}
}

func (f *simFleet) drawRouter(t *rapid.T) *simRouter {
	skipIf(t, len(f.routers) == 0, "no router")
	return rapid.SampledFrom(f.routers).Draw(t, "router")
}

func (f *simFleet) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"":        f.checkInvariants,
		"stepOne": func(t *rapid.T) { f.step(f.drawRouter(t)) },
		"stepAll": func(*rapid.T) { f.stepAll() },
		"start": func(t *rapid.T) {
			skipIf(t, len(f.routers) >= 6, "fleet is full")
			r := f.start()
			r.side = rarely(t, "side")
			if rapid.Bool().Draw(t, "fromPeer") {
				f.fetch(r)
			}
		},
		"stop":      func(t *rapid.T) { f.stop(f.drawRouter(t)) },
		"fetch":     func(t *rapid.T) { f.fetch(f.drawRouter(t)) },
		"pause":     func(t *rapid.T) { f.drawRouter(t).paused = rarely(t, "paused") == 1 },
		"partition": func(t *rapid.T) { f.drawRouter(t).side = rarely(t, "side") },
		"cutLog":    func(t *rapid.T) { f.drawRouter(t).link.SetCut(rarely(t, "cut") == 1) },
		// One router at a time is removed from the list while it is disconnected.
		// No rule could stop a removed majority, which cannot detect the others.
		"dropFromList": func(t *rapid.T) {
			r, all := f.drawRouter(t), f.listed()
			skipIf(t, len(all) < len(f.routers) || len(all) < 2, "another router is removed already, or this is the last one")
			r.staleList = f.vmList(r)
			r.link.SetCut(true)
			r.side = 1
		},
		"replaceAll": func(*rapid.T) {
			for _, old := range f.listed() {
				r := f.start()
				f.fetch(r)
				f.step(r)
				f.step(r)
				f.stop(old)
			}
		},
		"log": func(t *rapid.T) {
			f.sim.SetDown(rarely(t, "down") == 1)
			f.sim.SetReadsFail(rarely(t, "readsFail") == 1)
			f.sim.SetLoseAnswers(rapid.Bool().Draw(t, "lose"))
			f.sim.SetDelayAppends(rarely(t, "delay") == 1)
		},
		"release": func(t *rapid.T) { f.sim.ApplyDelayed(rapid.IntRange(0, 3).Draw(t, "appends")) },
		"operator": func(t *rapid.T) {
			skipIf(t, len(f.publishers) == 0, "no publisher")
			if rapid.Bool().Draw(t, "abandon") {
				f.publishers = f.publishers[1:]
				return
			}
			f.stepPublisher(rapid.SampledFrom(f.publishers).Draw(t, "publisher"))
		},
		"run": func(t *rapid.T) { f.run(rapid.IntRange(1, 12).Draw(t, "rounds")) },
		"publish": func(t *rapid.T) {
			skipIf(t, len(f.publishers) >= 4, "enough publishers")
			f.publish(t)
			f.run(rapid.IntRange(0, 12).Draw(t, "rounds"))
		},
		"endFaults": func(*rapid.T) { f.endFaults(); f.run(12) },
		"repeatAppend": func(t *rapid.T) {
			records := f.sim.Records(StreamName)
			skipIf(t, len(records) == 0, "empty log")
			data := rapid.SampledFrom(records).Draw(t, "record").Data
			_, _ = f.sim.Append(context.Background(), StreamName, [][]byte{data})
		},
		"wait": func(t *rapid.T) {
			f.clock.Advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
		},
		"waitLong": func(t *rapid.T) {
			for n := rapid.IntRange(1, 30).Draw(t, "half minutes"); n > 0; n-- {
				f.clock.Advance(30 * time.Second)
				f.stepAll()
			}
		},
	}
}
