package forward

import (
	"io"
	"net/http"
	"time"
)

const (
	// unreadBodyWait is how long an answer waits for the rest of the request's body, which
	// keeps the connection. A body that was sent with its headers arrives within a few
	// round trips.
	unreadBodyWait = 100 * time.Millisecond
	// closeWait bounds how long an answer of the router waits for its caller to read, and
	// the end of a connection whose caller still sends: the caller needs a round trip to
	// read the answer, and then closes.
	closeWait = time.Second
)

// halfCloser is a connection that can end its sending direction alone.
type halfCloser interface {
	CloseWrite() error
}

// discardBody reads what is left of the request's body, so that the connection can carry
// another request. It reports false when the body does not end within unreadBodyWait, is
// broken, or is sent only on request.
func (c *call) discardBody() bool {
	if c.bodyRead || c.r.ContentLength == 0 {
		return true
	}
	if c.r.Header.Get("Expect") != "" {
		// Reading would ask the caller to send the body.
		return false
	}
	end := time.Now().Add(unreadBodyWait)
	if !c.deadline.IsZero() && c.deadline.Before(end) {
		end = c.deadline
	}
	_ = http.NewResponseController(&c.w).SetReadDeadline(end)
	// net/http clears the read deadline at the end of the body.
	_, err := io.Copy(io.Discard, c.r.Body)
	return err == nil
}

// closeUnread sends the answer to a request whose body has not been read, and ends the
// connection. net/http would read on without a deadline, or close the connection with
// unread bytes: that resets it, and the caller may lose the answer.
func (c *call) closeUnread() {
	if !c.unread {
		return
	}
	control := http.NewResponseController(&c.w)
	// An error means that the caller has disconnected; the connection is closed all the same.
	_ = control.Flush()
	conn, _, err := control.Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	if h, ok := conn.(halfCloser); ok {
		_ = h.CloseWrite()
	}
	_ = conn.SetReadDeadline(time.Now().Add(closeWait))
	_, _ = io.Copy(io.Discard, conn)
}
