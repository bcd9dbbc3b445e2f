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

// caller sends requests, mostly one after another, and records what it sees. It keeps its
// connections until their routers close them or announce their end, stays with one router
// while it can, and sends a failed request again where the platform's pages allow it.
type caller struct {
	f      *fleet
	name   string
	random *rand.Rand
	conns  map[*router]*callerConn
	// current is the router of the last request.
	current *router
	opened  int
	sent    int
}

// callerConn is an open connection to a router.
type callerConn struct {
	net.Conn
	name   string
	reader *bufio.Reader
	// expires is the end that the router has announced for the idle connection; zero if
	// it has announced none.
	expires time.Time
}

func newCaller(f *fleet, name string, random *rand.Rand) *caller {
	return &caller{f: f, name: name, random: random, conns: map[*router]*callerConn{}}
}

// routesOfCallers are the routes to which callers send. Each configuration moves the last
// one to another pool.
var routesOfCallers = []string{"safe", "unsafe", "stream", "resume", "moved"}

// repeatableRoutes are those whose requests may be repeated.
var repeatableRoutes = []string{"safe", "resume", "moved"}

// changingRoutes are a route that some configurations lack, and one that all do.
var changingRoutes = []string{"extra", "never"}

// sendUntil sends requests until ctx ends.
func (c *caller) sendUntil(ctx context.Context) {
	defer c.close()
	for ctx.Err() == nil {
		a := ask{route: c.drawRoute(), key: c.key(), manner: c.drawManner(), patience: answerTimeout, timeLeft: callerDeadline}
		r := c.chooseRouter()
		if a.manner == pipelining {
			c.pipeline(r, a)
			continue
		}
		if a.manner == stoppingInBody && c.random.IntN(deniedShare) > 0 {
			a.key = unknownKey
		}
		if a.manner == leaving {
			a.patience = time.Duration(c.random.Int64N(int64(maxLeavingTime)))
		}
		c.sendWithRetries(ctx, r, a)
	}
}

const (
	// One request in changingShare is for a changing route, and one in movingShare goes to
	// another router than the one before. One in rotatingShare has the newest key, one in
	// rotatingShare the key before it, one in unknownShare a key that no configuration holds,
	// and one in forgingShare headers that only the system may set.
	changingShare = 8
	movingShare   = 8
	rotatingShare = 16
	unknownShare  = 64
	forgingShare  = 8
	// All but one in deniedShare of the callers that stop in their body have an unknown key:
	// the answer then does not depend on the body.
	deniedShare = 4
	// One target in targetShare is one of otherTargets.
	targetShare = 8
	// One body in largeShare has largeBody bytes more.
	largeShare = 32
	largeBody  = 64 << 10
	// maxTries is the number of times that a caller sends a request, and retryPause is its
	// wait between them if the answer states none.
	maxTries   = 3
	retryPause = 20 * time.Millisecond
)

// chooseRouter returns the router of the next request.
func (c *caller) chooseRouter() *router {
	if c.conns[c.current] == nil || c.random.IntN(movingShare) == 0 {
		c.current = c.drawRouter(nil)
	}
	return c.current
}

// drawRouter draws a router other than the given one. The platform passes new connections
// to routers that are ready, and to all if fewer than half are.
func (c *caller) drawRouter(other *router) *router {
	var ready []*router
	for _, r := range c.f.routers {
		if r.ready.Load() {
			ready = append(ready, r)
		}
	}
	if 2*len(ready) < len(c.f.routers) {
		ready = slices.Clone(c.f.routers)
	}
	if others := slices.DeleteFunc(slices.Clone(ready), func(r *router) bool { return r == other }); len(others) > 0 {
		ready = others
	}
	return ready[c.random.IntN(len(ready))]
}

func (c *caller) drawRoute() string {
	if c.f.repeatable.Load() {
		return repeatableRoutes[c.random.IntN(len(repeatableRoutes))]
	}
	if c.random.IntN(changingShare) == 0 {
		return changingRoutes[c.random.IntN(len(changingRoutes))]
	}
	return routesOfCallers[c.random.IntN(len(routesOfCallers))]
}

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
	case c.random.IntN(unknownShare) == 0:
		return unknownKey
	}
	return []string{steadyKey, otherSteadyKey}[c.random.IntN(2)]
}

// ask is what a caller wants to send.
type ask struct {
	route    string
	key      string
	manner   manner
	patience time.Duration
	// timeLeft is the deadline that the request states.
	timeLeft time.Duration
	// retryOf is the id of the attempt before; empty for the first.
	retryOf string
	// lastEvent is the last event that the caller has of a stream which it resumes; 0 for a
	// stream from its start.
	lastEvent int
	// behind is the id of the request before on the connection, if its answer has not come.
	behind string
}

