package front_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a part of an answer that reaches its caller framed as complete: net/http
// takes the end of the caller's sending side for a caller that has left, the router stops,
// and net/http ends the answer with the last chunk, or with an orderly close for HTTP/1.0.
func TestCallerThatClosesItsSendingSideGetsNoCompletePart(t *testing.T) {
	stream := eventStream(3, "\n", "x")
	first := eventsOf(stream)[0]
	large := strings.Repeat("x", 300<<10)
	for _, c := range []struct {
		kind, version, body, start string
		chunk                      int
	}{
		{"rawstream", "HTTP/1.1", stream, first, len(first)},
		{"rawresume", "HTTP/1.1", stream, first, len(first)},
		{"rawunsafe", "HTTP/1.1", large, large[:100<<10], 100 << 10},
		{"rawstream", "HTTP/1.0", stream, first, len(first)},
		{"rawresume", "HTTP/1.0", stream, first, len(first)},
		{"rawunsafe", "HTTP/1.0", large, large[:100<<10], 100 << 10},
	} {
		t.Run(c.kind+" "+c.version, func(t *testing.T) {
			t.Parallel()
			b := newAnswersBed(t, 1)
			id := fmt.Sprintf("raw%d", requests.Add(1))
			a := rawAnswer{version: "HTTP/1.1", status: http.StatusOK, framing: byChunks, chunk: c.chunk, body: c.body, ending: keeps}
			_, headBytes := a.wire(id, false)
			sent := len(c.start)
			if c.kind == "rawunsafe" {
				// The router sends nothing before it has more than it buffers.
				sent = 2 * len(c.start)
			}
			a.cut = headBytes + sent + sent/c.chunk*(len(fmt.Sprintf("%x", c.chunk))+len("\r\n\r\n"))
			b.servers.prepare(id, func(*http.Request) rawAnswer { return a })
			conn, err := net.Dial("tcp", strings.TrimPrefix(b.baseURL, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if err := conn.SetDeadline(time.Now().Add(waitTimeout)); err != nil {
				t.Fatal(err)
			}
			if _, err := io.WriteString(conn, rawRequest(http.MethodPost, "/"+c.kind+"/x", c.version, id)); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			got := make([]byte, len(c.start))
			if _, err := io.ReadFull(resp.Body, got); err != nil || string(got) != c.start {
				t.Fatalf("start of the answer: %.80q, error %v", got, err)
			}
			if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			if rest, err := io.ReadAll(resp.Body); err == nil {
				t.Errorf("the answer ended as complete after %d of %d bytes", len(got)+len(rest), len(c.body))
			}
		})
	}
}

// Guards against a request that counts as in flight at its server for good, because the
// handler ended with a panic: net/http panics on a status below 100.
func TestPanicOfARequestFreesItsPlaceAtTheServer(t *testing.T) {
	b := newAnswersBed(t, 1)
	caller := &rawCaller{addr: strings.TrimPrefix(b.baseURL, "http://"), version: "HTTP/1.1"}
	for range 3 {
		id := fmt.Sprintf("raw%d", requests.Add(1))
		b.servers.prepare(id, func(*http.Request) rawAnswer {
			return rawAnswer{version: "HTTP/1.1 099", status: http.StatusOK, framing: byLength, cut: -1, body: "x", ending: closes}
		})
		got := caller.do(http.MethodPost, "/rawunsafe/x", id)
		if got.err == nil && got.status < http.StatusInternalServerError {
			t.Errorf("status %d, want none or a failure", got.status)
		}
	}
	b.waitFor("the requests have ended", func() bool { return b.front.Status().Running == 0 })
	for _, p := range b.front.Status().Pools {
		for _, s := range p.Servers {
			if s.Own != 0 {
				t.Errorf("%d requests in flight at %s, want none", s.Own, s.ID)
			}
		}
	}
}
