// Package peermux configures yamux for the connections between router daemons. It does no I/O of its
// own.
package peermux

import (
	"encoding/binary"
	"net"
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

// logger writes messages of yamux to the event log.
type logger struct{ events *event.Logger }

func (l logger) Print(v ...any)                 { l.events.Emit(event.PeerMuxMessage, "message", v) }
func (l logger) Println(v ...any)               { l.Print(v...) }
func (l logger) Printf(format string, v ...any) { l.Print(append([]any{format}, v...)...) }

// Config returns a configuration without keepalives: heartbeats monitor the
// peers, and pings on each connection would add control traffic.
func Config(events *event.Logger) *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false
	c.AcceptBacklog = acceptBacklog
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = streamOpenTimeout
	c.StreamCloseTimeout = halfCloseTimeout
	c.LogOutput = nil
	c.Logger = logger{events}
	return c
}

const (
	headerBytes = 12
	typeData    = 0
)

// CoalescingConn writes the header and the body of a yamux data frame together.
// yamux writes them separately, which costs a second TCP segment for each
// message when Nagle's algorithm is off. yamux writes from one goroutine, which is the only
// one that may use it.
type CoalescingConn struct {
	net.Conn
	buf []byte
}

func (c *CoalescingConn) Write(p []byte) (int, error) {
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
	return len(p) == headerBytes && p[1] == typeData && binary.BigEndian.Uint32(p[8:]) > 0
}
