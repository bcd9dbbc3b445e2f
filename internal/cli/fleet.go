package cli

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bluebellwell/bluebellwell/internal/fleetconfig"
	"github.com/bluebellwell/bluebellwell/internal/status"
	"github.com/bluebellwell/bluebellwell/internal/vmlist"
)

const (
	// statusTimeout bounds the status request to one router.
	statusTimeout = 2 * time.Second
	// maxStatusBytes bounds the status document of one router.
	maxStatusBytes = 4 << 20
	// maxParallelQueries bounds the concurrent status requests.
	maxParallelQueries = 32
)

var errOtherVM = errors.New("another VM answers at this address")

// routerView is one listed router with its status.
type routerView struct {
	VM vmlist.VM `json:"vm"`
	// Error is the reason for a missing status; empty for a router that answered.
	Error  string         `json:"error,omitempty"`
	Status *status.Router `json:"status,omitempty"`
}

// fleetClient queries the VM list and the routers over HTTP. It implements
// fleetconfig.FleetStatus and is not safe for concurrent use.
type fleetClient struct {
	vms  *vmlist.Client
	http *http.Client
	// previouslyListed holds the names of the routers in this and earlier lists.
	previouslyListed map[string]bool
}

// view returns the VM list and every listed router, sorted by name.
func (f *fleetClient) view(ctx context.Context) (*vmlist.List, []routerView, error) {
	list, err := f.vms.Fetch(ctx)
	if err != nil {
		return nil, nil, err
	}
	var routers []routerView
	for _, vm := range list.VMs {
		if vm.Role == vmlist.RoleRouter {
			routers = append(routers, routerView{VM: vm})
		}
	}
	slices.SortFunc(routers, func(a, b routerView) int { return strings.Compare(a.VM.Name, b.VM.Name) })
	f.queryAll(ctx, routers)
	return list, routers, nil
}

func (f *fleetClient) queryAll(ctx context.Context, routers []routerView) {
	var wg sync.WaitGroup
	slots := make(chan struct{}, maxParallelQueries)
	for i := range routers {
		slots <- struct{}{}
		wg.Add(1)
		go func() {
			defer wg.Done()
			f.queryRouter(ctx, &routers[i])
			<-slots
		}()
	}
	wg.Wait()
}

func (f *fleetClient) queryRouter(ctx context.Context, r *routerView) {
	doc, err := f.fetchStatus(ctx, r.VM.Addr)
	if err == nil && doc.VM != r.VM.Name {
		err = eris.Wrapf(errOtherVM, "%s", doc.VM)
	}
	if err != nil {
		r.Error = err.Error()
		return
	}
	r.Status = doc
}

func (f *fleetClient) fetchStatus(ctx context.Context, addr string) (*status.Router, error) {
	var doc status.Router
	if err := fetchStatus(ctx, f.http, addr, "/admin/status", &doc); err != nil {
		return nil, err
	}
	return &doc, nil
}

// fetchStatus requests the status document of the router at addr and decodes it
// into doc.
func fetchStatus(ctx context.Context, hc *http.Client, addr, path string, doc any) error {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return err
	}
	resp, err := hc.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return eris.Errorf("GET %s: status %d", path, resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxStatusBytes)).Decode(doc)
	return eris.Wrap(err, "decode the status")
}

// Routers implements fleetconfig.FleetStatus. Routers that have left the list
// since an earlier call are reported as removed.
func (f *fleetClient) Routers(ctx context.Context) ([]fleetconfig.RouterStatus, error) {
	_, views, err := f.view(ctx)
	if err != nil {
		return nil, err
	}
	listed := map[string]bool{}
	var out []fleetconfig.RouterStatus
	for _, v := range views {
		listed[v.VM.Name] = true
		f.previouslyListed[v.VM.Name] = true
		out = append(out, v.routerStatus())
	}
	for name := range f.previouslyListed {
		if !listed[name] {
			out = append(out, fleetconfig.RouterStatus{VM: name, Removed: true})
		}
	}
	slices.SortFunc(out, func(a, b fleetconfig.RouterStatus) int { return strings.Compare(a.VM, b.VM) })
	return out, nil
}

func (v *routerView) routerStatus() fleetconfig.RouterStatus {
	s := fleetconfig.RouterStatus{VM: v.VM.Name}
	if v.Status != nil {
		s.Answered = true
		s.InForce = v.Status.Config.NextOffset
		s.Versions = v.Status.Config.SchemaVersions
	}
	return s
}
