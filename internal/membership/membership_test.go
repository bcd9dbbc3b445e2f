package membership

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellwell/bluebellwell/internal/meter"
	"github.com/bluebellwell/bluebellwell/internal/peerpb"
	"github.com/bluebellwell/bluebellwell/internal/vmlist"
)

const simStep = 5 * time.Millisecond

// fleet simulates routers whose messages take one step.
type fleet struct {
	now     time.Time
	names   []string
	members map[string]*Membership
	dead    map[string]bool
	// isCut reports whether messages and probes from one router to another are
	// dropped.
	isCut func(from, to string) bool
	// silentRouter names a router that sends no heartbeats but answers probes.
	silentRouter string
	deliveries   []func()
	bytes        int
	sent         int
}

func newFleet(n int) *fleet {
	f := &fleet{now: time.UnixMilli(1e12), members: map[string]*Membership{}, dead: map[string]bool{}, isCut: func(a, b string) bool { return false }}
	list := &vmlist.List{Version: 1}
	for i := range n {
		name := fmt.Sprintf("vm-%02d", i)
		f.names = append(f.names, name)
		list.VMs = append(list.VMs, vmlist.VM{Name: name, Role: "router", PeerAddr: name, State: "live"})
	}
	for i, name := range f.names {
		f.members[name] = New(name, uint64(i+1))
		f.members[name].SetList(f.now, list)
	}
	return f
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(simStep)
		deliveries := f.deliveries
		f.deliveries = nil
		for _, deliver := range deliveries {
			deliver()
		}
		for _, name := range f.names {
			if !f.dead[name] {
				f.step(name, f.members[name])
			}
		}
	}
}

func (f *fleet) step(name string, m *Membership) {
	if f.now.UnixMilli()%TickInterval.Milliseconds() == 0 {
		for _, p := range m.Tick(f.now) {
			m.RecordProbeResult(f.now, p.Name, !f.dead[p.Name] && !f.isCut(name, p.Name))
		}
	}
	if !m.HeartbeatDue(f.now) {
		return
	}
	hb := m.BuildHeartbeat(f.now)
	for _, to := range m.Targets() {
		f.sent++
		f.bytes += proto.Size(&peerpb.Envelope{Body: &peerpb.Envelope_Heartbeat{Heartbeat: hb}})
		if !f.isCut(name, to.Name) && name != f.silentRouter {
			f.deliveries = append(f.deliveries, func() {
				if !f.dead[to.Name] {
					f.members[to.Name].ReceiveHeartbeat(f.now, hb)
				}
			})
		}
	}
}

// allViewsMatch reports whether every running router has name in the wanted state.
func (f *fleet) allViewsMatch(name string, want func(Router) bool) bool {
	for _, other := range f.names {
		if r, ok := f.members[other].View().Router(name); !f.dead[other] && (!ok || !want(r)) {
			return false
		}
	}
	return true
}

func suspected(r Router) bool { return r.Suspected }
func usable(r Router) bool    { return r.Usable() }

// Guards against routers that suspect an ended router too late, above all when
// all routers that watch it end at the same time.
func TestAllRoutersSuspectEndedRouterWithin4Seconds(t *testing.T) {
	for _, n := range []int{3, 7, 9, 57} {
		for deaths := 1; deaths <= min(3, n-2); deaths++ {
			for phase := range 4 {
				f := newFleet(n)
				f.run(5*time.Second + time.Duration(phase)*330*time.Millisecond)
				ring := f.members[f.names[0]].ring("")
				for _, name := range ring[1 : 1+deaths] {
					f.dead[name] = true
				}
				f.run(4 * time.Second)
				for _, name := range ring[1 : 1+deaths] {
					if !f.allViewsMatch(name, suspected) {
						t.Errorf("%d routers, %d neighbours ended: %s is not suspected by all", n, deaths, name)
					}
				}
				for _, name := range f.names {
					if !f.dead[name] && !f.allViewsMatch(name, usable) {
						t.Errorf("%d routers: running %s is suspected", n, name)
					}
				}
			}
		}
	}
}

// Guards against a router that stays suspected after a pause, and against one
// broken path that makes a running router suspected for more than 6 of 60 s.
func TestSuspicionIsRefuted(t *testing.T) {
	f := newFleet(9)
	f.run(3 * time.Second)
	victim := f.members[f.names[0]].ring("")[4]
	f.dead[victim] = true
	f.run(5 * time.Second)
	f.dead[victim] = false
	f.run(2 * time.Second)
	if !f.allViewsMatch(victim, usable) {
		t.Error("resumed router is still suspected")
	}
	watcher := f.members[victim].Targets()[0].Name
	f.isCut = func(from, to string) bool { return from == victim && to == watcher || from == watcher && to == victim }
	suspectedSeconds := 0
	for range 60 {
		f.run(time.Second)
		if r, _ := f.members[f.names[0]].View().Router(victim); r.Suspected {
			suspectedSeconds++
		}
	}
	if suspectedSeconds > 6 {
		t.Errorf("one broken path made the router suspected in %d of 60 s, want at most 6", suspectedSeconds)
	}
}

