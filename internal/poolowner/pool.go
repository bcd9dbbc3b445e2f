package poolowner

import (
	"context"
	"reflect"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"github.com/bluebellwell/bluebellwell/internal/admission"
	"github.com/bluebellwell/bluebellwell/internal/backend"
	"github.com/bluebellwell/bluebellwell/internal/engineclient"
	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/kvmove"
	"github.com/bluebellwell/bluebellwell/internal/peerpb"
	"github.com/bluebellwell/bluebellwell/internal/placement"
	"github.com/bluebellwell/bluebellwell/internal/record"
)

// ownedPool is a pool that this router owns, claims or owned before.
type ownedPool struct {
	deps      Deps
	admission *admission.Pool
	runs      *runs
	adopted   *adoptionTable
	// ctx is cancelled when the service is killed.
	ctx     context.Context
	isOwned atomic.Bool
	// wasOwned is set until the running attempts have been reported to the next
	// owner.
	wasOwned atomic.Bool
	// killed suppresses frames, cancel calls and reports, as a crash would.
	killed *atomic.Bool

	mu sync.RWMutex
	// assignment is the one in force.
	assignment Assignment
	servers    map[string]Server
	// bootIDs holds the boot id of each engine's last answer.
	bootIDs  map[string]string
	engines  map[string]*engineclient.Client
	backends map[string]*backend.Client
	moves    moves
}

func newOwnedPool(ctx context.Context, deps Deps, a Assignment, killed *atomic.Bool) *ownedPool {
	p := &ownedPool{
		deps:     deps,
		ctx:      ctx,
		killed:   killed,
		adopted:  newAdoptionTable(),
		runs:     newRuns(),
		bootIDs:  map[string]string{},
		engines:  map[string]*engineclient.Client{},
		backends: map[string]*backend.Client{},
		moves:    moves{chatNames: kvmove.NewChatNames(0)},
	}
	var prefixes *placement.PrefixIndex
	if deps.PrefixIndexSize > 0 {
		prefixes = placement.NewPrefixIndex(deps.PrefixIndexSize)
	}
	var picker placement.Picker
	if deps.NewPicker != nil {
		picker = deps.NewPicker()
	}
	p.admission = admission.NewPool(
		admission.Config{Pool: a.Pool, Workspaces: a.Workspaces},
		admission.Deps{Rand: deps.Rand, Picker: picker, Prefixes: prefixes},
	)
	return p
}

func (p *ownedPool) owned() bool {
	return p.isOwned.Load()
}

// apply applies an assignment.
func (p *ownedPool) apply(now time.Time, a Assignment) {
	previous := p.setAssignment(a)
	if previous.Pool != a.Pool || !sameMap(previous.Workspaces, a.Workspaces) {
		p.admission.SetConfig(now, admission.Config{Pool: a.Pool, Workspaces: a.Workspaces})
	}
	if !slices.Equal(previous.Servers, a.Servers) || previous.Pool != nil && previous.Pool.CacheTokens != a.Pool.CacheTokens {
		p.admission.SetEngines(now, p.admissionEngines())
	}
	defer p.applyMoves(a)
	switch {
	case a.Stopping:
		p.handBack(now, admission.CodeStopping)
	case !a.Owned:
		p.handBack(now, admission.CodeNotOwner)
	case !p.isOwned.Swap(true):
		p.wasOwned.Store(true)
		p.deps.Events.Emit(event.AdmissionOpened, "pool", a.Pool.Name, "adopted", len(p.adoptions()))
		p.takeOver(now, a)
	case !previous.LeaseEnd.Equal(a.LeaseEnd):
		p.admission.SetLeaseEnd(now, a.LeaseEnd)
	}
}

// handBack returns the queue to the entry routers. Running attempts keep their
// slots.
func (p *ownedPool) handBack(now time.Time, code admission.Code) {
	if !p.isOwned.Swap(false) {
		return
	}
	p.deps.Events.Emit(event.AdmissionSuspended, "pool", p.assignment.Pool.Name, "code", string(code))
	p.stopMoves()
	p.clearCompleteList()
	p.admission.Suspend(now, code)
}

// setAssignment stores an assignment and returns the previous one, so that only
// differences are applied. Most assignments repeat the previous one, and applying
// one in full is costly for large pools.
func (p *ownedPool) setAssignment(a Assignment) Assignment {
	p.mu.Lock()
	defer p.mu.Unlock()
	previous := p.assignment
	p.assignment = a
	if slices.Equal(previous.Servers, a.Servers) {
		return previous
	}
	p.servers = make(map[string]Server, len(a.Servers))
	for _, s := range a.Servers {
		p.servers[s.Name] = s
	}
	p.closeUnusedClients()
	return previous
}

