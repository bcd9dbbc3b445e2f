package poolowner

import (
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/admission"
	"github.com/bluebellwell/bluebellwell/internal/engineclient"
	"github.com/bluebellwell/bluebellwell/internal/peerpb"
)

const (
	// reconcileInterval is the time between two looks at the engines while
	// attempts of an earlier owner may run. A look costs about 100 B for each
	// attempt, and nearly all ends are reported by the old owner or followed by
	// this one.
	reconcileInterval = 10 * time.Second
	// missingReportGrace is how long an attempt may be missing in load reports, which
	// lag, before it counts as ended.
	missingReportGrace = 3 * time.Second
	// takeoverReserveTime is how long a new owner keeps slots free for attempts that
	// nobody can name: those of callers of a router that died.
	takeoverReserveTime = 3 * time.Second
	// maxPlainCallTime bounds a call of a plain service.
	maxPlainCallTime = 2 * time.Minute
)

// adopted tracks the attempts of earlier owners. Nobody reports their end, so
// the owner looks for them in the engines' load reports.
type adopted struct {
	mu sync.Mutex
	// byID holds the engine and the time of adoption by attempt id.
	byID map[string]adoption
	// completeList holds all attempts of the old owner, once it has named them. An
	// attempt that only an entry router reports has ended meanwhile.
	completeList map[string]bool
	// reconciling is set while a reconcile loop runs.
	reconciling bool
}

// hasEnded reports whether the old owner did not name an attempt. The caller holds
// the lock.
func (a *adopted) hasEnded(attemptID string) bool {
	return a.completeList != nil && !a.completeList[attemptID]
}

type adoption struct {
	engine    string
	adoptedAt time.Time
	// followed is set while a resumed answer follows the attempt itself.
	followed bool
}

func newAdopted() *adopted {
	return &adopted{byID: map[string]adoption{}}
}

// adopt counts attempts of an earlier owner as load.
func (p *ownedPool) adopt(now time.Time, attempts []*peerpb.Attempt) {
	var list []admission.AdoptedAttempt
	p.adopted.mu.Lock()
	for _, a := range attempts {
		if p.runs.has(a.AttemptId) || p.adopted.hasEnded(a.AttemptId) {
			continue
		}
		if _, exists := p.adopted.byID[a.AttemptId]; exists {
			continue
		}
		p.adopted.byID[a.AttemptId] = adoption{engine: a.Engine, adoptedAt: now}
		list = append(list, admission.AdoptedAttempt{ID: a.AttemptId, Engine: a.Engine})
	}
	p.adopted.mu.Unlock()
	p.admission.Adopt(now, list)
	p.startReconciling()
}

// adoptFollowed adopts an attempt that this router follows itself, until release.
func (p *ownedPool) adoptFollowed(now time.Time, attemptID, engine string) (release func()) {
	p.adopted.mu.Lock()
	if p.adopted.completeList != nil {
		p.adopted.completeList[attemptID] = true
	}
	p.adopted.mu.Unlock()
	p.adopt(now, []*peerpb.Attempt{{AttemptId: attemptID, Engine: engine}})
	p.adopted.mu.Lock()
	a := p.adopted.byID[attemptID]
	a.followed = true
	p.adopted.byID[attemptID] = a
	p.adopted.mu.Unlock()
	return func() { p.releaseAdopted(p.deps.Clock.Now(), attemptID) }
}

func (p *ownedPool) adoptedAttempts() []*peerpb.Attempt {
	var list []*peerpb.Attempt
	for id, a := range p.adoptions() {
		list = append(list, &peerpb.Attempt{AttemptId: id, Engine: a.engine})
	}
	return list
}

func (p *ownedPool) releaseAdopted(now time.Time, attemptID string) {
	p.adopted.mu.Lock()
	delete(p.adopted.byID, attemptID)
	p.adopted.mu.Unlock()
	p.admission.ReleaseAdopted(now, attemptID)
}

// takeOver opens the pool for a new owner. The majority of the votes came with
// the attempts of most routers. Until the old owner has named all attempts, or
// for takeoverWindow, a part of each engine stays reserved for the attempts of
// one router that cannot answer.
func (p *ownedPool) takeOver(now time.Time, a Assignment) {
	p.admission.SetShare(now, 1, a.LeaseEnd)
	if p.hasCompleteList() {
		return
	}
	perEngine := float64(len(p.adoptions())) / float64(max(len(a.Servers), 1))
	slots := int(math.Ceil(perEngine / float64(max(a.ListedRouters-1, 1))))
	for _, s := range a.Servers {
		p.admission.Reserve(now, s.Name, slots, now.Add(takeoverReserveTime))
	}
}