// Guards against a suspicion without a failed probe: a router with another view
// of the ring sends its heartbeats to other routers.
func TestSilentRouterThatAnswersProbesIsNotSuspected(t *testing.T) {
	f := newFleet(5)
	f.silentRouter = f.names[2]
	for range 20 {
		f.run(500 * time.Millisecond)
		if !f.allViewsMatch(f.silentRouter, usable) {
			t.Fatal("router that sends no heartbeats but answers probes is suspected")
		}
	}
}

// Guards against a stop that does not reach all routers, and against a restarted
// VM that inherits the stop of its previous boot.
func TestStopSpreadsAndEndsWithTheBoot(t *testing.T) {
	f := newFleet(9)
	f.run(2 * time.Second)
	name := f.names[3]
	f.members[name].SetStopping(f.now)
	f.run(200 * time.Millisecond)
	if !f.allViewsMatch(name, func(r Router) bool { return r.Stopping }) {
		t.Fatal("stop did not reach all routers within 200 ms")
	}
	next := New(name, 100)
	next.SetList(f.now, f.members[name].list)
	f.members[name] = next
	f.run(10 * time.Second)
	for _, watcher := range next.Targets() {
		if r, _ := f.members[watcher.Name].View().Router(name); !r.Usable() {
			t.Errorf("%s does not have the restarted router as usable: %+v", watcher.Name, r)
		}
	}
	if !f.allViewsMatch(name, usable) {
		t.Error("restarted router is not usable in the view of every router")
	}
}

// Guards against updates that heartbeats repeat for as long as a fault lasts.
func TestHeartbeatCost(t *testing.T) {
	f := newFleet(9)
	f.run(5 * time.Second)
	f.dead[f.names[1]], f.dead[f.names[5]] = true, true
	f.run(20 * time.Second)
	f.sent, f.bytes = 0, 0
	f.run(16 * time.Second)
	if f.sent > 7*2*17 || f.bytes/f.sent > 60 {
		t.Errorf("%d heartbeats of %d bytes in 16 s, want at most 17 from each of 7 routers to 2 neighbours, of at most 60 bytes", f.sent, f.bytes/f.sent)
	}
}

// Guards against rendezvous homes that move to a flapping engine each time that
// it recovers, and against a hold without bound.
func TestFlappingEngineIsDamped(t *testing.T) {
	now := time.UnixMilli(1e12)
	m := New("r", 1)
	vm := vmlist.VM{Name: "e", Role: "engine", Pool: "p", Addr: "a", State: "live"}
	m.SetList(now, &vmlist.List{Version: 1, VMs: []vmlist.VM{vm}})
	state := func() EngineState { return m.View().Engines["p"][0].State }
	var holds []time.Duration
	for range 8 {
		m.RecordEngineResult(now, "e", false)
		if state() == EngineDown {
			t.Fatal("one failure takes the engine down")
		}
		m.RecordEngineResult(now, "e", false)
		if state() != EngineDown {
			t.Fatalf("engine is %v after two failures", state())
		}
		m.RecordEngineResult(now, "e", true)
		upAt := now
		for state() == EngineDamped && now.Sub(upAt) < time.Hour {
			now = now.Add(time.Second)
			m.Tick(now)
		}
		holds = append(holds, now.Sub(upAt))
	}
	if holds[0] != minHold || holds[1] != 2*minHold || holds[7] != maxHold {
		t.Errorf("holds %v, want the minimum, then twice as long, and the maximum in the end", holds)
	}
	vm.State = "leaving"
	m.SetList(now, &vmlist.List{Version: 2, VMs: []vmlist.VM{vm}})
	m.RecordEngineResult(now, "e", true)
	if state() != EngineLeaving {
		t.Errorf("leaving engine is %v", state())
	}
	vm.State = "live"
	if m.SetList(now, &vmlist.List{Version: 1, VMs: []vmlist.VM{vm}}) || state() != EngineLeaving {
		t.Error("older list was applied")
	}
}

// BenchmarkHeartbeats measures heartbeats without updates: B/s for a router, sent
// and received, and the time of one control tick that receives two heartbeats
// and builds one.
func BenchmarkHeartbeats(b *testing.B) {
	for _, n := range []int{8, 64, 340} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newFleet(n)
			f.run(2 * time.Second)
			f.sent, f.bytes = 0, 0
			f.run(4 * time.Second)
			framing := f.sent * meter.PeerMessageBytes(0)
			m := f.members[f.names[0]]
			sources := m.neighbours(-1)
			b.ReportAllocs()
			for b.Loop() {
				f.now = f.now.Add(TickInterval)
				m.Tick(f.now)
				for _, name := range sources {
					m.ReceiveHeartbeat(f.now, f.members[name].BuildHeartbeat(f.now))
				}
				m.BuildHeartbeat(f.now)
				m.Targets()
			}
			b.ReportMetric(float64(2*(f.bytes+framing))/4/float64(n), "B/s")
		})
	}
}
