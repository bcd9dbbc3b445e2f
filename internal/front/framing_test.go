package front_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

// wholeStream returns the complete answer to a stream request.
func wholeStream() string { return streamUpTo(platformtest.EventsPerStream) }

// streamUpTo returns the first n events of a stream.
func streamUpTo(n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: word%d\n\n", i, i)
	}
	return b.String()
}

// Guards against an answer that ends with its connection, possibly before its end,
// and reaches the caller framed as complete.
func TestAnswerWithoutFramingIsNotFramedAsComplete(t *testing.T) {
	const large = 300 << 10
	for _, c := range []struct {
		name        string
		path        string
		stream      bool
		fault       platformtest.Fault
		answerBytes int
		body        string
		// broken is set when the router knows that the answer is incomplete.
		broken bool
	}{
		{name: "stream cut inside an event", path: "/stream/x", stream: true, fault: platformtest.Cut, body: streamUpTo(2) + "id: 3\nda", broken: true},
		{name: "stream cut between events", path: "/stream/x", stream: true, fault: platformtest.CutBetween, body: streamUpTo(2)},
		{name: "whole stream", path: "/stream/x", stream: true, body: wholeStream()},
		{name: "whole stream on a resumable route", path: "/resume/x", stream: true, body: wholeStream()},
		{name: "plain answer", path: "/unsafe/x"},
		{name: "large plain answer", path: "/unsafe/x", answerBytes: large},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			b := newTestBed(t).run()
			for _, e := range b.engines {
				e.SetFraming(platformtest.Unframed)
				e.SetDefaultFault(c.fault)
				e.SetAnswerBytes(c.answerBytes)
			}
			var headers []string
			if c.stream {
				headers = []string{platformtest.HeaderPrompt, prompt}
			}
			got := b.do(b.request(http.MethodPost, c.path, "body", headers...))
			if got.claimsComplete() {
				t.Error("the answer is framed as complete")
			}
			if got.status != http.StatusOK || (got.err != nil) != c.broken {
				t.Errorf("status %d, error %v; want 200, broken %v", got.status, got.err, c.broken)
			}
			if c.stream && got.body != c.body || !c.stream && !strings.HasPrefix(got.body, "answer to ") || len(got.body) < c.answerBytes {
				t.Errorf("%d bytes %.200q, want the server's bytes %q", len(got.body), got.body, c.body)
			}
		})
	}
}

// Guards against a stream whose framing ends properly inside an event and reaches
// the caller as complete.
func TestStreamThatEndsInsideAnEventIsBrokenOff(t *testing.T) {
	b := newTestBed(t).run()
	for _, e := range b.engines {
		e.SetDefaultFault(platformtest.EndInEvent)
	}
	got := b.do(b.request(http.MethodPost, "/stream/x", "body", platformtest.HeaderPrompt, prompt))
	if got.status != http.StatusOK || got.err == nil {
		t.Errorf("status %d, error %v, body %q; want a broken answer", got.status, got.err, got.body)
	}
}

