package front

import (
	"bytes"
	"context"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bluebellwell/bluebellwell/internal/digest"
	"github.com/bluebellwell/bluebellwell/internal/edge"
	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/feed"
	"github.com/bluebellwell/bluebellwell/internal/forward"
	"github.com/bluebellwell/bluebellwell/internal/logpos"
	"github.com/bluebellwell/bluebellwell/internal/registry"
	"github.com/bluebellwell/bluebellwell/internal/routing"
)

// expireInterval is how often the grace periods of removed servers are checked.
const expireInterval = 100 * time.Millisecond

// maxLoggedFields bounds the fields of a configuration in one log line.
const maxLoggedFields = 16

// emptyServersHash is the hash of a list without servers: 0 means that no list has been read.
const emptyServersHash = 1

// tracker keeps the configuration and the servers up to date with the store. The
// goroutine of run owns servers, haveConfig, listRead, held and unusable; the other
// fields are safe for concurrent use.
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
	// done is closed when run returns.
	done     chan struct{}
	exchange *digest.Exchange
	progress progress
	eras     feed.Eras
	eraCount tally.Counter
	// held is the first configuration while it is held back.
	held *heldConfig
	// evacuations are the evacuated data centres.
	evacuations evacuations
	// differences are those of the configuration from and for other routers.
	differences *differences
	// firstStart is set when the whole system starts for the first time.
	firstStart bool
	startedAt  time.Time

	isReady atomic.Bool
	// readyAt is set before isReady.
	readyAt time.Time
	// heartbeatRecords is set while the servers' topic receives records without an
	// effect, which are heartbeats.
	heartbeatRecords atomic.Bool
	stopping         atomic.Bool
	serverCount      atomic.Int64
}

func newTracker(p Platform, st *forward.State, e *edge.Server, events *event.Logger, scope tally.Scope) *tracker {
	return &tracker{
		progress: newProgress(),
		eraCount: scope.Counter("store_eras"),

		evacuations: newEvacuations(st, events, scope),
		differences: newDifferences(scope),

		startedAt: time.Now(),
		platform:  p,
		state:     st,
		edge:      e,
		events:    events,
		servers:   registry.New(),
		unusable:  make(map[string]bool),
		tasks:     make(chan func()),
		done:      make(chan struct{}),
	}
}

// ready reports whether the router accepts callers. One that may have missed an evacuation does not, and reads the store at the full rate.
func (t *tracker) ready() bool {
	return t.isReady.Load() && !t.stopping.Load() && t.evacuations.MaySend()
}

// ServersKnown reports whether the list of servers has been read.
func (t *tracker) ServersKnown() bool { return t.isReady.Load() }

// readyFor returns how long ago the router has become ready; 0 when it hasn't.
func (t *tracker) readyFor(now time.Time) time.Duration {
	if !t.isReady.Load() {
		return 0
	}
	return now.Sub(t.readyAt)
}

// stop makes the router not ready permanently.
func (t *tracker) stop() { t.stopping.Store(true) }

// followers returns the followers of the store's topics, each to run on a
// goroutine of its own. They pass what they read to run.
func (t *tracker) followers(ctx context.Context) []*feed.Follower {
	config := feed.New(t.platform.Config, feed.Options{
		Timing:       t.configTiming(),
		PeerPosition: t.peerPosition(digest.TopicConfig),
		Eras:         &t.eras,
		EraReported:  t.exchange.EraReported,
		NewestOnly:   true,
		KnownTo:      t.configKnownTo,
	}, t.newObserver(ctx, digest.TopicConfig, t.applyConfig))
	servers := feed.New(t.platform.Servers, feed.Options{
		Timing:       t.serversTiming(),
		PeerPosition: t.peerPosition(digest.TopicServers),
		MustList:     t.exchange.MustListServers,
		Eras:         &t.eras,
		EraReported:  t.exchange.EraReported,
		Grace:        registry.RemovalGrace,
		MinOutage:    minOutage,
	}, t.newObserver(ctx, digest.TopicServers, t.applyServers))
	return []*feed.Follower{config, servers}
}

