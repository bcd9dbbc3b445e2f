package forward

import (
	"cmp"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/registry"
	"github.com/bluebellwell/bluebellwell/internal/routing"
	"github.com/bluebellwell/bluebellwell/internal/streamversion"
)

// fleetStreams stands for the other routers. They know some streams and keep what they are told.
type fleetStreams struct {
	state *State
	known map[streamversion.Stream]streamversion.Version

	mu    sync.Mutex
	told  []streamversion.Record
	asked int
	// others is set when the router has heard others, and readsStore when it reads the store itself.
	others, readsStore bool
	// readsAgain is when the store answers next; zero when it has just done so.
	readsAgain time.Time
	// instead is the stream that answers name; 0 for the one that was asked for.
	instead streamversion.Stream
	// askTime is the time that a question takes to be sent.
	askTime time.Duration
	// isolated is set when the router hears half of the fleet at most, and silent is how many of those that are asked
	// do not answer.
	isolated bool
	silent   int
	// reader is set when the one that answers reads the store, which answers it after readerDelay.
	reader      bool
	readerDelay time.Duration
	begun       time.Time
}

// source is the router that answers.
func (f *fleetStreams) source() streamversion.Source {
	from := streamversion.Source{Router: netip.MustParseAddr("10.0.0.1")}
	if f.reader {
		from.AsOf = f.begun.Add(-time.Millisecond)
		if time.Since(f.begun) >= f.readerDelay {
			from.AsOf = time.Now()
		}
	}
	return from
}

func (f *fleetStreams) HasOthers() bool  { return f.others }
func (f *fleetStreams) ReadsStore() bool { return f.readsStore }

func (f *fleetStreams) HasReadSince(time.Time) bool {
	return f.readsStore && !time.Now().Before(f.readsAgain)
}

func (f *fleetStreams) TellStreams(list []streamversion.Record) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.told = append(f.told, list...)
}

func (f *fleetStreams) AskForStream(s streamversion.Stream) (routers int, hearsMost bool) {
	f.mu.Lock()
	f.asked++
	f.mu.Unlock()
	time.Sleep(f.askTime)
	if version, ok := f.known[s]; ok {
		f.state.RecordStreams([]streamversion.Record{{Stream: cmp.Or(f.instead, s), Version: version}}, f.source())
		routers = 1
	}
	return routers + f.silent, !f.isolated
}

// versioned sets the versions of the servers of a bed, in order.
func (b *bed) versioned(versions ...string) *fleetStreams {
	for i, version := range versions {
		b.servers[i].Version = version
	}
	f := &fleetStreams{state: b.state, known: map[streamversion.Stream]streamversion.Version{}}
	b.state.SetFleetStreams(f)
	b.state.SetServers(append([]*registry.Server(nil), b.servers[:len(versions)]...))
	return f
}

var resumableRoute = routing.Route{Kind: routing.Stream, Resumable: true, MaxAttempts: 2}

// takeUp takes a stream up before event 1, with which the servers of these tests answer.
func takeUp(stream string) ask {
	return ask{header: http.Header{"Resumes": {stream}, "After": {"0"}, "Id": {"again"}}}
}

// Guards against a stream that its caller takes up at a version which did not begin it, and against a
// guess when nobody knows.
func TestStreamThatIsTakenUpGoesToItsVersion(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{servers: 4, route: resumableRoute}, ok(wholeEvent))
	f := b.versioned("v1", "v2", "v2", "v2")
	f.known[streamversion.StreamOf("first")] = streamversion.VersionOf("v1")
	for range 10 {
		if got := b.send(takeUp("first")); got.status != http.StatusOK {
			t.Errorf("status %d, want 200", got.status)
		}
	}
	for _, a := range b.got() {
		if a.server != "s0" {
			t.Errorf("sent to %s, want the server of the version that began it", a.server)
		}
	}
	asked := f.asked
	if got := b.send(takeUp("unknown")); got.status != http.StatusServiceUnavailable || f.asked-asked != maxAsked {
		t.Errorf("status %d after %d questions for a stream that nobody knows, want a refusal after %d", got.status, f.asked-asked, maxAsked)
	}
	b.expectLog(map[string]any{"cause": CauseVersionUnknown, "outcome": OutcomeNotRun, "resumes": "unknown"})
}

