// Package httpsend determines whether any byte of an HTTP request can have
// reached the server, and counts the bytes of an exchange.
package httpsend

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/connend"
)

// errSealed is returned for writes after the request was reported as not sent.
var errSealed = errors.New("connection is sealed")

// conn counts bytes and can be sealed, which rejects all further writes.
type conn struct {
	net.Conn
	// end tells a reset from an orderly end.
	end connend.Detector
	// onUnasked is called when bytes have arrived while no exchange was in progress; nil
	// means not. It must not use the transport, whose locks may be held.
	onUnasked func()
	// beforeRequest is called before the first write of each exchange, which its error prevents; nil means not.
	beforeRequest func() error

	mu       sync.Mutex
	head     headScanner
	sealed   bool
	written  int64
	received int64
	// exchange is the latest exchange, and returned is set when Send has returned its
	// answer. idle is set after its end until the next write. begun is set until its first write.
	exchange *Exchange
	begun    bool
	returned bool
	idle     bool
	// reading is set while a read waits. ended is set when the peer has ended the connection.
	reading bool
	ended   bool
}

func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	begun := c.begun
	c.begun = false
	c.mu.Unlock()
	if begun && c.beforeRequest != nil {
		if err := c.beforeRequest(); err != nil {
			c.seal()
			return 0, err
		}
	}
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	// Counted before the write, because a failed write may have sent a part.
	c.written += int64(len(b))
	c.idle = false
	c.mu.Unlock()
	n, err := c.Conn.Write(b)
	c.end.RecordWrite(err)
	if isUnsent(err) {
		c.mu.Lock()
		c.written -= int64(len(b))
		c.mu.Unlock()
	}
	c.recordError(err)
	return n, err
}

// isUnsent reports whether a write has failed with an error by which a connection states that none of its bytes was or will
// be sent.
func isUnsent(err error) bool {
	var stated interface{ NothingSent() bool }
	return errors.As(err, &stated) && stated.NothingSent()
}

func (c *conn) Read(b []byte) (int, error) {
	c.mu.Lock()
	c.reading = true
	c.mu.Unlock()
	n, err := c.Conn.Read(b)
	err = c.end.ReadError(c.Conn, err)
	c.recordError(err)
	c.mu.Lock()
	c.reading = false
	c.received += int64(n)
	unasked := c.idle && n > 0
	c.idle = c.idle && !unasked
	malformed := c.head.scan(b[:n])
	c.mu.Unlock()
	if unasked && !isRequestTimeout(b[:n]) {
		c.reportUnasked()
	}
	if malformed != nil {
		return 0, malformed
	}
	return n, err
}

// isRequestTimeout reports whether bytes are a 408, with which a server may announce that
// it closes an idle connection.
func isRequestTimeout(b []byte) bool {
	version, rest, _ := bytes.Cut(b, []byte(" "))
	return bytes.HasPrefix(version, []byte("HTTP/1.")) && bytes.HasPrefix(rest, []byte("408 "))
}

// recordError records that the peer has ended the connection, unless err is nil or due to
// Close.
func (c *conn) recordError(err error) {
	if err == nil || errors.Is(err, net.ErrClosed) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
}

// Close closes the connection. net/http always has a read waiting on an idle connection,
// except when bytes that came together with the last answer are left in its buffer; then
// it closes the connection. It also does so when a request is cancelled while its answer
// is handed over; this is before Send has returned.
func (c *conn) Close() error {
	c.mu.Lock()
	unasked := c.idle && c.returned && !c.reading && !c.ended
	c.idle = false
	c.mu.Unlock()
	if unasked {
		c.reportUnasked()
	}
	return c.Conn.Close()
}

func (c *conn) reportUnasked() {
	if c.onUnasked != nil {
		c.onUnasked()
	}
}

// begin makes x the exchange in progress.
func (c *conn) begin(x *Exchange) (written, received int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exchange, c.returned, c.begun = x, false, true
	c.head.reset()
	return c.written, c.received
}

