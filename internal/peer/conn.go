package peer

import (
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
)

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
