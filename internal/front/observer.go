package front

import (
	"context"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/digest"
	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/feed"
	"github.com/bluebellwell/bluebellwell/internal/logpos"
	"github.com/bluebellwell/bluebellwell/internal/registry"
)

// newObserver returns an observer that runs apply on the tracker's goroutine.
func (t *tracker) newObserver(ctx context.Context, topic int, apply func(feed.Batch)) feed.Observer {
	return &observer{ctx: ctx, tracker: t, topic: topic, apply: apply}
}

type observer struct {
	ctx     context.Context
	tracker *tracker
	topic   int
	apply   func(feed.Batch)
}

// Batch passes records to the tracker's goroutine.
func (o *observer) Batch(batch feed.Batch) {
	o.run(func() { o.apply(batch) })
}

// run runs a task on the tracker's goroutine.
func (o *observer) run(task func()) {
	select {
	case o.tracker.tasks <- task:
	case <-o.ctx.Done():
	}
}

// OutageStarted records and logs that the store does not answer.
func (o *observer) OutageStarted(err error) {
	o.tracker.progress.setFailing(o.topic, true)
	o.tracker.events.Emit(event.StoreUnavailable, "topic", topicNames[o.topic], "error", err.Error())
}

// OutageEnded records and logs that the store answers again after an outage.
func (o *observer) OutageEnded(duration time.Duration) {
	o.tracker.progress.setFailing(o.topic, false)
	if o.topic == digest.TopicServers && duration >= minOutage {
		o.tracker.progress.delayRemovals(time.Now().Add(registry.RemovalGrace))
	}
	o.tracker.events.Emit(event.StoreAvailable, "topic", topicNames[o.topic], "after_ms", duration.Milliseconds())
}

// CallOverdue makes this router no reader for the others and logs why: it may wait at a store that does not answer it.
func (o *observer) CallOverdue(waited time.Duration) {
	t := o.tracker
	if !t.progress.setOverdue(o.topic) {
		return
	}
	t.exchange.UpdateRole()
	t.events.Emit(event.StoreCallOverdue, "topic", topicNames[o.topic], "waited_ms", waited.Milliseconds(), "reader", t.exchange.Reading())
}

// CallEnded records that the store has answered, which may make this router a reader for the others.
func (o *observer) CallEnded(asOf time.Time, answered bool) {
	if answered {
		// After the records of the call, which were passed to the same goroutine.
		o.run(func() { o.recordState(asOf) })
	}
	t := o.tracker
	if t.progress.recordCallEnd(time.Now(), o.topic, answered) {
		t.exchange.UpdateRole()
	}
}

// recordState records that this router knows what the store had in the topic at a time.
func (o *observer) recordState(asOf time.Time) {
	switch o.topic {
	case digest.TopicConfig:
		o.tracker.evacuations.recordCall(asOf)
	case digest.TopicServers:
		o.tracker.progress.recordServersAsOf(asOf)
	}
}

// HistoryExpired logs that the store no longer keeps the records from a position on.
func (o *observer) HistoryExpired(from logpos.Position) {
	o.tracker.events.Emit(event.HistoryExpired, "topic", topicNames[o.topic], "from", from.String())
}

// StaleList logs that the store returned a list older than what was read before.
func (o *observer) StaleList(next, current logpos.Position) {
	o.tracker.events.Emit(event.StaleListIgnored, "topic", topicNames[o.topic], "next", next.String(), "known", current.String())
}

// EraStarted counts and logs that the store has come back from an older copy, with
// what the router keeps.
func (o *observer) EraStarted(era int64, next logpos.Position) {
	t := o.tracker
	t.eraCount.Inc(1)
	t.exchange.SendSoon()
	version := int64(0)
	if table := t.state.Table(); table != nil {
		version = table.Version()
	}
	t.events.Emit(event.StoreEraStarted, "era", era, "topic", topicNames[o.topic], "dropped", next.String(),
		"kept_config", version, "kept_servers", t.serverCount.Load())
}