// Guards against a stream that goes on at the new version because the one that began it has gone.
func TestVersionThatHasGoneIsRemembered(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{servers: 2, route: resumableRoute}, ok(wholeEvent))
	f := b.versioned("v1", "v2")
	// It has run for long, so that only the version that has gone makes it refuse.
	b.state.streams.knownSince = time.Now().Add(-time.Hour)
	f.known[streamversion.StreamOf("first")] = streamversion.VersionOf("v1")
	b.state.SetServers(b.servers[1:2])
	for stream, cause := range map[string]Cause{"first": CauseNoServerOfVersion, "unknown": CauseVersionUnknown} {
		if got := b.send(takeUp(stream)); got.status != http.StatusServiceUnavailable {
			t.Errorf("status %d, want 503", got.status)
		}
		b.expectLog(map[string]any{"cause": cause})
	}
}

// Guards against streams whose version only the router knows that relays them, also those that began
// before there was a second version; and against a message for each stream while there is one version.
func TestOthersAreToldOfStreamsOfSeveralVersions(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{servers: 2, route: resumableRoute}, ok(wholeEvent))
	f := b.versioned("v1", "v1")
	b.send(ask{header: http.Header{"Id": {"first"}}})
	if len(f.told) > 0 {
		t.Errorf("told %v at once although there is one version", f.told)
	}
	if list := b.state.TakeNewStreams(); len(list) != 1 || list[0].Stream != streamversion.StreamOf("first") || len(b.state.TakeNewStreams()) > 0 {
		t.Errorf("%v is to be told soon, want the stream, once", list)
	}
	second := *b.servers[1]
	second.Version = "v2"
	b.state.SetServers([]*registry.Server{b.servers[0], &second})
	want := streamversion.Record{Stream: streamversion.StreamOf("first"), Version: streamversion.VersionOf("v1")}
	if len(f.told) != 1 || f.told[0] != want {
		t.Errorf("told %v when the second version came, want %v", f.told, want)
	}
	b.send(ask{header: http.Header{"Id": {"second"}}})
	if len(f.told) != 2 || f.told[1].Stream != streamversion.StreamOf("second") {
		t.Errorf("told %v, want the second stream too", f.told)
	}
}

// Guards against a router that has just started and makes callers wait although another one knows
// that there is one version, and against refusals while there was never a second one.
func TestStreamOfTheOnlyVersionGoesOn(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{servers: 2, route: resumableRoute}, ok(wholeEvent))
	f := b.versioned("v1", "v1")
	f.known[streamversion.StreamOf("first")] = 0
	if got := b.send(takeUp("unknown")); got.status != http.StatusServiceUnavailable || len(b.got()) > 0 {
		t.Errorf("status %d while another version may just have gone, or a server was reached, want 503", got.status)
	}
	for _, stream := range []string{"first", "unknown"} {
		if got := b.send(takeUp(stream)); got.status != http.StatusOK {
			t.Errorf("status %d for %s, want 200", got.status, stream)
		}
	}
	if f.asked != 1+maxAsked {
		t.Errorf("asked %d times, want %d times and once: the answer holds for further streams", f.asked, maxAsked)
	}
	old := newBed(t, bedOptions{servers: 2, route: resumableRoute}, ok(wholeEvent))
	f = old.versioned("v1", "v1")
	old.state.streams.knownSince = time.Now().Add(-time.Hour)
	if got := old.send(takeUp("unknown")); got.status != http.StatusOK || f.asked != 0 {
		t.Errorf("status %d, asked %d times at a router that has run for long, want 200 and no question", got.status, f.asked)
	}
}

