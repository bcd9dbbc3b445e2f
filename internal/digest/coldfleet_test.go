package digest

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/balance"
	"github.com/bluebellwell/bluebellwell/internal/namedlimit"
	"github.com/bluebellwell/bluebellwell/internal/registry"
)

const (
	fleetServers  = 60
	fleetCold     = 30
	coldPerSecond = 9.2
	// coldBound is the most requests that may arrive at a cold server in a second.
	coldBound = 18
	coldFrom  = 11 * time.Second
	coldFor   = 20 * time.Second
	fleetEnd  = coldFrom + coldFor
	// burstPerSecond is 2.2 times what callers send on a usual day to these servers.
	burstPerSecond = 2.2 * 900
	fleetStep      = 10 * time.Millisecond
)

var coldSeed = flag.Uint64("cold.seed", 5, "seed of the fleets with cold servers")

var fleetStart = time.Unix(1_000_000, 0)

// coldFleet replays routers that exchange digests, and callers that send requests by them. All is in memory, with a simulated
// clock.
type coldFleet struct {
	rng     *rand.Rand
	now     time.Duration
	routers []*fleetRouter
	servers []*registry.Server
	// lost reports whether datagrams from one router to another are lost now.
	lost func(from, to int) bool
	// delay is the longest time from a router to a server.
	delay time.Duration
	// arrivals has the requests that have arrived at each cold server.
	arrivals map[string][]coldArrival
	ending   []fleetRequest
}

// coldArrival is a request at a cold server.
type coldArrival struct {
	at   time.Duration
	from *fleetRouter
}

type fleetRequest struct {
	at     time.Duration
	router *fleetRouter
	pool   *balance.Pool
	key    registry.Key
}

type fleetRouter struct {
	addr   netip.Addr
	sender uint64
	peers  *Peers
	pool   *balance.Pool
	down   bool
	frozen bool
	// behind is by how much its clock is late, since it does not run while the router is frozen.
	behind time.Duration
	// nextAt is when its next regular digest is due, and sharesAt when its shares were computed last.
	nextAt, sharesAt time.Duration
	shares           map[uint64]namedlimit.Share
}

// clearShares makes the shares be computed anew, as an Exchange does.
func (r *fleetRouter) clearShares() {
	r.shares, r.peers.senders = make(map[uint64]namedlimit.Share), nil
}

func (f *coldFleet) clock(r *fleetRouter) time.Time { return fleetStart.Add(f.now - r.behind) }

func newColdFleet(routers int, seed uint64) *coldFleet {
	f := &coldFleet{
		rng: rand.New(rand.NewPCG(3, seed)), lost: func(int, int) bool { return false }, arrivals: map[string][]coldArrival{},
	}
	for i := range fleetServers {
		s := &registry.Server{ID: fmt.Sprintf("s%d", i), Pool: "p", Addr: fmt.Sprintf("10.1.0.%d:80", i), Slots: 8, DataCentre: "warm"}
		if i < fleetCold {
			s.DataCentre = "cold"
		}
		f.servers = append(f.servers, s)
	}
	for i := range routers {
		r := &fleetRouter{addr: netip.AddrFrom4([4]byte{10, 0, byte(i / 200), byte(i%200 + 1)})}
		f.start(r, f.servers[fleetCold:])
		f.routers = append(f.routers, r)
	}
	return f
}

// start starts a process of a router that knows some servers.
func (f *coldFleet) start(r *fleetRouter, servers []*registry.Server) {
	r.sender, r.down, r.nextAt = f.rng.Uint64(), false, f.now
	r.peers = NewPeers(r.addr, nil)
	r.peers.since = f.clock(r)
	r.pool = balance.NewPool(balance.Limits{CapFactor: 2, CapExtra: 3})
	r.clearShares()
	r.pool.SetLimitShare(func(server uint64) namedlimit.Share {
		share, ok := r.shares[server]
		if !ok {
			share = r.peers.Share(f.clock(r), server)
			r.shares[server] = share
		}
		return share
	})
	bounds := namedlimit.ColdBounds{PerSecond: coldPerSecond, Overage: 1.5, Extra: 5}
	r.pool.SetColdLimits(balance.ColdLimits{Start: coldFor, Bounds: bounds})
	r.pool.SetServers(servers)
}

// appear makes the cold servers appear at a router, at what is coldFrom by its clock unless it is restarted later.
func (f *coldFleet) appear(r *fleetRouter, at time.Time) {
	list := slices.Clone(f.servers[fleetCold:])
	for _, s := range f.servers[:fleetCold] {
		started := *s
		started.Start = registry.Start{At: at}
		list = append(list, &started)
	}
	r.pool.SetServers(list)
}

