package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/vmlist"
)

// Router is the state of a listed router.
type Router struct {
	VM vmlist.VM
	// BootID is 0 until a heartbeat of the router was received or reported.
	BootID    uint64
	Suspected bool
	Stopping  bool
	// Leaving is set when the VM list marks the router as leaving.
	Leaving bool
	// ConfigOffset, LogAge and Ready come from the last heartbeat, received at
	// ReceivedAt. All are zero for routers that send their heartbeats to others.
	ConfigOffset uint64
	LogAge       time.Duration
	Ready        bool
	ReceivedAt   time.Time
}

// Usable reports whether the router may own pools.
func (r Router) Usable() bool {
	return !r.Suspected && !r.Stopping && !r.Leaving
}

// View is an immutable snapshot of the membership.
type View struct {
	Self        string
	ListVersion uint64
	// ListedRouters is the number of routers in the VM list in any state.
	ListedRouters int
	// SelfListed is set when this router is in the VM list.
	SelfListed bool
	// Routers are all listed routers by name, this one included.
	Routers []Router
	// Usable are the names of the routers that may own pools, sorted. It
	// always holds this router unless it is stopping.
	Usable []string
	// Engines are the engines and backend servers by pool, sorted by name.
	Engines map[string][]Engine
}

// Router returns the listed router with the given name.
func (v *View) Router(name string) (Router, bool) {
	for _, r := range v.Routers {
		if r.VM.Name == name {
			return r, true
		}
	}
	return Router{}, false
}

// View returns a snapshot of the current state.
func (m *Membership) View() *View {
	v := &View{Self: m.self, ListVersion: m.list.Version, Engines: map[string][]Engine{}}
	for _, vm := range m.list.VMs {
		if vm.Role != vmlist.RoleRouter {
			continue
		}
		r := m.router(vm)
		v.ListedRouters++
		v.SelfListed = v.SelfListed || vm.Name == m.self
		v.Routers = append(v.Routers, r)
		if vm.Name != m.self && r.Usable() {
			v.Usable = append(v.Usable, vm.Name)
		}
	}
	if !m.stopping {
		v.Usable = append(v.Usable, m.self)
	}
	slices.Sort(v.Usable)
	slices.SortFunc(v.Routers, func(a, b Router) int { return compareNames(a.VM, b.VM) })
	for _, name := range slices.Sorted(maps.Keys(m.engines)) {
		e := m.engines[name]
		v.Engines[e.vm.Pool] = append(v.Engines[e.vm.Pool], Engine{VM: e.vm, State: e.state(), Since: e.since})
	}
	return v
}

func (m *Membership) router(vm vmlist.VM) Router {
	r := Router{VM: vm, Leaving: vm.State == vmlist.StateLeaving}
	if vm.Name == m.self {
		r.BootID, r.Stopping = m.boot, m.stopping
		return r
	}
	p := m.peers[vm.Name]
	r.BootID, r.Suspected, r.Stopping = p.latest.boot, p.suspected, p.stopping()
	if p.received != nil {
		r.ConfigOffset = p.received.GetConfigOffset()
		r.LogAge = time.Duration(p.received.GetLogAgeMs()) * time.Millisecond
		r.Ready = p.received.GetReady()
		r.ReceivedAt = p.receivedAt
	}
	return r
}

func compareNames(a, b vmlist.VM) int {
	if a.Name < b.Name {
		return -1
	}
	return 1
}
