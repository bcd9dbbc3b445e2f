package front

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/digest"
	"github.com/bluebellwell/bluebellwell/internal/edge"
	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/feed"
	"github.com/bluebellwell/bluebellwell/internal/forward"
	"github.com/bluebellwell/bluebellwell/internal/registry"
	"github.com/bluebellwell/bluebellwell/internal/routing"
)

const (
	// configWait is how long a read waits at the store for a new configuration.
	// It is below the time in which a change must be in force, because a
	// connection that went silent shows only when the wait is over.
	configWait = 1800 * time.Millisecond
	// configPause bounds the reads while one configuration follows another.
	configPause = 250 * time.Millisecond
	// serversPause is the time between two reads of the servers' entries where
	// heartbeats are records: waiting at the store would return at once.
	serversPause = 900 * time.Millisecond
	// nonReaderPause is the time between two reads of a router that others tell of
	// news, in case all of them miss some.
	nonReaderPause = 15 * time.Second
	// callTimeout bounds a call to the store beyond its wait, relayedTimeout one
	// that brings many records and is not urgent.
	callTimeout      = time.Second
	nonReaderTimeout = 4 * time.Second
	// graceAfter is the outage from which entries of live servers may lapse:
	// below three of their heartbeats, which come every 1.2 s.
	graceAfter = 2 * time.Second
	// expireInterval is how often the grace of removed servers is checked.
	expireInterval = 100 * time.Millisecond
)

// tracker is what the router knows of configuration and servers. Its goroutine
// owns the fields; other goroutines use ready and stop only.
type tracker struct {
	platform Platform
	state    *forward.State
	edge     *edge.Server
	events   *event.Logger

	servers    *registry.Registry
	haveConfig bool
	// listRead is set once this router has read the whole list of servers.
	listRead bool
	unusable map[string]bool
	tasks    chan func()
	// ended is closed when the goroutine has ended.
	ended    chan struct{}
	exchange *digest.Exchange
	progress progress

	isReady atomic.Bool
	// heartbeatRecords is set while records without an effect arrive in the servers' topic.
	heartbeatRecords atomic.Bool
	stopping         atomic.Bool
}

func newTracker(p Platform, st *forward.State, e *edge.Server, events *event.Logger) *tracker {
	return &tracker{
		platform: p,
		state:    st,
		edge:     e,
		events:   events,
		servers:  registry.New(),
		unusable: make(map[string]bool),
		tasks:    make(chan func()),
		ended:    make(chan struct{}),
	}
}

// ready reports whether the router takes callers.
func (t *tracker) ready() bool { return t.isReady.Load() && !t.stopping.Load() }

// stop makes the router not ready for good.
func (t *tracker) stop() { t.stopping.Store(true) }

// followers returns the followers of the store's topics, for goroutines of
// their own. What they learn reaches the belief in run.
func (t *tracker) followers(ctx context.Context) []*feed.Follower {
	config := feed.New(t.platform.Config, feed.Options{
		Pace: t.pace(feed.Pace{Wait: configWait, Pause: configPause, Timeout: callTimeout}),
		News: t.remoteOffset(topicConfig),
	}, t.newObserver(ctx, topicConfig, t.applyConfig))
	servers := feed.New(t.platform.Servers, feed.Options{
		Pace:       t.serversPace(),
		News:       t.remoteOffset(topicServers),
		Grace:      registry.ReturnGrace,
		GraceAfter: graceAfter,
	}, t.newObserver(ctx, topicServers, t.applyServers))
	return []*feed.Follower{config, servers}
}

// run applies what is learned until ctx ends.
func (t *tracker) run(ctx context.Context) error {
	defer close(t.ended)
	tick := time.NewTicker(expireInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case task := <-t.tasks:
			task()
		case now := <-tick.C:
			t.publishChanges(t.servers.Expire(now), true)
		}
	}
}

