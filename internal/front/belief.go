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
	// relayedPause is the time between two reads of a router that others tell of
	// news, in case all of them miss some.
	relayedPause = 15 * time.Second
	// callTimeout bounds a call to the store beyond its wait, relayedTimeout one
	// that brings many records and is not urgent.
	callTimeout    = time.Second
	relayedTimeout = 4 * time.Second
	// graceAfter is the outage from which entries of live servers may lapse:
	// below three of their heartbeats, which come every 1.2 s.
	graceAfter = 2 * time.Second
	// expireInterval is how often the grace of removed servers is checked.
	expireInterval = 100 * time.Millisecond
)

// belief is what the router knows of configuration and servers. Its goroutine
// owns the fields; other goroutines use ready and stop only.
type belief struct {
	platform Platform
	world    *forward.World
	edge     *edge.Server
	events   *event.Logger

	servers    *registry.Registry
	haveConfig bool
	// listed is set once this router has read the whole list of servers.
	listed   bool
	unusable map[string]bool
	inbox    chan func()
	// ended is closed when the goroutine has ended.
	ended    chan struct{}
	exchange *digest.Exchange
	progress progress

	isReady atomic.Bool
	// beats is set while records without an effect arrive in the servers' topic.
	beats    atomic.Bool
	stopping atomic.Bool
}

func newBelief(p Platform, w *forward.World, e *edge.Server, events *event.Logger) *belief {
	return &belief{
		platform: p,
		world:    w,
		edge:     e,
		events:   events,
		servers:  registry.New(),
		unusable: make(map[string]bool),
		inbox:    make(chan func()),
		ended:    make(chan struct{}),
	}
}

// ready reports whether the router takes callers.
func (b *belief) ready() bool { return b.isReady.Load() && !b.stopping.Load() }

// stop makes the router not ready for good.
func (b *belief) stop() { b.stopping.Store(true) }

// followers returns the followers of the store's topics, for goroutines of
// their own. What they learn reaches the belief in run.
func (b *belief) followers(ctx context.Context) []*feed.Follower {
	config := feed.New(b.platform.Config, feed.Options{
		Timing:     b.pace(feed.Timing{Wait: configWait, Pause: configPause, Timeout: callTimeout}),
		PeerOffset: b.news(topicConfig),
	}, b.observe(ctx, topicConfig, b.takeConfig))
	servers := feed.New(b.platform.Servers, feed.Options{
		Timing:     b.serversPace(),
		PeerOffset: b.news(topicServers),
		Grace:      registry.RemovalGrace,
		MinOutage:  graceAfter,
	}, b.observe(ctx, topicServers, b.takeServers))
	return []*feed.Follower{config, servers}
}

// run applies what is learned until ctx ends.
func (b *belief) run(ctx context.Context) error {
	defer close(b.ended)
	tick := time.NewTicker(expireInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case task := <-b.inbox:
			task()
		case now := <-tick.C:
			b.changed(b.servers.Expire(now), true)
		}
	}
}

// pace returns the full pace for a router that reads the store for all, and a
// slow one for the others, which hear of news.
func (b *belief) pace(full feed.Timing) func() feed.Timing {
	return func() feed.Timing {
		if !b.ready() || b.exchange.Reader() {
			return full
		}
		return feed.Timing{Pause: relayedPause, Timeout: relayedTimeout}
	}
}

// serversPace waits at the store for changes of servers, unless heartbeats are
// records of their own and end every wait.
func (b *belief) serversPace() func() feed.Timing {
	waiting := b.pace(feed.Timing{Wait: configWait, Pause: configPause, Timeout: callTimeout})
	polling := b.pace(feed.Timing{Pause: serversPause, Timeout: callTimeout})
	return func() feed.Timing {
		if b.beats.Load() {
			return polling()
		}
		return waiting()
	}
}

// news returns the offset of news that another router has found and that is
// not known here, or a negative number.
func (b *belief) news(topic int) func() int64 {
	return func() int64 {
		offset := b.exchange.NewestChange(topic)
		if b.progress.applied(topic, offset) {
			offset = -1
		}
		if gap := b.progress.missing(); topic == topicServers && gap > 0 {
			offset = max(offset, gap)
		}
		return offset
	}
}

// ApplyServerChanges takes changes of servers that another router has read. It is
// called from the goroutine that receives digests.
func (b *belief) ApplyServerChanges(list []digest.ServerChange) {
	b.progress.hear(list)
	entries := make([]registry.Entry, 0, len(list))
	for _, n := range list {
		entries = append(entries, registry.Entry{ID: n.ID, Offset: n.Offset, Server: n.Server})
	}
	select {
	case b.inbox <- func() { b.learnServers(entries) }:
	case <-b.ended:
	}
}

// learnServers applies relayed changes. A router that has read no list yet
// waits for that, because a few changes are not all servers.
func (b *belief) learnServers(entries []registry.Entry) {
	if b.servers.Len() > 0 {
		b.changed(b.servers.Apply(time.Now(), entries, time.Time{}), false)
	}
}

// takeConfig puts a newer configuration in force. An older one, or one that
// cannot be decoded, changes nothing.
func (b *belief) takeConfig(batch feed.Batch) {
	for _, r := range batch.Records {
		if r.Key != b.platform.ConfigKey || r.Value == nil {
			continue
		}
		config, err := b.platform.DecodeConfig(r.Value)
		if err != nil {
			b.events.Emit(event.ConfigUnusable, "offset", r.Offset, "error", err.Error())
			continue
		}
		b.putInForce(config, r.Offset)
	}
}

