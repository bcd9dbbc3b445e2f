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
	// adoptedGrace is how long an attempt may be missing in load reports, which
	// lag, before it counts as ended.
	adoptedGrace = 3 * time.Second
	// takeoverWindow is how long a new owner keeps slots free for attempts that
	// nobody can name: those of callers of a router that died.
	takeoverWindow = 3 * time.Second
	// maxPlainCall bounds a call of a plain service.
	maxPlainCall = 2 * time.Minute
)

// adopted tracks the attempts of earlier owners. Nobody reports their end, so
// the owner looks for them in the engines' load reports.
type adopted struct {
	mu sync.Mutex
	// since holds the engine and the time of adoption by attempt id.
	since map[string]adoption
	// named holds all attempts of the old owner, once it has named them. An
	// attempt that only an entry router reports has ended meanwhile.
	named map[string]bool
	// polling is set while a reconcile loop runs.
	polling bool
}

// ended reports whether the old owner did not name an attempt. The caller holds
// the lock.
func (a *adopted) ended(attemptID string) bool {
	return a.named != nil && !a.named[attemptID]
}

type adoption struct {
	engine string
	at     time.Time
	// held is set while a resumed answer follows the attempt itself.
	held bool
}

func newAdopted() *adopted {
	return &adopted{since: map[string]adoption{}}
}

// adopt counts attempts of an earlier owner as load.
func (p *ownedPool) adopt(now time.Time, attempts []*peerpb.Attempt) {
	var list []admission.AdoptedAttempt
	p.adopted.mu.Lock()
	for _, a := range attempts {
		if p.runs.has(a.AttemptId) || p.adopted.ended(a.AttemptId) {
			continue
		}
		if _, known := p.adopted.since[a.AttemptId]; known {
			continue
		}
		p.adopted.since[a.AttemptId] = adoption{engine: a.Engine, at: now}
		list = append(list, admission.AdoptedAttempt{ID: a.AttemptId, Engine: a.Engine})
	}
	p.adopted.mu.Unlock()
	p.admission.Adopt(now, list)
	p.reconcileLater()
}

// hold adopts an attempt that this router follows itself, until release.
func (p *ownedPool) hold(now time.Time, attemptID, engine string) (release func()) {
	p.adopted.mu.Lock()
	if p.adopted.named != nil {
		p.adopted.named[attemptID] = true
	}
	p.adopted.mu.Unlock()
	p.adopt(now, []*peerpb.Attempt{{AttemptId: attemptID, Engine: engine}})
	p.adopted.mu.Lock()
	a := p.adopted.since[attemptID]
	a.held = true
	p.adopted.since[attemptID] = a
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
	delete(p.adopted.since, attemptID)
	p.adopted.mu.Unlock()
	p.admission.ReleaseAdopted(now, attemptID)
}

// takeOver opens the pool for a new owner. The majority of the votes came with
// the attempts of most routers. Until the old owner has named all attempts, or
// for takeoverWindow, a part of each engine stays reserved for the attempts of
// one router that cannot answer.
func (p *ownedPool) takeOver(now time.Time, a Assignment) {
	p.admission.SetShare(now, 1, a.LeaseEnd)
	if p.allNamed() {
		return
	}
	perEngine := float64(len(p.adoptions())) / float64(max(len(a.Servers), 1))
	slots := int(math.Ceil(perEngine / float64(max(a.Listed-1, 1))))
	for _, s := range a.Servers {
		p.admission.Reserve(now, s.Name, slots, now.Add(takeoverWindow))
	}
}

// nameAll takes the old owner's list of all its attempts. It frees the reserve
// and the attempts that entry routers reported and that ended meanwhile.
func (p *ownedPool) nameAll(now time.Time, attempts []*peerpb.Attempt) {
	named := make(map[string]bool, len(attempts))
	for _, a := range attempts {
		named[a.AttemptId] = true
	}
	p.adopted.mu.Lock()
	p.adopted.named = named
	p.adopted.mu.Unlock()
	for id, a := range p.adoptions() {
		if !named[id] && !a.held {
			p.releaseAdopted(now, id)
		}
	}
	for _, name := range p.engineNames() {
		p.admission.Reserve(now, name, 0, now)
	}
}

