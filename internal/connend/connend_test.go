package connend

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/testport"
)

// uploadBytes exceeds what both kernels buffer, so that a write waits until the peer ends the connection.
const uploadBytes = 32 << 20

// testWait bounds each exchange.
const testWait = 10 * time.Second

// readWhileWriting connects to a server that sends a part of an answer and then calls end, and returns the error that ends
// the reading of the answer while the request is still written.
func readWhileWriting(t *testing.T, end func(*net.TCPConn)) error {
	t.Helper()
	l, err := net.Listen("tcp", testport.ServerHost()+":0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	go func() {
		server, err := l.Accept()
		if err != nil {
			return
		}
		defer server.Close()
		_, _ = server.Read(make([]byte, 1))
		_, _ = server.Write([]byte("part"))
		end(server.(*net.TCPConn))
	}()
	conn, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(testWait)); err != nil {
		t.Fatal(err)
	}
	var d Detector
	written := make(chan struct{})
	go func() {
		defer close(written)
		_, err := conn.Write(make([]byte, uploadBytes))
		d.RecordWrite(err)
	}()
	defer func() { <-written }()
	defer conn.Close()
	buffer := make([]byte, 16)
	for {
		_, err := conn.Read(buffer)
		if err = d.ReadError(conn, err); err != nil {
			return err
		}
	}
}

// Guards against a reset that a read takes for the end of an answer, because the write of the request was told of it.
func TestResetThatAWriteIsToldOfIsNoEnd(t *testing.T) {
	t.Parallel()
	for range 60 {
		err := readWhileWriting(t, func(server *net.TCPConn) {
			time.Sleep(5 * time.Millisecond)
			_ = server.SetLinger(0)
		})
		if !errors.Is(err, syscall.ECONNRESET) {
			t.Fatalf("read: %v, want a reset", err)
		}
	}
}

// Guards against an orderly end that is taken for a reset while the request is still written, as by a server that
// answers early, ends its side and reads on.
func TestOrderlyEndWhileTheRequestIsWritten(t *testing.T) {
	t.Parallel()
	for range 20 {
		err := readWhileWriting(t, func(server *net.TCPConn) {
			_ = server.CloseWrite()
			_, _ = io.Copy(io.Discard, server)
		})
		if err != io.EOF {
			t.Fatalf("read: %v, want the end of the answer", err)
		}
	}
}

// failing is a connection that is no socket; its addresses are unknown.
type failing struct{ net.Conn }

func (failing) LocalAddr() net.Addr  { return &net.TCPAddr{} }
func (failing) RemoteAddr() net.Addr { return &net.TCPAddr{} }

// Guards against an end that is taken for a reset because of a write that says nothing of the peer's side, and the other way round.
func TestErrorsOfWrites(t *testing.T) {
	t.Parallel()
	cases := map[string]struct {
		write error
		reset bool
	}{
		"none":              {nil, false},
		"reset":             {&net.OpError{Op: "write", Err: syscall.ECONNRESET}, true},
		"peer has vanished": {&net.OpError{Op: "write", Err: syscall.ETIMEDOUT}, true},
		"after the end":     {&net.OpError{Op: "write", Err: syscall.EPIPE}, false},
		"closed here":       {net.ErrClosed, false},
	}
	for name, c := range cases {
		var d Detector
		d.RecordWrite(c.write)
		if got := errors.Is(d.ReadError(failing{}, io.EOF), syscall.ECONNRESET); got != c.reset {
			t.Errorf("%s: reset %v, want %v", name, got, c.reset)
		}
		if d.ReadError(failing{}, nil) != nil || d.ReadError(failing{}, io.ErrUnexpectedEOF) != io.ErrUnexpectedEOF {
			t.Errorf("%s: another result of a read is changed", name)
		}
	}
}