// outcome is what a caller knows about a request in the end.
type outcome struct {
	id     string
	served bool
	// status is 0 if no answer has begun. stage is that of the error, if there was one.
	status int
	stage  stage
	// retryAfter is the wait that the answer states.
	retryAfter time.Duration
	// events is the number of whole events of a broken answer.
	events int
	// ended is set when the caller itself has left or stopped.
	ended bool
}

// mayRetry reports whether the platform's pages allow to send a request again: safe ones
// after any failure, others after a promise or if the router can't have read them.
func (o outcome) mayRetry(route string) bool {
	switch {
	case o.served || o.ended || o.status >= 200 && o.status < 300:
		return false
	case slices.Contains([]int{400, 401, 404, 413, 431}, o.status):
		return false
	case isPromise(o.status) || route != "unsafe" && route != "stream":
		return true
	}
	return o.stage == stageConnect || o.stage == stageSend
}

// mayResume reports whether a stream broke off that may be resumed after its last event.
func (o outcome) mayResume(route string, last int) bool {
	return route == "resume" && o.status == http.StatusOK && !o.served && !o.ended && last > 0 && last < platformtest.EventsPerStream
}

// sendWithRetries sends a request, and again on new connections while it fails, within the
// deadline of the first attempt. Each attempt has an id of its own.
func (c *caller) sendWithRetries(ctx context.Context, r *router, a ask) {
	deadline := time.Now().Add(callerDeadline)
	for range maxTries {
		o := c.attempt(r, a)
		left := time.Until(deadline)
		resume := o.mayResume(a.route, a.lastEvent+o.events)
		if !resume && !o.mayRetry(a.route) || left <= 0 || ctx.Err() != nil {
			return
		}
		if resume {
			a.lastEvent += o.events
		}
		time.Sleep(min(max(o.retryAfter, retryPause), left/3))
		r = c.drawRouter(r)
		c.drop(r)
		c.current = r
		a.retryOf, a.manner, a.patience, a.timeLeft = o.id, plain, answerTimeout, time.Until(deadline)
	}
}

// send sends a request to a router and reports whether it was served.
func (c *caller) send(r *router, route, key string, patience time.Duration) bool {
	return c.attempt(r, ask{route: route, key: key, patience: patience, timeLeft: callerDeadline}).served
}

// attempt sends a request once.
func (c *caller) attempt(r *router, a ask) outcome {
	conn, dialError := c.connect(r)
	req, event := c.request(r, a)
	if conn != nil {
		event.Conn = conn.name
	}
	c.f.records.add(event)
	if dialError != nil {
		c.f.records.add(answerEnded{ID: event.ID, Error: dialError.Error(), Stage: stageConnect})
		return outcome{id: event.ID, stage: stageConnect}
	}
	_ = conn.SetDeadline(time.Now().Add(a.patience))
	sendError := c.write(conn, event.ID, req, a.manner)
	if a.manner == closingSide {
		c.closeSide(conn, event.ID)
	}
	if a.manner == readingLate {
		time.Sleep(time.Duration(c.random.Int64N(int64(maxReadPause))))
	}
	if a.manner.stops() {
		_ = conn.SetDeadline(time.Now().Add(stoppedTime))
	}
	o, keep := c.readAnswer(conn, req, event.ID, a, sendError, true)
	if !keep || sendError != nil || a.manner.ends() {
		c.drop(r)
	}
	return o
}

// request returns a request and its record.
func (c *caller) request(r *router, a ask) (*http.Request, requestSent) {
	id := fmt.Sprintf("%sn%d", c.name, c.sent)
	c.sent++
	body := "body of " + id
	if c.random.IntN(largeShare) == 0 {
		body += strings.Repeat(".", largeBody)
	}
	req, err := http.NewRequest(http.MethodPost, r.baseURL()+"/"+a.route+"/x", strings.NewReader(body))
	if err != nil {
		// The URL is of our own making.
		panic(err)
	}
	if a.manner == chunked {
		req.ContentLength = -1
	}
	target := req.URL.RequestURI()
	if c.random.IntN(targetShare) == 0 {
		target, req.URL.Opaque = c.drawTarget(a.route)
	}
	req.Host = "h.example"
	req.Header.Set(platformtest.HeaderRequestID, id)
	req.Header.Set(platformtest.HeaderDeadline, strconv.FormatInt(a.timeLeft.Milliseconds(), 10))
	req.Header.Set(platformtest.HeaderAuthorization, platformtest.Key(a.key))
	if a.route == "stream" || a.route == "resume" {
		req.Header.Set(platformtest.HeaderModel, "m")
		if a.lastEvent > 0 {
			req.Header.Set(platformtest.HeaderLastEvent, strconv.Itoa(a.lastEvent))
		}
		req.Header.Set(platformtest.HeaderPrompt, fmt.Sprintf("aa:500,%x:2000,ff%x:10", 16+c.random.IntN(20), c.random.Uint32()))
	}
	if c.random.IntN(forgingShare) == 0 {
		for _, name := range append([]string{platformtest.HeaderWorkspace}, forgedHeaders...) {
			req.Header.Set(name, forgedValue)
		}
	}
	return req, requestSent{
		ID: id, Router: r.name, Route: a.route, Method: req.Method, Target: target, Key: a.key, Body: contentOf(body),
		Deadline: a.timeLeft, Model: req.Header.Get(platformtest.HeaderModel), Prompt: req.Header.Get(platformtest.HeaderPrompt),
		Manner: a.manner.String(), RetryOf: a.retryOf, Behind: a.behind, LastEvent: a.lastEvent,
	}
}

