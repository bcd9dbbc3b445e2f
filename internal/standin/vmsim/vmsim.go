// Package vmsim is a stand-in for the platform's VM list, with switches for
// lag, outages and different views for different clients.
package vmsim

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bluebellwell/bluebellwell/internal/vmlist"
)

// List is the in-memory list. It is safe for concurrent use.
type List struct {
	clock clockwork.Clock

	mu      sync.Mutex
	version uint64
	vms     []vmlist.VM
	history []listVersion
	lag     time.Duration
	down    bool
	hidden  map[string]map[string]bool
}

// listVersion is a version with the time from which it is visible.
type listVersion struct {
	list      *vmlist.List
	visibleAt time.Time
}

// New returns an empty list.
func New(clock clockwork.Clock) *List {
	return NewAt(clock, 0)
}

// NewAt returns an empty list whose versions start above version. Routers ignore
// a list that is older than theirs, so a restarted stand-in must not begin at 1.
func NewAt(clock clockwork.Clock, version uint64) *List {
	l := &List{clock: clock, hidden: map[string]map[string]bool{}, version: version}
	l.publish()
	return l
}

// Replace replaces the whole list with vms, as one version.
func (l *List) Replace(vms []vmlist.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms = slices.Clone(vms)
	l.publish()
}

// Set adds or replaces a VM.
func (l *List) Set(vm vmlist.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	i := l.index(vm.Name)
	if i < 0 {
		l.vms = append(l.vms, vm)
	} else {
		l.vms[i] = vm
	}
	l.publish()
}

// SetState changes the state of a VM.
func (l *List) SetState(name string, s vmlist.State) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := l.index(name); i >= 0 {
		l.vms[i].State = s
		l.publish()
	}
}

// Remove deletes a VM.
func (l *List) Remove(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if i := l.index(name); i >= 0 {
		l.vms = slices.Delete(l.vms, i, i+1)
		l.publish()
	}
}

// SetLag delays the visibility of later changes.
func (l *List) SetLag(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = d
}

// SetDown makes the service answer 503.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// Hide sets whether a VM is left out of the list that a viewer sees. The viewer is
// part of the request path, see Handler.
func (l *List) Hide(viewer, vm string, hidden bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hidden[viewer] == nil {
		l.hidden[viewer] = map[string]bool{}
	}
	l.hidden[viewer][vm] = hidden
	l.publish()
}

// Current returns the newest version, ignoring lag.
func (l *List) Current() *vmlist.List {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.history[len(l.history)-1].list
}

func (l *List) index(name string) int {
	return slices.IndexFunc(l.vms, func(v vmlist.VM) bool { return v.Name == name })
}

func (l *List) publish() {
	l.version++
	list := &vmlist.List{Version: l.version, VMs: slices.Clone(l.vms)}
	l.history = append(l.history, listVersion{list: list, visibleAt: l.clock.Now().Add(l.lag)})
}

// visibleList returns the newest version that is visible, without the VMs hidden
// from viewer, and drops the versions before it.
func (l *List) visibleList(viewer string) (*vmlist.List, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		return nil, false
	}
	now := l.clock.Now()
	newest := 0
	for i, v := range l.history {
		if !v.visibleAt.After(now) {
			newest = i
		}
	}
	l.history = l.history[newest:]
	list := l.history[0].list
	hidden := l.hidden[viewer]
	if len(hidden) == 0 {
		return list, true
	}
	view := &vmlist.List{Version: list.Version}
	for _, vm := range list.VMs {
		if !hidden[vm.Name] {
			view.VMs = append(view.VMs, vm)
		}
	}
	return view, true
}

// Handler serves GET /vms, and GET /view/{viewer}/vms for a viewer with its own
// view.
func (l *List) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /vms", func(w http.ResponseWriter, r *http.Request) { l.serve(w, r, "") })
	mux.HandleFunc("GET /view/{viewer}/vms", func(w http.ResponseWriter, r *http.Request) {
		l.serve(w, r, r.PathValue("viewer"))
	})
	return mux
}

func (l *List) serve(w http.ResponseWriter, r *http.Request, viewer string) {
	list, available := l.visibleList(viewer)
	if !available {
		http.Error(w, "the list is not available", http.StatusServiceUnavailable)
		return
	}
	tag := `"` + strconv.FormatUint(list.Version, 10) + `"`
	w.Header().Set("ETag", tag)
	if strings.TrimSpace(r.Header.Get("If-None-Match")) == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(list)
}