// Guards against a router that has run for long, was cut off or stood still while servers of another version came, and
// sends streams which these began to the servers that it knows; and against refusals when nothing else is known.
func TestRouterThatMayBeOutdatedAsksTheOthers(t *testing.T) {
	t.Parallel()
	v2 := map[streamversion.Stream]streamversion.Version{streamversion.StreamOf("first"): streamversion.VersionOf("v2")}
	one := map[streamversion.Stream]streamversion.Version{streamversion.StreamOf("first"): 0, streamversion.AnyStream: 0}
	for name, c := range map[string]struct {
		known                        map[streamversion.Stream]streamversion.Version
		instead                      streamversion.Stream
		readsStore, several, started bool
		readsIn                      time.Duration
		// isolated, silent, reader and readerDelay are those of fleetStreams.
		isolated, reader bool
		silent           int
		readerDelay      time.Duration
		want             int
	}{
		"another version began it":                     {known: v2, readsStore: true, want: 503},
		"others know one version":                      {known: one, want: 200},
		"others know one version, of another stream":   {known: one, instead: streamversion.StreamOf("second"), want: 503},
		"nobody answers":                               {want: 503},
		"nobody answers a reader of the store":         {readsStore: true, want: 200},
		"the store answers a reader soon":              {readsStore: true, readsIn: 200 * time.Millisecond, want: 200},
		"a call of a reader to the store hangs":        {readsStore: true, readsIn: time.Hour, want: 503},
		"nobody answers a reader that has two":         {readsStore: true, several: true, want: 503},
		"nobody answers a reader that has just begun":  {readsStore: true, started: true, want: 503},
		"others know one version, this router has two": {known: one, several: true, want: 503},
		"the few that are heard know one version":      {known: one, isolated: true, want: 503},
		"one of three that are asked knows one":        {known: one, silent: 2, want: 503},
		"one of two that are asked knows one":          {known: one, silent: 1, want: 200},
		"one of few reads the store":                   {known: one, isolated: true, reader: true, want: 200},
		"one of many reads the store":                  {known: one, silent: 7, reader: true, want: 200},
		"the store answers another reader soon":        {known: one, isolated: true, reader: true, readerDelay: 300 * time.Millisecond, want: 200},
		"a call of another reader to the store hangs":  {known: one, isolated: true, reader: true, readerDelay: time.Hour, want: 503},
	} {
		b := newBed(t, bedOptions{servers: 2, route: resumableRoute}, ok(wholeEvent))
		second := "v1"
		if c.several {
			second = "v2"
		}
		f := b.versioned("v1", second)
		f.known, f.instead, f.others, f.readsStore = c.known, c.instead, true, c.readsStore
		f.isolated, f.silent, f.reader, f.readerDelay, f.begun = c.isolated, c.silent, c.reader, c.readerDelay, time.Now()
		if c.readsIn > 0 {
			f.readsAgain = time.Now().Add(c.readsIn)
		}
		if !c.started {
			b.state.streams.knownSince = time.Now().Add(-time.Hour)
		}
		if got := b.send(takeUp("first")); got.status != c.want || f.asked == 0 {
			t.Errorf("%s: status %d after %d questions, want %d", name, got.status, f.asked, c.want)
		}
		if n := len(b.state.streams.questions); n > 0 {
			t.Errorf("%s: %d questions are kept", name, n)
		}
	}
}

// Guards against a stream that goes on at another version which comes while it is taken up: the only version was there when
// the router looked the stream up, and the server that then got it fails before its first event.
func TestStreamIsNotTakenUpAtAVersionThatComesMeanwhile(t *testing.T) {
	t.Parallel()
	first, v1 := streamversion.StreamOf("first"), streamversion.VersionOf("v1")
	for name, known := range map[string]map[streamversion.Stream]streamversion.Version{
		"others know one version": {first: 0}, "others know the version": {first: v1}, "no others": nil,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var b *bed
			secondComes := func(w http.ResponseWriter, r *http.Request) {
				b.state.SetServers(slices.Clone(b.servers))
				raw("")(w, r)
			}
			b = newBed(t, bedOptions{servers: 2, route: resumableRoute}, secondComes, ok(wholeEvent))
			f := b.versioned("v1")
			b.servers[1].Version = "v2"
			f.others, f.known = known != nil, known
			b.state.SetFirstStart()
			got := b.send(takeUp("first"))
			if arrivals := b.got(); len(arrivals) != 1 || got.status == http.StatusOK {
				t.Errorf("status %d, sent to %d servers, the last of which is %s; want only that of the version that began the stream",
					got.status, len(arrivals), arrivals[len(arrivals)-1].server)
			}
		})
	}
}

