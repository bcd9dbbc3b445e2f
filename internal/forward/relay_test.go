package forward

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/routing"
)

// Guards against an answer whose end is marked in another way than its server's: one that
// may be incomplete looks complete, or a complete one is broken off.
func TestEndOfAnAnswerIsTheServers(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		answer answer
		// header is the header that marks the end for the caller, and text what the caller gets.
		header, text string
		reset        bool
	}{
		"length":                 {raw(signedHead + "Content-Length: 4\r\n\r\nbody"), "Content-Length: 4", "\r\n\r\nbody", false},
		"chunks":                 {raw(signedHead + "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"), "Content-Length: 4", "\r\n\r\nbody", false},
		"end of the connection":  {raw(signedHead + "\r\nbody"), "", "\r\n\r\nbody", false},
		"large, by its end":      {raw(signedHead + "\r\n" + strings.Repeat("x", 2*bufferedAnswerBytes)), "", "\r\n\r\n" + strings.Repeat("x", 2*bufferedAnswerBytes), false},
		"no type":                {raw(signedHead + "Content-Length: 4\r\n\r\nbody"), "", "\r\n\r\nbody", false},
		"connection headers":     {raw(signedHead + "Connection: X-Hop\r\nX-Hop: 1\r\nKeep-Alive: timeout=9\r\nContent-Length: 4\r\n\r\nbody"), "", "\r\n\r\nbody", false},
		"large, chunks cut off":  {raw(signedHead + "Transfer-Encoding: chunked\r\n\r\n40000\r\n" + strings.Repeat("x", 2*bufferedAnswerBytes)), "", "", true},
		"nothing but the status": {raw(signedHead + "Content-Length: 0\r\n\r\n"), "Content-Length: 0", "\r\n\r\n", false},
	} {
		for _, version := range []string{"1.0", "1.1"} {
			t.Run(name+" "+version, func(t *testing.T) {
				b := newBed(t, bedOptions{}, c.answer)
				text, err := b.wire("GET /x HTTP/" + version + "\r\nHost: h\r\nId: r1\r\nKey: k1\r\nConnection: close\r\n\r\n")
				if c.reset {
					if version == "1.0" && !errors.Is(err, syscall.ECONNRESET) || strings.HasSuffix(text, "0\r\n\r\n") {
						t.Errorf("the end %q, error %v, of an answer that broke off looks complete", text[max(len(text)-10, 0):], err)
					}
					return
				}
				if err != nil || !strings.HasSuffix(text, c.text) || !strings.Contains(text, c.header) {
					t.Errorf("answer %.200q, error %v; want %s and the body", text, err, c.header)
				}
				for _, other := range []string{"Content-Type:", "X-Hop:", "Keep-Alive:", "Transfer-Encoding:"} {
					if strings.Contains(text, other) {
						t.Errorf("answer %.200q has a header %s that its server did not give the caller", text, other)
					}
				}
				if strings.Contains(text, "Content-Length:") && strings.Contains(name, "end") {
					t.Errorf("answer %.200q has a length, which its server did not state", text)
				}
			})
		}
	}
}

// Guards against an unbounded answer that fills the router's memory before its caller gets
// the first byte.
func TestLargeAnswerIsRelayedWhileItArrives(t *testing.T) {
	t.Parallel()
	release := make(chan struct{})
	b := newBed(t, bedOptions{}, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 2*bufferedAnswerBytes))
		_ = http.NewResponseController(w).Flush()
		select {
		case <-release:
		case <-time.After(bedWait):
			t.Error("the caller has nothing of the answer")
		}
	})
	resp, err := b.begin(ask{})
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	_, _ = io.ReadFull(resp.Body, make([]byte, bufferedAnswerBytes))
	close(release)
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		t.Error(err)
	}
}

// resumable is a route whose streams another engine may continue.
var resumable = routing.Route{Kind: routing.Stream, Resumable: true, MaxAttempts: 3}

// Guards against events that wait for those after them.
func TestEventsAreRelayedAsTheyArrive(t *testing.T) {
	t.Parallel()
	for _, route := range []routing.Route{resumable, {Kind: routing.Stream}} {
		start := "id: 1\ndata: x\n\n"
		if !route.Resumable {
			// Nothing is held back where no other engine can continue.
			start = "id: 1\nda"
		}
		got := make(chan struct{})
		b := newBed(t, bedOptions{route: route}, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, start)
			_ = http.NewResponseController(w).Flush()
			select {
			case <-got:
			case <-time.After(bedWait):
				t.Error("the caller has no event")
			}
		})
		resp, err := b.begin(ask{})
		if err != nil {
			t.Fatal(err)
		}
		_, _ = io.ReadFull(resp.Body, make([]byte, len(start)))
		close(got)
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
}

