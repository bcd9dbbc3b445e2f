package front

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bluebellwell/bluebellwell/internal/digest"
	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/feed"
	"github.com/bluebellwell/bluebellwell/internal/forward"
	"github.com/bluebellwell/bluebellwell/internal/testport"
)

// Guards against a configuration that is late because a call for it hung when the
// store became silent: routers that do not read for others waited 4 s for its answer.
// A change must be in force two seconds after the operator has written it; the
// calls, the pause after a failure and the wait for further changes must fit into
// that time for every router.
func TestConfigurationIsReadInTime(t *testing.T) {
	const mustApply = 2 * time.Second
	st := forward.NewState(forward.Limits{})
	tr := newTracker(Platform{}, st, nil, event.Nop(), tally.NoopScope)
	addr := testport.FreeAddrs(t, testport.Host(), 1)[0]
	exchange, err := digest.Listen(addr, nil, true, &digestState{State: st, tracker: tr, progress: &tr.progress}, event.Nop())
	if err != nil {
		t.Fatal(err)
	}
	defer exchange.Close()
	tr.exchange = exchange
	check := func(name string, timing feed.Timing) {
		t.Helper()
		if got := timing.Timeout + timing.Settle; got >= mustApply {
			t.Errorf("%s: a call and the wait before it take up to %s, want less than %s", name, got, mustApply)
		}
		if timing.MaxBackoff+timing.Settle >= mustApply {
			t.Errorf("%s: the longest pause is %s, want less than %s", name, timing.MaxBackoff, mustApply)
		}
	}
	check("starting router", tr.configTiming()())
	tr.isReady.Store(true)
	check("reader", tr.configTiming()())
	tr.progress.setFailing(digest.TopicConfig, true)
	check("router whose reads fail", tr.configTiming()())
	nonReader := forConfig(nonReaderTiming)
	check("router that does not read for others", nonReader)
	if nonReader.Settle == 0 {
		t.Error("a router that does not read for others reads each of several changes")
	}
}

// Guards against a configuration that is in force too late, or a leaving server that gets requests for too long, at a
// router that nothing has disturbed: the store gives the readers no answer any more from the moment at which one was about
// to call it. What follows, one after the other, must fit into the time for a change and leave a tenth of it to
// busy VMs.
func TestChangesReachAllInTimeWhenTheReadersGetNoAnswer(t *testing.T) {
	const (
		mustApply = 2 * time.Second * 9 / 10
		// jitter is by how much the waits of a follower vary, call how long the store takes to answer.
		jitter = 1.1
		call   = 20 * time.Millisecond
	)
	waits := func(d time.Duration) time.Duration { return time.Duration(float64(d) * jitter) }
	for _, routers := range []int{7, 60, 195, 340} {
		noticed := waits(feed.MinPause) + configWait + callOverdue
		polled := waits(serversPause) + callOverdue
		replaced := waits(feed.RecheckInterval) + call
		told := digest.BatchDelay(routers - 1)
		server := max(noticed, polled) + replaced + told
		config := noticed + replaced + told + waits(feed.RecheckInterval) + waits(feed.ReportSpread) + call
		t.Logf("%d routers: a leaving server is known after %s, a configuration after %s", routers, server, config)
		if max(server, config) > mustApply {
			t.Errorf("%d routers: a leaving server is known after %s, a configuration after %s, want %s", routers, server, config, mustApply)
		}
	}
	if configSettle >= noticeTime {
		t.Errorf("a router waits for %s between two reads, want less than the %s in which no reader notices that it gets no answer", configSettle, noticeTime)
	}
}

// noticeTime is the time for which the readers have read nothing when one notices that the store does not answer it.
const noticeTime = configWait + callOverdue
