// Package vmsim is an in-memory stand-in for the platform's VM list, with
// switches for its faults.
package vmsim

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bluebellwell/bluebellwell/internal/vmlist"
)

// ClientHeader names the client whose view is asked for. Clients without it
// are known by their IP address.
const ClientHeader = "X-Client-Vm"

type snapshot struct {
	at   time.Time
	list vmlist.List
}

// Sim is the VM list. It is safe for concurrent use.
type Sim struct {
	clock clockwork.Clock

	mu      sync.Mutex
	history []snapshot
	lag     time.Duration
	lags    map[string]time.Duration
	down    bool
	downFor map[string]bool
	pinned  map[string]vmlist.List
}

// New returns a list of the given VMs at version 1.
func New(clock clockwork.Clock, vms ...vmlist.VM) *Sim {
	return &Sim{
		clock:   clock,
		history: []snapshot{{at: clock.Now(), list: vmlist.List{Version: 1, VMs: slices.Clone(vms)}}},
		lags:    map[string]time.Duration{},
		downFor: map[string]bool{},
		pinned:  map[string]vmlist.List{},
	}
}

// Put adds a VM or replaces the one with the same name.
func (s *Sim) Put(vm vmlist.VM) {
	s.change(func(vms []vmlist.VM) []vmlist.VM {
		return append(without(vms, vm.Name), vm)
	})
}

// Remove drops a VM from the list.
func (s *Sim) Remove(name string) {
	s.change(func(vms []vmlist.VM) []vmlist.VM { return without(vms, name) })
}

// SetLeaving marks a VM as leaving.
func (s *Sim) SetLeaving(name string) {
	s.change(func(vms []vmlist.VM) []vmlist.VM {
		for i := range vms {
			if vms[i].Name == name {
				vms[i].State = vmlist.StateLeaving
			}
		}
		return vms
	})
}

// SetLag makes clients see changes later by d.
func (s *Sim) SetLag(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lag = d
}

// SetClientLag adds d to the lag of one client.
func (s *Sim) SetClientLag(client string, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lags[client] = d
}

// SetDown makes all requests fail with 503.
func (s *Sim) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetClientDown makes the requests of one client fail with 503.
func (s *Sim) SetClientDown(client string, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.downFor[client] = down
}

// Pin gives one client a fixed view until Unpin.
func (s *Sim) Pin(client string, list vmlist.List) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pinned[client] = list
}

// Unpin ends the fixed view of a client.
func (s *Sim) Unpin(client string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pinned, client)
}

// List returns the newest list.
func (s *Sim) List() vmlist.List {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.history[len(s.history)-1].list
}

func (s *Sim) change(f func([]vmlist.VM) []vmlist.VM) {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.history[len(s.history)-1].list
	next := vmlist.List{Version: last.Version + 1, VMs: f(slices.Clone(last.VMs))}
	s.history = append(s.history, snapshot{at: s.clock.Now(), list: next})
}

func without(vms []vmlist.VM, name string) []vmlist.VM {
	return slices.DeleteFunc(vms, func(vm vmlist.VM) bool { return vm.Name == name })
}

// view returns what a client sees now; ok is false while it is down.
func (s *Sim) view(client string) (list vmlist.List, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down || s.downFor[client] {
		return vmlist.List{}, false
	}
	if list, pinned := s.pinned[client]; pinned {
		return list, true
	}
	seen := s.clock.Now().Add(-s.lag - s.lags[client])
	for i := len(s.history) - 1; i > 0; i-- {
		if !s.history[i].at.After(seen) {
			return s.history[i].list, true
		}
	}
	return s.history[0].list, true
}

// ServeHTTP answers GET /vms.
func (s *Sim) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || r.URL.Path != "/vms" {
		http.NotFound(w, r)
		return
	}
	list, ok := s.view(clientOf(r))
	if !ok {
		http.Error(w, "VM list is down", http.StatusServiceUnavailable)
		return
	}
	etag := `"` + strconv.FormatUint(list.Version, 10) + `"`
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}

func clientOf(r *http.Request) string {
	if name := r.Header.Get(ClientHeader); name != "" {
		return name
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}
