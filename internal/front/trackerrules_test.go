package front

import (
	"bytes"
	"context"
	"errors"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/bluebellwell/bluebellwell/internal/digest"
	"github.com/bluebellwell/bluebellwell/internal/edge"
	"github.com/bluebellwell/bluebellwell/internal/evacuation"
	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/feed"
	"github.com/bluebellwell/bluebellwell/internal/forward"
	"github.com/bluebellwell/bluebellwell/internal/logpos"
	"github.com/bluebellwell/bluebellwell/internal/registry"
	"github.com/bluebellwell/bluebellwell/internal/routing"
)

// trackerRouter is the tracker of a router that has no others, and its log.
type trackerRouter struct {
	*tracker
	log *bytes.Buffer
}

// newTrackerRouter returns a tracker whose configurations are the number of their version.
// It waits for no digest.
func newTrackerRouter(t *testing.T) trackerRouter {
	t.Helper()
	callers, err := edge.Listen("127.0.0.1:0", nil, hclog.NewNullLogger())
	if err != nil {
		t.Fatal(err)
	}
	log := &bytes.Buffer{}
	events := event.NewLogger(hclog.New(&hclog.LoggerOptions{Output: log, JSONFormat: true, Level: hclog.Trace}))
	tr := newTracker(Platform{
		ConfigKey: "config",
		DecodeConfig: func(value []byte) (routing.Config, error) {
			if value[0] == 'x' {
				return routing.Config{Version: 99}, errors.New("unreadable")
			}
			return routing.Config{Version: int64(value[0] - '0')}, nil
		},
		DecodeServer: func(id string, value []byte) (*registry.Server, error) {
			if value[0] == 'x' {
				return nil, errors.New("unreadable")
			}
			return &registry.Server{ID: id, Pool: "p", Addr: "10.0.0.1:1", Leaving: value[0] == 'l'}, nil
		},
	}, forward.NewState(forward.Limits{}), callers, events, tally.NoopScope)
	tr.firstStart = true
	tr.exchange, err = digest.Listen(netip.MustParseAddrPort("127.0.0.1:0"), nil, true, &digestState{State: tr.state, tracker: tr, progress: &tr.progress}, event.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := errors.Join(tr.exchange.Close(), callers.Close()); err != nil {
			t.Error(err)
		}
	})
	return trackerRouter{tr, log}
}

func (tr trackerRouter) version() int64 {
	if table := tr.state.Table(); table != nil {
		return table.Version()
	}
	return 0
}

// config applies a record of the configuration's topic.
func (tr trackerRouter) config(key, value string, offset int64) {
	r := feed.Record{Key: key, Offset: offset}
	if value != "" {
		r.Value = []byte(value)
	}
	tr.applyConfig(feed.Batch{Records: []feed.Record{r}, Next: at(offset + 1)})
}

// list applies a list of servers, each with a letter for its state: r for ready, l for
// leaving, x for an entry that cannot be read.
func (tr trackerRouter) list(next logpos.Position, entries ...string) {
	tr.apply(true, next, entries...)
}

func (tr trackerRouter) records(next logpos.Position, entries ...string) {
	tr.apply(false, next, entries...)
}

func (tr trackerRouter) apply(full bool, next logpos.Position, entries ...string) {
	b := feed.Batch{Full: full, Next: next}
	for i, e := range entries {
		id, state, _ := strings.Cut(e, ":")
		b.Records = append(b.Records, feed.Record{Key: id, Value: []byte(state), Offset: next.Offset - int64(len(entries)-i)})
	}
	tr.applyServers(b)
}

// Guards against a configuration that goes back, is taken from another key or a broken
// record, or ends with its deletion.
func TestOnlyNewerReadableConfigurationsAreApplied(t *testing.T) {
	tr := newTrackerRouter(t)
	for i, c := range []struct {
		key, value string
		want       int64
	}{{"other", "3", 0}, {"config", "x", 0}, {"config", "7", 7}, {"config", "3", 7}, {"config", "", 7}, {"other", "8", 7}, {"config", "x", 7}, {"config", "9", 9}} {
		if tr.config(c.key, c.value, int64(i)); tr.version() != c.want {
			t.Errorf("version %d after %s %q, want %d", tr.version(), c.key, c.value, c.want)
		}
	}
}