// setIdle records the end of x, unless the next exchange has begun.
func (c *conn) setIdle(x *Exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = c.exchange == x
}

// setReturned records that Send has returned the answer of x.
func (c *conn) setReturned(x *Exchange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.exchange == x {
		c.returned = true
	}
}

// hasEnded reports whether the peer has ended the connection.
func (c *conn) hasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ended
}

func (c *conn) counts() (written, received int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written, c.received
}

// seal keeps anything further from being written to the connection.
func (c *conn) seal() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
}

// sealUnwritten seals the connection if nothing was written since base, and
// reports whether it did.
func (c *conn) sealUnwritten(base int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.written != base {
		return false
	}
	c.sealed = true
	return true
}

// ShortKeepAlive detects an unreachable peer of an idle connection within about
// three seconds: two probes, a second apart, after a second without traffic.
func ShortKeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}
}

// Options configures a transport.
type Options struct {
	DialTimeout time.Duration
	// HeaderTimeout bounds the wait for the answer's headers; 0 means no bound
	// other than the context.
	HeaderTimeout       time.Duration
	MaxHeaderBytes      int64
	MaxIdleConnsPerHost int
	IdleTimeout         time.Duration
	// NoConnReuse opens a connection for every request, so that net/http never sends
	// a request again by itself: it does so only on a reused connection.
	NoConnReuse bool
	// Control sets options of a socket before it connects; nil means none.
	Control func(network, address string, c syscall.RawConn) error
	// KeepAlive sets the probes of idle connections; the zero value means the default.
	KeepAlive net.KeepAliveConfig
	// Dial opens the connections instead of a dialer with the options above; nil means not.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// OnUnasked is called when a server has sent bytes on a connection that was not in use;
	// nil means not. It is called on any goroutine and must not use the transport. A call of
	// CloseIdleConnections may report a connection whose exchange ended that moment.
	OnUnasked func()
	// BeforeRequest is called when the first byte of a request is about to be written. Its error is that of the request, which
	// is not sent; nil means not. It is called on any goroutine and must not use the transport.
	BeforeRequest func() error
}

// NewTransport returns a transport for use with Send. It uses no proxy.
func NewTransport(o Options) *http.Transport {
	dial := o.Dial
	if dial == nil {
		dial = (&net.Dialer{Timeout: o.DialTimeout, Control: o.Control, KeepAliveConfig: o.KeepAlive}).DialContext
	}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dial(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: c, onUnasked: o.OnUnasked, beforeRequest: o.BeforeRequest}, nil
		},
		DisableKeepAlives:      o.NoConnReuse,
		DisableCompression:     true,
		MaxIdleConnsPerHost:    o.MaxIdleConnsPerHost,
		IdleConnTimeout:        o.IdleTimeout,
		ResponseHeaderTimeout:  o.HeaderTimeout,
		MaxResponseHeaderBytes: o.MaxHeaderBytes,
	}
}

// Exchange is one request and its answer.
type Exchange struct {
	// NotSent is set when the request failed and no byte of it was or will be written.
	NotSent bool
	// Reused is set when the connection was kept from an earlier exchange.
	Reused bool
	// Via is the router through which the connection was opened; empty for none.
	Via string

	// writtenEarlier is set when net/http wrote the request to one connection and
	// then switched to another.
	writtenEarlier bool
	conn           *conn
	baseWritten    int64
	baseReceived   int64
}

// Bytes returns the bytes sent and received by the exchange so far. It is
// exact once the answer's body has been read to its end.
func (e *Exchange) Bytes() int {
	if e.conn == nil {
		return 0
	}
	written, received := e.conn.counts()
	return int(written - e.baseWritten + received - e.baseReceived)
}

// Fault is what a server did instead of giving an answer.
type Fault int

