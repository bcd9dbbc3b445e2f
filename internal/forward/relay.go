package forward

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/balance"
	"github.com/bluebellwell/bluebellwell/internal/eventstream"
)

const (
	// bufferedAnswerBytes is the size up to which an answer is buffered until it is
	// complete, so that another attempt can replace a broken one.
	bufferedAnswerBytes = 128 << 10
	// streamReadBytes is the size of one read of a stream.
	streamReadBytes = 4 << 10
	// maxEventBytes bounds one event of a resumable stream.
	maxEventBytes = 256 << 10
)

var readBuffers = sync.Pool{New: func() any { return new([streamReadBytes]byte) }}

// relayPlain relays an answer that is not a stream.
func (c *call) relayPlain(ctx context.Context, resp *http.Response, watch *watch) result {
	body, err := io.ReadAll(io.LimitReader(resp.Body, bufferedAnswerBytes+1))
	c.attempts.bodyBytes = int64(len(body))
	if err != nil {
		return c.classifyBroken(ctx, false)
	}
	watch.recordProgress()
	c.firstByte = time.Since(c.arrivedAt)
	if c.r.Method == http.MethodHead {
		c.sendHeaders(resp.StatusCode, resp.Header, resp.ContentLength)
		return c.servedResult()
	}
	if len(body) <= bufferedAnswerBytes {
		c.sendHeaders(resp.StatusCode, resp.Header, int64(len(body)))
		if _, err := c.w.Write(body); err != nil {
			return c.callerLeftResult()
		}
		return c.servedResult()
	}
	c.sendHeaders(resp.StatusCode, resp.Header, resp.ContentLength)
	if _, err := c.w.Write(body); err != nil {
		return c.callerLeftResult()
	}
	n, err := io.Copy(c.w, resp.Body)
	c.attempts.bodyBytes += n
	if err != nil {
		return c.classifyBroken(ctx, true)
	}
	return c.servedResult()
}

// streamState is how far a stream has been relayed.
type streamState struct {
	// lastEventID is the ID of the last complete event that was sent to the caller.
	lastEventID string
	// pending is the start of an event whose end has not arrived.
	pending []byte
	// events tracks the events that the servers have sent.
	events eventstream.Scanner
}

// relayStream relays events as they arrive. On a resumable route it relays only
// complete events, so that another engine can continue after the last one.
func (c *call) relayStream(ctx context.Context, resp *http.Response, watch *watch) result {
	buffer := readBuffers.Get().(*[streamReadBytes]byte)
	defer readBuffers.Put(buffer)
	flush := http.NewResponseController(c.w)
	c.stream.pending = c.stream.pending[:0]
	c.stream.events.Restart()
	for {
		n, err := resp.Body.Read(buffer[:])
		if n > 0 {
			watch.recordProgress()
			c.attempts.bodyBytes += int64(n)
			c.stream.events.Scan(buffer[:n])
			if !c.writeStreamData(resp, buffer[:n]) {
				return c.callerLeftResult()
			}
			if flushErr := flush.Flush(); flushErr != nil {
				return c.callerLeftResult()
			}
		}
		if errors.Is(err, io.EOF) {
			return c.endStream(ctx, resp)
		}
		if err != nil {
			return c.classifyBroken(ctx, c.headerSent)
		}
	}
}

// writeStreamData writes new bytes of a stream to the caller, and reports whether
// the caller is still connected.
func (c *call) writeStreamData(resp *http.Response, data []byte) bool {
	if c.route.Resumable {
		data = c.completeEvents(data)
	}
	if len(data) == 0 {
		return true
	}
	if !c.headerSent {
		c.firstByte = time.Since(c.arrivedAt)
		c.sendHeaders(resp.StatusCode, resp.Header, resp.ContentLength)
	}
	_, err := c.w.Write(data)
	return err == nil
}

var (
	eventEnd = []byte("\n\n")
	idField  = []byte("id:")
)

// completeEvents returns the events that data completes, and keeps the rest for
// the next call.
func (c *call) completeEvents(data []byte) []byte {
	s := &c.stream
	s.pending = append(s.pending, data...)
	end := bytes.LastIndex(s.pending, eventEnd)
	if end < 0 {
		return nil
	}
	end += len(eventEnd)
	complete := bytes.Clone(s.pending[:end])
	s.pending = append(s.pending[:0], s.pending[end:]...)
	if id := lastID(complete); id != "" {
		s.lastEventID = id
	}
	return complete
}

// lastID returns the ID of the last event in events that has one.
func lastID(events []byte) string {
	id := ""
	for line := range bytes.SplitSeq(events, []byte("\n")) {
		if v, ok := bytes.CutPrefix(line, idField); ok {
			id = string(bytes.TrimSpace(v))
		}
	}
	return id
}

// endStream handles a stream that the engine has closed without an error. Bytes
// after the last complete event mean that the stream is truncated.
func (c *call) endStream(ctx context.Context, resp *http.Response) result {
	if len(c.stream.pending) > 0 {
		return c.classifyBroken(ctx, c.headerSent)
	}
	if !c.headerSent {
		c.sendHeaders(resp.StatusCode, resp.Header, 0)
	}
	return c.servedResult()
}

// classifyBroken classifies an answer that ended early. When the caller has the
// start of it and no engine can continue, the outcome is OutcomeCut, which closes
// the caller's connection so that the answer does not look complete.
func (c *call) classifyBroken(ctx context.Context, started bool) result {
	res := result{outcome: balance.Failed, cause: CauseAnswerBroken, mayHaveRun: true}
	switch {
	case c.r.Context().Err() != nil:
		return c.callerLeftResult()
	case errors.Is(context.Cause(ctx), errSilent):
		res.cause = CauseServerSilent
	case ctx.Err() != nil:
		res.cause = CauseDeadline
		// The deadline of the request has passed; the server may be healthy.
		res.outcome = balance.Cancelled
	}
	if started && !c.canResume() {
		c.outcome, c.cause = OutcomeCut, res.cause
		res.done = true
	}
	return res
}

// canResume reports whether another engine can continue the stream.
func (c *call) canResume() bool {
	return c.route.Resumable && c.stream.lastEventID != "" && len(c.stream.pending) <= maxEventBytes
}

func (c *call) callerLeftResult() result {
	c.recordCallerLeft()
	return result{done: true, outcome: balance.Cancelled, cause: CauseCallerLeft, mayHaveRun: true}
}

func (c *call) servedResult() result {
	c.outcome = OutcomeServed
	return result{done: true, outcome: balance.Served, mayHaveRun: true}
}

// statusLabel returns the class of a status, such as 2xx, for metrics.
func statusLabel(status int) string {
	if status == 0 {
		return "none"
	}
	return strconv.Itoa(status/100) + "xx"
}
