package front

import (
	"context"
	"errors"
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
	// history has the newest history that is to be read for the ends of lost evacuations.
	history chan historyRange
	// logged is the number of ignored evacuations that were logged.
	logged int

	// freshMu guards fresh, which says whether set may still be relied on, and pause, which was logged last.
	freshMu sync.Mutex
	fresh   evacuation.Freshness
	pause   evacuation.Pause
	pauseAt time.Time
}

func newEvacuations(st *forward.State, events *event.Logger, scope tally.Scope) evacuations {
	return evacuations{state: st, events: events, scope: scope, set: evacuation.New(), history: make(chan historyRange, 1)}
}

// applyEvacuations applies the evacuations of a batch of the operators' topic, and tells the other routers when they do not know
// them yet. An evacuation is no change of the configuration, so it is not reported as one: the routers that read it
// only for others would all call the store.
func (t *tracker) applyEvacuations(batch feed.Batch) {
	if t.platform.EvacuatedDataCentre == nil {
		t.evacuations.update(func(now time.Time, s *evacuation.Set) []evacuation.Change { return s.Replace(now, nil, batch.Next) })
		return
	}
	records := t.evacuationRecords(batch.Records, batch.Next.Era)
	changed := t.evacuations.update(func(now time.Time, s *evacuation.Set) []evacuation.Change {
		if batch.Full {
			return s.Replace(now, records, batch.Next)
		}
		return s.Apply(now, records, batch.Next)
	})
	if changed {
		t.exchange.SendSoon()
	}
	if batch.Full && t.exchange.IsReader() {
		t.evacuations.askHistory(batch.Next)
	}
}

// evacuationRecords returns the records about data centres among those of the operators' topic.
func (t *tracker) evacuationRecords(list []feed.Record, era int64) []evacuation.Record {
	var records []evacuation.Record
	for _, r := range list {
		if dataCentre, ok := t.platform.EvacuatedDataCentre(r.Key); ok {
			position := logpos.Position{Era: era, Offset: r.Offset}
			records = append(records, evacuation.Record{DataCentre: dataCentre, Evacuated: len(r.Value) > 0, Position: position})
		}
	}
	return records
}

// historyRange is a part of the operators' topic: from an offset up to a position.
type historyRange struct {
	from int64
	end  logpos.Position
}

// askHistory makes followHistory read what came before a list if that may say that a lost evacuation was lifted.
func (e *evacuations) askHistory(end logpos.Position) {
	e.mu.Lock()
	from, ok := e.set.HistoryFrom(end)
	e.mu.Unlock()
	if !ok {
		return
	}
	select {
	case <-e.history:
	default:
	}
	e.history <- historyRange{from: from, end: end}
}

const (
	// historyAttempts bounds the calls for one history, and historyPause is the time between two of them.
	historyAttempts = 3
	historyPause    = 500 * time.Millisecond
)

// followHistory reads the history before lists until ctx ends. It runs beside the follower of the topic, whose next read must not
// wait for it: that one may bring the next evacuation.
func (t *tracker) followHistory(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case h := <-t.evacuations.history:
			for range historyAttempts {
				if t.readHistory(ctx, h) {
					break
				}
				select {
				case <-ctx.Done():
					return nil
				case <-time.After(historyPause):
				}
			}
		}
	}
}

// readHistory reads a history and ends the evacuations that it lifts, and tells the other routers. It reports false when the
// store has not answered and may answer a further call.
func (t *tracker) readHistory(ctx context.Context, h historyRange) (done bool) {
	ctx, cancel := context.WithTimeout(ctx, nonReaderTimeout)
	defer cancel()
	page, err := t.platform.Config.Read(ctx, h.from, 0)
	if err != nil {
		t.events.Emit(event.HistoryUnread, "from", h.from, "to", h.end.Offset, "era", h.end.Era, "error", err.Error())
		return errors.Is(err, feed.ErrExpired)
	}
	if page.Era != h.end.Era {
		// The list of the next era asks again.
		return true
	}
	records := t.evacuationRecords(page.Records, page.Era)
	end := logpos.Position{Era: page.Era, Offset: page.Next}
	changed := t.evacuations.update(func(now time.Time, s *evacuation.Set) []evacuation.Change {
		return s.ApplyHistory(now, records, h.from, end)
	})
	if changed {
		t.exchange.SendSoon()
	}
	return true
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
