package tunnel

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"

	"github.com/hashicorp/yamux"
)

// errCarrierEnded is returned by reads when the carrier, or the way to it, has ended before the
// server's side has.
var errCarrierEnded = errors.New("tunnel: the router that carries the connection has ended")

// carrierStops is the error of a write that would begin an exchange. No byte of it is sent.
type carrierStops struct{}

// Error returns the cause.
func (carrierStops) Error() string { return "tunnel: the router that carries the connection stops" }

// NothingSent tells package httpsend that the request may be sent elsewhere.
func (carrierStops) NothingSent() bool { return true }

// Conn is a connection to a server through another router. As with net.Conn, one goroutine may
// read while another one writes.
type Conn struct {
	*yamux.Stream

	carrier netip.Addr
	r       *bufio.Reader
	buffer  []byte
	// pending is what has been received and not read yet.
	pending []byte
	ended   error
	out     []byte
	onClose func()
	// stops is set once the carrier has said that it stops, and answered while nothing has been written since the
	// server's last bytes.
	stops, answered atomic.Bool
}

func newConn(stream *yamux.Stream, carrier netip.Addr, onClose func()) *Conn {
	return &Conn{
		Stream: stream, carrier: carrier, r: bufio.NewReader(stream), buffer: make([]byte, maxFrameBytes), onClose: onClose,
	}
}

// Via returns the address of the other router.
func (c *Conn) Via() string { return c.carrier.String() }

// Read reads what the server has sent. The end of the carrier is an error.
func (c *Conn) Read(p []byte) (int, error) {
	for len(c.pending) == 0 {
		if c.ended != nil {
			return 0, c.ended
		}
		c.receive()
	}
	c.answered.Store(true)
	n := copy(p, c.pending)
	c.pending = c.pending[n:]
	return n, nil
}

func (c *Conn) receive() {
	f, err := readFrame(c.r, c.buffer)
	switch {
	case errors.Is(err, net.ErrClosed), errors.Is(err, yamux.ErrTimeout):
		c.ended = err
	case err != nil:
		c.ended = errCarrierEnded
	case f.end == closed:
		c.ended = io.EOF
	case f.end != notEnded:
		c.ended = &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
	}
	c.pending = f.data
	if f.stops {
		c.stops.Store(true)
	}
}

// Write sends p to the server. It sends nothing of a further request when the carrier stops: a planned stop would cut the
// answer.
func (c *Conn) Write(p []byte) (int, error) {
	if c.answered.Swap(false) && c.stops.Load() {
		c.answered.Store(true)
		return 0, carrierStops{}
	}
	sent := 0
	for sent < len(p) {
		part := p[sent:min(len(p), sent+dataBytes)]
		c.out = (&frame{data: part}).append(c.out[:0])
		if _, err := c.Stream.Write(c.out); err != nil {
			return sent, err
		}
		sent += len(part)
	}
	return sent, nil
}

// Close closes the connection on both sides.
func (c *Conn) Close() error {
	err := c.Stream.Close()
	c.onClose()
	return err
}
