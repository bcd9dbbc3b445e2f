package soak

import (
	"bytes"
	"net"
	"net/http"
	"time"
)

// manner is how a caller sends a request and reads its answer.
type manner int

const (
	// plain: in one write; the caller reads at once and to the end.
	plain manner = iota
	// leaving: the caller gives up within maxLeavingTime.
	leaving
	// chunked: the body comes in chunks instead of with a length.
	chunked
	// http10: in HTTP/1.0.
	http10
	// drippingHeaders and drippingBody: in dripPieces pieces with pauses.
	drippingHeaders
	drippingBody
	// stoppingInHeaders and stoppingInBody: half of it comes, and nothing more.
	stoppingInHeaders
	stoppingInBody
	// readingLate: the caller reads only after a pause.
	readingLate
	// closingSide: the caller closes its sending side, and reads on.
	closingSide
	// pipelining: with others behind it in the same write.
	pipelining
)

// mannerNames are the names of manners in records, and their shares of all requests, in
// thousandths. Many leave, so that some do while routers are in touch; those that keep
// their callers waiting are rare.
var mannerNames = map[manner]struct {
	name  string
	share int
}{
	leaving:           {"leaving", 250},
	chunked:           {"chunked", 100},
	http10:            {"HTTP/1.0", 60},
	drippingHeaders:   {"dripping headers", 12},
	drippingBody:      {"dripping body", 12},
	stoppingInHeaders: {"stopping in headers", 4},
	stoppingInBody:    {"stopping in body", 4},
	readingLate:       {"reading late", 12},
	closingSide:       {"closing its side", 20},
	pipelining:        {"pipelining", 30},
}

func (m manner) String() string { return mannerNames[m].name }

// stops reports whether the request is never sent whole.
func (m manner) stops() bool { return m == stoppingInHeaders || m == stoppingInBody }

// ends reports whether the connection carries no request after it.
func (m manner) ends() bool { return m.stops() || m == closingSide }

const (
	// maxLeavingTime is the longest time after which a caller that is to leave does.
	maxLeavingTime = 60 * time.Millisecond
	dripPieces     = 8
	dripPause      = 40 * time.Millisecond
	// maxReadPause is shorter than the deadline, so that the caller still reads an answer.
	maxReadPause = 1500 * time.Millisecond
	// headerTimeout is the limit of the configurations for headers; dripping ones take a
	// third of a second. stoppedTime is how long a caller that has stopped keeps its
	// connection: longer than the limit, a second that routers add, and the judge's slack.
	headerTimeout = 500 * time.Millisecond
	stoppedTime   = 2200 * time.Millisecond
	// maxPipelined is the number of requests in one write.
	maxPipelined = 4
)

// drawManner draws the manner of a request.
func (c *caller) drawManner() manner {
	n := c.random.IntN(1000)
	for m := leaving; m <= pipelining; m++ {
		if n -= mannerNames[m].share; n < 0 {
			return m
		}
	}
	return plain
}

// encode returns the bytes of a request and the number of those of its headers.
func (m manner) encode(req *http.Request) (data []byte, headers int) {
	var b bytes.Buffer
	// Writes to a buffer don't fail.
	_ = req.Write(&b)
	data = b.Bytes()
	if m == http10 {
		data = bytes.Replace(data, []byte("HTTP/1.1\r\n"), []byte("HTTP/1.0\r\n"), 1)
	}
	return data, bytes.Index(data, []byte("\r\n\r\n")) + 4
}

// pieces returns what is sent of a request, in the pieces between which the caller pauses.
func (m manner) pieces(data []byte, headers int) [][]byte {
	switch m {
	case drippingHeaders:
		return append(split(data[:headers]), data[headers:])
	case drippingBody:
		return append([][]byte{data[:headers]}, split(data[headers:])...)
	case stoppingInHeaders:
		return [][]byte{data[:headers/2]}
	case stoppingInBody:
		return [][]byte{data[:(headers+len(data))/2]}
	}
	return [][]byte{data}
}

func split(data []byte) [][]byte {
	var list [][]byte
	for n := len(data)/dripPieces + 1; len(data) > n; data = data[n:] {
		list = append(list, data[:n])
	}
	return append(list, data)
}

// write sends a request in its manner.
func (c *caller) write(conn *callerConn, id string, req *http.Request, m manner) error {
	pieces := m.pieces(m.encode(req))
	for i, piece := range pieces {
		if i > 0 {
			time.Sleep(dripPause)
		}
		if _, err := conn.Write(piece); err != nil {
			return err
		}
	}
	switch {
	case m.stops():
		c.f.records.add(callerStopped{ID: id})
	case len(pieces) > 1:
		c.f.records.add(requestWhole{ID: id})
	}
	return nil
}

// closeSide ends the sending side of a connection soon. The caller has left for its router
// and its servers, but reads what still comes: an answer that is not whole must not look so.
func (c *caller) closeSide(conn *callerConn, id string) {
	time.Sleep(time.Duration(c.random.Int64N(int64(maxLeavingTime))))
	if tcp, ok := conn.Conn.(*net.TCPConn); ok {
		// An error means that the router has closed the connection.
		_ = tcp.CloseWrite()
	}
	c.f.records.add(callerLeft{ID: id})
}

// otherTargets are targets that a router which decodes them would change.
var otherTargets = []string{"/x%2Fy%20z", "/%78?q=%7C&r=a+b", "/x/../y//z?", "/x;a=1?http://h/?"}

// drawTarget draws a target of a route, and the form in which it is sent: callers may name
// the scheme and the host before it.
func (c *caller) drawTarget(route string) (target, form string) {
	target = "/" + route + otherTargets[c.random.IntN(len(otherTargets))]
	return target, []string{"", "http://h.example"}[c.random.IntN(2)] + target
}

// pipeline sends several requests in one write and reads their answers in turn. It does
// not send them again.
func (c *caller) pipeline(r *router, a ask) {
	conn, err := c.connect(r)
	if err != nil {
		a.manner = plain
		c.attempt(r, a)
		return
	}
	var data []byte
	var requests []*http.Request
	var ids []string
	for range 2 + c.random.IntN(maxPipelined-1) {
		req, event := c.request(r, a)
		event.Conn = conn.name
		c.f.records.add(event)
		encoded, _ := a.manner.encode(req)
		data, requests, ids = append(data, encoded...), append(requests, req), append(ids, event.ID)
		a.behind, a.route, a.key = event.ID, c.drawRoute(), c.key()
	}
	_ = conn.SetDeadline(time.Now().Add(answerTimeout))
	_, sendError := conn.Write(data)
	open := true
	for i, req := range requests {
		if !open {
			c.f.records.add(answerEnded{ID: ids[i], Error: "the connection ended before its turn", Stage: stageBehind})
			continue
		}
		_ = conn.SetDeadline(time.Now().Add(answerTimeout))
		_, open = c.readAnswer(conn, req, ids[i], a, sendError, i == len(requests)-1)
	}
	if !open || sendError != nil {
		c.drop(r)
	}
}