// pace returns the full pace for a router that reads the store for all, and a
// slow one for the others, which hear of news.
func (t *tracker) pace(full feed.Pace) func() feed.Pace {
	return func() feed.Pace {
		if !t.ready() || t.exchange.Reader() {
			return full
		}
		return feed.Pace{Pause: nonReaderPause, Timeout: nonReaderTimeout}
	}
}

// serversPace waits at the store for changes of servers, unless heartbeats are
// records of their own and end every wait.
func (t *tracker) serversPace() func() feed.Pace {
	waiting := t.pace(feed.Pace{Wait: configWait, Pause: configPause, Timeout: callTimeout})
	polling := t.pace(feed.Pace{Pause: serversPause, Timeout: callTimeout})
	return func() feed.Pace {
		if t.heartbeatRecords.Load() {
			return polling()
		}
		return waiting()
	}
}

// remoteOffset returns the offset of news that another router has found and that is
// not known here, or a negative number.
func (t *tracker) remoteOffset(topic int) func() int64 {
	return func() int64 {
		offset := t.exchange.News(topic)
		if t.progress.isApplied(topic, offset) {
			offset = -1
		}
		if gap := t.progress.gapOffset(); topic == topicServers && gap > 0 {
			offset = max(offset, gap)
		}
		return offset
	}
}

// LearnServers takes changes of servers that another router has read. It is
// called from the goroutine that receives digests.
func (t *tracker) LearnServers(list []digest.ServerNews) {
	t.progress.detectGap(list)
	entries := make([]registry.Entry, 0, len(list))
	for _, n := range list {
		entries = append(entries, registry.Entry{ID: n.ID, Offset: n.Offset, Server: n.Server})
	}
	select {
	case t.tasks <- func() { t.applyReceived(entries) }:
	case <-t.ended:
	}
}

// applyReceived applies relayed changes. A router that has read no list yet
// waits for that, because a few changes are not all servers.
func (t *tracker) applyReceived(entries []registry.Entry) {
	if t.servers.Len() > 0 {
		t.publishChanges(t.servers.Apply(time.Now(), entries, time.Time{}), false)
	}
}

// applyConfig puts a newer configuration in force. An older one, or one that
// cannot be decoded, changes nothing.
func (t *tracker) applyConfig(batch feed.Batch) {
	for _, r := range batch.Records {
		if r.Key != t.platform.ConfigKey || r.Value == nil {
			continue
		}
		config, err := t.platform.DecodeConfig(r.Value)
		if err != nil {
			t.events.Emit(event.ConfigUnusable, "offset", r.Offset, "error", err.Error())
			continue
		}
		t.activateConfig(config, r.Offset)
	}
}

func (t *tracker) activateConfig(config routing.Config, offset int64) {
	old := t.state.Table()
	if old != nil && config.Version <= old.Version() {
		return
	}
	table := routing.Compile(config)
	t.state.SetTable(table)
	t.edge.SetIdleLimit(table.Limits().IdleTimeout)
	t.haveConfig = true
	t.progress.recordChange(topicConfig, offset)
	t.exchange.Prompt()
	t.events.Emit(event.ConfigInForce, "version", config.Version, "offset", offset, "routes", len(config.Routes))
	t.checkReady()
}

// applyServers applies entries of servers.
func (t *tracker) applyServers(batch feed.Batch) {
	t.progress.recordReadTo(batch.Next)
	records := latestPerKey(batch.Records)
	entries := make([]registry.Entry, 0, len(records))
	for _, r := range records {
		entries = append(entries, registry.Entry{ID: r.Key, Server: t.decodeServer(r), Offset: r.Offset})
	}
	now := time.Now()
	if batch.Full {
		t.publishChanges(t.servers.Replace(now, entries, batch.Next, batch.GraceUntil), true)
	} else {
		changes := t.servers.Apply(now, entries, batch.GraceUntil)
		t.heartbeatRecords.Store(len(changes) == 0 && now.After(batch.GraceUntil))
		t.publishChanges(changes, true)
	}
	t.listRead = true
	t.checkReady()
}