// Guards against a broken answer that ends for a caller like a complete one: an
// answer to an HTTP/1.0 request is framed by the end of its connection only.
func TestBrokenAnswerToHTTP10CallerIsReset(t *testing.T) {
	b := newTestBed(t).run()
	for _, e := range b.engines {
		e.SetDefaultFault(platformtest.CutBetween)
	}
	conn, err := net.Dial("tcp", strings.TrimPrefix(b.baseURL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, err = io.WriteString(conn, rawRequest(http.MethodPost, "/stream/x", "HTTP/1.0", "r10", platformtest.HeaderPrompt, prompt))
	if err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(bufio.NewReader(conn))
	if !strings.HasSuffix(string(answer), streamUpTo(2)) {
		t.Errorf("answer %q, want two events", answer)
	}
	if !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("the connection ended with error %v, want a reset", err)
	}
}

// Guards against a success without the server's headers: an engine whose first event
// arrives in pieces on a resumable route, and which then breaks off or fails.
func TestFirstEventInPiecesKeepsTheServersHeaders(t *testing.T) {
	b := newAnswersBed(t, 2)
	caller := &rawCaller{addr: strings.TrimPrefix(b.baseURL, "http://"), version: "HTTP/1.1"}
	a := rawAnswer{version: "HTTP/1.1", status: http.StatusOK, framing: byChunks, chunk: 9, cut: -1, body: eventStream(2, "\n", "@"), ending: closes}
	_, headBytes := a.wire("raw1", false)
	// Between two chunks: net/http reads a chunk of this size as a whole.
	a.split = headBytes + len("9\r\n123456789\r\n")
	for name, cut := range map[string]int{"whole": -1, "broken off in the first event": headBytes + 25} {
		a.cut = cut
		x := b.run(caller, exchange{method: http.MethodPost, kind: "rawresume", callerVersion: caller.version, first: a})
		if x.got.err != nil || x.got.status != http.StatusOK || !x.signed() || x.got.body != x.first.body {
			t.Errorf("%s: want the whole stream with the headers of a server: %s", name, x)
		}
	}
}

// Guards against a server's failure answer that is replaced by one of the router
// because it is large.
func TestLargeFailureOfAServerIsDelivered(t *testing.T) {
	b := newAnswersBed(t, 2)
	caller := &rawCaller{addr: strings.TrimPrefix(b.baseURL, "http://"), version: "HTTP/1.1"}
	for _, size := range []int{17 << 10, 300 << 10} {
		a := rawAnswer{version: "HTTP/1.1", status: http.StatusInternalServerError, framing: byLength, cut: -1, body: strings.Repeat("x", size), ending: closes}
		x := b.run(caller, exchange{method: http.MethodPost, kind: "rawunsafe", callerVersion: caller.version, first: a})
		if x.got.err != nil || x.got.status != a.status || !x.signed() || x.got.body != a.body {
			t.Errorf("%d bytes: want the server's failure: %s", size, x)
		}
	}
}

// Guards against events that reach a caller twice because the engine that is to continue
// a stream starts it from its first event, or from one that the caller has.
func TestResumedStreamThatRepeatsEventsIsBrokenOff(t *testing.T) {
	b := newAnswersBed(t, 2)
	caller := &rawCaller{addr: strings.TrimPrefix(b.baseURL, "http://"), version: "HTTP/1.1"}
	whole := eventStream(4, "\n", "x")
	events := eventsOf(whole)
	first := rawAnswer{version: "HTTP/1.1", status: http.StatusOK, framing: byChunks, chunk: 1 << 10, body: whole, ending: closes}
	_, headBytes := first.wire("raw1", false)
	first.cut = headBytes + 2*len(events[0]) + 10
	for name, c := range map[string]struct {
		body string
		want bool
	}{
		"next event": {strings.Join(events[2:], ""), true}, "first event": {whole, false}, "last event again": {strings.Join(events[1:], ""), false},
	} {
		id := fmt.Sprintf("raw%d", requests.Add(1))
		second := first
		second.cut, second.body = -1, c.body
		b.servers.prepare(id, func(*http.Request) rawAnswer { return first }, func(*http.Request) rawAnswer { return second })
		got := caller.do(http.MethodPost, "/rawresume/x", id)
		if c.want && (got.err != nil || got.body != whole) {
			t.Errorf("%s: %q, error %v; want the whole stream", name, got.body, got.err)
		}
		if !c.want && (got.err == nil || !strings.HasPrefix(whole, got.body)) {
			t.Errorf("%s: %q, error %v; want the start of the stream, broken off", name, got.body, got.err)
		}
	}
}

// Guards against a caller that does not read its answer and so holds a request, and the
// connection to its server, without end.
func TestCallerThatDoesNotReadIsCutOff(t *testing.T) {
	b := newTestBedWith(t, 1).run()
	b.engines[0].SetAnswerBytes(32 << 20)
	conn, err := net.Dial("tcp", strings.TrimPrefix(b.baseURL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, rawRequest(http.MethodPost, "/short/x", "HTTP/1.1", "slow")); err != nil {
		t.Fatal(err)
	}
	b.waitFor("the server has the request", func() bool { return b.requestCount() == 1 })
	b.waitFor("the request has ended", func() bool { return b.front.Status().Running == 0 })
	b.waitFor("the connection to the server has ended", func() bool { return b.engines[0].Connections() == 0 })
}

// Guards against a request that holds a place without end, or reaches a server in part,
// because its caller stops in the middle of the body.
func TestCallerThatStopsInItsBodyIsCutOff(t *testing.T) {
	b := newTestBed(t).run()
	conn, err := net.Dial("tcp", strings.TrimPrefix(b.baseURL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	request := rawRequest(http.MethodPost, "/short/x", "HTTP/1.1", "stops")
	if _, err := io.WriteString(conn, strings.Replace(request, "Content-Length: 0", "Content-Length: 100", 1)+"the start"); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("no answer: %v", err)
	}
	if resp.StatusCode != http.StatusRequestTimeout {
		t.Errorf("status %d, want 408", resp.StatusCode)
	}
	b.waitFor("the request has ended", func() bool { return b.front.Status().Running == 0 })
	if n := b.requestCount(); n != 0 {
		t.Errorf("%d servers got the request, want none", n)
	}
}

// Guards against a caller that stops in the middle of its headers and holds its connection
// for longer than the configuration allows.
func TestCallerThatStopsInItsHeadersIsCutOff(t *testing.T) {
	b := newTestBed(t)
	c := config(1)
	c.HeaderTimeout = 100 * time.Millisecond
	b.publish(c)
	b.register(platformtest.StateReady, b.engines...)
	b.startReady()
	conn, err := net.Dial("tcp", strings.TrimPrefix(b.baseURL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	// Without the limit of the configuration, the default would end the connection after
	// 10 s, and the idle limit after 15 s.
	if err := conn.SetDeadline(time.Now().Add(9 * time.Second)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, "POST /short/x HTTP/1.1\r\nHost: h.exam"); err != nil {
		t.Fatal(err)
	}
	if rest, err := io.ReadAll(conn); err != nil || len(rest) > 0 {
		t.Errorf("%q, error %v; want the end of the connection", rest, err)
	}
}

// Guards against other bytes where the rest of a body is due: a server answers before it
// has read the body, keeps the connection and reads on.
func TestRestOfABodyFollowsAnEarlyAnswer(t *testing.T) {
	b := newAnswersBed(t, 1)
	body := strings.Repeat("0123456789", 100<<10)
	broken := make(chan string, 100)
	b.servers.onEarlyBody = func(rest string, err error) {
		if err == nil && rest != body || err != nil && !strings.HasPrefix(body, rest) {
			broken <- fmt.Sprintf("%d bytes, error %v", len(rest), err)
		}
	}
	for range 20 {
		r := b.request(http.MethodPost, "/rawunsafe/x", body)
		id := r.Header.Get(platformtest.HeaderRequestID)
		b.servers.prepare(id, func(*http.Request) rawAnswer {
			return rawAnswer{version: "HTTP/1.1", status: http.StatusOK, framing: byLength, cut: -1, body: "early " + id, early: true}
		})
		if got := b.do(r); got.err == nil && got.status == http.StatusOK && got.body != "early "+id {
			t.Errorf("status %d, body %q; want the answer to this request", got.status, got.body)
		}
	}
	if len(broken) > 0 {
		t.Errorf("%d bodies were followed by other bytes, the first: %s", len(broken), <-broken)
	}
}

// Guards against a failure answer that is written into a stream which the caller has the
// start of, when the engine that is to continue it refuses.
func TestFailureOfAContinuedStreamIsNotJoinedToIt(t *testing.T) {
	b := newAnswersBed(t, 2)
	caller := &rawCaller{addr: strings.TrimPrefix(b.baseURL, "http://"), version: "HTTP/1.1"}
	whole := eventStream(3, "\n", "x")
	first := rawAnswer{version: "HTTP/1.1", status: http.StatusOK, framing: byChunks, chunk: 1 << 10, body: whole, ending: closes}
	_, headBytes := first.wire("raw1", false)
	first.cut = headBytes + len(eventsOf(whole)[0]) + 10
	for status, size := range map[int]int{http.StatusNotFound: 10, http.StatusInternalServerError: 300 << 10} {
		id := fmt.Sprintf("raw%d", requests.Add(1))
		second := rawAnswer{version: "HTTP/1.1", status: status, framing: byLength, cut: -1, body: strings.Repeat("x", size), ending: closes}
		b.servers.prepare(id, func(*http.Request) rawAnswer { return first }, func(*http.Request) rawAnswer { return second })
		got := caller.do(http.MethodPost, "/rawresume/x", id)
		if got.err == nil || got.status != http.StatusOK || !strings.HasPrefix(whole, got.body) {
			t.Errorf("continued by status %d: status %d, error %v, %d bytes %.80q; want the start of the stream, broken off", status, got.status, got.err, len(got.body), got.body)
		}
	}
}

// Guards against a stream that looks complete because the engine that is to continue it
// answers with another success.
func TestOtherSuccessDoesNotContinueAStream(t *testing.T) {
	b := newAnswersBed(t, 2)
	caller := &rawCaller{addr: strings.TrimPrefix(b.baseURL, "http://"), version: "HTTP/1.1"}
	whole := eventStream(3, "\n", "x")
	first := rawAnswer{version: "HTTP/1.1", status: http.StatusOK, framing: byChunks, chunk: 1 << 10, body: whole, ending: closes}
	_, headBytes := first.wire("raw1", false)
	first.cut = headBytes + len(eventsOf(whole)[0]) + 10
	for _, status := range []int{http.StatusAccepted, http.StatusNoContent, http.StatusResetContent, http.StatusPartialContent} {
		id := fmt.Sprintf("raw%d", requests.Add(1))
		second := rawAnswer{version: "HTTP/1.1", status: status, framing: byLength, cut: -1, ending: closes}
		b.servers.prepare(id, func(*http.Request) rawAnswer { return first }, func(*http.Request) rawAnswer { return second })
		got := caller.do(http.MethodPost, "/rawresume/x", id)
		if got.err == nil || got.status != http.StatusOK || !strings.HasPrefix(whole, got.body) {
			t.Errorf("continued by status %d: status %d, error %v, %q; want the start of the stream, broken off", status, got.status, got.err, got.body)
		}
	}
}

// Guards against a stream that looks complete at its deadline.
func TestStreamAtItsDeadlineIsBrokenOff(t *testing.T) {
	b := newTestBed(t).run()
	for _, framing := range []platformtest.Framing{platformtest.Framed, platformtest.Unframed} {
		for _, e := range b.engines {
			e.SetDefaultFault(platformtest.Stall)
			e.SetFraming(framing)
		}
		got := b.do(b.request(http.MethodPost, "/stream/x", "body", platformtest.HeaderPrompt, prompt, platformtest.HeaderDeadline, "200"))
		if got.status != http.StatusOK || got.err == nil {
			t.Errorf("framing %v: status %d, error %v, body %q; want a broken answer", framing, got.status, got.err, got.body)
		}
	}
}
