package admission

import (
	"time"

	"github.com/bluebellwell/bluebellwell/internal/placement"
)

// SetEngines replaces the list of engines. Engines that are no longer listed
// count as down and are removed when their last slot is released. A changed
// boot id clears the engine's entries in the prefix index. If no engine accepts
// requests, the waiting requests are refused with CodeNoEngine.
func (p *Pool) SetEngines(now time.Time, list []Engine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.Name] = true
		p.setEngine(e)
	}
	for name, i := range p.byName {
		if !listed[name] {
			p.view.Engines[i].State = placement.Down
		}
	}
	p.saturated = false
	p.countLive()
	for i := range p.engines {
		p.requeueAllParked(i)
		p.updateLoad(i)
		p.removeUnusedRow(i)
	}
	if p.view.Weight <= 0 && p.closeCode == "" {
		p.refuseAll(now, CodeNoEngine)
		return
	}
	p.dispatch(now)
}

// countLive updates the totals that depend on the engines' states.
func (p *Pool) countLive() {
	p.view.UpdateTotals()
	p.live = 0
	for i := range p.view.Engines {
		if p.view.Engines[i].State.Live() {
			p.live++
		}
	}
}

func (p *Pool) setEngine(e Engine) {
	i := p.ensureRow(e.Name)
	row, st := &p.view.Engines[i], &p.engines[i]
	if st.bootID != e.BootID && st.bootID != "" {
		p.index.DropEngine(i)
		st.generation++
	}
	st.bootID = e.BootID
	p.index.SetCapacity(i, e.CacheTokens)
	row.State = e.State
	row.Weight = e.Weight
	if row.Weight <= 0 {
		row.Weight = 1
	}
}

// ensureRow returns the row of an engine. For a new name it adds a row in the
// state down.
func (p *Pool) ensureRow(name string) int {
	if i, ok := p.byName[name]; ok {
		return i
	}
	i := p.allocRow()
	p.engines[i] = engineState{generation: p.engines[i].generation + 1, inUse: true}
	p.view.Engines[i] = placement.Engine{Name: name, Hash: placement.Hash(name), Weight: 1}
	p.index.DropEngine(i)
	p.byName[name] = i
	return i
}

// allocRow returns an unused row and adds one if there is none.
func (p *Pool) allocRow() int {
	for i := range p.engines {
		if !p.engines[i].inUse {
			return i
		}
	}
	p.engines = append(p.engines, engineState{})
	p.view.Engines = append(p.view.Engines, placement.Engine{})
	return len(p.engines) - 1
}

// removeUnusedRow frees the row of an engine that is down and holds no slot.
func (p *Pool) removeUnusedRow(i int) {
	e := &p.engines[i]
	if !e.inUse || p.view.Engines[i].State != placement.Down {
		return
	}
	if e.own+e.adopted+e.reserved > 0 || len(e.parked) > 0 {
		return
	}
	delete(p.byName, p.view.Engines[i].Name)
	e.inUse = false
	p.view.Engines[i] = placement.Engine{}
}

// requeueAllParked ends the waits for an engine that accepts no requests.
func (p *Pool) requeueAllParked(i int) {
	if p.view.Engines[i].State.Live() {
		return
	}
	for len(p.engines[i].parked) > 0 {
		p.requeueParked(p.engines[i].parked[0])
	}
}

// SetShare sets the part of each bound that this owner may use, 0 to 1, and
// opens the pool unless it is stopping. The bound times a share under 1 is
// rounded down for each engine, so a pool with little load may admit nothing.
// From leaseEnd on nothing is granted until the next call; the zero time means
// no end.
func (p *Pool) SetShare(now time.Time, share float64, leaseEnd time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaseEnd = leaseEnd
	p.view.Share = min(max(share, 0), 1)
	p.open(now)
}

// SetLeaseEnd extends the owner's lease and keeps the share.
func (p *Pool) SetLeaseEnd(now, leaseEnd time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leaseEnd = leaseEnd
	p.dispatch(now)
}

// open admits requests again, unless the pool is stopping.
func (p *Pool) open(now time.Time) {
	if p.closeCode != CodeStopping {
		p.closeCode = ""
	}
	p.saturated = false
	p.dispatch(now)
}

