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

// dialCaller opens a caller's connection to the router.
func (b *testBed) dialCaller() net.Conn {
	b.t.Helper()
	conn, err := net.Dial("tcp", strings.TrimPrefix(b.baseURL, "http://"))
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	return conn
}

// Guards against a success that no server gave, in answer to requests which net/http or
// the router answers by itself, and against more than one answer to a request.
func TestRouterMakesNoSuccess(t *testing.T) {
	b := newTestBed(t).run()
	host := "Host: h.example\r\n"
	for name, request := range map[string]string{
		"target of all resources":   "GET * HTTP/1.1\r\n" + host,
		"start of HTTP/2":           "PRI * HTTP/2.0\r\n\r\nSM\r\n",
		"tunnel":                    "CONNECT h.example:80 HTTP/1.1\r\n" + host,
		"target without a path":     "GET http://h.example HTTP/1.1\r\n" + host,
		"target of another scheme":  "GET ftp://h.example/none/x HTTP/1.1\r\n" + host,
		"trace of no route":         "TRACE /none/x HTTP/1.1\r\n" + host,
		"options of no route":       "OPTIONS /none/x HTTP/1.1\r\n" + host,
		"head of no route":          "HEAD /none/x HTTP/1.1\r\n" + host,
		"no host":                   "GET /open/x HTTP/1.1\r\n",
		"two hosts":                 "GET /open/x HTTP/1.1\r\n" + host + host,
		"unknown expectation":       "GET /open/x HTTP/1.1\r\nExpect: other\r\n" + host,
		"expectation of no route":   "POST /none/x HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 5\r\n" + host,
		"two lengths":               "POST /open/x HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n" + host,
		"unknown transfer encoding": "POST /open/x HTTP/1.1\r\nTransfer-Encoding: gzip\r\n" + host,
		"unknown version":           "GET /open/x HTTP/3.0\r\n" + host,
		"no HTTP":                   "hello\r\n",
		"headers above the limit":   "GET /open/x HTTP/1.1\r\n" + host + "X-Large: " + strings.Repeat("x", 300<<10) + "\r\n",
	} {
		conn := b.dialCaller()
		_, _ = io.WriteString(conn, request+"\r\n")
		reader := bufio.NewReader(conn)
		resp, err := http.ReadResponse(reader, &http.Request{Method: strings.Fields(request)[0]})
		if err != nil {
			t.Errorf("%s: no answer: %v", name, err)
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		if resp.StatusCode < 400 || resp.Header.Get(platformtest.HeaderSignature) != "" {
			t.Errorf("%s: status %d, headers %v; want a failure of the router", name, resp.StatusCode, resp.Header)
		}
		_ = conn.(*net.TCPConn).CloseWrite()
		if rest, _ := io.ReadAll(reader); len(rest) > 0 {
			t.Errorf("%s: %.100q follow the answer", name, rest)
		}
	}
	if n := b.requestCount(); n != 0 {
		t.Errorf("%d requests reached a server, want none", n)
	}
}

// Guards against a success that no server gave: net/http answers this request itself.
func TestOptionsOfAllResourcesGetNoMadeUpSuccess(t *testing.T) {
	b := newTestBed(t).run()
	conn := b.dialCaller()
	_, _ = io.WriteString(conn, rawRequest(http.MethodOptions, "*", "HTTP/1.1", "options"))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	if resp.StatusCode != http.StatusNotFound {
		t.Errorf("status %d, headers %v; want the router's 404", resp.StatusCode, resp.Header)
	}
}

// Guards against answers on one connection that do not belong to its requests in their
// order: the caller sends them all at once, and one is denied, refused or broken off.
func TestPipelinedRequestsGetTheirOwnAnswers(t *testing.T) {
	b := newAnswersBed(t, 1)
	answer := func(text string) func(*http.Request) rawAnswer {
		return func(r *http.Request) rawAnswer {
			id := r.Header.Get(platformtest.HeaderRequestID)
			return rawAnswer{extra: strings.ReplaceAll(text, "@", id), ending: closes}
		}
	}
	served := "HTTP/1.1 200 OK\r\n" + signed + ownID + closing + "Content-Length: 1\r\n\r\n1"
	cutOff := "HTTP/1.1 200 OK\r\n" + signed + ownID + closing + "Transfer-Encoding: chunked\r\n\r\na\r\n" + content + "\r\n"
	for name, c := range map[string]struct {
		path, text string
		// status is the answer in the middle; broken is set when it is the last.
		status int
		broken bool
	}{
		"denied":     {"/none/x", served, 404, false},
		"lost":       {"/rawunsafe/x", "x", 502, false},
		"refused":    {"/rawunsafe/x", "HTTP/1.1 503 Full\r\n" + notRun + ownID + closing + body, 503, false},
		"broken off": {"/rawstream/x", cutOff, 200, true},
	} {
		conn := b.dialCaller()
		ids := []string{"first " + name, "middle " + name, "last " + name}
		b.servers.prepare(ids[0], answer(served))
		b.servers.prepare(ids[1], answer(c.text))
		b.servers.prepare(ids[2], answer(served))
		_, _ = io.WriteString(conn, rawRequest(http.MethodPost, "/rawunsafe/x", "HTTP/1.1", ids[0])+
			rawRequest(http.MethodPost, c.path, "HTTP/1.1", ids[1])+rawRequest(http.MethodPost, "/rawunsafe/x", "HTTP/1.1", ids[2]))
		reader := bufio.NewReader(conn)
		for i, status := range []int{200, c.status, 200} {
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				t.Errorf("%s: answer %d: %v", name, i, err)
				break
			}
			_, err = io.ReadAll(resp.Body)
			if resp.StatusCode != status || status == 200 && resp.Header.Get(platformtest.HeaderRequestID) != ids[i] {
				t.Errorf("%s: answer %d: status %d, id %q", name, i, resp.StatusCode, resp.Header.Get(platformtest.HeaderRequestID))
			}
			if broken := c.broken && i == 1; broken != (err != nil) {
				t.Errorf("%s: answer %d: error %v, want broken off %v", name, i, err, broken)
			}
			if err != nil {
				break
			}
		}
		if c.broken {
			if rest, _ := io.ReadAll(reader); len(rest) > 0 {
				t.Errorf("%s: %.100q follow the answer that is broken off", name, rest)
			}
			if runs := b.servers.runsOf(ids[2]); runs > 0 {
				t.Errorf("%s: the request after it was sent to a server", name)
			}
		}
		conn.Close()
	}
}

