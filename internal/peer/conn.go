package peer

import (
	"encoding/binary"
	"net"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"github.com/bluebellwell/bluebellwell/internal/event"
)

const (
	// writeTimeout ends a connection write that makes no progress.
	writeTimeout = 5 * time.Second
	// streamOpenTimeout closes a connection whose peer accepts no stream.
	streamOpenTimeout = 5 * time.Second
	// halfCloseTimeout resets a stream that the peer leaves open after Close.
	halfCloseTimeout = 10 * time.Second
	acceptBacklog    = 1024
)

// muxLogger writes messages of yamux to the event log.
type muxLogger struct{ events *event.Logger }

func (l muxLogger) Print(v ...any)                 { l.events.Emit(event.PeerMuxMessage, "message", v) }
func (l muxLogger) Println(v ...any)               { l.Print(v...) }
func (l muxLogger) Printf(format string, v ...any) { l.Print(append([]any{format}, v...)...) }

// muxConfig returns a configuration without keepalives: heartbeats monitor the
// peers, and pings on each connection would add control traffic.
func muxConfig(events *event.Logger) *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false
	c.AcceptBacklog = acceptBacklog
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = streamOpenTimeout
	c.StreamCloseTimeout = halfCloseTimeout
	c.LogOutput = nil
	c.Logger = muxLogger{events}
	return c
}

const (
	muxHeaderBytes = 12
	muxTypeData    = 0
)

// coalescingConn writes the header and the body of a yamux data frame together.
// yamux writes them separately, which costs a second TCP segment for each
// message when Nagle's algorithm is off. yamux writes from one goroutine.
type coalescingConn struct {
	net.Conn
	buf []byte
}

func (c *coalescingConn) Write(p []byte) (int, error) {
	if len(c.buf) == 0 && isDataHeader(p) {
		c.buf = append(c.buf, p...)
		return len(p), nil
	}
	if len(c.buf) == 0 {
		return c.Conn.Write(p)
	}
	c.buf = append(c.buf, p...)
	_, err := c.Conn.Write(c.buf)
	c.buf = c.buf[:0]
	if err != nil {
		return 0, err
	}
	return len(p), nil
}

// isDataHeader reports whether p is the header of a data frame with a body.
func isDataHeader(p []byte) bool {
	return len(p) == muxHeaderBytes && p[1] == muxTypeData && binary.BigEndian.Uint32(p[8:]) > 0
}

// conn is an authenticated connection.
type conn struct {
	t    *Transport
	peer Peer
	// addr is the key in the transport's table.
	addr    string
	mux     *yamux.Session
	dialled bool
	// outgoing and incoming count the open streams that this side and the peer
	// opened, without one-way streams.
	outgoing atomic.Int64
	incoming atomic.Int64
	lastUse  atomic.Int64
}

func (c *conn) touch() {
	c.lastUse.Store(c.t.cfg.Clock.Now().UnixNano())
}

func (c *conn) idleFor(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - c.lastUse.Load())
}

// preferred reports whether the connection is the one to keep when both sides
// dialled at the same time: the one that the router with the lower name dialled.
func (c *conn) preferred() bool {
	return c.dialled == (c.t.cfg.VM < c.peer.VM)
}

// replaces reports whether c replaces old in the transport's table. When the
// same side dials a second connection, that side has lost the first one.
func (c *conn) replaces(old *conn) bool {
	if old == nil || old.mux.IsClosed() || old.peer.VM != c.peer.VM {
		return true
	}
	return old.dialled == c.dialled || c.preferred()
}

// open opens a stream that counts as outgoing.
func (c *conn) open() (*Stream, error) {
	if c.outgoing.Add(1) > int64(c.t.cfg.MaxStreams) {
		c.outgoing.Add(-1)
		return nil, ErrTooManyStreams
	}
	raw, err := c.mux.OpenStream()
	if err != nil {
		c.outgoing.Add(-1)
		return nil, err
	}
	c.touch()
	return &Stream{c: c, raw: raw, openStreams: &c.outgoing}, nil
}
