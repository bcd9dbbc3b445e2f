package front_test

import (
	"bufio"
	"bytes"
	"fmt"
	"github.com/bluebellwell/bluebellwell/internal/testport"
	"github.com/bluebellwell/bluebellwell/platform/platformtest"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/platform"
)

// ending is what a server does with the connection after its bytes.
type ending int

const (
	// keeps leaves the connection open for the next request.
	keeps ending = iota
	closes
	resets
)

// framingKind is how a server marks the end of a body.
type framingKind int

const (
	byLength framingKind = iota
	byChunks
	byClose
)

// rawAnswer is an answer that a server sends byte for byte.
type rawAnswer struct {
	// version is HTTP/1.0 or HTTP/1.1.
	version string
	status  int
	framing framingKind
	body    string
	// chunk is the size of the chunks in bytes.
	chunk int
	// cut is the number of bytes that are sent; -1 means all.
	cut int
	// split is after how many bytes the server pauses; 0 means never.
	split  int
	ending ending
	// extra is sent after the answer and belongs to no request.
	extra string
	// early is set when the answer is sent before the body of the request is read.
	early bool
}

// withID returns the answer with the id of a request for each @ of its body.
func (a rawAnswer) withID(id string) rawAnswer {
	a.body = strings.ReplaceAll(a.body, "@", id)
	return a
}

// head returns the status line and the headers.
func (a rawAnswer) head(id string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %d Status\r\n%s: %s\r\n%s: s\r\n", a.version, a.status, platformtest.HeaderRequestID, id, platformtest.HeaderSignature)
	switch {
	case a.bodyless():
	case a.framing == byLength:
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(a.body))
	case a.framing == byChunks:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	}
	if a.ending != keeps {
		// A request that crosses an unannounced close has an unknown outcome.
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	return b.String()
}

// bodyless reports whether the status allows no body.
func (a rawAnswer) bodyless() bool { return a.status == 204 || a.status == 304 }

// wire returns all bytes of the answer and the number of bytes before its body.
func (a rawAnswer) wire(id string, head bool) (wire []byte, headBytes int) {
	h := a.head(id)
	wire = []byte(h)
	if a.bodyless() || head {
		return wire, len(h)
	}
	if a.framing != byChunks {
		return append(wire, a.body...), len(h)
	}
	for rest := a.body; len(rest) > 0; {
		n := min(max(a.chunk, 1), len(rest))
		wire = fmt.Appendf(wire, "%x\r\n%s\r\n", n, rest[:n])
		rest = rest[n:]
	}
	return append(wire, "0\r\n\r\n"...), len(h)
}

// completeness is what a server has stated about the end of its answer.
type completeness int

const (
	// noHeaders: the headers are incomplete.
	noHeaders completeness = iota
	// broken: the body ended before its marked end.
	broken
	// open: the connection ended in order, and nothing else marks the end.
	open
	complete
)

// statement returns what the server states with the bytes that it sends for a request,
// and the part of the body that it sends.
func (a rawAnswer) statement(id string, head bool) (completeness, string) {
	wire, headBytes := a.wire(id, head)
	cut := len(wire)
	if a.cut >= 0 {
		cut = min(a.cut, cut)
	}
	switch {
	case cut < headBytes:
		return noHeaders, ""
	case a.bodyless() || head:
		return complete, ""
	case a.framing == byClose && a.ending == resets:
		return broken, string(wire[headBytes:cut])
	case a.framing == byClose:
		return open, string(wire[headBytes:cut])
	}
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(wire[:cut])), nil)
	if err != nil {
		return noHeaders, ""
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return broken, string(body)
	}
	return complete, string(body)
}

// rawServers are servers that send prepared answers. They are safe for concurrent use.
type rawServers struct {
	t *testing.T

	mu      sync.Mutex
	answers map[string][]func(r *http.Request) rawAnswer
	runs    map[string]int
	// spoiled counts the open connections that carry bytes which belong to no answer.
	spoiled int
	// onEarlyBody is called with each body that is read after its answer.
	onEarlyBody func(body string, err error)
}

