package forward

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/bluebellwell/bluebellwell/internal/routing"
)

// Guards against events that a caller gets twice: it takes a stream up after an event that it has, and the server begins again
// at the first one. The next server may go on, as long as the caller has nothing of this answer.
func TestStreamThatACallerTakesUpDoesNotBeginAgain(t *testing.T) {
	t.Parallel()
	event := func(n int) string { return fmt.Sprintf("id: %d\ndata: %d\n\n", n, n) }
	all := event(1) + event(2) + event(3) + event(4)
	cut := func(body string) answer {
		return raw(signedHead + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body)+100, body))
	}
	plain := routing.Route{Kind: routing.Stream, MaxAttempts: 3}
	for name, c := range map[string]struct {
		route   routing.Route
		answers []answer
		want    string
		broken  bool
		// after is the event after which the last server was asked to continue.
		after string
	}{
		"goes on":                               {resumable, []answer{ok(event(3) + event(4))}, event(3) + event(4), false, "2"},
		"begins again":                          {resumable, []answer{ok(all)}, "", true, "2"},
		"begins with the last one":              {resumable, []answer{ok(event(2) + event(3))}, "", true, "2"},
		"begins again, the next server goes on": {resumable, []answer{ok(all), ok(event(3) + event(4))}, event(3) + event(4), false, "2"},
		"breaks off before an event, the next one begins again": {resumable, []answer{cut(""), ok(all)}, "", true, "2"},
		"breaks off, the next one begins again":                 {resumable, []answer{cut(event(3)), ok(all)}, event(3), true, "3"},
		"breaks off, the next one goes on":                      {resumable, []answer{cut(event(3)), ok(event(4))}, event(3) + event(4), false, "3"},
		"in pieces":                                             {resumable, []answer{inPieces(signedHead + "Connection: close\r\n\r\n" + all)}, "", true, "2"},
		"may not be taken up":                                   {plain, []answer{ok(all)}, all, false, "2"},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, bedOptions{servers: 4, route: c.route}, c.answers...)
			b.state.SetFirstStart()
			got := b.send(ask{header: http.Header{"After": {"2"}}})
			broken := got.err != nil || got.status != http.StatusOK
			body := got.body
			if got.status != http.StatusOK {
				body = ""
			}
			if broken != c.broken || body != c.want {
				t.Errorf("status %d, body %q, error %v; want %q, broken off %v", got.status, got.body, got.err, c.want, c.broken)
			}
			arrivals := b.got()
			if after := arrivals[len(arrivals)-1].r.Header.Get("After"); after != c.after {
				t.Errorf("the last server was asked to go on after %q, want %q", after, c.after)
			}
		})
	}
}
