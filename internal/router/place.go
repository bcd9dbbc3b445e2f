package router

import (
	"sort"
	"strconv"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/dispatch"
	"github.com/bluebellwell/bluebellwell/internal/placement"
	"github.com/bluebellwell/bluebellwell/internal/poolowner"
	"github.com/bluebellwell/bluebellwell/internal/vmlist"
)

func (c *control) listedRouters() int {
	return len(c.routers())
}

func (c *control) selfListed() bool {
	for _, vm := range c.routers() {
		if vm.Name == c.r.settings.VM {
			return true
		}
	}
	return false
}

func (c *control) routers() []vmlist.VM {
	var list []vmlist.VM
	for _, vm := range c.list.VMs {
		if vm.Role == vmlist.RoleRouter {
			list = append(list, vm)
		}
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// place fills in the owners of pools and streams and assigns the pools.
func (c *control) place(now time.Time, s *state) {
	routers := c.routers()
	var names []string
	addr := map[string]string{}
	for _, vm := range routers {
		names = append(names, vm.Name)
		if vm.State == vmlist.StateLive {
			addr[vm.Name] = vm.PeerAddr
		}
		if vm.Name != c.r.settings.VM {
			s.peers = append(s.peers, dispatch.Target{VM: vm.Name, Addr: vm.PeerAddr})
		}
	}
	s.owners = map[string]dispatch.Target{}
	for pool := range s.entry.Config.Pools {
		s.owners[pool] = winner("pool/"+pool, addr)
	}
	if c.r.solo() {
		names = []string{c.r.settings.VM}
		for pool := range s.owners {
			s.owners[pool] = dispatch.Target{VM: c.r.settings.VM}
		}
	}
	for i := range c.r.settings.Intents.Streams {
		s.streams = append(s.streams, winner("intent/"+strconv.Itoa(i), addr))
	}
	var list []poolowner.Assignment
	for name, pool := range s.entry.Config.Pools {
		list = append(list, poolowner.Assignment{
			Pool:       pool,
			Workspaces: s.entry.Config.Workspaces,
			Servers:    c.servers(name),
			Owned:      s.owners[name].VM == c.r.settings.VM,
			Held:       names,
			Listed:     names,
			Stopping:   c.stopping && !s.entry.Accepting,
		})
	}
	c.r.owner.Assign(now, list)
}

// winner returns the router with the highest rendezvous weight for a key.
func winner(key string, addr map[string]string) dispatch.Target {
	var best dispatch.Target
	var top uint64
	for name, a := range addr {
		h := placement.Hash(key + "\x00" + name)
		if best.VM == "" || h > top || h == top && name < best.VM {
			best, top = dispatch.Target{VM: name, Addr: a}, h
		}
	}
	return best
}

func (c *control) servers(pool string) []poolowner.Server {
	var list []poolowner.Server
	for _, vm := range c.list.VMs {
		if vm.Pool != pool || vm.Role == vmlist.RoleRouter {
			continue
		}
		st := placement.Up
		if vm.State == vmlist.StateLeaving {
			st = placement.Leaving
		}
		list = append(list, poolowner.Server{Name: vm.Name, Addr: vm.Addr, State: st, Weight: 1})
	}
	return list
}