// Guards against an answer before the caller was told to send its body, and against an
// interim answer in the place of the final one.
func TestCallerThatWaitsForContinue(t *testing.T) {
	b := newTestBed(t).run()
	conn := b.dialCaller()
	request := strings.Replace(rawRequest(http.MethodPost, "/unsafe/x", "HTTP/1.1", "waits", "Expect", "100-continue"), "Content-Length: 0", "Content-Length: 2", 1)
	_, _ = io.WriteString(conn, request)
	reader := bufio.NewReader(conn)
	resp, err := http.ReadResponse(reader, nil)
	if err != nil || resp.StatusCode != http.StatusContinue {
		t.Fatalf("%+v, error %v; want 100", resp, err)
	}
	_, _ = io.WriteString(conn, "ok")
	resp, err = http.ReadResponse(reader, nil)
	if err != nil || resp.StatusCode != http.StatusOK || resp.Header.Get(platformtest.HeaderSignature) == "" {
		t.Fatalf("%+v, error %v; want the server's 200", resp, err)
	}
	for _, e := range b.engines {
		for _, r := range e.Requests() {
			if r.Body != "ok" || r.Header.Get("Expect") != "" {
				t.Errorf("the server got body %q, headers %v", r.Body, r.Header)
			}
		}
	}
}