// Guards against a router that gets callers without a configuration, without servers or
// while it stops, and against one that counts its time anew with each change.
func TestRouterIsReadyWithConfigurationAndServers(t *testing.T) {
	tr := newTrackerRouter(t)
	tr.list(at(2), "a:r")
	if tr.ready() {
		t.Error("ready without a configuration")
	}
	tr = newTrackerRouter(t)
	tr.config("config", "1", 1)
	tr.list(at(2))
	if tr.ready() {
		t.Error("ready without servers")
	}
	tr.list(at(3), "a:r")
	if !tr.ready() {
		t.Fatal("not ready with a configuration and a server")
	}
	since := tr.readyAt
	tr.records(at(4), "b:r")
	if tr.readyAt != since {
		t.Error("ready anew after a change")
	}
	if tr.stop(); tr.ready() {
		t.Error("ready while it stops")
	}
}

// Guards against a router that takes a few changes for all servers, sends on what others
// have read, or reads what it knows.
func TestChangesOfOtherRoutersAreApplied(t *testing.T) {
	tr := newTrackerRouter(t)
	change := func(id string, offset, prev int64) digest.ServerChange {
		return digest.ServerChange{ID: id, Position: at(offset), Prev: at(prev), Server: &registry.Server{ID: id, Pool: "p", Addr: "10.0.0.1:1"}}
	}
	deliver(tr.tracker, change("b", 5, 4))
	if tr.servers.Len() != 0 {
		t.Error("a router without a list of its own uses a single server")
	}
	tr = newTrackerRouter(t)
	tr.list(at(3), "a:r")
	deliver(tr.tracker, change("b", 5, 2))
	if tr.servers.Len() != 2 || len(tr.progress.ServerChanges()) != 0 {
		t.Errorf("%d servers, want 2, and nothing sent on", tr.servers.Len())
	}
	if got := tr.peerPosition(digest.TopicServers)(); got != logpos.None {
		t.Errorf("reads to %v although no change is lost", got)
	}
	// An entry that changes nothing here counts, too.
	deliver(tr.tracker, change("b", 6, 5))
	deliver(tr.tracker, change("c", 7, 6))
	if got := tr.peerPosition(digest.TopicServers)(); got != logpos.None {
		t.Errorf("reads to %v after an entry without an effect", got)
	}
	deliver(tr.tracker, change("d", 9, 8))
	if got := tr.peerPosition(digest.TopicServers)(); got != at(9) {
		t.Errorf("reads to %v after a lost change, want 9", got)
	}
}

// Guards against changes, configurations and records of a new era that other routers do not
// hear of.
func TestWhatIsReadIsSent(t *testing.T) {
	tr := newTrackerRouter(t)
	tr.list(at(3), "a:r", "b:r")
	if list := tr.progress.ServerChanges(); len(list) != 0 {
		t.Errorf("the first list is sent: %v", list)
	}
	tr.records(at(5), "a:l", "a:r", "a:l")
	if list := tr.progress.ServerChanges(); len(list) != 1 || !list[0].Server.Leaving {
		t.Errorf("%v is sent, want only the last state", list)
	}
	tr.config("config", "4", 1)
	if got := tr.progress.report(time.Now(), 0); got.ConfigVersion != 4 || got.Topics[digest.TopicConfig].LastChange != at(1) {
		t.Errorf("reported %+v, want the version 4 at 1", got)
	}
	tr.applyConfig(feed.Batch{Records: []feed.Record{{Key: "config", Value: []byte("4"), Offset: 0}}, Next: logpos.Position{Era: 1, Offset: 1}})
	if got := tr.progress.report(time.Now(), 1).Topics[digest.TopicConfig].LastChange; got != (logpos.Position{Era: 1}) {
		t.Errorf("reported position %v of a version that was written again, want that of the new era", got)
	}
	tr = newTrackerRouter(t)
	tr.list(at(3), "a:r")
	tr.applyServers(feed.Batch{Full: true, Next: logpos.Position{Era: 1, Offset: 1}, GraceUntil: time.Now().Add(time.Hour)})
	tr.records(logpos.Position{Era: 1, Offset: 3}, "a:r")
	if list := tr.progress.ServerChanges(); len(list) != 1 || list[0].ID != "a" {
		t.Errorf("%v is sent, want the server that was written again", list)
	}
}