// applyCompleteList takes the old owner's list of all its attempts. It frees the reserve
// and the attempts that entry routers reported and that ended meanwhile.
func (p *ownedPool) applyCompleteList(now time.Time, attempts []*peerpb.Attempt) {
	completeList := make(map[string]bool, len(attempts))
	for _, a := range attempts {
		completeList[a.AttemptId] = true
	}
	p.adopted.mu.Lock()
	p.adopted.completeList = completeList
	p.adopted.mu.Unlock()
	for id, a := range p.adoptions() {
		if !completeList[id] && !a.followed {
			p.releaseAdopted(now, id)
		}
	}
	for _, name := range p.engineNames() {
		p.admission.Reserve(now, name, 0, now)
	}
}

func (p *ownedPool) hasCompleteList() bool {
	p.adopted.mu.Lock()
	defer p.adopted.mu.Unlock()
	return p.adopted.completeList != nil
}

// clearCompleteList drops the old owner's list when this router loses the pool.
func (p *ownedPool) clearCompleteList() {
	p.adopted.mu.Lock()
	p.adopted.completeList = nil
	p.adopted.mu.Unlock()
}

// startReconciling starts the reconcile loop unless it runs. The loop ends when
// the takeover window is over and no adopted attempt is left.
func (p *ownedPool) startReconciling() {
	p.adopted.mu.Lock()
	defer p.adopted.mu.Unlock()
	if p.adopted.reconciling {
		return
	}
	p.adopted.reconciling = true
	go p.reconcileLoop()
}

func (p *ownedPool) reconcileLoop() {
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-p.deps.Clock.After(reconcileInterval):
		}
		if p.stopIfReconciled() {
			return
		}
		p.reconcile(p.ctx)
	}
}

// stopIfReconciled ends the loop when nothing is left to look for.
func (p *ownedPool) stopIfReconciled() bool {
	p.adopted.mu.Lock()
	defer p.adopted.mu.Unlock()
	if p.ctx.Err() == nil && len(p.adopted.byID) > 0 {
		return false
	}
	p.adopted.reconciling = false
	return true
}

// reconcile compares the engines' load reports with the adopted attempts.
func (p *ownedPool) reconcile(ctx context.Context) {
	if p.isPlain() {
		p.expirePlainCalls()
		return
	}
	var wg sync.WaitGroup
	for _, name := range p.enginesToReconcile() {
		client := p.engine(name)
		if client == nil {
			p.releaseRemovedEngine(name)
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			report, err := client.Load(ctx)
			if err == nil {
				p.releaseUnreported(p.deps.Clock.Now(), name, report)
			}
		}()
	}
	wg.Wait()
}

// enginesToReconcile returns the engines with adopted attempts that nobody follows.
func (p *ownedPool) enginesToReconcile() []string {
	var names []string
	for _, a := range p.adoptions() {
		if !a.followed && !slices.Contains(names, a.engine) {
			names = append(names, a.engine)
		}
	}
	return names
}

// releaseRemovedEngine ends the adopted attempts of an engine that left the pool.
func (p *ownedPool) releaseRemovedEngine(engine string) {
	now := p.deps.Clock.Now()
	for id, a := range p.adoptions() {
		if a.engine == engine && !a.followed {
			p.releaseAdopted(now, id)
		}
	}
}

// expirePlainCalls ends adopted calls of plain services after the longest time that
// one may take, because plain servers report no load.
func (p *ownedPool) expirePlainCalls() {
	now := p.deps.Clock.Now()
	for id, a := range p.adoptions() {
		if now.Sub(a.adoptedAt) > maxPlainCallTime {
			p.releaseAdopted(now, id)
		}
	}
}

func (p *ownedPool) adoptions() map[string]adoption {
	p.adopted.mu.Lock()
	defer p.adopted.mu.Unlock()
	all := make(map[string]adoption, len(p.adopted.byID))
	for id, a := range p.adopted.byID {
		all[id] = a
	}
	return all
}

// releaseUnreported releases adopted attempts that an engine no longer reports.
func (p *ownedPool) releaseUnreported(now time.Time, engine string, report engineclient.LoadReport) {
	active := map[string]bool{}
	for _, a := range report.Attempts {
		if a.State == "running" || a.State == "waiting" {
			active[a.AttemptID] = true
		}
	}
	for id, a := range p.adoptions() {
		if a.engine == engine && !a.followed && !active[id] && now.Sub(a.adoptedAt) > missingReportGrace {
			p.releaseAdopted(now, id)
		}
	}
}