// Guards against a stream that is continued where it may not be, or not where it may be,
// and against a joint that loses, repeats or mixes events.
func TestBrokenStreamGoesOnAfterItsLastEvent(t *testing.T) {
	t.Parallel()
	cut := func(body string) answer {
		return raw(signedHead + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body)+100, body))
	}
	const one, two, nine, ten = "id: 1\ndata: x\n\n", "id: 2\ndata: y\n\n", "id: 9\ndata: x\n\n", "id: 10\ndata: y\n\n"
	long := "id: 2\ndata: " + strings.Repeat("x", 2*maxHeldBytes)
	plain := routing.Route{Kind: routing.Stream, MaxAttempts: 3}
	for name, c := range map[string]struct {
		route   routing.Route
		answers []answer
		want    string
		broken  bool
		// after is the event after which the last server was asked to continue.
		after string
	}{
		"continued":                       {resumable, []answer{cut(one), ok(two)}, one + two, false, "1"},
		"numbers, not text":               {resumable, []answer{cut(nine), ok(ten)}, nine + ten, false, "9"},
		"part of an event":                {resumable, []answer{cut(one + "id: 2\nda"), ok(two)}, one + two, false, "1"},
		"part of an event, ended well":    {resumable, []answer{ok(one + "id: 2\nda"), ok(two)}, one + two, false, "1"},
		"nothing yet":                     {resumable, []answer{cut(""), ok(one)}, one, false, ""},
		"twice":                           {resumable, []answer{cut(one), cut(two), ok("id: 3\n\n")}, one + two + "id: 3\n\n", false, "2"},
		"not resumable":                   {plain, []answer{cut(one), ok(two)}, one, true, ""},
		"not resumable, part of an event": {plain, []answer{ok(one + "id: 2\nda"), ok(two)}, one + "id: 2\nda", true, ""},
		"event without an ID":             {resumable, []answer{cut(one + "data: y\n\n"), ok(two)}, one + "data: y\n\n", true, ""},
		"no event has an ID":              {resumable, []answer{cut("data: y\n\n"), ok(two)}, "data: y\n\n", true, ""},
		"ID with a space at its end":      {resumable, []answer{cut("id: 1 \n\n"), ok(two)}, "id: 1 \n\n", true, ""},
		"ID with a control character":     {resumable, []answer{cut("id: 1\x01\n\n"), ok(two)}, "id: 1\x01\n\n", true, ""},
		"ID with a delete character":      {resumable, []answer{cut("id: 1\x7f\n\n"), ok(two)}, "id: 1\x7f\n\n", true, ""},
		"ID with a tab inside":            {resumable, []answer{cut("id: a\tb\n\n"), ok("id: c\n\n")}, "id: a\tb\n\nid: c\n\n", false, "a\tb"},
		"other success":                   {resumable, []answer{cut(one), status(http.StatusCreated, two)}, one, true, "1"},
		"failure":                         {resumable, []answer{cut(one), status(http.StatusBadGateway, "boom")}, one, true, "1"},
		"large failures":                  {resumable, []answer{cut(one), status(http.StatusBadGateway, strings.Repeat("x", 2*bufferedAnswerBytes))}, one, true, "1"},
		"events repeated":                 {resumable, []answer{cut(one), ok(one + two), ok(two)}, one, true, "1"},
		"events before":                   {resumable, []answer{cut(ten), ok(nine), ok("id: 11\n\n")}, ten, true, "10"},
		"other IDs repeated":              {resumable, []answer{cut("id: b\n\n"), ok("id: b\n\n"), ok("id: c\n\n")}, "id: b\n\n", true, "b"},
		"other IDs":                       {resumable, []answer{cut("id: b\n\n"), ok("id: a\n\n")}, "id: b\n\nid: a\n\n", false, "b"},
		"first event is 0":                {resumable, []answer{ok("id: 0\n\n")}, "id: 0\n\n", false, ""},
		"large event":                     {resumable, []answer{cut(one + long), ok(two)}, one + long, true, ""},
		"end unknown after chunks":        {resumable, []answer{cut(one), raw(signedHead + "\r\n" + two)}, one + two, true, "2"},
		"empty, by its end":               {plain, []answer{raw(signedHead + "\r\n")}, "", true, ""},
		"empty, by its length":            {plain, []answer{ok("")}, "", false, ""},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, bedOptions{servers: 4, route: c.route}, c.answers...)
			got := b.send(ask{})
			broken := got.err != nil || got.status != http.StatusOK
			body := got.body
			if got.status != http.StatusOK {
				body = ""
			}
			if broken != c.broken || body != c.want && !(broken && strings.HasPrefix(c.want, body)) {
				t.Errorf("status %d, body %.200q, error %v; want %.200q, broken off %v", got.status, got.body, got.err, c.want, c.broken)
			}
			arrivals := b.got()
			if after := arrivals[len(arrivals)-1].r.Header.Get("After"); after != c.after {
				t.Errorf("%d attempts, the last after event %q, want %q", len(arrivals), after, c.after)
			}
			if broken && b.logged()["cause"] == string(CauseInternal) {
				t.Errorf("the log has an error of the router: %v", b.logged()["error"])
			}
		})
	}
}

