package front_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/testport"
	"github.com/bluebellwell/bluebellwell/platform"
	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

// maxEndlessBytes is what a router may take of an endless head, with the buffers of three sockets.
const maxEndlessBytes = 24 << 20

// serveEndless starts a server, in pool "raw", that answers each request with a start and then the same bytes without end. It
// returns a channel with the number of bytes of each answer, sent when the connection has ended.
func (f *fleetBed) serveEndless(id, start, endless string) <-chan int {
	l, err := net.Listen("tcp", testport.ServerHost()+":0")
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { l.Close() })
	ended := make(chan int, 64)
	serve := func(conn net.Conn) {
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		_, _ = conn.Write([]byte(start))
		block := []byte(strings.Repeat(endless, 1+(32<<10)/len(endless)))
		sent := 0
		for sent <= 2*maxEndlessBytes {
			n, err := conn.Write(block)
			sent += n
			if err != nil {
				break
			}
		}
		ended <- sent
	}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	f.store.Put(platform.TopicServers, id, platformtest.Entry{Pool: "raw", Addr: l.Addr().String(), State: platformtest.StateReady, Slots: 64}.Encode())
	return ended
}

// Guards against a router that keeps what a faulty server sends without end in a head until it runs out of memory, with many
// such answers at once and when the connections go through another router, which may keep it instead.
func TestEndlessHeadsEndAlsoBehindAnotherRouter(t *testing.T) {
	for name, c := range map[string]struct{ start, endless string }{
		"one header":      {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"headers":         {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		"status line":     {"HTTP/1.1 200 ", "x"},
		"interim answers": {"", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
		"no HTTP":         {"", "x"},
	} {
		for _, behind := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, behind another router %v", name, behind), func(t *testing.T) {
				t.Parallel()
				f := newFleetWith(t, 3, 1, func(f *fleetBed) { f.routers[0].link = &serverLink{} })
				ended := f.serveEndless("endless", c.start, c.endless)
				config := config(2)
				config.Pools = append(config.Pools, "raw")
				for i := range config.Routes {
					config.Routes[i].Pool = "raw"
				}
				f.publish(config)
				f.waitFor("the routers know the configuration and the server", func() bool {
					return f.all(func(r *testBed) bool { return r.front.Status().ConfigVersion == 2 && r.lists("endless") })
				})
				if behind {
					f.routers[0].link.setCut(resetsAll)
				}
				var callers sync.WaitGroup
				for range 16 {
					callers.Go(func() {
						if got := f.routers[0].do(f.routers[0].request(http.MethodPost, "/unsafe/x", "x")); got.err == nil && got.status == http.StatusOK {
							t.Errorf("status 200, body of %d bytes", len(got.body))
						}
					})
				}
				callers.Wait()
				answers := 0
				for wait := time.After(waitTimeout); answers == 0 || len(ended) > 0; answers++ {
					select {
					case sent := <-ended:
						if sent > maxEndlessBytes {
							t.Errorf("%d bytes were taken, want %d at most", sent, maxEndlessBytes)
						}
					case <-wait:
						t.Fatal("the connections to the server do not end")
					}
				}
				t.Logf("%d answers without an end", answers)
			})
		}
	}
}
