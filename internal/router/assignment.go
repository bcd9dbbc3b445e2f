package router

import (
	"slices"
	"sort"
	"strconv"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/dispatch"
	"github.com/bluebellwell/bluebellwell/internal/membership"
	"github.com/bluebellwell/bluebellwell/internal/placement"
	"github.com/bluebellwell/bluebellwell/internal/poolowner"
	"github.com/bluebellwell/bluebellwell/internal/status"
)

// fillOwners sets the owners of pools and streams in s and assigns the pools.
func (c *control) fillOwners(now time.Time, s *state) {
	addr := c.usableAddresses(s)
	s.owners = map[string]dispatch.Target{}
	for pool := range c.config.Pools {
		if t := c.ownerTarget(pool); t.VM != "" {
			s.owners[pool] = t
		}
	}
	for i := range c.r.settings.Intents.Streams {
		s.streams = append(s.streams, rendezvousOwner("intent/"+strconv.Itoa(i), addr))
	}
	s.ordersCandidate = rendezvousOwner(ordersKey, addr).VM == c.r.settings.VM
	s.rank = slices.Index(c.view.Usable, c.r.settings.VM)
	s.vmList = c.vmListStatus(now)
	c.assignPools(now)
}

// usableAddresses returns the addresses of the routers that may own pools. It
// sets the peers in s.
func (c *control) usableAddresses(s *state) map[string]string {
	addr := map[string]string{}
	for _, r := range c.view.Routers {
		if r.VM.Name != c.r.settings.VM && !r.Suspected {
			s.peers = append(s.peers, dispatch.Target{VM: r.VM.Name, Addr: r.VM.PeerAddr})
		}
		if r.Usable() {
			addr[r.VM.Name] = r.VM.PeerAddr
		}
	}
	return addr
}

// leaseMargin is how long before their expiry votes no longer count, so that an
// assignment never ends before the next one is made.
const leaseMargin = 2 * controlTick

// assignPools passes the assignments of all pools to the pool owner service. This
// router owns a pool while it holds more than half of the votes.
func (c *control) assignPools(now time.Time) {
	list := make([]poolowner.Assignment, 0, len(c.config.Pools))
	for name, pool := range c.config.Pools {
		a := poolowner.Assignment{Pool: pool, Workspaces: c.config.Workspaces, Servers: c.servers(name), ListedRouters: c.view.ListedRouters}
		if c.r.localAdmission() {
			a.Owned = true
		} else {
			a.Candidate = c.ownership.Owner(name) == c.r.settings.VM
			a.LeaseEnd, a.Owned = c.shares[name].MajorityExpiry(now.Add(leaseMargin))
		}
		list = append(list, a)
	}
	c.r.poolOwner.Assign(now, list)
}

// vmListStatus returns the part of the status document about the VM list.
func (c *control) vmListStatus(now time.Time) status.VMList {
	v := status.VMList{Version: c.view.ListVersion, AgeMs: now.Sub(c.listReadAt).Milliseconds(), Routers: c.view.ListedRouters}
	for _, r := range c.view.Routers {
		if r.Suspected {
			v.Suspected = append(v.Suspected, r.VM.Name)
		}
		if r.Leaving || r.Stopping {
			v.Leaving = append(v.Leaving, r.VM.Name)
		}
	}
	for _, servers := range c.view.Engines {
		for _, e := range servers {
			switch e.State {
			case membership.EngineDown:
				v.Down = append(v.Down, e.VM.Name)
			case membership.EngineLeaving:
				v.Leaving = append(v.Leaving, e.VM.Name)
			}
		}
	}
	sort.Strings(v.Leaving)
	sort.Strings(v.Down)
	return v
}

// rendezvousOwner returns the router with the highest rendezvous weight for a key.
func rendezvousOwner(key string, addr map[string]string) dispatch.Target {
	var best dispatch.Target
	var bestHash uint64
	for name, a := range addr {
		h := placement.Hash(key + "\x00" + name)
		if best.VM == "" || h > bestHash || h == bestHash && name < best.VM {
			best, bestHash = dispatch.Target{VM: name, Addr: a}, h
		}
	}
	return best
}

// placementStates maps the membership state of a server to its placement state.
var placementStates = map[membership.EngineState]placement.State{
	membership.EngineUp:      placement.Up,
	membership.EngineDamped:  placement.Damped,
	membership.EngineDown:    placement.Down,
	membership.EngineLeaving: placement.Leaving,
}

func (c *control) servers(pool string) []poolowner.Server {
	engines := c.view.Engines[pool]
	list := make([]poolowner.Server, len(engines))
	for i, e := range engines {
		list[i] = poolowner.Server{
			Name:   e.VM.Name,
			Addr:   e.VM.Addr,
			State:  placementStates[e.State],
			Weight: 1,
		}
	}
	return list
}