// connect returns the open connection to a router, or a new one.
func (c *caller) connect(r *router) (*callerConn, error) {
	if conn := c.conns[r]; conn != nil {
		if c.usable(conn, r) {
			return conn, nil
		}
		c.drop(r)
	}
	opened, err := net.DialTimeout("tcp", strings.TrimPrefix(r.baseURL(), "http://"), connectTimeout)
	if err != nil {
		return nil, err
	}
	c.opened++
	c.conns[r] = &callerConn{Conn: opened, name: fmt.Sprintf("%s-%d", c.name, c.opened), reader: bufio.NewReader(opened)}
	return c.conns[r], nil
}

// drop closes the connection to a router, if there is one.
func (c *caller) drop(r *router) {
	if conn := c.conns[r]; conn != nil {
		_ = conn.Close()
		delete(c.conns, r)
	}
}

// usable reports whether an idle connection is still open and before its announced end,
// and records bytes that have come on it.
func (c *caller) usable(conn *callerConn, r *router) bool {
	_ = conn.SetReadDeadline(time.Now().Add(idleCheck))
	_, err := conn.reader.Peek(1)
	if err == nil {
		stray, _ := conn.reader.Peek(conn.reader.Buffered())
		c.f.records.add(strayBytes{Conn: conn.name, Router: r.name, Text: string(stray)})
		return false
	}
	expired := !conn.expires.IsZero() && time.Now().After(conn.expires)
	return errors.Is(err, os.ErrDeadlineExceeded) && !expired
}

// readAnswer reads the answer to a request, which may also come before the end of the
// request. It reports whether the connection can be used again. Bytes that follow the
// answer to the last waiting request are recorded.
func (c *caller) readAnswer(conn *callerConn, req *http.Request, id string, a ask, sendError error, last bool) (o outcome, keep bool) {
	o.id = id
	resp, err := http.ReadResponse(conn.reader, req)
	if err != nil {
		at := headerStage(err)
		if sendError != nil {
			at, err = stageSend, sendError
		}
		return c.failed(conn, o, "", at, err, a), false
	}
	h := resp.Header
	o.status, o.retryAfter = resp.StatusCode, secondsOf(h.Get("Retry-After"))
	c.f.records.add(answerStarted{
		ID: id, Status: resp.StatusCode, Signature: h.Get(platformtest.HeaderSignature), Close: resp.Close,
		AnswerID: strings.Join(h.Values(platformtest.HeaderRequestID), ","), Encoding: h.Get("Content-Encoding"),
	})
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return c.failed(conn, o, string(body), stageBody, err, a), false
	}
	var extra []byte
	if last {
		extra, _ = conn.reader.Peek(conn.reader.Buffered())
	}
	c.f.records.add(answerEnded{ID: id, Body: contentOf(string(body)), Framing: framingOf(resp), Extra: string(extra)})
	if idle := secondsOf(strings.TrimPrefix(h.Get("Keep-Alive"), "timeout=")); idle > 0 {
		conn.expires = time.Now().Add(idle)
	}
	o.served, o.ended = resp.StatusCode == http.StatusOK, a.manner.ends()
	return o, !resp.Close && len(extra) == 0
}

// secondsOf reads a number of seconds, which may have fractions; 0 if there is none.
func secondsOf(text string) time.Duration {
	seconds, err := strconv.ParseFloat(text, 64)
	if err != nil {
		return 0
	}
	return time.Duration(seconds * float64(time.Second))
}

// failed records the end of a request without a complete answer: the caller has left if it
// was to or has stopped, and has had enough.
func (c *caller) failed(conn *callerConn, o outcome, body string, at stage, err error, a ask) outcome {
	timeout := errors.Is(err, os.ErrDeadlineExceeded)
	if o.ended = a.manner.ends() || timeout && a.patience < answerTimeout; o.ended && timeout {
		_ = conn.Close()
		c.f.records.add(callerLeft{ID: o.id})
		return o
	}
	if timeout {
		at = stageTimeout
	}
	o.stage, o.events = at, len(eventsOf(body))
	c.f.records.add(answerEnded{ID: o.id, Body: contentOf(body), Error: err.Error(), Stage: at})
	return o
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
