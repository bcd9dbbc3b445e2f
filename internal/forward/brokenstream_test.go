package forward

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/routing"
)

// foreignText is in the heads and bodies of answers that must not get into a stream.
const foreignText = "foreign-text"

// inPieces answers with bytes of HTTP, a few at a time.
func inPieces(wire string) answer {
	return func(w http.ResponseWriter, r *http.Request) {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		wire := strings.ReplaceAll(wire, "%ID%", r.Header.Get("Id"))
		for len(wire) > 0 {
			n := min(len(wire), 40)
			if _, err := io.WriteString(conn, wire[:n]); err != nil {
				return
			}
			wire = wire[n:]
			time.Sleep(time.Millisecond)
		}
	}
}

// errorsAfterABreak returns answers to a request that is to continue a stream and that none of its events.
func errorsAfterABreak() map[string]answer {
	answers := map[string]answer{}
	head := "Id: %ID%\r\nSigned: by x\r\nX-Note: " + foreignText + "\r\n"
	for _, status := range []int{204, 302, 400, 401, 404, 408, 409, 429, 500, 502, 503, 504} {
		line := fmt.Sprintf("HTTP/1.1 %d Status\r\n", status) + head
		for _, kind := range []string{"application/json", "text/event-stream"} {
			body := `{"error":"` + foreignText + `"}`
			if kind == "text/event-stream" {
				body = "id: 2\ndata: " + foreignText + "\n\n"
			}
			name := fmt.Sprint(status, " ", kind)
			typed := line + "Content-Type: " + kind + "\r\n"
			answers[name+" with a length"] = raw(fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", typed, len(body), body))
			answers[name+" in chunks"] = raw(fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", typed, len(body), body))
			answers[name+" without a length"] = raw(typed + "Connection: close\r\n\r\n" + body)
		}
	}
	failed := fmt.Sprintf("HTTP/1.1 500 Status\r\n%sContent-Length: %d\r\n\r\n%s", head, len(foreignText), foreignText)
	answers["after early hints"] = raw("HTTP/1.1 103 Early Hints\r\nLink: " + foreignText + "\r\n\r\n" + failed)
	answers["in pieces"] = inPieces(failed)
	answers["broken off in its head"] = raw(failed[:60])
	answers["broken off in its body"] = raw(failed[:len(failed)-3])
	answers["no HTTP"] = raw(foreignText + "\r\n\r\n")
	answers["JSON with status 200"] = status(http.StatusOK, `{"error":"`+foreignText+`"}`, "Content-Type", "application/json")
	return answers
}

// Guards against the text of an error, or its head, in the middle of a stream that broke off, and against such a
// stream that ends as if it were complete: the next server answers with an error.
func TestErrorOfTheNextServerIsNoPartOfAStream(t *testing.T) {
	t.Parallel()
	const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nId: %ID%\r\nSigned: by x\r\nTransfer-Encoding: chunked\r\n\r\n"
	first := fmt.Sprintf("%x\r\n%s", len(events), events)
	var running sync.WaitGroup
	var continued atomic.Int32
	limit := make(chan struct{}, 8)
	for name, second := range errorsAfterABreak() {
		for _, route := range []routing.Route{resumable, {Kind: routing.Stream, MaxAttempts: 3}} {
			for cut := 0; cut < len(first); cut += 3 {
				limit <- struct{}{}
				running.Go(func() {
					defer func() { <-limit }()
					b := newBed(t, bedOptions{servers: 2, route: route}, raw(head+first[:cut]), second)
					got := b.send(ask{})
					if got.status == http.StatusOK && len(b.got()) > 1 {
						continued.Add(1)
					}
					where := fmt.Sprintf("%s, resumable %v, cut after %d bytes: status %d, %q, error %v", name, route.Resumable, cut, got.status, got.body, got.err)
					switch {
					case got.status != http.StatusOK:
						// No event has reached the caller, which gets an answer of its own.
					case got.err == nil:
						t.Errorf("%s; want a broken answer", where)
					case !strings.HasPrefix(events, got.body) || strings.Contains(fmt.Sprint(got.header), foreignText):
						t.Errorf("%s; want the start of the stream", where)
					}
				})
			}
		}
	}
	running.Wait()
	if n := continued.Load(); n < 500 {
		t.Errorf("%d streams that had begun were sent on, want 500 at least", n)
	}
}
