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

// Guards against a success that no server gave: a caller that has closed only its
// sending side gets the empty 200 with which net/http ends a request without an answer.
func TestCallerThatClosesItsSendingSideGetsNoMadeUpSuccess(t *testing.T) {
	for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x", "/resume/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			b := newTestBedWith(t, 1).run()
			b.engines[0].SetDelay(200 * time.Millisecond)
			conn, err := net.Dial("tcp", strings.TrimPrefix(b.baseURL, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, err := io.WriteString(conn, rawRequest(http.MethodPost, path, "HTTP/1.1", "half", platformtest.HeaderPrompt, prompt)); err != nil {
				t.Fatal(err)
			}
			b.waitFor("the server has the request", func() bool { return b.requestCount() == 1 })
			if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			if err := conn.SetReadDeadline(time.Now().Add(waitTimeout)); err != nil {
				t.Fatal(err)
			}
			if got, err := io.ReadAll(conn); err != nil || len(got) > 0 {
				t.Errorf("got %q, error %v; want the end of the connection alone", got, err)
			}
			b.waitFor("the request has ended", func() bool { return b.front.Status().Running == 0 })
		})
	}
}

// Guards against a truncated stream that is framed as complete: a caller closes only its
// sending side in the middle of a stream and reads on.
func TestCallerThatClosesItsSendingSideGetsNoCompleteStream(t *testing.T) {
	for _, path := range []string{"/stream/x", "/resume/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			b := newTestBedWith(t, 1).run()
			b.engines[0].SetDefaultFault(platformtest.Stall)
			conn, err := net.Dial("tcp", strings.TrimPrefix(b.baseURL, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			if _, err := io.WriteString(conn, rawRequest(http.MethodPost, path, "HTTP/1.1", "half", platformtest.HeaderPrompt, prompt)); err != nil {
				t.Fatal(err)
			}
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := io.ReadFull(resp.Body, make([]byte, 1)); err != nil {
				t.Fatal(err)
			}
			if err := conn.(*net.TCPConn).CloseWrite(); err != nil {
				t.Fatal(err)
			}
			rest, err := io.ReadAll(resp.Body)
			if err == nil {
				t.Errorf("the stream ended as complete after %q", rest)
			}
		})
	}
}