// run applies changes until ctx ends.
func (t *tracker) run(ctx context.Context) error {
	defer close(t.done)
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
			t.evacuations.expire(now)
			t.evacuations.current()
			t.releaseHeld()
		case <-t.differences.wake:
			t.applyDifferences()
		case <-t.heldCheck():
			t.releaseHeld()
		}
	}
}

// peerPosition returns a function for the position of the newest change that another
// router has read and that is not applied here, or logpos.None. A configuration that is
// in force here already need not be read again.
func (t *tracker) peerPosition(topic int) func() logpos.Position {
	return func() logpos.Position {
		version := int64(0)
		if topic == digest.TopicConfig {
			version = t.progress.versionInForce()
		}
		position := t.exchange.NewestChange(topic, version)
		if t.progress.isApplied(topic, position) {
			position = logpos.None
		}
		if topic == digest.TopicConfig && t.differences.expects(time.Now(), position) {
			position = logpos.None
		}
		if topic == digest.TopicServers {
			position = logpos.Max(position, t.progress.gapPosition())
			position = logpos.Max(position, t.progress.unreadOf(t.exchange.ReadersListEnd(t.progress.readEra())))
		}
		return position
	}
}

// ApplyServerChanges applies changes of servers that another router has read. It is
// called on the goroutine that receives digests.
func (t *tracker) ApplyServerChanges(list []digest.ServerChange) {
	entries := make([]registry.Entry, 0, len(list))
	for _, c := range list {
		entries = append(entries, registry.Entry{ID: c.ID, Position: c.Position, Server: c.Server})
	}
	select {
	case t.tasks <- func() {
		// In order with the changes before, which another datagram may have brought just now.
		t.progress.detectGap(list)
		t.applyReceived(entries)
	}:
	case <-t.done:
	}
}

// applyReceived applies changes from another router. A router that has not read the list of
// servers ignores them and waits for it, because a few changes do not make up
// all servers.
func (t *tracker) applyReceived(entries []registry.Entry) {
	if !t.listRead {
		return
	}
	changes := t.servers.Apply(time.Now(), entries, time.Time{})
	t.publishChanges(changes, false)
	t.recordCold(entries, changes, false)
	for _, e := range entries {
		t.progress.recordApplied(e.Position)
	}
	t.recordServersHash()
	t.checkReady()
}

// applyConfig activates the newest configuration of a batch. An older one, or one that cannot
// be decoded, has no effect.
func (t *tracker) applyConfig(batch feed.Batch) {
	t.applyEvacuations(batch)
	next := batch.Next
	var newest *configUpdate
	for _, r := range batch.Records {
		if r.Key != t.platform.ConfigKey || r.Value == nil {
			continue
		}
		config, err := t.platform.DecodeConfig(r.Value)
		if err != nil {
			t.events.Emit(event.ConfigUnusable, "offset", r.Offset, "error", err.Error())
			next = logpos.None
			continue
		}
		if newest == nil || config.Version > newest.config.Version {
			position := logpos.Position{Era: batch.Next.Era, Offset: r.Offset}
			newest = &configUpdate{config: config, text: r.Value, position: position, source: configFromStore}
		}
	}
	if newest == nil {
		return
	}
	t.differences.reads.Inc(1)
	// The records of a batch share the memory of the store's answer.
	newest.text, newest.next = bytes.Clone(newest.text), next
	t.activateConfig(*newest)
}

// activateConfig puts a configuration in force, unless it is older or held back.
func (t *tracker) activateConfig(u configUpdate) {
	config, position := u.config, u.position
	old := t.state.Table()
	if old != nil && config.Version <= old.Version() {
		if config.Version == old.Version() && t.progress.recordConfigAgain(position) {
			t.exchange.SendSoon()
		}
		return
	}
	if old == nil && t.holdBack(u) {
		return
	}
	if len(config.Ignored) > 0 {
		t.events.Emit(event.ConfigFieldsIgnored, "version", config.Version, "fields", config.Ignored[:min(len(config.Ignored), maxLoggedFields)], "count", len(config.Ignored))
	}
	table := routing.Compile(config)
	t.state.SetTable(table)
	t.edge.SetIdleLimit(table.Limits().IdleTimeout)
	t.edge.SetHeaderLimit(table.Limits().HeaderTimeout)
	t.haveConfig = true
	// Before the position is known to the others, which would read the store for it.
	t.differences.putInForce(u, u.source == configFromStore && t.exchange.Reading())
	t.progress.recordConfig(table.Version(), position)
	t.exchange.SendSoon()
	t.events.Emit(event.ConfigInForce, "version", config.Version, "era", position.Era, "offset", position.Offset, "routes", len(config.Routes),
		"source", u.source)
	t.checkReady()
}

