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
	// reconcileInterval is the time between two reads of the engines' load
	// reports while attempts of an earlier owner may run. A read takes about
	// 100 B for each attempt, and nearly all ends are reported by the previous
	// owner or observed by this one while it follows the attempt.
	reconcileInterval = 10 * time.Second
	// missingReportGrace is how long an attempt may be missing from the load
	// reports, which lag, before it counts as ended.
	missingReportGrace = 3 * time.Second
	// takeoverReserveTime is how long a new owner keeps slots free for attempts
	// that no router can report: those relayed by a router whose process ended.
	takeoverReserveTime = 3 * time.Second
	// maxPlainCallTime is the time after which an adopted call to a plain service
	// counts as ended.
	maxPlainCallTime = 2 * time.Minute
)

// adoptionTable tracks the attempts of earlier owners. Their end may go
// unreported, so the owner looks for them in the engines' load reports.
type adoptionTable struct {
	mu sync.Mutex
	// byID holds the adopted attempts by attempt id.
	byID map[string]adoption
	// completeList holds all attempts of the previous owner; it is nil until that
	// owner has reported them. An attempt that is missing from it but that an
	// entry router reports has ended meanwhile.
	completeList map[string]bool
	// reconciling is set while a reconcile loop runs.
	reconciling bool
}

// hasEnded reports whether the complete list lacks an attempt, which means that
// the attempt has ended. The caller holds the lock.
func (a *adoptionTable) hasEnded(attemptID string) bool {
	return a.completeList != nil && !a.completeList[attemptID]
}

type adoption struct {
	engine    string
	adoptedAt time.Time
	// followed is set while this router resumes the answer of the attempt.
	followed bool
}

func newAdoptionTable() *adoptionTable {
	return &adoptionTable{byID: map[string]adoption{}}
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

// adoptFollowed adopts an attempt whose stream this router follows until it calls
// release.
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

// takeOver starts admission under a new owner. The routers that granted the
// majority of the votes have reported their attempts. Until the previous owner
// reports its complete list, or for takeoverReserveTime, some slots of each
// engine stay reserved for the attempts of one router that cannot reply.
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

// applyCompleteList applies the previous owner's list of all its attempts. It
// releases the reserved slots and the attempts that entry routers reported and
// that have ended meanwhile.
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

// clearCompleteList drops the previous owner's list when this router loses the
// pool.
func (p *ownedPool) clearCompleteList() {
	p.adopted.mu.Lock()
	p.adopted.completeList = nil
	p.adopted.mu.Unlock()
}

// startReconciling starts the reconcile loop unless it runs. The loop ends when
// no adopted attempt remains; its first check comes after the takeover reserve
// has expired.
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

// stopIfReconciled reports whether the loop must end because no adopted attempt
// remains or the service was killed, and marks it as stopped.
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

// enginesToReconcile returns the engines with adopted attempts that this router
// does not follow.
func (p *ownedPool) enginesToReconcile() []string {
	var names []string
	for _, a := range p.adoptions() {
		if !a.followed && !slices.Contains(names, a.engine) {
			names = append(names, a.engine)
		}
	}
	return names
}

// releaseRemovedEngine releases the adopted attempts of an engine that was
// removed from the pool.
func (p *ownedPool) releaseRemovedEngine(engine string) {
	now := p.deps.Clock.Now()
	for id, a := range p.adoptions() {
		if a.engine == engine && !a.followed {
			p.releaseAdopted(now, id)
		}
	}
}

// expirePlainCalls releases adopted calls to plain services after
// maxPlainCallTime, because plain servers send no load reports.
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
