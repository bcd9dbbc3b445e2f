// Package httpsend determines whether any byte of an HTTP request can have
// reached the server, and counts the bytes of an exchange.
package httpsend

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"syscall"
	"time"
)

// errSealed is returned for writes after the request was reported as not sent.
var errSealed = errors.New("connection is sealed")

// conn counts bytes and can be sealed, which rejects all further writes.
type conn struct {
	net.Conn
	mu       sync.Mutex
	sealed   bool
	written  int64
	received int64
}

func (c *conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, errSealed
	}
	// Counted before the write, because a failed write may have sent a part.
	c.written += int64(len(b))
	c.mu.Unlock()
	return c.Conn.Write(b)
}

func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	c.received += int64(n)
	c.mu.Unlock()
	return n, err
}

func (c *conn) counts() (written, received int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.written, c.received
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
}

// NewTransport returns a transport for use with Send. It uses no proxy.
func NewTransport(o Options) *http.Transport {
	dialer := &net.Dialer{Timeout: o.DialTimeout, Control: o.Control, KeepAliveConfig: o.KeepAlive}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dialer.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: c}, nil
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

// Send performs one round trip and follows no redirect. After an error,
// Exchange.NotSent reports whether the request certainly did not leave this host;
// the connection is then sealed, so that a delayed write cannot send it later.
func Send(t http.RoundTripper, req *http.Request) (*http.Response, *Exchange, error) {
	exchange := &Exchange{}
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		c, ok := info.Conn.(*conn)
		if !ok {
			return
		}
		if exchange.conn != nil && !exchange.conn.sealUnwritten(exchange.baseWritten) {
			exchange.writtenEarlier = true
		}
		exchange.conn = c
		exchange.baseWritten, exchange.baseReceived = c.counts()
	}}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	resp, err := t.RoundTrip(req)
	if err != nil {
		exchange.NotSent = exchange.notSent()
		return nil, exchange, err
	}
	return resp, exchange, nil
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