// latestPerKey leaves out the records that a later one of the same key replaces:
// most are heartbeats.
func latestPerKey(records []feed.Record) []feed.Record {
	last := make(map[string]int, len(records))
	for i, r := range records {
		last[r.Key] = i
	}
	latest := make([]feed.Record, 0, len(last))
	for i, r := range records {
		if last[r.Key] == i {
			latest = append(latest, r)
		}
	}
	return latest
}

// decodeServer returns nil for an entry that names no usable server. An
// unusable entry is logged once until its key has a usable one.
func (t *tracker) decodeServer(r feed.Record) *registry.Server {
	if r.Value == nil {
		delete(t.unusable, r.Key)
		return nil
	}
	server, err := t.platform.DecodeServer(r.Key, r.Value)
	if err == nil {
		delete(t.unusable, r.Key)
		return server
	}
	if !t.unusable[r.Key] {
		t.unusable[r.Key] = true
		t.events.Emit(event.EntryUnusable, "server", r.Key, "offset", r.Offset, "error", err.Error())
	}
	return nil
}

// publishChanges publishes and logs changes of the servers. Those that this router has
// read itself are told to the others, but for its first list: a router that
// starts reads that itself.
func (t *tracker) publishChanges(changes []registry.Change, read bool) {
	if len(changes) == 0 {
		return
	}
	t.state.SetServers(t.servers.Servers())
	for _, c := range changes {
		t.logChange(c, read)
	}
	if !read || !t.listRead {
		t.progress.recordReceived(changes)
		return
	}
	t.progress.recordRead(changes)
	t.exchange.Prompt()
}

func (t *tracker) logChange(c registry.Change, read bool) {
	s, state := c.New, "ready"
	switch {
	case s == nil:
		s, state = c.Old, "gone"
	case s.Leaving:
		state = "leaving"
	}
	t.events.Emit(event.ServerChanged, "server", s.ID, "pool", s.Pool, "address", s.Addr,
		"state", state, "born", s.Born, "new", c.Old == nil, "offset", c.Offset, "read", read, "servers", t.servers.Len())
}

// checkReady makes the router ready once it knows a configuration and a server.
// It stays ready when the servers leave, since other routers know no more.
func (t *tracker) checkReady() {
	if !t.haveConfig || t.servers.Len() == 0 || t.isReady.Load() {
		return
	}
	t.isReady.Store(true)
	t.events.Emit(event.FrontReady, "version", t.state.Table().Version(), "servers", t.servers.Len())
}

// newObserver returns an observer that carries news into the belief's goroutine.
func (t *tracker) newObserver(ctx context.Context, topic int, apply func(feed.Batch)) feed.Observer {
	return &observer{ctx: ctx, tracker: t, topic: topic, apply: apply}
}

type observer struct {
	ctx     context.Context
	tracker *tracker
	topic   int
	apply   func(feed.Batch)
}

// Batch hands news to the belief's goroutine.
func (o *observer) Batch(batch feed.Batch) {
	select {
	case o.tracker.tasks <- func() { o.apply(batch) }:
	case <-o.ctx.Done():
	}
}

// Lost logs that the store does not answer.
func (o *observer) Lost(err error) {
	o.tracker.progress.setFailing(o.topic, true)
	o.tracker.events.Emit(event.StoreLost, "topic", topicNames[o.topic], "error", err.Error())
}

// Regained logs that the store answers again.
func (o *observer) Regained(after time.Duration) {
	o.tracker.progress.setFailing(o.topic, false)
	if o.topic == topicServers && after >= graceAfter {
		o.tracker.progress.delayRemovals(time.Now().Add(registry.ReturnGrace))
	}
	o.tracker.events.Emit(event.StoreRegained, "topic", topicNames[o.topic], "after_ms", after.Milliseconds())
}

// Expired logs that history was lost.
func (o *observer) Expired(from int64) {
	o.tracker.events.Emit(event.HistoryLost, "topic", topicNames[o.topic], "from", from)
}

// Behind logs a stale list.
func (o *observer) Behind(next, known int64) {
	o.tracker.events.Emit(event.ListBehind, "topic", topicNames[o.topic], "next", next, "known", known)
}