// digests sends the regular digests that are due.
func (f *coldFleet) digests() {
	for i, r := range f.routers {
		if r.down || r.frozen || f.now < r.nextAt {
			continue
		}
		now := f.clock(r)
		r.nextAt = f.now + spreadPeriod(periodFor(len(r.peers.tracked)), f.rng.Float64())
		m := &Message{Sender: r.sender}
		m.Heard, m.Routers = r.peers.hearing(now)
		for j, other := range f.routers {
			if i == j || other.down || other.frozen || f.lost(i, j) {
				continue
			}
			if other.peers.RecordMessage(f.clock(other), r.addr, m) {
				// The first message of a process is answered at once.
				other.clearShares()
				if !f.lost(j, i) {
					r.peers.RecordMessage(now, other.addr, &Message{Sender: other.sender})
				}
			}
		}
	}
}

// requests sends the requests of a step by random routers that run.
func (f *coldFleet) requests() {
	for n := f.rng.ExpFloat64() * burstPerSecond * fleetStep.Seconds(); n > f.rng.Float64(); n-- {
		r := f.routers[f.rng.IntN(len(f.routers))]
		if r.down || r.frozen {
			continue
		}
		now := f.clock(r)
		choice, ok := r.pool.Pick(now, balance.Job{Random: f.rng.Uint64()})
		if !ok {
			continue
		}
		r.pool.Begin(now, choice, balance.Job{})
		arrival := f.now + time.Duration(f.rng.Float64()*float64(f.delay))
		if choice.Server.DataCentre == "cold" {
			f.arrivals[choice.Server.ID] = append(f.arrivals[choice.Server.ID], coldArrival{arrival, r})
		}
		f.ending = append(f.ending, fleetRequest{at: arrival + 60*time.Millisecond, router: r, pool: r.pool, key: choice.Server.Key()})
	}
}

// reportLoads tells each router the loads of the others each 250 ms.
func (f *coldFleet) reportLoads() {
	if f.now%loadInterval != 0 {
		return
	}
	total := map[uint64]int{}
	for _, r := range f.routers {
		if !r.down {
			r.pool.InFlight(func(server uint64, n int) { total[server] += n })
		}
	}
	for _, r := range f.routers {
		if r.down || r.frozen {
			continue
		}
		others := maps.Clone(total)
		r.pool.InFlight(func(server uint64, n int) { others[server] -= n })
		r.pool.SetPeerInFlight(f.clock(r), func(server uint64) int { return others[server] }, true, totalLoadsAge)
	}
}

func (f *coldFleet) end() {
	f.ending = slices.DeleteFunc(f.ending, func(q fleetRequest) bool {
		if f.now < q.at || q.router.frozen {
			return false
		}
		q.pool.RecordProgress(f.clock(q.router), q.key)
		q.pool.End(f.clock(q.router), q.key, balance.Served)
		return true
	})
}

// run replays the fleet. What happens is called in each step before the requests.
func (f *coldFleet) run(happens func(f *coldFleet)) {
	appeared := false
	for f.now = 0; f.now < fleetEnd; f.now += fleetStep {
		f.digests()
		for _, r := range f.routers {
			if r.frozen {
				r.behind += fleetStep
			} else if f.now-r.sharesAt >= loadInterval {
				r.sharesAt = f.now
				r.clearShares()
			}
		}
		f.reportLoads()
		if f.now >= coldFrom && !appeared {
			appeared = true
			for _, r := range f.routers {
				f.appear(r, f.clock(r))
			}
		}
		happens(f)
		f.end()
		if f.now >= coldFrom-time.Second {
			f.requests()
		}
	}
}

// most returns the largest number of requests that arrived at a cold server within a second, the mean number a second and
// cold server, and how many servers got requests of two routers within a second.
func (f *coldFleet) most() (most int, mean float64, two int) {
	total := 0
	for _, list := range f.arrivals {
		slices.SortFunc(list, func(a, b coldArrival) int { return int(a.at - b.at) })
		first, several := 0, false
		for i, a := range list {
			for a.at-list[first].at > time.Second {
				first++
			}
			most = max(most, i-first+1)
			several = several || a.from != list[first].from
		}
		total += len(list)
		if several {
			two++
		}
	}
	return most, float64(total) / fleetCold / coldFor.Seconds(), two
}

// part returns a share of the routers, the first ones.
func (f *coldFleet) part(share float64) int { return int(share * float64(len(f.routers))) }