func (p *ownedPool) allNamed() bool {
	p.adopted.mu.Lock()
	defer p.adopted.mu.Unlock()
	return p.adopted.named != nil
}

// forgetNamed drops the old owner's list when this router loses the pool.
func (p *ownedPool) forgetNamed() {
	p.adopted.mu.Lock()
	p.adopted.named = nil
	p.adopted.mu.Unlock()
}

// reconcileLater starts the reconcile loop unless it runs. The loop ends when
// the takeover window is over and no adopted attempt is left.
func (p *ownedPool) reconcileLater() {
	p.adopted.mu.Lock()
	defer p.adopted.mu.Unlock()
	if p.adopted.polling {
		return
	}
	p.adopted.polling = true
	go p.reconcileLoop()
}

func (p *ownedPool) reconcileLoop() {
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-p.deps.Clock.After(reconcileInterval):
		}
		if p.reconciled() {
			return
		}
		p.reconcile(p.ctx)
	}
}

// reconciled ends the loop when nothing is left to look for.
func (p *ownedPool) reconciled() bool {
	p.adopted.mu.Lock()
	defer p.adopted.mu.Unlock()
	if p.ctx.Err() == nil && len(p.adopted.since) > 0 {
		return false
	}
	p.adopted.polling = false
	return true
}

// reconcile compares the engines' load reports with the adopted attempts.
func (p *ownedPool) reconcile(ctx context.Context) {
	if p.plain() {
		p.expirePlain()
		return
	}
	var wg sync.WaitGroup
	for _, name := range p.toReconcile() {
		client := p.engine(name)
		if client == nil {
			p.releaseLost(name)
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			report, err := client.Load(ctx)
			if err == nil {
				p.compare(p.deps.Clock.Now(), name, report)
			}
		}()
	}
	wg.Wait()
}

// toReconcile returns the engines with adopted attempts that nobody follows.
func (p *ownedPool) toReconcile() []string {
	var names []string
	for _, a := range p.adoptions() {
		if !a.held && !slices.Contains(names, a.engine) {
			names = append(names, a.engine)
		}
	}
	return names
}

// releaseLost ends the adopted attempts of an engine that left the pool.
func (p *ownedPool) releaseLost(engine string) {
	now := p.deps.Clock.Now()
	for id, a := range p.adoptions() {
		if a.engine == engine && !a.held {
			p.releaseAdopted(now, id)
		}
	}
}

// expirePlain ends adopted calls of plain services after the longest time that
// one may take, because plain servers report no load.
func (p *ownedPool) expirePlain() {
	now := p.deps.Clock.Now()
	for id, a := range p.adoptions() {
		if now.Sub(a.at) > maxPlainCall {
			p.releaseAdopted(now, id)
		}
	}
}

func (p *ownedPool) adoptions() map[string]adoption {
	p.adopted.mu.Lock()
	defer p.adopted.mu.Unlock()
	all := make(map[string]adoption, len(p.adopted.since))
	for id, a := range p.adopted.since {
		all[id] = a
	}
	return all
}

// compare releases adopted attempts that an engine no longer reports.
func (p *ownedPool) compare(now time.Time, engine string, report engineclient.LoadReport) {
	active := map[string]bool{}
	for _, a := range report.Attempts {
		if a.State == "running" || a.State == "waiting" {
			active[a.AttemptID] = true
		}
	}
	for id, a := range p.adoptions() {
		if a.engine == engine && !a.held && !active[id] && now.Sub(a.at) > adoptedGrace {
			p.releaseAdopted(now, id)
		}
	}
}
