package front_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"

	"github.com/bluebellwell/bluebellwell/internal/testport"
	"github.com/bluebellwell/bluebellwell/platform"
	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

// headRecorder is a server that records the bytes of each request's head and reads no body.
// It answers the first losesAfter requests of a connection and then closes it without an
// answer; 0 answers all.
type headRecorder struct {
	losesAfter int

	mu    sync.Mutex
	heads []string
}

func (s *headRecorder) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := 1; ; n++ {
		var head, id string
		for {
			line, err := reader.ReadString('\n')
			if err != nil {
				return
			}
			head += line
			if value, ok := strings.CutPrefix(line, platformtest.HeaderRequestID+": "); ok {
				id = strings.TrimSpace(value)
			}
			if line == "\r\n" {
				break
			}
		}
		s.mu.Lock()
		s.heads = append(s.heads, head)
		s.mu.Unlock()
		if s.losesAfter > 0 && n > s.losesAfter {
			return
		}
		_, _ = io.WriteString(conn, rawAnswer{version: "HTTP/1.1", status: 200, framing: byLength, cut: -1}.head(id))
	}
}

// of returns the heads of the requests that contain text.
func (s *headRecorder) of(text string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(s.heads), func(head string) bool { return !strings.Contains(head, text) })
}

func newHeadRecorderBed(t *testing.T, s *headRecorder) *testBed {
	l, err := net.Listen("tcp", testport.ServerHost()+":0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return newAnswersBedWith(t, func(b *testBed) {
		b.store.Put(platform.TopicServers, "raw-0", platformtest.Entry{Pool: "raw", Addr: l.Addr().String(), State: platformtest.StateReady, Slots: 64}.Encode())
	})
}

// Guards against an empty body that reaches a server in chunks: a server of HTTP/1.0 takes
// them for the next request, and others refuse a POST without a length.
func TestEmptyBodyReachesTheServerWithoutChunks(t *testing.T) {
	s := &headRecorder{}
	b := newHeadRecorderBed(t, s)
	caller := &rawCaller{addr: strings.TrimPrefix(b.baseURL, "http://"), version: "HTTP/1.1"}
	for _, c := range []struct {
		method string
		length bool
	}{
		{http.MethodPost, true}, {http.MethodPut, true}, {http.MethodPatch, true},
		{http.MethodGet, false}, {http.MethodHead, false}, {http.MethodDelete, false}, {http.MethodOptions, false}, {http.MethodTrace, false}, {"REPORT", false},
	} {
		for _, kind := range []string{"rawunsafe", "rawsafe"} {
			path := "/" + kind + "/" + c.method
			if got := caller.do(c.method, path, "empty-"+kind+c.method); got.err != nil || got.status != 200 {
				t.Errorf("%s %s: status %d, error %v; want 200", c.method, kind, got.status, got.err)
			}
			heads := s.of(" " + path + " ")
			if len(heads) != 1 {
				t.Fatalf("%s %s: %d requests, want one", c.method, kind, len(heads))
			}
			head := strings.ToLower(heads[0])
			if strings.Contains(head, "transfer-encoding") || strings.Contains(head, "content-length: 0\r\n") != c.length {
				t.Errorf("%s %s: the server got %q; want no chunks, a length of 0: %v", c.method, kind, heads[0], c.length)
			}
		}
	}
}

// Guards against a request without a body that net/http sends again by itself on a new
// connection, after a server has closed a kept one without an answer.
func TestRequestWithoutABodyIsSentOnce(t *testing.T) {
	for _, c := range []struct{ method, key string }{
		{http.MethodGet, "X-Other"}, {http.MethodHead, "X-Other"}, {http.MethodOptions, "X-Other"}, {http.MethodTrace, "X-Other"}, {http.MethodPost, "X-Other"},
		{http.MethodPost, "Idempotency-Key"}, {http.MethodPost, "X-Idempotency-Key"}, {http.MethodDelete, "Idempotency-Key"},
	} {
		t.Run(c.method+" with "+c.key, func(t *testing.T) {
			t.Parallel()
			s := &headRecorder{losesAfter: 1}
			b := newHeadRecorderBed(t, s)
			s.send(b, c.method, "/rawunsafe/first", c.key, http.StatusOK)
			s.send(b, c.method, "/rawunsafe/second", c.key, http.StatusBadGateway)
		})
	}
}

// send sends a request without a body, which must reach the server once, with the key.
func (s *headRecorder) send(b *testBed, method, path, key string, status int) {
	b.t.Helper()
	got := b.do(b.request(method, path, "", key, "the-key"))
	if got.err != nil || got.status != status {
		b.t.Errorf("%s: status %d, error %v; want %d", path, got.status, got.err, status)
	}
	heads := s.of(" " + path + " ")
	if len(heads) != 1 || !strings.Contains(strings.ToLower(heads[0]), strings.ToLower(key)+": the-key\r\n") {
		b.t.Errorf("%s: %d requests %q, want one with the key", path, len(heads), heads)
	}
}