// Guards against a stream whose caller gets headers other than its first server's.
func TestStreamHasTheHeadersOfItsFirstServer(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{servers: 2, route: resumable}, raw(signedHead+"Transfer-Encoding: chunked\r\n\r\n3\r\nid:\r\n3\r\n 1\n\r\n1\r\n\n\r\n"), ok("id: 2\n\n"))
	// Of the first server nothing can be relayed yet.
	part := newBed(t, bedOptions{servers: 2, route: resumable}, raw(signedHead+"Content-Length: 99\r\n\r\nid: 1\nda"), ok("id: 1\n\n"))
	if got := part.send(ask{}); got.err != nil || !strings.HasPrefix(got.header.Get("Signed"), "by ") || got.body != "id: 1\n\n" {
		t.Errorf("signature %q, body %q, error %v; want the second server's", got.header.Get("Signed"), got.body, got.err)
	}
	empty := newBed(t, bedOptions{route: resumable}, ok(""))
	if got := empty.send(ask{}); got.header.Get("Signed") == "" {
		t.Error("an empty stream has no signature")
	}
	if got := b.send(ask{}); got.header.Get("Signed") != "s" || got.body != "id: 1\n\nid: 2\n\n" || got.err != nil {
		t.Errorf("signature %q, body %q, error %v; want the first server's, and both events", got.header.Get("Signed"), got.body, got.err)
	}
}

// Guards against an ID that a header does not carry, or changes.
func TestIDsThatAHeaderCarries(t *testing.T) {
	t.Parallel()
	for id, want := range map[string]bool{"1": true, "a b": true, "a\tb": true, " 1": false, "1\t": false, "a\x01b": false, "a\x7fb": false, "a\nb": false} {
		if got := fitsHeader(id); got != want {
			t.Errorf("%q fits %v, want %v", id, got, want)
		}
	}
}

// Guards against a stream that breaks off and looks complete, because it was given a length
// or no chunks.
func TestStreamIsSentInChunks(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{route: resumable}, ok("id: 1\n\n"))
	if got := b.send(ask{}); got.length >= 0 {
		t.Errorf("length %d, want chunks", got.length)
	}
	text, err := b.wire("GET /x HTTP/1.0\r\nHost: h\r\nId: r1\r\nKey: k1\r\n\r\n")
	if err != nil || !strings.HasSuffix(text, "\r\n\r\nid: 1\n\n") || strings.Contains(text, "chunked") {
		t.Errorf("answer %q, error %v, to a caller that knows no chunks", text, err)
	}
	b = newBed(t, bedOptions{}, status(http.StatusNotFound, "none"))
	if got := b.send(ask{}); got.length != 4 {
		t.Errorf("length %d of an answer that is no stream, want 4", got.length)
	}
	b = newBed(t, bedOptions{route: resumable}, status(http.StatusNotFound, "none"))
	if got := b.send(ask{}); got.length != 4 || got.status != http.StatusNotFound || got.body != "none" {
		t.Errorf("status %d, length %d, body %q of a stream that there is not, want the server's answer", got.status, got.length, got.body)
	}
}