// applyServers applies the servers' entries of a batch.
func (t *tracker) applyServers(batch feed.Batch) {
	t.progress.recordReadTo(batch.Next, batch.Full)
	records := latestPerKey(batch.Records)
	entries := make([]registry.Entry, 0, len(records))
	for _, r := range records {
		position := logpos.Position{Era: batch.Next.Era, Offset: r.Offset}
		entries = append(entries, registry.Entry{ID: r.Key, Server: t.decodeServer(r), Position: position})
	}
	again := t.servers.WrittenAgain(entries)
	if batch.Full {
		again = append(again, t.servers.RemovedAgain(entries, batch.Next)...)
	}
	if len(again) > 0 {
		t.progress.recordWrittenAgain(again)
		t.exchange.SendSoon()
	}
	now := time.Now()
	var changes []registry.Change
	if batch.Full {
		var outdated []registry.Entry
		changes, outdated = t.servers.Replace(now, entries, batch.Next, batch.GraceUntil)
		for _, e := range outdated {
			t.events.Emit(event.ServerEntryOutdated, "server", e.ID, "era", e.Position.Era, "offset", e.Position.Offset)
		}
	} else {
		changes = t.servers.Apply(now, entries, batch.GraceUntil)
		t.heartbeatRecords.Store(len(changes) == 0 && now.After(batch.GraceUntil))
	}
	t.publishChanges(changes, true)
	t.recordCold(entries, changes, true)
	t.listRead = true
	t.recordServersHash()
	t.checkReady()
}

// recordServersHash makes the hash of the servers known to the other routers once the list has been read.
func (t *tracker) recordServersHash() {
	if t.listRead {
		t.progress.recordServers(time.Now(), max(t.servers.Hash(), emptyServersHash))
	}
}

// latestPerKey drops the records that a later one of the same key replaces, most
// of which are heartbeats.
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

// decodeServer returns nil for an entry that names no usable server. It logs an
// unusable entry only once until the key gets a usable one or is removed.
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
		t.events.Emit(event.ServerEntryUnusable, "server", r.Key, "offset", r.Offset, "error", err.Error())
	}
	return nil
}

// publishChanges publishes and logs changes of the servers. Those that this
// router has read itself are sent to the others, except for its first list: each
// router reads that itself when it starts.
func (t *tracker) publishChanges(changes []registry.Change, read bool) {
	if len(changes) == 0 {
		return
	}
	t.state.SetServers(t.servers.Servers())
	t.serverCount.Store(int64(t.servers.Len()))
	for _, c := range changes {
		t.logChange(c, read)
	}
	if !read || !t.listRead {
		t.progress.recordReceived(changes)
		return
	}
	t.progress.recordRead(changes)
	t.exchange.SendSoon()
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
		"state", state, "born", s.Born, "new", c.Old == nil, "era", c.Position.Era, "offset", c.Position.Offset, "read", read, "servers", t.servers.Len())
}

// checkReady makes the router ready once it has a configuration and a server and knows which data centres are
// evacuated. The router stays ready when all servers leave, since other routers have none either.
func (t *tracker) checkReady() {
	if !t.haveConfig || t.servers.Len() == 0 || !t.evacuations.known() || t.isReady.Load() {
		return
	}
	t.readyAt = time.Now()
	t.isReady.Store(true)
	t.state.SetReady()
	t.exchange.RequestPlacements()
	t.events.Emit(event.FrontReady, "version", t.state.Table().Version(), "servers", t.servers.Len())
}