// Guards against reads that end at once with each heartbeat, and against a log that repeats
// a broken entry.
func TestHeartbeatsArePolled(t *testing.T) {
	tr := newTrackerRouter(t)
	// A router that starts later than the first time reads at the full rate until it is ready.
	tr.firstStart = false
	tr.list(at(3), "a:r")
	if tr.serversTiming()().Wait == 0 {
		t.Error("servers are polled without heartbeats")
	}
	tr.records(at(4), "a:r")
	if tr.serversTiming()().Wait != 0 {
		t.Error("a read waits for changes while heartbeats are records")
	}
	tr.records(at(5), "a:l")
	if tr.serversTiming()().Wait == 0 {
		t.Error("servers are polled after a change")
	}
	tr.records(at(6), "b:x")
	tr.records(at(7), "b:x")
	if n := strings.Count(tr.log.String(), "unreadable"); n != 1 {
		t.Errorf("%d log lines for one broken entry, want 1", n)
	}
}

// Guards against removals that never apply, and a configuration that is held back for good.
func TestDelayedChangesApplyLater(t *testing.T) {
	tr := newTrackerRouter(t)
	tr.list(at(3), "a:r", "b:r")
	tr.applyServers(feed.Batch{Records: []feed.Record{{Key: "a", Offset: 3}}, Next: at(4), GraceUntil: time.Now().Add(50 * time.Millisecond)})
	tr.held = &heldConfig{configUpdate: configUpdate{config: routing.Config{Version: 5}, position: at(1)}, logged: true}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- tr.run(ctx) }()
	for deadline := time.Now().Add(20 * time.Second); tr.serverCount.Load() != 1 || tr.version() != 5; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d servers, version %d; want 1 and 5", tr.serverCount.Load(), tr.version())
		}
	}
	cancel()
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// Guards against a starting router that logs each check of a configuration that it holds.
func TestHeldConfigurationIsLoggedOnce(t *testing.T) {
	tr := newTrackerRouter(t)
	tr.progress.recordConfig(0, at(0))
	tr.held = &heldConfig{logged: true}
	tr.firstStart = false
	tr.startedAt = time.Now().Add(time.Hour)
	tr.holdBack(configUpdate{config: routing.Config{Version: 3}, position: at(1)})
	if tr.held == nil || !tr.held.logged || tr.heldCheck() != nil {
		t.Error("a configuration that was logged as held counts as one that waits for the first digest")
	}
}

// Guards against a gap that moves to an earlier change, or opens between changes of one
// message.
func TestGapReachesToTheLastChange(t *testing.T) {
	p := newProgress()
	p.recordReceived([]registry.Change{change("x", 5)})
	p.detectGap([]digest.ServerChange{{Position: at(7), Prev: at(5)}, {Position: at(9), Prev: at(7)}})
	if p.gapPosition() != logpos.None {
		t.Errorf("gap at %v between changes of one message", p.gapPosition())
	}
	p.detectGap([]digest.ServerChange{{Position: at(20), Prev: at(19)}})
	p.detectGap([]digest.ServerChange{{Position: at(15), Prev: at(14)}})
	if p.gapPosition() != at(20) {
		t.Errorf("gap at %v, want 20", p.gapPosition())
	}
}

// Guards against reported positions that go back, so that others read again or miss a change.
func TestReportedPositionsDoNotGoBack(t *testing.T) {
	p := newProgress()
	p.recordReceived([]registry.Change{change("x", 10)})
	p.recordReceived([]registry.Change{change("y", 5)})
	if got := p.report(time.Now(), 0).Topics[digest.TopicServers].LastChange; got != at(10) || !p.isApplied(digest.TopicServers, at(10)) {
		t.Errorf("reported %v, 10 applied %v; want 10", got, p.isApplied(digest.TopicServers, at(10)))
	}
	p.recordConfig(1, at(4))
	if p.recordConfigAgain(at(9)) {
		t.Error("a version that is read again in the same era is reported")
	}
}

// Guards against routers that rely on one whose reads fail.
func TestRouterWhoseReadsFailDoesNotReadForOthers(t *testing.T) {
	for topic := range digest.TopicCount {
		p := newProgress()
		p.setFailing(topic, true)
		if p.report(time.Now(), 0).OwnReads.Succeed {
			t.Errorf("the router reads for others while its reads of the %s fail", topicNames[topic])
		}
	}
}

// Guards against records that are taken for a list of a new era.
func TestRecordsAreNoListOfAnEra(t *testing.T) {
	p := newProgress()
	p.recordReadTo(logpos.Position{Era: 2, Offset: 7}, false)
	if got := p.report(time.Now(), 2).ListEnd; got != 0 {
		t.Errorf("a list that ends at %d is reported, want none", got)
	}
}

