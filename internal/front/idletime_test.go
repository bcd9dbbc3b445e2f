package front_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/testport"
	"github.com/bluebellwell/bluebellwell/platform"
	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

// idleServer announces how long it keeps an idle connection. A request that comes later
// crosses the end of its connection, which the server resets.
type idleServer struct {
	announced   time.Duration
	connections atomic.Int64
	crossed     atomic.Int64
}

func startIdleServer(t *testing.T, b *testBed, announced time.Duration) *idleServer {
	s := &idleServer{announced: announced}
	l, err := net.Listen("tcp", testport.ServerHost()+":0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.connections.Add(1)
			go s.serve(conn.(*net.TCPConn))
		}
	}()
	entry := platformtest.Entry{Pool: "pool", Addr: l.Addr().String(), State: platformtest.StateReady, Slots: 8}.Encode()
	b.store.Put(platform.TopicServers, "idle", entry)
	return s
}

func (s *idleServer) serve(conn *net.TCPConn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for answeredAt := time.Now(); ; answeredAt = time.Now() {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if time.Since(answeredAt) > s.announced {
			s.crossed.Add(1)
			_ = conn.SetLinger(0)
			return
		}
		_, err = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nKeep-Alive: timeout=%d, max=100\r\nContent-Length: 2\r\n\r\nok",
			platformtest.HeaderRequestID, r.Header.Get(platformtest.HeaderRequestID), platformtest.HeaderSignature, int(s.announced.Seconds()))
		if err != nil {
			return
		}
	}
}

// Guards against a request that is lost because it is sent on a connection whose server has
// announced that it ends before, and against connections that are not used again although
// their servers keep them.
func TestAnnouncedIdleTimeIsKept(t *testing.T) {
	for announced, reused := range map[time.Duration]bool{time.Second: false, 2 * time.Second: true} {
		t.Run(announced.String(), func(t *testing.T) {
			t.Parallel()
			b := newTestBedWith(t, 0)
			b.publish(config(1))
			s := startIdleServer(t, b, announced)
			b.startReady()
			send := func() {
				t.Helper()
				if got := b.do(b.request(http.MethodPost, "/unsafe/x", "body")); got.status != http.StatusOK || got.body != "ok" {
					t.Fatalf("status %d, body %q, error %v; want the answer", got.status, got.body, got.err)
				}
			}
			// The announcement may cost one connection.
			send()
			send()
			before := s.connections.Load()
			time.Sleep(time.Second + 50*time.Millisecond)
			send()
			if n := s.connections.Load() - before; (n == 0) != reused || s.crossed.Load() != 0 {
				t.Errorf("%d new connections and %d requests that crossed the end of theirs after 1.05 s; want the connection to be reused: %v", n, s.crossed.Load(), reused)
			}
		})
	}
}