func (b *belief) putInForce(config routing.Config, offset int64) {
	old := b.world.Table()
	if old != nil && config.Version <= old.Version() {
		return
	}
	table := routing.Compile(config)
	b.world.SetTable(table)
	b.edge.SetIdleLimit(table.Limits().IdleTimeout)
	b.haveConfig = true
	b.progress.news(topicConfig, offset)
	b.exchange.SendSoon()
	b.events.Emit(event.ConfigInForce, "version", config.Version, "offset", offset, "routes", len(config.Routes))
	b.checkReady()
}

// takeServers applies entries of servers.
func (b *belief) takeServers(batch feed.Batch) {
	b.progress.readTo(batch.Next)
	records := newestOfEach(batch.Records)
	entries := make([]registry.Entry, 0, len(records))
	for _, r := range records {
		entries = append(entries, registry.Entry{ID: r.Key, Server: b.decodeServer(r), Offset: r.Offset})
	}
	now := time.Now()
	if batch.Full {
		b.changed(b.servers.Replace(now, entries, batch.Next, batch.GraceUntil), true)
	} else {
		changes := b.servers.Apply(now, entries, batch.GraceUntil)
		b.beats.Store(len(changes) == 0 && now.After(batch.GraceUntil))
		b.changed(changes, true)
	}
	b.listed = true
	b.checkReady()
}

// newestOfEach leaves out the records that a later one of the same key replaces:
// most are heartbeats.
func newestOfEach(records []feed.Record) []feed.Record {
	last := make(map[string]int, len(records))
	for i, r := range records {
		last[r.Key] = i
	}
	newest := make([]feed.Record, 0, len(last))
	for i, r := range records {
		if last[r.Key] == i {
			newest = append(newest, r)
		}
	}
	return newest
}

// decodeServer returns nil for an entry that names no usable server. An
// unusable entry is logged once until its key has a usable one.
func (b *belief) decodeServer(r feed.Record) *registry.Server {
	if r.Value == nil {
		delete(b.unusable, r.Key)
		return nil
	}
	server, err := b.platform.DecodeServer(r.Key, r.Value)
	if err == nil {
		delete(b.unusable, r.Key)
		return server
	}
	if !b.unusable[r.Key] {
		b.unusable[r.Key] = true
		b.events.Emit(event.EntryUnusable, "server", r.Key, "offset", r.Offset, "error", err.Error())
	}
	return nil
}

// changed publishes and logs changes of the servers. Those that this router has
// read itself are told to the others, but for its first list: a router that
// starts reads that itself.
func (b *belief) changed(changes []registry.Change, read bool) {
	if len(changes) == 0 {
		return
	}
	b.world.SetServers(b.servers.Servers())
	for _, c := range changes {
		b.logChange(c, read)
	}
	if !read || !b.listed {
		b.progress.heard(changes)
		return
	}
	b.progress.read(changes)
	b.exchange.SendSoon()
}

func (b *belief) logChange(c registry.Change, read bool) {
	s, state := c.New, "ready"
	switch {
	case s == nil:
		s, state = c.Old, "gone"
	case s.Leaving:
		state = "leaving"
	}
	b.events.Emit(event.ServerChanged, "server", s.ID, "pool", s.Pool, "address", s.Addr,
		"state", state, "born", s.Born, "new", c.Old == nil, "offset", c.Offset, "read", read, "servers", b.servers.Len())
}

// checkReady makes the router ready once it knows a configuration and a server.
// It stays ready when the servers leave, since other routers know no more.
func (b *belief) checkReady() {
	if !b.haveConfig || b.servers.Len() == 0 || b.isReady.Load() {
		return
	}
	b.isReady.Store(true)
	b.events.Emit(event.FrontReady, "version", b.world.Table().Version(), "servers", b.servers.Len())
}

// observe returns an observer that carries news into the belief's goroutine.
func (b *belief) observe(ctx context.Context, topic int, take func(feed.Batch)) feed.Observer {
	return &observer{ctx: ctx, belief: b, topic: topic, take: take}
}

type observer struct {
	ctx    context.Context
	belief *belief
	topic  int
	take   func(feed.Batch)
}

// Batch hands news to the belief's goroutine.
func (o *observer) Batch(batch feed.Batch) {
	select {
	case o.belief.inbox <- func() { o.take(batch) }:
	case <-o.ctx.Done():
	}
}

// OutageStarted logs that the store does not answer.
func (o *observer) OutageStarted(err error) {
	o.belief.progress.lost(o.topic, true)
	o.belief.events.Emit(event.StoreLost, "topic", topicNames[o.topic], "error", err.Error())
}

// OutageEnded logs that the store answers again.
func (o *observer) OutageEnded(after time.Duration) {
	o.belief.progress.lost(o.topic, false)
	if o.topic == topicServers && after >= graceAfter {
		o.belief.progress.holdBack(time.Now().Add(registry.RemovalGrace))
	}
	o.belief.events.Emit(event.StoreRegained, "topic", topicNames[o.topic], "after_ms", after.Milliseconds())
}

// HistoryExpired logs that history was lost.
func (o *observer) HistoryExpired(from int64) {
	o.belief.events.Emit(event.HistoryLost, "topic", topicNames[o.topic], "from", from)
}

// StaleList logs a stale list.
func (o *observer) StaleList(next, known int64) {
	o.belief.events.Emit(event.ListBehind, "topic", topicNames[o.topic], "next", next, "known", known)
}
