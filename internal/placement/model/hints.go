package model

import (
	"time"

	"github.com/bluebellwell/bluebellwell/internal/engineclient"
	"github.com/bluebellwell/bluebellwell/internal/meter"
)

// Hints configures how cache events reach the pool.
type Hints struct {
	// Interval is the time between two reads of one engine.
	Interval time.Duration
	// Lag is the time until an event becomes visible to reads.
	Lag time.Duration
	// EventsPerRead is the largest number of events of one read; 0 means 512.
	EventsPerRead int
	// DropEvery drops every n-th event; 0 drops none.
	DropEvery uint64
}

// Estimated sizes of a read, from the stand-in's JSON: an event with keys of
// usual length, and the headers in both directions.
const (
	eventBytes           = 160
	exchangeBytes        = 230
	defaultEventsPerRead = 512
)

type cacheEvent struct {
	at time.Duration
	ev engineclient.CacheEvent
}

// recordCacheEvents starts the recording of an engine's cache events.
func (s *sim) recordCacheEvents(e *engine) {
	if s.opts.Hints == nil {
		return
	}
	e.cache.onEvent = func(key uint64, tokens int, evicted bool) {
		e.seq++
		if dropEvery := s.opts.Hints.DropEvery; dropEvery > 0 && e.seq%dropEvery == 0 {
			return
		}
		op := "store"
		if evicted {
			op = "evict"
		}
		ev := engineclient.CacheEvent{Seq: e.seq, Op: op, PrefixKey: s.prefixKeys[key], Tokens: tokens}
		e.events = append(e.events, cacheEvent{at: s.now, ev: ev})
	}
}

// readEvents reads the visible events of all engines once.
func (s *sim) readEvents() {
	s.schedule(s.now+s.opts.Hints.Interval, s.readEvents)
	for _, e := range s.engines {
		s.readEngine(e)
	}
}

// readEngine applies the visible events of one engine to the pool.
func (s *sim) readEngine(e *engine) {
	limit := s.opts.Hints.EventsPerRead
	if limit <= 0 {
		limit = defaultEventsPerRead
	}
	page := engineclient.CacheEvents{BootID: "1"}
	for len(e.events) > 0 && len(page.Events) < limit && e.events[0].at+s.opts.Hints.Lag <= s.now {
		page.Events = append(page.Events, e.events[0].ev)
		e.events = e.events[1:]
	}
	update := e.tracker.Apply(e.name, page)
	for _, h := range update.Hints {
		s.pool.ApplyCacheEvent(h)
	}
	if update.Lost > 0 {
		s.pool.ApplyCacheGap(e.name, "1", update.Lost)
	}
	if s.measuring() {
		s.report.HintBytes += int64(meter.HTTPExchangeBytes(exchangeBytes + eventBytes*len(page.Events)))
	}
}
