package front_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

// Guards against an answer whose end is lost by a reset: the answer announces the end of the
// connection, and the caller has sent a further request meanwhile, which is not read.
func TestAnswerBeforeAnAnnouncedEndArrivesWhole(t *testing.T) {
	for name, c := range map[string]struct {
		framing framingKind
		chunked bool
	}{
		"length": {byLength, true}, "chunks": {byChunks, true}, "connection": {byClose, true}, "connection, body with a length": {byClose, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			framing := c.framing
			b := newAnswersBed(t, 1)
			body := strings.Repeat("y", 100<<10)
			further := make(chan struct{})
			b.servers.prepare("first", func(*http.Request) rawAnswer {
				<-further
				ending := keeps
				if framing == byClose {
					ending = closes
				}
				return rawAnswer{version: "HTTP/1.1", status: http.StatusOK, framing: framing, chunk: 10 << 10, cut: -1, body: body, ending: ending}
			})
			conn := b.dialCaller()
			// A small buffer leaves the end of the answer with the router.
			if err := conn.(*net.TCPConn).SetReadBuffer(4 << 10); err != nil {
				t.Fatal(err)
			}
			request := rawRequest(http.MethodPost, "/rawunsafe/x", "HTTP/1.1", "first")
			if c.chunked {
				// The end of a connection that has carried chunks is announced.
				request = strings.Replace(request, "Content-Length: 0", "Transfer-Encoding: chunked", 1) + "2\r\nok\r\n0\r\n\r\n"
			}
			_, _ = io.WriteString(conn, request)
			b.waitFor("the request is being served", func() bool { return b.front.Status().Running == 1 })
			_, _ = io.WriteString(conn, rawRequest(http.MethodPost, "/rawunsafe/x", "HTTP/1.1", "further"))
			close(further)
			b.waitFor("the answer has been sent", func() bool { return b.front.Status().Running == 0 })
			// An early close would come within this time.
			time.Sleep(100 * time.Millisecond)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			got, err := io.ReadAll(resp.Body)
			if err != nil || string(got) != body || resp.Header.Get(platformtest.HeaderSignature) == "" || !resp.Close {
				t.Errorf("%d bytes, headers %v, error %v; want the whole answer and an announced end", len(got), resp.Header, err)
			}
			if n := b.servers.runsOf("further"); n != 0 {
				t.Errorf("the further request ran %d times", n)
			}
		})
	}
}