// Guards against a change that is lost with one datagram.
func TestChangeIsSentThreeTimes(t *testing.T) {
	p := newProgress()
	p.recordRead([]registry.Change{change("a", 5)})
	sent := 0
	for range 10 {
		sent += len(p.ServerChanges())
		for i := range p.changes {
			p.changes[i].sentAt = p.changes[i].sentAt.Add(-resendInterval)
		}
	}
	if sent != 3 {
		t.Errorf("a change is sent %d times, want 3", sent)
	}
}

// Guards against a list end that moves with each list, so that all routers read on again, and
// against a gap for a delayed change, whose predecessor is later than itself.
func TestOnlyTheFirstListOfAnEraIsReported(t *testing.T) {
	p := newProgress()
	p.recordReadTo(logpos.Position{Era: 2, Offset: 5}, true)
	p.recordReadTo(logpos.Position{Era: 2, Offset: 9}, true)
	if got := p.report(time.Now(), 2).ListEnd; got != 5 {
		t.Errorf("a list that ends at %d is reported, want the first one, to 5", got)
	}
	p = newProgress()
	p.recordReceived([]registry.Change{change("x", 238)})
	p.detectGap([]digest.ServerChange{{Position: at(236), Prev: at(240)}})
	if p.gapPosition() != logpos.None {
		t.Errorf("gap at %v after a change from before it, want none", p.gapPosition())
	}
}

// operators applies records of the operators' topic, or with full a list of it, which ends before a position. A record such as
// "+a" evacuates the data centre a, "-a" lifts that, and a digit is a configuration.
func (tr trackerRouter) operators(full bool, next logpos.Position, records ...string) {
	batch := feed.Batch{Full: full, Next: next}
	for i, r := range records {
		record := feed.Record{Key: "config", Value: []byte(r), Offset: next.Offset - int64(len(records)-i)}
		if name := r[1:]; name != "" {
			record.Key, record.Value = "out "+name, nil
			if r[0] == '+' {
				record.Value = []byte("no JSON")
			}
		}
		batch.Records = append(batch.Records, record)
	}
	tr.applyConfig(batch)
}

func (tr trackerRouter) evacuated() string {
	var names []string
	list, _ := tr.evacuations.status(time.Now())
	for _, e := range list {
		names = append(names, e.DataCentre)
	}
	return strings.Join(names, " ")
}

// Guards against records of evacuations that are not applied, have no effect on the servers, or are reported as configurations,
// which every router would read at the store.
func TestEvacuationsAreAppliedAndNoConfigurations(t *testing.T) {
	tr := newTrackerRouter(t)
	tr.platform.EvacuatedDataCentre = func(key string) (string, bool) { return strings.CutPrefix(key, "out ") }
	tr.platform.DecodeServer = func(id string, _ []byte) (*registry.Server, error) {
		return &registry.Server{ID: id, Pool: "p", Addr: "10.0.0.1:1", DataCentre: "a", Engine: true}, nil
	}
	tr.list(at(2), "x:r")
	tr.operators(true, at(3), "1", "+b")
	before := tr.progress.report(time.Now(), 0).Topics[digest.TopicConfig].LastChange
	for i, c := range []struct{ record, want string }{{"+a", "a b"}, {"-b", "a"}, {"+b", "a b"}} {
		if tr.operators(false, at(int64(4+i)), c.record); tr.evacuated() != c.want {
			t.Errorf("%s: %q evacuated, want %q", c.record, tr.evacuated(), c.want)
		}
	}
	if tr.state.KnowsServer("10.0.0.1:1") || len(tr.state.Engines()) != 0 {
		t.Error("the server of the evacuated data centre is used")
	}
	if after := tr.progress.report(time.Now(), 0).Topics[digest.TopicConfig].LastChange; after != before || tr.version() != 1 {
		t.Errorf("the last change of the configuration went from %v to %v", before, after)
	}
	tr.operators(true, at(9), "2", "+a")
	if tr.evacuated() != "a" || tr.version() != 2 {
		t.Errorf("%q evacuated and version %d after a list, want a and 2", tr.evacuated(), tr.version())
	}
	tr.ApplyEvacuations(evacuation.View{Known: true, AsOf: at(10)}, false)
	if tr.evacuated() != "" || !tr.state.KnowsServer("10.0.0.1:1") {
		t.Error("the evacuation that another router knows as lifted stays")
	}
	for _, number := range []string{`"event":1300`, `"event":1301`} {
		if !strings.Contains(tr.log.String(), number) {
			t.Errorf("the log has no %s", number)
		}
	}
}

