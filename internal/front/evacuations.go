package front

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bluebellwell/bluebellwell/internal/evacuation"
	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/feed"
	"github.com/bluebellwell/bluebellwell/internal/forward"
	"github.com/bluebellwell/bluebellwell/internal/logpos"
)

// evacuations keeps the evacuated data centres up to date with the store and the other routers, and applies them to the
// choice of servers at once. It is safe for concurrent use.
type evacuations struct {
	state  *forward.State
	events *event.Logger
	scope  tally.Scope

	mu sync.Mutex
	// set is changed with state in one step, so that the last change is also the last one that state gets.
	set *evacuation.Set
	// logged is the number of ignored evacuations that were logged.
	logged int

	// freshMu guards fresh, which says whether set may still be relied on, and pause, which was logged last.
	freshMu sync.Mutex
	fresh   evacuation.Freshness
	pause   evacuation.Pause
	pauseAt time.Time
}

func newEvacuations(st *forward.State, events *event.Logger, scope tally.Scope) evacuations {
	return evacuations{state: st, events: events, scope: scope, set: evacuation.New()}
}

// applyEvacuations applies the evacuations of a batch of the operators' topic, and tells the other routers when they do not know
// them yet. An evacuation is no change of the configuration, so it is not reported as one: the routers that read it
// only for others would all call the store.
func (t *tracker) applyEvacuations(batch feed.Batch) {
	if t.platform.EvacuatedDataCentre == nil {
		t.evacuations.update(func(now time.Time, s *evacuation.Set) []evacuation.Change { return s.Replace(now, nil, batch.Next) })
		return
	}
	var records []evacuation.Record
	for _, r := range batch.Records {
		if dataCentre, ok := t.platform.EvacuatedDataCentre(r.Key); ok {
			position := logpos.Position{Era: batch.Next.Era, Offset: r.Offset}
			records = append(records, evacuation.Record{DataCentre: dataCentre, Evacuated: len(r.Value) > 0, Position: position})
		}
	}
	changed := t.evacuations.update(func(now time.Time, s *evacuation.Set) []evacuation.Change {
		if batch.Full {
			return s.Replace(now, records, batch.Next)
		}
		return s.Apply(now, records, batch.Next)
	})
	if changed {
		t.exchange.SendSoon()
	}
}

// ApplyEvacuations applies what another router knows. It is called on the goroutine that receives digests, and does not wait
// for the one of run.
func (t *tracker) ApplyEvacuations(v evacuation.View, reader bool) {
	t.evacuations.update(func(now time.Time, s *evacuation.Set) []evacuation.Change { return s.Merge(now, v) })
	t.evacuations.recordView(reader)
}

// update changes the set by f. It reports whether an evacuation has begun or ended.
func (e *evacuations) update(f func(now time.Time, s *evacuation.Set) []evacuation.Change) (changed bool) {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	changes := f(now, e.set)
	if len(changes) > 0 {
		e.apply(now, changes)
	}
	if ignored := e.set.Ignored(); ignored > e.logged {
		e.logged = ignored
		e.events.Emit(event.EvacuationIgnored, "known", evacuation.MaxDataCentres, "ignored", ignored)
	}
	return len(changes) > 0
}

// apply puts changes of the set in force. The caller holds e.mu.
func (e *evacuations) apply(now time.Time, changes []evacuation.Change) {
	list := e.set.List()
	evacuated := make(map[string]bool, len(list))
	for _, known := range list {
		evacuated[known.DataCentre] = true
	}
	e.state.SetEvacuated(now, evacuated)
	e.scope.Gauge("evacuated_data_centres").Update(float64(len(list)))
	for _, c := range changes {
		fields := []any{"data_centre", c.DataCentre, "source", c.Source, "era", c.Position.Era, "offset", c.Position.Offset, "evacuated", len(list)}
		if c.Begun {
			e.scope.Tagged(map[string]string{"source": string(c.Source)}).Counter("evacuations").Inc(1)
			e.events.Emit(event.EvacuationBegun, append(fields, "lost_by_store", !c.HeldUntil.IsZero())...)
			continue
		}
		e.scope.Counter("evacuations_lifted").Inc(1)
		e.events.Emit(event.EvacuationLifted, append(fields, "lasted_ms", now.Sub(c.Since).Milliseconds(), "expired", c.Expired)...)
	}
}

// MaySend reports whether this router may send requests as far as it knows which data centres are evacuated.
func (e *evacuations) MaySend() bool { return e.current() == evacuation.PauseNone }

// current returns why this router must not send requests now.
func (e *evacuations) current() evacuation.Pause {
	return e.record(func(now, wall time.Time) {})
}

func (e *evacuations) recordCall(begun time.Time) {
	e.record(func(now, wall time.Time) { e.fresh.RecordCall(now, wall, begun) })
}

func (e *evacuations) recordView(reader bool) {
	e.record(func(now, wall time.Time) { e.fresh.RecordView(now, wall, reader) })
}

// record changes fresh by f and logs and counts the begin and the end of a pause.
func (e *evacuations) record(f func(now, wall time.Time)) evacuation.Pause {
	now := time.Now()
	// Without its reading of the monotonic clock, which may stand still while the process is frozen.
	wall := now.Round(0)
	e.freshMu.Lock()
	defer e.freshMu.Unlock()
	f(now, wall)
	pause, before := e.fresh.Check(now, wall), e.pause
	if pause == before {
		return pause
	}
	e.pause = pause
	if pause == evacuation.PauseNone {
		e.events.Emit(event.SendsResumed, "cause", before, "after_ms", now.Sub(e.pauseAt).Milliseconds())
		return pause
	}
	e.pauseAt = now
	e.scope.Tagged(map[string]string{"cause": string(pause)}).Counter("sends_paused").Inc(1)
	e.events.Emit(event.SendsPaused, "cause", pause)
	return pause
}

// expire ends the evacuations that the store has lost for long enough.
func (e *evacuations) expire(now time.Time) {
	e.update(func(_ time.Time, s *evacuation.Set) []evacuation.Change { return s.Expire(now) })
}

// known reports whether this router knows which data centres are evacuated.
func (e *evacuations) known() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.set.Known()
}

// asOf returns the position as of which the evacuations are known.
func (e *evacuations) asOf() logpos.Position {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.set.AsOf()
}

// setBound sets the time in which an evacuation has to take effect.
func (e *evacuations) setBound(d time.Duration) {
	e.freshMu.Lock()
	defer e.freshMu.Unlock()
	e.fresh.SetBound(d)
}

// view returns what other routers are told. A router that may have missed an evacuation tells nothing: another one that was frozen
// with it would rely on that.
func (e *evacuations) view(now time.Time) evacuation.View {
	if !e.MaySend() {
		return evacuation.View{}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.set.View(now)
}

// status returns the evacuations and the position as of which they are known.
func (e *evacuations) status(now time.Time) (list []EvacuationStatus, asOf string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	list = []EvacuationStatus{}
	for _, known := range e.set.List() {
		s := EvacuationStatus{
			DataCentre: known.DataCentre, AgeMs: now.Sub(known.Since).Milliseconds(), Source: known.Source, Position: known.Position.String(),
		}
		if !known.HeldUntil.IsZero() {
			s.LostForMs = max(known.HeldUntil.Sub(now).Milliseconds(), 0)
		}
		list = append(list, s)
	}
	return list, e.set.AsOf().String()
}
