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
	a.split = headBytes + 20
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