// Guards against a router that is ready before it knows which data centres are evacuated, or because it knows that.
func TestRouterIsReadyWithEvacuations(t *testing.T) {
	tr := newTrackerRouter(t)
	tr.ApplyEvacuations(evacuation.View{Known: true, AsOf: at(4)}, false)
	tr.list(at(2), "x:r")
	if tr.ready() {
		t.Error("ready without a configuration")
	}
	tr = newTrackerRouter(t)
	tr.platform.EvacuatedDataCentre = func(key string) (string, bool) { return strings.CutPrefix(key, "out ") }
	tr.list(at(2), "x:r")
	// A configuration from elsewhere than a list of the operators' topic.
	tr.operators(false, at(3), "1")
	if tr.ready() {
		t.Error("ready without the list of evacuations")
	}
	tr.ApplyEvacuations(evacuation.View{Known: true, AsOf: at(4)}, false)
	tr.list(at(3), "x:r")
	if !tr.ready() {
		t.Error("not ready although another router has told the evacuations")
	}
}

// Guards against an evacuation that never ends after the store has come back without it.
func TestLostEvacuationExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		state := forward.NewState(forward.Limits{})
		tr := newTracker(Platform{EvacuatedDataCentre: func(key string) (string, bool) { return key, true }}, state, nil, event.Nop(), tally.NoopScope)
		tr.exchange = &digest.Exchange{}
		ctx, cancel := context.WithCancel(t.Context())
		go func() { _ = tr.run(ctx) }()
		tr.evacuations.update(func(now time.Time, s *evacuation.Set) []evacuation.Change {
			s.Replace(now, []evacuation.Record{{DataCentre: "a", Evacuated: true, Position: at(1)}}, at(2))
			return s.Replace(now, nil, logpos.Position{Era: 1, Offset: 1})
		})
		time.Sleep(evacuation.HoldTime - time.Second)
		if got := (trackerRouter{tracker: tr}).evacuated(); got != "a" {
			t.Errorf("%q evacuated while the operators have time to write it again, want a", got)
		}
		time.Sleep(2 * time.Second)
		if got := (trackerRouter{tracker: tr}).evacuated(); got != "" {
			t.Errorf("%q evacuated long after the store has lost it, want none", got)
		}
		cancel()
	})
}

// Guards against a router that was frozen and accepts callers before it knows which data centres are evacuated, and against
// one that does not accept any afterwards.
func TestFrozenRouterIsNotReady(t *testing.T) {
	tr := newTrackerRouter(t)
	tr.operators(true, at(3), "1")
	tr.list(at(3), "x:r")
	tr.ApplyEvacuations(evacuation.View{Known: true, AsOf: at(3)}, true)
	if !tr.ready() {
		t.Fatal("not ready")
	}
	past := time.Now().Add(-10 * time.Second)
	tr.evacuations.fresh = evacuation.Freshness{}
	tr.evacuations.fresh.Check(past, past.Round(0))
	tr.ApplyEvacuations(evacuation.View{Known: true, AsOf: at(3)}, true)
	if tr.ready() || tr.evacuations.MaySend() {
		t.Error("ready after a freeze")
	}
	if view := tr.evacuations.view(time.Now()); view.Known {
		t.Error("tells others what it may have missed changes of")
	}
	o := &observer{ctx: t.Context(), tracker: tr.tracker, topic: digest.TopicConfig}
	ended := make(chan struct{})
	call := func(topic int, begun time.Time) {
		o.topic = topic
		go func() { o.CallEnded(begun, true); ended <- struct{}{} }()
		(<-tr.tasks)()
		<-ended
	}
	call(digest.TopicServers, time.Now())
	call(digest.TopicConfig, past)
	if tr.ready() {
		t.Error("ready after a call that says nothing of evacuations")
	}
	call(digest.TopicConfig, time.Now())
	if !tr.ready() {
		t.Error("not ready after the operators' topic was read")
	}
	if view := tr.evacuations.view(time.Now()); !view.Known {
		t.Error("tells others nothing")
	}
	tr.evacuations.fresh = evacuation.Freshness{}
	tr.evacuations.fresh.Check(past, past.Round(0))
	if tr.ready() {
		t.Error("ready after another freeze")
	}
	time.Sleep(400 * time.Millisecond)
	if tr.ApplyEvacuations(evacuation.View{Known: true, AsOf: at(3)}, true); !tr.ready() {
		t.Error("not ready although a reader has told the evacuations")
	}
	for _, number := range []string{`"event":1303`, `"event":1304`} {
		if !strings.Contains(tr.log.String(), number) {
			t.Errorf("the log has no %s", number)
		}
	}
}
