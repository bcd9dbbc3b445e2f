package forward

import (
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/routing"
)

// endlessServer sends bytes until its caller closes the connection.
type endlessServer struct {
	// sent counts the bytes, open the exchanges that have not ended.
	sent atomic.Int64
	open atomic.Int32
}

// answer sends a head, then a piece again and again with a pause after each.
func (e *endlessServer) answer(head, piece string, pause time.Duration) answer {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		e.open.Add(1)
		defer e.open.Add(-1)
		text := strings.ReplaceAll(head, "%ID%", r.Header.Get("Id"))
		for {
			n, err := io.WriteString(conn, text)
			e.sent.Add(int64(n))
			if err != nil {
				return
			}
			text = piece
			time.Sleep(pause)
		}
	}
}

const (
	drip = 5 * time.Millisecond
	// endlessWait is how long a request may take that another server serves: its server is
	// given up well before the deadline.
	endlessWait = bedWait / 2
)

var (
	chunk       = "2000\r\n" + strings.Repeat("x", 0x2000) + "\r\n"
	endlessHead = map[string][2]string{
		"bytes without a line":  {"", strings.Repeat("\x01", 4096)},
		"header line":           {signedHead + "Long: ", strings.Repeat("x", 4096)},
		"header lines":          {signedHead, "A: b\r\n"},
		"informational answers": {"", "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"},
		"status line":           {"HTTP/1.1 200 ", strings.Repeat("x", 4096)},
	}
	// endlessRest are the bodies of answers that another server may replace.
	endlessRest = map[string][2]string{
		"refusal":                {strings.Replace(signedHead, "200", "503", 1) + "Not-Run: yes\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"refusal with a length":  {strings.Replace(signedHead, "200", "503", 1) + "Not-Run: yes\r\nContent-Length: 9000\r\n\r\n", "x"},
		"failure":                {strings.Replace(signedHead, "200", "500", 1) + "Transfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n"},
		"failure without an end": {strings.Replace(signedHead, "200", "500", 1) + "\r\n", "x"},
		"large failure":          {strings.Replace(signedHead, "200", "500", 1) + "Transfer-Encoding: chunked\r\n\r\n", chunk},
		"chunk extension":        {signedHead + "Transfer-Encoding: chunked\r\n\r\n1;", strings.Repeat("x", 1024)},
		"trailers":               {signedHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "Trailer: x\r\n"},
	}
)

// Guards against a server that sends bytes without end in its head, or after an answer that
// another server can replace, and holds a request until its deadline or fills the memory.
func TestEndlessBytesDoNotHoldARequest(t *testing.T) {
	t.Parallel()
	for name, wire := range merge(endlessHead, endlessRest) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			e := &endlessServer{}
			pause := time.Duration(0)
			if len(wire[1]) < 16 {
				pause = drip
			}
			endless := e.answer(wire[0], wire[1], pause)
			b := newBed(t, bedOptions{servers: 2, route: routing.Route{Kind: routing.Safe, MaxAttempts: 2, Objective: 200 * time.Millisecond}, dataCentre: "a"}, func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get("Instance") == "s0" {
					endless(w, r)
					return
				}
				ok("second")(w, r)
			})
			// The endless server is the nearer one and gets the request first. By the order of arrivals the second one would be endless
			// when a busy machine lets the first request arrive only after the router has given it up as silent.
			b.servers[0].DataCentre, b.servers[1].DataCentre = "a", "b"
			b.state.SetServers(b.servers)
			begun := time.Now()
			if got := b.send(ask{}); got.status != http.StatusOK || got.body != "second" {
				t.Errorf("status %d, body %q, want the answer of the second server", got.status, got.body)
			}
			if took := time.Since(begun); took > endlessWait {
				t.Errorf("the request took %v, want less than %v", took, endlessWait)
			}
			b.expectLog(map[string]any{"offered": 2})
			b.until("the server's connection is closed", func() bool { return e.open.Load() == 0 })
			if n := e.sent.Load(); n > 8<<20 {
				t.Errorf("the server could send %d bytes", n)
			}
		})
	}
}

func merge(maps ...map[string][2]string) map[string][2]string {
	all := map[string][2]string{}
	for _, m := range maps {
		for name, wire := range m {
			all[name] = wire
		}
	}
	return all
}

// Guards against bytes without end that a router relays for as long as its caller waits, that
// look like a whole answer, or that fill its memory.
func TestEndlessBodyIsBrokenOff(t *testing.T) {
	// Not in parallel, since it measures the heap.
	for name, c := range map[string]struct {
		kind       routing.Kind
		head, more string
	}{
		"plain, chunks":        {routing.Unsafe, "Transfer-Encoding: chunked\r\n\r\n", chunk},
		"plain, unmarked":      {routing.Unsafe, "\r\n", chunk},
		"stream without lines": {routing.Stream, "Transfer-Encoding: chunked\r\n\r\n", chunk},
		"resumable stream":     {routing.Stream, "Transfer-Encoding: chunked\r\n\r\n", chunk},
		"stream of comments":   {routing.Stream, "\r\n", ":" + chunk + "\n\n"},
		"failure":              {routing.Unsafe, "Transfer-Encoding: chunked\r\n\r\n", chunk},
	} {
		t.Run(name, func(t *testing.T) {
			e := &endlessServer{}
			head := signedHead
			if name == "failure" {
				head = strings.Replace(signedHead, "200", "500", 1)
			}
			resumable := name == "resumable stream"
			b := newBed(t, bedOptions{route: routing.Route{Kind: c.kind, Resumable: resumable, MaxAttempts: 1}}, e.answer(head+c.head, c.more, 0))
			resp, err := b.begin(ask{})
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			before := heap()
			n, err := io.Copy(io.Discard, resp.Body)
			if err == nil {
				t.Errorf("an answer of %d bytes looks whole", n)
			}
			// The read that exceeds the bound is relayed whole.
			if n > maxAnswerBytes+bufferedAnswerBytes {
				t.Errorf("%d bytes were relayed", n)
			}
			if grown := heap() - before; grown > 16<<20 {
				t.Errorf("the heap has grown by %d bytes", grown)
			}
			b.until("the server's connection is closed", func() bool { return e.open.Load() == 0 })
		})
	}
}

// heap returns the bytes of live objects.
func heap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