// Adopt counts attempts of a previous owner as load until ReleaseAdopted. An
// attempt that is already adopted is ignored.
func (p *Pool) Adopt(now time.Time, attempts []AdoptedAttempt) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, a := range attempts {
		if _, dup := p.adopted[a.ID]; dup {
			continue
		}
		i := p.ensureRow(a.Engine)
		w := p.workspace(a.Workspace)
		c := classOf(a.Class)
		p.adopted[a.ID] = adoption{engine: i, class: c, ws: w}
		p.engines[i].adopted++
		p.classes[c].inFlight++
		w.running++
		p.updateActiveFlows(w)
		p.updateLoad(i)
	}
	p.saturated = false
	p.dispatch(now)
}

// ReleaseAdopted ends an adopted attempt. It returns false for an unknown id.
func (p *Pool) ReleaseAdopted(now time.Time, id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	a, ok := p.adopted[id]
	if !ok {
		return false
	}
	delete(p.adopted, id)
	p.engines[a.engine].adopted--
	p.recordFreedSlot(a.engine, a.class, a.ws)
	p.dispatchParked(now, a.engine)
	p.removeUnusedRow(a.engine)
	p.dispatch(now)
	return true
}

// Reserve counts slots of an engine as load until expiry, for attempts that a
// previous owner may have started without reporting them. It replaces an earlier
// reserve of the engine. Reserved slots do not raise the pool's mean.
func (p *Pool) Reserve(now time.Time, engine string, slots int, expiry time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i := p.ensureRow(engine)
	if p.engines[i].reserved > 0 {
		p.reservingEngines--
	}
	p.engines[i].reserved = max(slots, 0)
	p.engines[i].reservedUntil = expiry
	if slots > 0 {
		p.reservingEngines++
	}
	p.updateLoad(i)
	p.saturated = false
	p.dispatch(now)
}

// expireReserves removes the expired reserves and returns the next expiry.
func (p *Pool) expireReserves(now time.Time) time.Time {
	var next time.Time
	for i := 0; i < len(p.engines) && p.reservingEngines > 0; i++ {
		e := &p.engines[i]
		if e.reserved == 0 {
			continue
		}
		if !now.Before(e.reservedUntil) {
			e.reserved = 0
			p.reservingEngines--
			p.updateLoad(i)
			p.saturated = false
			p.removeUnusedRow(i)
			continue
		}
		if next.IsZero() || e.reservedUntil.Before(next) {
			next = e.reservedUntil
		}
	}
	return next
}

// SetReportedLoad stores the load that an engine reported, for the baseline
// pickers.
func (p *Pool) SetReportedLoad(engine string, load int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i, ok := p.byName[engine]; ok {
		p.view.Engines[i].ReportedLoad = load
	}
}

// CacheEvent reports that an engine stored or evicted a chat's prefix.
type CacheEvent struct {
	Engine string
	BootID string
	// Key is placement.ChatKey of the chat.
	Key uint64
	// Tokens is the length of the prefix that the engine holds after the event.
	Tokens int
	// Evicted is true for an eviction and false for an addition.
	Evicted bool
}

// ApplyCacheEvent corrects the prefix index. Events of an earlier boot are
// ignored.
func (p *Pool) ApplyCacheEvent(ev CacheEvent) {
	p.mu.Lock()
	defer p.mu.Unlock()
	i, ok := p.byName[ev.Engine]
	if !ok || p.engines[i].bootID != ev.BootID {
		return
	}
	if ev.Evicted {
		p.index.RecordEviction(ev.Key, i, ev.Tokens)
		return
	}
	// The event does not count the shared system prompt, so an indexed prefix is
	// longer than the event's and is kept.
	if p.prefixTokens(ev.Key, i) == 0 {
		p.index.RecordStored(ev.Key, i, ev.Tokens)
	}
}

// ApplyCacheGap handles the loss of a number of cache events of an engine: the
// index drops the chats that the engine may have evicted. Gaps of an earlier
// boot are ignored.
func (p *Pool) ApplyCacheGap(engine, bootID string, lost int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i, ok := p.byName[engine]; ok && p.engines[i].bootID == bootID {
		p.index.DropOldest(i, lost)
	}
}