// restart returns what kills a share of the routers at a time and restarts them later.
func restart(share float64, at, back time.Duration) func(*coldFleet) {
	return func(f *coldFleet) {
		for i, r := range f.routers[:f.part(share)] {
			switch f.now {
			case at:
				r.down = true
			case back + time.Duration(i%50)*20*time.Millisecond:
				f.start(r, f.servers[fleetCold:])
				f.appear(r, fleetStart.Add(coldFrom))
			}
		}
	}
}

// freeze returns what freezes a share of the routers for a time.
func freeze(share float64, from, until time.Duration) func(*coldFleet) {
	return func(f *coldFleet) {
		for _, r := range f.routers[:f.part(share)] {
			r.frozen = f.now >= from && f.now < until
		}
	}
}

// cut returns what loses the datagrams of a part of the fleet to the others between two times, and in the other direction
// as well when both is set.
func cut(share float64, from, until time.Duration, both bool) func(*coldFleet) {
	return func(f *coldFleet) {
		n := f.part(share)
		f.lost = func(a, b int) bool {
			between := a < n && b >= n || both && a >= n && b < n
			return between && f.now >= from && f.now < until
		}
	}
}

// loseDatagrams loses a tenth of all datagrams.
func loseDatagrams(f *coldFleet) {
	f.lost = func(int, int) bool { return f.rng.IntN(10) == 0 }
}

// all returns what several faults do.
func all(faults ...func(*coldFleet)) func(*coldFleet) {
	return func(f *coldFleet) {
		for _, fault := range faults {
			fault(f)
		}
	}
}

// Guards against cold servers that crash because all routers together send them more than they tolerate, also while routers
// are killed and restarted, frozen, or cut off from others in one direction or both; and against ones that get nothing. The
// servers of a data centre are cold at once, and callers send a burst.
func TestFleetKeepsToTheRateOfColdServers(t *testing.T) {
	t.Parallel()
	const event = coldFrom + 2*time.Second
	for _, c := range []struct {
		name string
		// routers is the size of the fleet; 0 for 70.
		routers int
		// least is the least mean rate of a cold server.
		least   float64
		delay   time.Duration
		happens func(*coldFleet)
	}{
		{"undisturbed", 0, 5, 0, func(*coldFleet) {}},
		{"delayed on the way", 0, 5, 500 * time.Millisecond, func(*coldFleet) {}},
		{"0.6 of the routers killed and restarted", 0, 3, 0, restart(0.6, event, event+1500*time.Millisecond)},
		{"0.6 of the routers restarted as the servers start", 0, 2.5, 0, restart(0.6, coldFrom-time.Second, coldFrom+time.Second)},
		{"a tenth killed for good", 0, 4, 0, restart(0.1, event, fleetEnd)},
		{"a tenth frozen for 3 s", 0, 4, 0, freeze(0.1, event, event+3*time.Second)},
		{"a tenth frozen for 10 s", 0, 3, 0, freeze(0.1, event, event+10*time.Second)},
		{"a tenth frozen for 14 s", 0, 3, 0, freeze(0.1, event, event+14*time.Second)},
		{"half cut off in both directions", 0, 0, 0, cut(0.5, event, fleetEnd, true)},
		{"a tenth not heard by the others", 0, 3, 0, cut(0.1, event, fleetEnd, false)},
		{"0.4 not heard by the others", 0, 1, 0, cut(0.4, event, fleetEnd, false)},
		{"nine tenths not heard by the others", 0, 0, 0, cut(0.9, event, fleetEnd, false)},
		{"0.4 not heard for 10 s", 0, 2, 0, cut(0.4, event, event+10*time.Second, false)},
		{"0.6 killed and restarted while a tenth of the datagrams is lost", 0, 3, 0, all(loseDatagrams, restart(0.6, event, event+1500*time.Millisecond))},
		{"a tenth frozen, 0.4 killed, 0.3 not heard", 0, 1, 200 * time.Millisecond, all(cut(0.3, event, fleetEnd, false), restart(0.4, event+time.Second, event+4*time.Second), freeze(0.1, event+5*time.Second, event+11*time.Second))},
		{"seven routers, four killed and restarted", 7, 2, 0, restart(0.6, event, event+1500*time.Millisecond)},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newColdFleet(cmp.Or(c.routers, 70), *coldSeed)
			f.delay = c.delay
			f.run(c.happens)
			most, mean, two := f.most()
			t.Logf("%s: at most %d requests a second, %.1f on average, %d servers with two senders in a second", c.name, most, mean, two)
			if most > coldBound {
				t.Errorf("%d requests within a second at a cold server, want at most %d", most, coldBound)
			}
			if mean < c.least {
				t.Errorf("%.2f requests a second at a cold server, want at least %v", mean, c.least)
			}
		})
	}
}
