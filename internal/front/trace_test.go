package front_test

import (
	"context"
	"fmt"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/feed"
)

// fleetTrace records which routers call the store, and why routers take themselves for
// readers of it.
type fleetTrace struct {
	mu       sync.Mutex
	calls    map[int]int
	becoming []becoming
	// seconds are the same figures for each second since the start.
	started time.Time
	seconds []traceSecond
}

// traceSecond is what happened in a second.
type traceSecond struct {
	calls, became int
	// outages is how often a call to the store failed after one that did not.
	outages int
}

// second returns the figures of the present second. The caller holds f.mu.
func (f *fleetTrace) second() *traceSecond {
	n := int(time.Since(f.started) / time.Second)
	for len(f.seconds) <= n {
		f.seconds = append(f.seconds, traceSecond{})
	}
	return &f.seconds[n]
}

func newFleetTrace() *fleetTrace { return &fleetTrace{calls: map[int]int{}, started: time.Now()} }

// becoming is a router that starts reading the store for the others, with the belief
// that it logs.
type becoming struct {
	router                      int
	heard, earlier              int
	readersSilent, sinceDigests time.Duration
}

// follow records the calls and the changes of belief of a router from now on.
func (f *fleetTrace) follow(r *testBed, n int) {
	r.wrapSource = func(s feed.Source) feed.Source { return &tracedSource{Source: s, trace: f, router: n} }
	logger := hclog.NewInterceptLogger(&hclog.LoggerOptions{Output: discard{}})
	logger.RegisterSink(&tracedLog{trace: f, router: n})
	r.logger = logger
}

// followAll is follow for all routers of a fleet.
func (f *fleetTrace) followAll(fleet *fleetBed) {
	for n, r := range fleet.routers {
		f.follow(r, n)
	}
}

type discard struct{}

func (discard) Write(b []byte) (int, error) { return len(b), nil }

// reset forgets what has been recorded.
func (f *fleetTrace) reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls, f.becoming = map[int]int{}, nil
}

// callsFrom returns the calls of the routers from the n-th on.
func (f *fleetTrace) callsFrom(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	calls := 0
	for router, c := range f.calls {
		if router >= n {
			calls += c
		}
	}
	return calls
}

// report logs what has been recorded since reset.
func (f *fleetTrace) report(t *testing.T) {
	f.mu.Lock()
	defer f.mu.Unlock()
	readers := map[int]bool{}
	for _, b := range f.becoming {
		readers[b.router] = true
	}
	ofReaders, ofFirst, ofOthers := 0, 0, 0
	callers := 0
	for n, calls := range f.calls {
		callers++
		switch {
		case n < 3:
			ofFirst += calls
		case readers[n]:
			ofReaders += calls
		default:
			ofOthers += calls
		}
	}
	t.Logf("%d routers called: the first three %d times, %d that became readers %d times, others %d times",
		callers, ofFirst, len(readers), ofReaders, ofOthers)
	for n, s := range f.seconds {
		if s.became > 0 || s.outages > 0 || s.calls > 30 {
			t.Logf("second %d: %d calls, %d began to fail, %d routers became readers", n, s.calls, s.outages, s.became)
		}
	}
	const most = 6
	for _, b := range f.becoming[:min(most, len(f.becoming))] {
		t.Logf("router %d became a reader: heard %d others, %d of an earlier era, its readers silent for %s, its own loads sent %s before",
			b.router, b.heard, b.earlier, b.readersSilent, b.sinceDigests)
	}
}

type tracedSource struct {
	feed.Source
	trace  *fleetTrace
	router int
}

func (s *tracedSource) count() {
	s.trace.mu.Lock()
	defer s.trace.mu.Unlock()
	s.trace.calls[s.router]++
	s.trace.second().calls++
}

func (s *tracedSource) Newest(ctx context.Context) (feed.Page, error) {
	s.count()
	return s.Source.Newest(ctx)
}

func (s *tracedSource) Read(ctx context.Context, from int64, wait time.Duration) (feed.Page, error) {
	s.count()
	return s.Source.Read(ctx, from, wait)
}

type tracedLog struct {
	trace  *fleetTrace
	router int
}

// Accept records the event of a router that starts reading for the others.
func (l *tracedLog) Accept(_ string, _ hclog.Level, _ string, args ...any) {
	fields := map[string]any{}
	for i := 0; i+1 < len(args); i += 2 {
		fields[fmt.Sprint(args[i])] = args[i+1]
	}
	if fields["event"] == event.StoreUnavailable.ID {
		l.trace.mu.Lock()
		defer l.trace.mu.Unlock()
		l.trace.second().outages++
	}
	if fields["event"] != event.ReaderChanged.ID || fields["reader"] != true {
		return
	}
	number := func(name string) int {
		n, _ := strconv.Atoi(fmt.Sprint(fields[name]))
		return n
	}
	l.trace.mu.Lock()
	defer l.trace.mu.Unlock()
	l.trace.second().became++
	l.trace.becoming = append(l.trace.becoming, becoming{
		router: l.router, heard: number("routers_heard"), earlier: number("readers_of_earlier_era"),
		readersSilent: time.Duration(number("readers_silent_ms")) * time.Millisecond,
		sinceDigests:  time.Duration(number("own_digest_ms")) * time.Millisecond,
	})
}

// countEvents returns the number of events of a kind that a router logs from its start on. Call it before the start; it replaces
// the router's log.
func countEvents(r *testBed, e event.Event) *atomic.Int64 {
	c := &eventCount{id: e.ID}
	logger := hclog.NewInterceptLogger(&hclog.LoggerOptions{Output: discard{}})
	logger.RegisterSink(c)
	r.logger = logger
	return &c.n
}

// eventCount counts the events with a number in a log.
type eventCount struct {
	id int
	n  atomic.Int64
}

// Accept counts the event.
func (c *eventCount) Accept(_ string, _ hclog.Level, _ string, args ...any) {
	for i := 0; i+1 < len(args); i += 2 {
		if args[i] == "event" && args[i+1] == c.id {
			c.n.Add(1)
		}
	}
}
