package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

const (
	// callerDeadline is what callers state, and answerTimeout is how long they wait: longer
	// than the timeouts of the routes, so that a late answer is seen.
	callerDeadline = 3 * time.Second
	answerTimeout  = 5 * time.Second
	connectTimeout = 1 * time.Second
	// idleCheck is how long a caller looks for bytes on an idle connection.
	idleCheck = 100 * time.Microsecond
)

// caller sends requests one after another, on connections of its own, and records what
// it sees on them. It does not send a request again.
type caller struct {
	f      *fleet
	name   string
	random *rand.Rand
	conns  map[*router]*callerConn
	opened int
	sent   int
}

// callerConn is an open connection to a router.
type callerConn struct {
	net.Conn
	name   string
	reader *bufio.Reader
}

func newCaller(f *fleet, name string, random *rand.Rand) *caller {
	return &caller{f: f, name: name, random: random, conns: map[*router]*callerConn{}}
}

// routesOfCallers are the routes to which callers send. Each configuration moves the last
// one to another pool.
var routesOfCallers = []string{"safe", "unsafe", "stream", "resume", "moved"}

// sendUntil sends requests until ctx ends.
func (c *caller) sendUntil(ctx context.Context) {
	defer c.close()
	for ctx.Err() == nil {
		r := c.f.routers[c.random.IntN(len(c.f.routers))]
		patience := answerTimeout
		if c.random.IntN(leavingShare) == 0 {
			patience = time.Duration(c.random.Int64N(int64(maxLeavingTime)))
		}
		if !c.send(r, routesOfCallers[c.random.IntN(len(routesOfCallers))], c.key(), patience) {
			time.Sleep(20 * time.Millisecond)
		}
	}
}

const (
	// One request in leavingShare is given up within maxLeavingTime, one in rotatingShare
	// has the newest key and one in rotatingShare the key before it, and one in forgingShare
	// has headers that only the system may set.
	leavingShare   = 4
	maxLeavingTime = 60 * time.Millisecond
	rotatingShare  = 16
	forgingShare   = 8
)

// key draws the key of a request.
func (c *caller) key() string {
	c.f.mu.Lock()
	version := c.f.version
	c.f.mu.Unlock()
	switch n := c.random.IntN(rotatingShare); {
	case n == 0:
		return rotatingKey(version)
	case n == 1 && version > 1:
		return rotatingKey(version - 1)
	}
	return steadyKey
}

// send sends a request to a router and reports whether it was served.
func (c *caller) send(r *router, route, key string, patience time.Duration) bool {
	id := fmt.Sprintf("%sn%d", c.name, c.sent)
	c.sent++
	conn, dialError := c.connect(r)
	req, event := c.request(r, id, route, key)
	if conn != nil {
		event.Conn = conn.name
	}
	c.f.records.add(event)
	if dialError != nil {
		c.f.records.add(answerEnded{ID: id, Error: dialError.Error(), Stage: stageConnect})
		return false
	}
	start := time.Now()
	_ = conn.SetDeadline(start.Add(patience))
	served, keep := c.exchange(conn, req, id, patience < answerTimeout)
	if !keep {
		delete(c.conns, r)
	}
	return served
}

// request returns a request and its record.
func (c *caller) request(r *router, id, route, key string) (*http.Request, requestSent) {
	body := "body of " + id
	req, err := http.NewRequest(http.MethodPost, r.baseURL()+"/"+route+"/x", strings.NewReader(body))
	if err != nil {
		// The URL is of our own making.
		panic(err)
	}
	req.Host = "h.example"
	req.Header.Set(platformtest.HeaderRequestID, id)
	req.Header.Set(platformtest.HeaderDeadline, strconv.FormatInt(callerDeadline.Milliseconds(), 10))
	req.Header.Set(platformtest.HeaderAuthorization, platformtest.Key(key))
	if route == "stream" || route == "resume" {
		req.Header.Set(platformtest.HeaderModel, "m")
		req.Header.Set(platformtest.HeaderPrompt, fmt.Sprintf("aa:500,%x:2000,ff%x:10", 16+c.random.IntN(20), c.random.Uint32()))
	}
	if c.random.IntN(forgingShare) == 0 {
		for _, name := range append([]string{platformtest.HeaderWorkspace}, forgedHeaders...) {
			req.Header.Set(name, "forged")
		}
	}
	return req, requestSent{
		ID: id, Router: r.name, Route: route, Method: req.Method, Target: req.URL.RequestURI(), Key: key, Body: contentOf(body),
		Deadline: callerDeadline, Model: req.Header.Get(platformtest.HeaderModel), Prompt: req.Header.Get(platformtest.HeaderPrompt),
	}
}