// Guards against a stream that goes on at another version which comes while the request waits for its prompt: the version was not
// asked for as long as all servers had it.
func TestRequestKeepsItsVersionWhileItWaits(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{servers: 2, route: resumableRoute}, ok(wholeEvent))
	f := b.versioned("v1")
	b.servers[1].Version = "v2"
	f.others = true
	f.known[streamversion.StreamOf("first")] = streamversion.VersionOf("v1")
	var known atomic.Bool
	b.state.SetPlacementsKnown(known.Load)
	comes := time.AfterFunc(50*time.Millisecond, func() {
		b.state.SetServers([]*registry.Server{b.servers[1]})
		known.Store(true)
	})
	defer comes.Stop()
	request := takeUp("first")
	request.header.Set("Model", "m")
	request.header.Set("Prompt", "1:100,2:10")
	if got := b.send(request); got.status != http.StatusServiceUnavailable || len(b.got()) > 0 {
		t.Errorf("status %d, sent to %d servers; want a refusal, since only another version is left", got.status, len(b.got()))
	}
}

// Guards against a router that locks itself out when another one asks for a stream that it does not
// know.
func TestSettledRouterAnswersThatItKnowsOneVersion(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{servers: 2, route: resumableRoute}, ok(wholeEvent))
	b.versioned("v1", "v1")
	b.state.streams.knownSince = time.Now().Add(-time.Hour)
	answered := make(chan bool, 1)
	go func() {
		r, known := b.state.StreamRecord(streamversion.StreamOf("unknown"))
		answered <- known && r.Version == 0
	}()
	select {
	case unmixed := <-answered:
		if !unmixed {
			t.Error("the router does not say that it knows of one version only")
		}
	case <-time.After(bedWait):
		t.Fatal("no answer")
	}
}

// Guards against a router that restarts next to others, and refuses streams for minutes because it does not
// know that there was one version only.
func TestRestartedRouterLearnsThatThereWasOneVersion(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{servers: 2, route: resumableRoute}, ok(wholeEvent))
	f := b.versioned("v1", "v1")
	if b.state.Settle() || f.asked != 1 {
		t.Errorf("settled without an answer, or asked %d times, want once", f.asked)
	}
	f.known[streamversion.AnyStream] = 0
	b.state.Settle()
	if !b.state.Settle() || f.asked != 2 {
		t.Errorf("not settled by an answer, or asked %d times, want twice", f.asked)
	}
	if got := b.send(takeUp("unknown")); got.status != http.StatusOK || f.asked != 2 {
		t.Errorf("status %d, asked %d times; want 200 without a question", got.status, f.asked)
	}
}

// Guards against a first start that refuses streams.
func TestFirstStartKnowsAllVersions(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{servers: 1, route: resumableRoute}, ok(wholeEvent))
	f := b.versioned("v1")
	b.state.SetFirstStart()
	if got := b.send(takeUp("unknown")); got.status != http.StatusOK || f.asked != 0 {
		t.Errorf("status %d, asked %d times; want 200 without a question", got.status, f.asked)
	}
}

// lastPart is a take-up with a prompt whose last part is that of a request.
func lastPart(part uint64) http.Header {
	return http.Header{
		"Resumes": {fmt.Sprint("first ", part)}, "After": {"0"}, "Id": {"again"}, "Model": {"m"}, "Prompt": {fmt.Sprintf("7:100,%d:20", part)},
	}
}

