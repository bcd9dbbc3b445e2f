package front_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/bluebellwell/bluebellwell/internal/testport"
	"github.com/bluebellwell/bluebellwell/platform"
	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

// nextRequest is what a server does with a request that is not the first one on its
// connection: it writes out and answers the request after that, or closes the connection.
type nextRequest struct {
	name   string
	closes bool
	// out is written before the answer; %s is the id of the request before.
	out string
	// minServed is the least number of served requests out of requestsInARow.
	minServed int
}

const requestsInARow = 40

// startReusedConnServer starts a server that answers each first request on a connection
// well and treats the others as next says. It registers the server as pool "raw", and
// returns the counts of connections and of requests.
func startReusedConnServer(t *testing.T, b *testBed, next nextRequest) (conns, runs *atomic.Int64) {
	l, err := net.Listen("tcp", testport.ServerHost()+":0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	conns, runs = new(atomic.Int64), new(atomic.Int64)
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			conns.Add(1)
			go next.serve(conn, runs)
		}
	}()
	entry := platformtest.Entry{Pool: "raw", Addr: l.Addr().String(), State: platformtest.StateReady, Slots: 64}.Encode()
	b.store.Put(platform.TopicServers, "reused-0", entry)
	return conns, runs
}

func (n nextRequest) serve(conn net.Conn, runs *atomic.Int64) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	before := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		runs.Add(1)
		if before != "" && n.closes {
			return
		}
		out := ""
		if before != "" {
			out = strings.ReplaceAll(n.out, "%s", before)
		}
		before = r.Header.Get(platformtest.HeaderRequestID)
		wire, _ := rawAnswer{version: "HTTP/1.1", status: http.StatusOK, body: "answer to " + before}.wire(before, false)
		if _, err := conn.Write(append([]byte(out), wire...)); err != nil || r.Close {
			return
		}
	}
}

// Guards against a request that is sent on a kept connection to a server which has shown
// that its kept connections lose requests: it sends bytes that nobody asked for when the
// next request is in, or closes the connection then. Unsafe requests are lost, because
// they may have run.
func TestKeptConnectionsThatLoseRequestsAreNotReused(t *testing.T) {
	answer := "HTTP/1.1 200 OK\r\n" + platformtest.HeaderRequestID + ": %s\r\n" + platformtest.HeaderSignature + ": s\r\nContent-Length: 4\r\n\r\nlate"
	for _, next := range []nextRequest{
		{name: "second answer", out: answer, minServed: requestsInARow - 1},
		{name: "second answer torn in its body", out: strings.TrimSuffix(answer, "te"), minServed: requestsInARow - 1},
		{name: "second answer torn in its headers", out: answer[:30], minServed: requestsInARow - 1},
		{name: "no answer", out: "\x00\x01garbage\r\n", minServed: requestsInARow - 1},
		{name: "unannounced close", closes: true, minServed: requestsInARow - 3},
	} {
		for _, kind := range []string{"rawsafe", "rawunsafe"} {
			t.Run(fmt.Sprintf("%s, %s", next.name, kind), func(t *testing.T) {
				var conns, runs *atomic.Int64
				b := newAnswersBedWith(t, func(b *testBed) { conns, runs = startReusedConnServer(t, b, next) })
				caller := &rawCaller{addr: strings.TrimPrefix(b.baseURL, "http://"), version: "HTTP/1.1"}
				served := 0
				for range requestsInARow {
					id := fmt.Sprintf("raw%d", requests.Add(1))
					if got := caller.do(http.MethodPost, "/"+kind+"/x", id); got.status == http.StatusOK && got.body == "answer to "+id {
						served++
					}
				}
				t.Logf("%d of %d served, %d runs on %d connections", served, requestsInARow, runs.Load(), conns.Load())
				if served < next.minServed {
					t.Errorf("%d of %d requests served, want %d at least", served, requestsInARow, next.minServed)
				}
			})
		}
	}
}