// startRawServers starts n servers and registers them as pool "raw".
func startRawServers(t *testing.T, b *testBed, n int) *rawServers {
	s := &rawServers{t: t, answers: map[string][]func(*http.Request) rawAnswer{}, runs: map[string]int{}}
	for i := range n {
		l, err := net.Listen("tcp", testport.ServerHost()+":0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { l.Close() })
		go s.accept(l)
		entry := platformtest.Entry{Pool: "raw", Addr: l.Addr().String(), State: platformtest.StateReady, Slots: 64}.Encode()
		b.store.Put(platform.TopicServers, fmt.Sprintf("raw-%d", i), entry)
	}
	return s
}

// prepare sets the answers to the attempts of a request.
func (s *rawServers) prepare(id string, answers ...func(r *http.Request) rawAnswer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers[id] = answers
}

// runsOf returns how often a request has arrived, and forgets it.
func (s *rawServers) runsOf(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	runs := s.runs[id]
	delete(s.runs, id)
	delete(s.answers, id)
	return runs
}

// mayCross reports whether a request that is sent now may be written to a connection after
// bytes that belong to no answer. It may be lost there without having arrived: the router
// closes such a connection, which resets it.
func (s *rawServers) mayCross() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.spoiled > 0
}

func (s *rawServers) addSpoiled(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spoiled += n
}

func (s *rawServers) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go s.serve(conn.(*net.TCPConn))
	}
}

func (s *rawServers) serve(conn *net.TCPConn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	spoiled := false
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := r.Header.Get(platformtest.HeaderRequestID)
		a, ok := s.next(id, r)
		if !ok {
			return
		}
		if !a.early {
			_, _ = io.Copy(io.Discard, r.Body)
		}
		if a.extra != "" && !spoiled {
			spoiled = true
			s.addSpoiled(1)
			defer s.addSpoiled(-1)
		}
		if !s.send(conn, id, r, a) {
			return
		}
		if a.early {
			body, err := io.ReadAll(r.Body)
			s.onEarlyBody(string(body), err)
		}
	}
}

func (s *rawServers) next(id string, r *http.Request) (rawAnswer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.runs[id]
	s.runs[id]++
	if n >= len(s.answers[id]) {
		return rawAnswer{}, false
	}
	return s.answers[id][n](r), true
}

// send sends an answer and reports whether the connection is kept.
func (s *rawServers) send(conn *net.TCPConn, id string, r *http.Request, a rawAnswer) bool {
	wire, _ := a.wire(id, r.Method == http.MethodHead)
	if a.cut >= 0 {
		wire = wire[:min(a.cut, len(wire))]
	}
	wire = append(wire, a.extra...)
	if a.split > 0 && a.split < len(wire) {
		_, _ = conn.Write(wire[:a.split])
		time.Sleep(time.Millisecond)
		wire = wire[a.split:]
	}
	_, _ = conn.Write(wire)
	if a.ending == resets {
		_ = conn.SetLinger(0)
	}
	return a.ending == keeps
}

// rawCaller is a caller that sends requests on one connection and reads the answers
// byte for byte.
type rawCaller struct {
	addr    string
	version string
	conn    net.Conn
	reader  *bufio.Reader
}

// rawRequest returns a request without a body, byte for byte.
func rawRequest(method, path, version, id string, headers ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s\r\nHost: h.example\r\nContent-Length: 0\r\n", method, path, version)
	headers = append(headers, platformtest.HeaderRequestID, id, platformtest.HeaderDeadline, strconv.FormatInt(waitTimeout.Milliseconds(), 10), platformtest.HeaderAuthorization, platformtest.Key("k1"))
	for i := 0; i+1 < len(headers); i += 2 {
		fmt.Fprintf(&b, "%s: %s\r\n", headers[i], headers[i+1])
	}
	return b.String() + "\r\n"
}

// do sends a request and returns its answer. It uses the connection of the request
// before when that is still open.
func (c *rawCaller) do(method, path, id string) reply {
	if c.conn == nil {
		conn, err := net.Dial("tcp", c.addr)
		if err != nil {
			return reply{err: err}
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(waitTimeout))
	_, err := io.WriteString(c.conn, rawRequest(method, path, c.version, id))
	if err != nil {
		c.close()
		return reply{err: err}
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		c.close()
		return reply{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || method == http.MethodHead
	if resp.Close || err != nil || !framed || c.version == "HTTP/1.0" {
		c.close()
	}
	return reply{status: resp.StatusCode, header: resp.Header, body: string(body), err: err, framed: framed}
}

func (c *rawCaller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}