// connect returns the open connection to a router, or a new one.
func (c *caller) connect(r *router) (*callerConn, error) {
	if conn := c.conns[r]; conn != nil {
		if c.usable(conn, r) {
			return conn, nil
		}
		_ = conn.Close()
		delete(c.conns, r)
	}
	opened, err := net.DialTimeout("tcp", strings.TrimPrefix(r.baseURL(), "http://"), connectTimeout)
	if err != nil {
		return nil, err
	}
	c.opened++
	c.conns[r] = &callerConn{Conn: opened, name: fmt.Sprintf("%s-%d", c.name, c.opened), reader: bufio.NewReader(opened)}
	return c.conns[r], nil
}

// usable reports whether an idle connection is still open, and records bytes that have
// come on it.
func (c *caller) usable(conn *callerConn, r *router) bool {
	_ = conn.SetReadDeadline(time.Now().Add(idleCheck))
	_, err := conn.reader.Peek(1)
	if err == nil {
		stray, _ := conn.reader.Peek(conn.reader.Buffered())
		c.f.records.add(strayBytes{Conn: conn.name, Router: r.name, Text: string(stray)})
		return false
	}
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// exchange sends a request and reads its answer. It reports whether the request was
// served and whether the connection can be used again; it closes it otherwise.
func (c *caller) exchange(conn *callerConn, req *http.Request, id string, leaves bool) (served, keep bool) {
	defer func() {
		if !keep {
			_ = conn.Close()
		}
	}()
	if err := req.Write(conn); err != nil {
		return false, c.failed(conn, id, "", stageSend, err, leaves)
	}
	resp, err := http.ReadResponse(conn.reader, req)
	if err != nil {
		return false, c.failed(conn, id, "", headerStage(err), err, leaves)
	}
	h := resp.Header
	c.f.records.add(answerStarted{
		ID: id, Status: resp.StatusCode, Signature: h.Get(platformtest.HeaderSignature),
		AnswerID: strings.Join(h.Values(platformtest.HeaderRequestID), ","), Encoding: h.Get("Content-Encoding"),
	})
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return false, c.failed(conn, id, string(body), stageBody, err, leaves)
	}
	extra, _ := conn.reader.Peek(conn.reader.Buffered())
	c.f.records.add(answerEnded{ID: id, Body: contentOf(string(body)), Framing: framingOf(resp), Extra: string(extra)})
	return resp.StatusCode == http.StatusOK, !resp.Close && len(extra) == 0
}

// failed records the end of a request without a complete answer: the caller has left if
// it was to, and has had enough. The connection can't be used again.
func (c *caller) failed(conn *callerConn, id, body string, at stage, err error, leaves bool) (keep bool) {
	timeout := errors.Is(err, os.ErrDeadlineExceeded)
	if timeout && leaves {
		_ = conn.Close()
		c.f.records.add(callerLeft{ID: id})
		return false
	}
	if timeout {
		at = stageTimeout
	}
	c.f.records.add(answerEnded{ID: id, Body: contentOf(body), Error: err.Error(), Stage: at})
	return false
}

// headerStage tells a connection that ends from one that carries no answer.
func headerStage(err error) stage {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, os.ErrDeadlineExceeded} {
		if errors.Is(err, end) {
			return stageHeaders
		}
	}
	return stageParse
}

func framingOf(resp *http.Response) framing {
	switch {
	case slices.Contains(resp.TransferEncoding, "chunked"):
		return framingChunks
	case resp.ContentLength >= 0:
		return framingLength
	}
	return framingClose
}

func (c *caller) close() {
	for _, conn := range c.conns {
		_ = conn.Close()
	}
}