// Guards against a stream that ends for good although an engine has its prompt cached, and one that goes on
// where engines of several versions have it.
func TestCachedPromptTellsTheVersionOfAStream(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{servers: 2, route: resumableRoute}, ok(wholeEvent))
	f := b.versioned("v1", "v2")
	cached := func(parts ...uint64) []CachedPart {
		list := []CachedPart{{Model: "m", Part: Part{ID: 7, Tokens: 100}}}
		for _, id := range parts {
			list = append(list, CachedPart{Model: "m", Part: Part{ID: id, Tokens: 20}})
		}
		return list
	}
	var prompts PromptVersions
	prompts.Add(b.servers[0], cached(1, 2))
	prompts.Add(b.servers[1], cached(2, 3))
	b.state.TellPromptVersions(&prompts)
	if len(f.told) != 2 {
		t.Fatalf("told of %v, want the two prompts that engines of one version have", f.told)
	}
	alone := newBed(t, bedOptions{servers: 2, route: resumableRoute}, ok(wholeEvent))
	alone.versioned("v1", "v2")
	alone.state.TellPromptVersions(&prompts)
	if got := alone.send(ask{header: lastPart(1)}); got.status != http.StatusOK || alone.got()[0].server != "s0" {
		t.Errorf("status %d at the router that has asked the engines and knows no other one, want s0 to go on", got.status)
	}
	for _, r := range f.told {
		f.known[r.Stream] = r.Version
	}
	for part, want := range map[uint64]string{1: "s0", 2: "", 3: "s1", 4: ""} {
		before := len(b.got())
		got := b.send(ask{header: lastPart(part)})
		arrivals := b.got()[before:]
		switch {
		case want == "" && (got.status != http.StatusServiceUnavailable || len(arrivals) > 0):
			t.Errorf("part %d: status %d, %d arrivals, want a refusal", part, got.status, len(arrivals))
		case want != "" && (got.status != http.StatusOK || len(arrivals) != 1 || arrivals[0].server != want):
			t.Errorf("part %d: status %d, want %s to go on", part, got.status, want)
		}
	}
}

// Guards against caches whose many parts fill the routers' memory, or leave no room for the last parts of
// prompts, which are small.
func TestPromptsToldAreBounded(t *testing.T) {
	t.Parallel()
	parts := make([]CachedPart, 2*maxPromptsTold)
	for i := range parts {
		parts[i] = CachedPart{Part: Part{ID: uint64(i), Tokens: len(parts) - i}}
	}
	var prompts PromptVersions
	prompts.Add(&registry.Server{Version: "v1"}, parts)
	_, smallest := prompts.versions[streamversion.StreamOfPart(prefixHash("", uint64(len(parts)-1)))]
	if n := len(prompts.versions); n != maxPromptsTold || !smallest {
		t.Errorf("%d prompts, the smallest among them: %v; want %d with it", n, smallest, maxPromptsTold)
	}
}

// Guards against a stream that goes on at the only version that is there, although another router has said
// that one which has gone began it.
func TestStreamOfAGoneVersionIsRefusedByARouterThatNeverSawIt(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{servers: 2, route: resumableRoute}, ok(wholeEvent))
	f := b.versioned("v2", "v2")
	f.known[streamversion.StreamOf("old")] = streamversion.VersionOf("v1")
	f.known[streamversion.StreamOf("new")] = streamversion.VersionOf("v2")
	if got := b.send(takeUp("old")); got.status != http.StatusServiceUnavailable || len(b.got()) > 0 {
		t.Errorf("status %d, %d requests reached servers of another version, want a refusal", got.status, len(b.got()))
	}
	b.expectLog(map[string]any{"outcome": OutcomeNotRun, "cause": CauseNoServerOfVersion})
	if got := b.send(takeUp("new")); got.status != http.StatusOK {
		t.Errorf("status %d for a stream of the version that is there, want 200", got.status)
	}
}