// sameMap compares maps by identity, since they are never modified after they
// were published: the configuration in force keeps its map until it changes.
func sameMap(a, b map[string]*record.Workspace) bool {
	return reflect.ValueOf(a).Pointer() == reflect.ValueOf(b).Pointer()
}

// closeUnusedClients closes the clients of addresses that no server uses.
func (p *ownedPool) closeUnusedClients() {
	used := map[string]bool{}
	for _, s := range p.servers {
		used[s.Addr] = true
	}
	for addr, c := range p.engines {
		if !used[addr] {
			c.Close()
			delete(p.engines, addr)
		}
	}
	for addr, c := range p.backends {
		if !used[addr] {
			c.Close()
			delete(p.backends, addr)
		}
	}
}

// admissionEngines converts the servers for admission.
func (p *ownedPool) admissionEngines() []admission.Engine {
	p.mu.RLock()
	defer p.mu.RUnlock()
	list := make([]admission.Engine, 0, len(p.servers))
	for _, s := range p.servers {
		if s.CacheTokens == 0 {
			s.CacheTokens = p.assignment.Pool.CacheTokens
		}
		list = append(list, admission.Engine{
			Name: s.Name, Weight: s.Weight, State: s.State, BootID: p.bootIDs[s.Name], CacheTokens: s.CacheTokens,
		})
	}
	return list
}

// recordBootID records the boot id of an engine. A new one means that the engine
// restarted and lost its cache.
func (p *ownedPool) recordBootID(now time.Time, engine, bootID string) {
	if bootID == "" {
		return
	}
	p.mu.Lock()
	previous := p.bootIDs[engine]
	p.bootIDs[engine] = bootID
	p.mu.Unlock()
	if previous != bootID {
		p.admission.SetEngines(now, p.admissionEngines())
	}
}

// engine returns the client of an engine, or nil.
func (p *ownedPool) engine(name string) *engineclient.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.servers[name]
	if !ok {
		return nil
	}
	c := p.engines[s.Addr]
	if c == nil {
		c = engineclient.New(engineclient.Options{
			BaseURL: "http://" + s.Addr,
			Meter:   p.deps.Meter,
			Clock:   p.deps.Clock,
		})
		p.engines[s.Addr] = c
	}
	return c
}

// backend returns the client of a plain backend server, or nil.
func (p *ownedPool) backend(name string) *backend.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.servers[name]
	if !ok {
		return nil
	}
	c := p.backends[s.Addr]
	if c == nil {
		c = backend.New(backend.Options{BaseURL: "http://" + s.Addr})
		p.backends[s.Addr] = c
	}
	return c
}

func (p *ownedPool) engineNames() []string {
	p.mu.RLock()
	defer p.mu.RUnlock()
	names := make([]string, 0, len(p.servers))
	for name := range p.servers {
		names = append(names, name)
	}
	return names
}

func (p *ownedPool) systemKey(workspace string) string {
	p.mu.RLock()
	defer p.mu.RUnlock()
	ws := p.assignment.Workspaces[workspace]
	if ws == nil || ws.SystemPromptKey == "" {
		return workspace
	}
	return ws.SystemPromptKey
}

func (p *ownedPool) isPlain() bool {
	p.mu.RLock()
	defer p.mu.RUnlock()
	return p.assignment.Pool.Type == record.PoolPlain
}

// maxRecentRuns is the number of requests whose engine is kept, so that a look-up
// of an answer queries one engine and not the whole pool.
const maxRecentRuns = 16_384

// runs holds the attempts that this router runs and the engines of recent
// requests.
type runs struct {
	mu        sync.Mutex
	byAttempt map[string]string
	byRequest *simplelru.LRU[string, run]
}

// run is a request's last attempt and its engine.
type run struct {
	attemptID string
	engine    string
}

func newRuns() *runs {
	// The constructor fails only for a size below 1.
	recent, _ := simplelru.NewLRU[string, run](maxRecentRuns, nil)
	return &runs{byAttempt: map[string]string{}, byRequest: recent}
}

func (r *runs) add(requestID, attemptID, engine string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byAttempt[attemptID] = engine
	r.byRequest.Add(requestID, run{attemptID: attemptID, engine: engine})
}

func (r *runs) remove(attemptID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byAttempt, attemptID)
}

func (r *runs) has(attemptID string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.byAttempt[attemptID]
	return ok
}

func (r *runs) find(requestID string) (run, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byRequest.Get(requestID)
}

func (r *runs) attempts() []*peerpb.Attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]*peerpb.Attempt, 0, len(r.byAttempt))
	for id, engine := range r.byAttempt {
		list = append(list, &peerpb.Attempt{AttemptId: id, Engine: engine})
	}
	return list
}

func (r *runs) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.byAttempt)
}
