package httpsend

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"
)

// Guards against a request that is reported as not sent and written later.
func TestSealedConnectionWritesNothing(t *testing.T) {
	client, server := net.Pipe()
	c := &conn{Conn: client}
	if !c.sealUnwritten(0) {
		t.Fatal("unwritten connection was not sealed")
	}
	if _, err := c.Write([]byte("x")); !errors.Is(err, errSealed) {
		t.Errorf("write on a sealed connection: got %v, want errSealed", err)
	}
	_ = client.Close()
	if got, _ := io.ReadAll(server); len(got) != 0 {
		t.Errorf("the server read %q, want nothing", got)
	}
}

// Guards against a failed write that is not counted although it may have sent a
// part.
func TestFailedWriteCountsAsWritten(t *testing.T) {
	client, server := net.Pipe()
	_ = server.Close()
	c := &conn{Conn: client}
	if _, err := c.Write([]byte("x")); err == nil {
		t.Fatal("write to a closed connection succeeded")
	}
	if c.sealUnwritten(0) {
		t.Error("a connection with a failed write counts as unwritten")
	}
}

// twoConns is a transport that writes a request to one connection, switches to a
// second one and fails, as net/http does when it repeats a request.
type twoConns struct{ first, second *conn }

func (c twoConns) RoundTrip(req *http.Request) (*http.Response, error) {
	trace := httptrace.ContextClientTrace(req.Context())
	trace.GotConn(httptrace.GotConnInfo{Conn: c.first})
	_, _ = c.first.Write([]byte("x"))
	trace.GotConn(httptrace.GotConnInfo{Conn: c.second})
	return nil, io.ErrUnexpectedEOF
}

// Guards against a request that counts as not sent because its last connection
// was not written, although an earlier one was.
func TestWriteOnEarlierConnectionCounts(t *testing.T) {
	a, peer := net.Pipe()
	_ = peer.Close()
	b, _ := net.Pipe()
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://127.0.0.1/", Body(strings.NewReader("x")))
	if err != nil {
		t.Fatal(err)
	}
	if req.GetBody != nil {
		t.Error("net/http can rewind the body")
	}
	if _, x, err := Send(twoConns{&conn{Conn: a}, &conn{Conn: b}}, req); err == nil || x.NotSent {
		t.Errorf("reported as not sent: %v, error %v; want sent and an error", x.NotSent, err)
	}
}

// unsentError is the error of a connection that has sent nothing and never will.
type unsentError struct{ nothing bool }

func (unsentError) Error() string       { return "stops" }
func (e unsentError) NothingSent() bool { return e.nothing }

// refusingConn fails each write.
type refusingConn struct {
	net.Conn
	err error
}

func (c refusingConn) Write([]byte) (int, error) { return 0, c.err }

// Guards against an unknown outcome of a request of which its connection states that nothing was sent, and against trust in an
// error that does not state it.
func TestWriteThatStatesThatNothingWasSentDoesNotCount(t *testing.T) {
	for _, nothing := range []bool{true, false} {
		c := &conn{Conn: refusingConn{err: unsentError{nothing}}}
		if _, err := c.Write([]byte("x")); err == nil {
			t.Fatal("the write succeeded")
		}
		if got := c.sealUnwritten(0); got != nothing {
			t.Errorf("unwritten: %v, want %v", got, nothing)
		}
	}
}
