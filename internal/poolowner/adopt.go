package poolowner

import (
	"context"
	"sync"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/admission"
	"github.com/bluebellwell/bluebellwell/internal/engineclient"
	"github.com/bluebellwell/bluebellwell/internal/peerpb"
)

const (
	// reconcileInterval is the time between two looks at the engines while
	// attempts of an earlier owner may run.
	reconcileInterval = 1 * time.Second
	// takeoverWindow is how long a new owner looks for attempts that nobody
	// reported. It covers the lag of the engines' load reports.
	takeoverWindow = 5 * time.Second
	// takeoverReserve is the number of slots of each engine that a new owner
	// keeps free for takeoverWindow, for requests that the old owner sent last.
	takeoverReserve = 1
	// adoptedGrace is how long an attempt may be missing in load reports before
	// it counts as ended.
	adoptedGrace = 2 * time.Second
)

// adopted tracks the attempts of earlier owners. Nobody reports their end, so
// the owner looks for them in the engines' load reports.
type adopted struct {
	mu sync.Mutex
	// since holds the engine and the time of adoption by attempt id.
	since map[string]adoption
	// until is the end of the takeover window.
	until time.Time
	// polling is set while a reconcile loop runs.
	polling bool
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
		if p.runs.has(a.AttemptId) {
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
	p.adopt(now, []*peerpb.Attempt{{AttemptId: attemptID, Engine: engine}})
	p.adopted.mu.Lock()
	a := p.adopted.since[attemptID]
	a.held = true
	p.adopted.since[attemptID] = a
	p.adopted.mu.Unlock()
	return func() { p.releaseAdopted(p.deps.Clock.Now(), attemptID) }
}

func (p *ownedPool) releaseAdopted(now time.Time, attemptID string) {
	p.adopted.mu.Lock()
	delete(p.adopted.since, attemptID)
	p.adopted.mu.Unlock()
	p.admission.ReleaseAdopted(now, attemptID)
}

// takeOver begins the takeover window of a new owner.
func (p *ownedPool) takeOver(now time.Time) {
	until := now.Add(takeoverWindow)
	p.adopted.mu.Lock()
	p.adopted.until = until
	p.adopted.mu.Unlock()
	if p.plain() {
		return
	}
	for _, name := range p.engineNames() {
		p.admission.Reserve(now, name, takeoverReserve, until)
	}
	p.reconcileLater()
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
		p.reconcile(p.ctx)
		if p.reconciled(p.deps.Clock.Now()) {
			return
		}
		select {
		case <-p.ctx.Done():
			return
		case <-p.deps.Clock.After(reconcileInterval):
		}
	}
}

// reconciled ends the loop when nothing is left to look for.
func (p *ownedPool) reconciled(now time.Time) bool {
	p.adopted.mu.Lock()
	defer p.adopted.mu.Unlock()
	if p.ctx.Err() == nil && (len(p.adopted.since) > 0 || now.Before(p.adopted.until)) {
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
	for _, name := range p.engineNames() {
		client := p.engine(name)
		if client == nil {
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

// compare adopts unknown attempts during the takeover window and releases
// adopted ones that an engine no longer reports.
func (p *ownedPool) compare(now time.Time, engine string, report engineclient.LoadReport) {
	active := map[string]bool{}
	var unknown []*peerpb.Attempt
	for _, a := range report.Attempts {
		if a.State != "running" && a.State != "waiting" {
			continue
		}
		active[a.AttemptID] = true
		if !p.runs.has(a.AttemptID) {
			unknown = append(unknown, &peerpb.Attempt{AttemptId: a.AttemptID, Engine: engine})
		}
	}
	if p.inTakeover(now) {
		p.adopt(now, unknown)
	}
	for id, a := range p.adoptions() {
		if a.engine == engine && !a.held && !active[id] && now.Sub(a.at) > adoptedGrace {
			p.releaseAdopted(now, id)
		}
	}
}

func (p *ownedPool) inTakeover(now time.Time) bool {
	p.adopted.mu.Lock()
	defer p.adopted.mu.Unlock()
	return now.Before(p.adopted.until)
}

// maxPlainCall bounds a call of a plain service.
const maxPlainCall = 2 * time.Minute