const (
	// NoFault: the server got no request, or did not end the exchange.
	NoFault Fault = iota
	// ConnectionClosed: the server closed the connection without an answer.
	ConnectionClosed
	// NoAnswer: the server sent bytes that are no answer.
	NoAnswer
)

// Fault returns what the server did. It is valid after Send returned an error that is not
// due to the context.
func (e *Exchange) Fault() Fault {
	switch {
	case e.conn == nil || e.NotSent:
		return NoFault
	case e.conn.hasEnded():
		return ConnectionClosed
	}
	if _, received := e.conn.counts(); received > e.baseReceived {
		return NoAnswer
	}
	return NoFault
}

// Send performs one round trip and follows no redirect. After an error,
// Exchange.NotSent reports whether the request certainly did not leave this host;
// the connection is then sealed, so that a delayed write cannot send it later.
func Send(t http.RoundTripper, req *http.Request) (*http.Response, *Exchange, error) {
	exchange := &Exchange{}
	// net/http calls PutIdleConn on a goroutine of its own.
	var latest atomic.Pointer[conn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		c, ok := info.Conn.(*conn)
		if !ok {
			return
		}
		if exchange.conn != nil && !exchange.conn.sealUnwritten(exchange.baseWritten) {
			exchange.writtenEarlier = true
		}
		exchange.conn, exchange.Reused, exchange.Via = c, info.Reused, viaOf(c.Conn)
		exchange.baseWritten, exchange.baseReceived = c.begin(exchange)
		latest.Store(c)
	}, PutIdleConn: func(err error) {
		if c := latest.Load(); err == nil && c != nil {
			c.setIdle(exchange)
		}
	}}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	resp, err := t.RoundTrip(req)
	if err != nil {
		exchange.NotSent = exchange.notSent()
		return nil, exchange, err
	}
	if exchange.conn != nil {
		exchange.conn.setReturned(exchange)
	}
	return resp, exchange, nil
}

// viaOf returns the router through which a connection was opened, and nothing when it was not.
func viaOf(c net.Conn) string {
	if carried, ok := c.(interface{ Via() string }); ok {
		return carried.Via()
	}
	return ""
}

func (e *Exchange) notSent() bool {
	if e.conn == nil {
		return true
	}
	return e.conn.sealUnwritten(e.baseWritten) && !e.writtenEarlier
}

// Body hides the concrete type of r, so that http.NewRequest sets no GetBody
// and net/http cannot rewind the body to send it again.
func Body(r io.Reader) io.Reader {
	return struct{ io.Reader }{r}
}

// SetBody sets the body of a request so that net/http never sends the request again by
// itself. It does so on a reused connection with an empty body when the method is one of
// repeatedMethods or the request has an idempotency key. An empty body is sent as a length of 0 where
// the method usually has a body, and otherwise as no body; never in chunks, which a server
// of HTTP/1.0 takes for the next request.
func SetBody(req *http.Request, body []byte) {
	switch {
	case len(body) > 0:
		req.Body, req.ContentLength = hidden(body), int64(len(body))
	case slices.Contains(repeatedMethods, req.Method):
		// The encoding makes net/http send neither a length nor chunks.
		req.Body, req.TransferEncoding = hidden(nil), []string{"identity"}
	default:
		req.Body = http.NoBody
		hideIdempotencyKeys(req.Header)
	}
}

// repeatedMethods are the methods of requests that net/http repeats without a key.
var repeatedMethods = []string{http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace}

func hidden(body []byte) io.ReadCloser { return io.NopCloser(Body(bytes.NewReader(body))) }

// hideIdempotencyKeys renames the headers to lower case, which is the same to a server.
// net/http looks for their canonical names.
func hideIdempotencyKeys(h http.Header) {
	for _, name := range []string{"Idempotency-Key", "X-Idempotency-Key"} {
		if values, ok := h[name]; ok {
			delete(h, name)
			h[strings.ToLower(name)] = values
		}
	}
}
