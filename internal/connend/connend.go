// Package connend tells the orderly end of a TCP connection from a reset.
//
// The kernel reports a reset once, to the read or the write that asks first. When a write of the request gets it,
// the next read returns io.EOF, as after an orderly end, and an answer that ends with its connection looks whole.
package connend

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
)

// Detector tells how the peer of one connection has ended it. The zero value is ready. One goroutine may call ReadError
// while another one calls RecordWrite.
type Detector struct {
	reset atomic.Bool
}

// RecordWrite records the error of a write; nil means none.
func (d *Detector) RecordWrite(err error) {
	var errno syscall.Errno
	// EPIPE follows an orderly end, or an error that was reported before.
	if errors.As(err, &errno) && errno != syscall.EPIPE {
		d.reset.Store(true)
	}
}

// ReadError returns the error of a read of conn. In place of io.EOF it is syscall.ECONNRESET in a net.OpError when the
// connection did not end in order. Of a connection that is no socket only the errors of writes tell that.
func (d *Detector) ReadError(conn net.Conn, err error) error {
	if err != io.EOF {
		return err
	}
	// In this order: the writer may close the socket as soon as it has recorded its error, and a closed one has no state.
	if !hasNoPeer(conn) && !d.reset.Load() {
		return err
	}
	return &net.OpError{Op: "read", Net: "tcp", Source: conn.LocalAddr(), Addr: conn.RemoteAddr(), Err: syscall.ECONNRESET}
}
