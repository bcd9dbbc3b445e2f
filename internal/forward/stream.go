package forward

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/eventstream"
	"github.com/bluebellwell/bluebellwell/internal/framing"
)

const (
	// streamReadBytes is the size of one read of a stream.
	streamReadBytes = 4 << 10
	// maxHeldBytes bounds the start of an event that is held back until its end
	// arrives.
	maxHeldBytes = 256 << 10
)

var readBuffers = sync.Pool{New: func() any { return new([streamReadBytes]byte) }}

// streamState is how far a stream has been relayed.
type streamState struct {
	// events tracks the events that the servers have sent.
	events eventstream.Scanner
	// held is the start of an event of a resumable stream that is held back until its
	// end arrives.
	held []byte
	// joined is the buffer in which held bytes and those that follow are joined.
	joined []byte
	// resumedAfter is the ID of the last event that the caller had when an engine was asked to continue the stream,
	// from this answer or from the one before which it takes up.
	resumedAfter string
	// counted is set when the IDs of the events before the last attempt were successive numbers.
	counted bool
	// unresumable is set when a part of an event has been relayed, because the event was
	// too large to be held back, and when an engine did not continue where it was asked to.
	unresumable bool
}

// relayStream relays events as they arrive. On a resumable route, and while there is a
// backup of the run, it relays only complete events, so that another engine can continue
// after the last one.
func (c *call) relayStream(ctx context.Context, resp *http.Response, watch *watch) result {
	buffer := readBuffers.Get().(*[streamReadBytes]byte)
	defer readBuffers.Put(buffer)
	c.stream.held = c.stream.held[:0]
	c.stream.resumedAfter = cmp.Or(c.stream.events.LastEventID(), c.takenUpAfter())
	c.stream.noteCounting()
	c.stream.events.Restart()
	for {
		n, err := resp.Body.Read(buffer[:])
		if n > 0 {
			c.attempts.bodyBytes += int64(n)
			c.stream.events.Scan(buffer[:n])
			if c.stream.repeats() || c.takeover.active() && c.stream.skips() {
				c.dropRepeatedEvents()
				return c.classifyBroken(ctx, CauseWrongAnswer)
			}
			if !c.writeStreamData(resp, buffer[:n]) {
				return c.callerLeftResult()
			}
			watch.committed.Store(c.w.started() && !c.canResume())
		}
		if errors.Is(err, io.EOF) {
			return c.endStream(ctx, resp)
		}
		if err != nil {
			return c.classifyBroken(ctx, CauseAnswerBroken)
		}
	}
}

// takenUpAfter returns the ID of the event after which the caller takes the stream up; empty for its start.
func (c *call) takenUpAfter() string {
	if !c.mayBeTakenUp() {
		return ""
	}
	return c.headers.LastEventID
}

// dropRepeatedEvents forgets events of an engine that did not go on where it was asked to. Another engine may still do so when
// the caller has nothing of this answer.
func (c *call) dropRepeatedEvents() {
	if c.w.started() {
		c.stream.unresumable = true
		return
	}
	c.stream.events = eventstream.Scanner{}
}

// repeats reports whether an engine that was to continue the stream began with an event
// that the caller has. IDs rise within a stream.
func (s *streamState) repeats() bool {
	first := s.events.FirstEventID()
	if s.resumedAfter == "" || first == "" {
		return false
	}
	last, err := strconv.ParseUint(s.resumedAfter, 10, 64)
	next, nextErr := strconv.ParseUint(first, 10, 64)
	if err != nil || nextErr != nil {
		return first == s.resumedAfter
	}
	return next <= last
}

// noteCounting notes whether the IDs of the last attempt's events were successive numbers. A single event does not show it.
func (s *streamState) noteCounting() {
	n := s.events.EventsWithID()
	if n == 0 {
		return
	}
	first, err := strconv.ParseUint(s.events.FirstEventID(), 10, 32)
	last, lastErr := strconv.ParseUint(s.events.LastEventID(), 10, 32)
	s.counted = n > 1 && err == nil && lastErr == nil && last-first+1 == uint64(n)
}

// skips reports whether an engine that was to continue a run began after the event that is due, in a stream whose
// events are numbered one by one.
func (s *streamState) skips() bool {
	last, err := strconv.ParseUint(s.resumedAfter, 10, 32)
	first, firstErr := strconv.ParseUint(s.events.FirstEventID(), 10, 32)
	return s.counted && err == nil && firstErr == nil && first > last+1
}

// writeStreamData sends what new bytes of a stream allow to the caller, and reports
// whether the caller is still connected. While nothing can be sent, nothing is flushed:
// that would send headers other than the server's.
func (c *call) writeStreamData(resp *http.Response, data []byte) bool {
	if c.holdsEvents() && !c.stream.unresumable {
		data = c.stream.hold(data)
	}
	if len(data) == 0 {
		return true
	}
	if !c.w.started() {
		c.firstByte = time.Since(c.arrivedAt)
		c.recordVersion()
		c.sendHeaders(resp.StatusCode, resp.Header, endOf(resp).ofStream())
	}
	if _, err := c.w.Write(data); err != nil {
		return false
	}
	c.recordTakeoverPause()
	return http.NewResponseController(&c.w).Flush() == nil
}

// hold returns the events that are complete with data, and holds the rest back. An event
// that was held back may be complete without any byte of data. The result is valid until
// the next call.
func (s *streamState) hold(data []byte) []byte {
	complete := len(s.held) + len(data) - s.events.Open()
	if complete == 0 && len(s.held)+len(data) > maxHeldBytes {
		complete = len(s.held) + len(data)
		s.unresumable = true
	}
	if complete == 0 {
		s.held = append(s.held, data...)
		return nil
	}
	if len(s.held) > 0 {
		s.joined = append(append(s.joined[:0], s.held...), data...)
		data = s.joined
	}
	s.held = append(s.held[:0], data[complete:]...)
	return data[:complete]
}

// endStream handles a stream that the engine has closed without an error.
func (c *call) endStream(ctx context.Context, resp *http.Response) result {
	end := endOf(resp)
	if c.stream.events.Open() > 0 || end.framing == framing.Close && c.attempts.bodyBytes == 0 {
		return c.classifyBroken(ctx, CauseAnswerBroken)
	}
	if !c.w.started() {
		c.sendHeaders(resp.StatusCode, resp.Header, end.ofStream())
	}
	if end.framing == framing.Close && c.sentFraming != framing.Close {
		// Another engine began this answer in chunks. Their end would claim that the
		// stream is complete.
		return c.classifyBroken(ctx, CauseEndUnknown)
	}
	if end.framing == framing.Close && c.endedInRun() {
		return c.brokenUnlessWhole(ctx)
	}
	return c.servedResult()
}

// canResume reports whether another engine can continue the stream.
func (c *call) canResume() bool {
	return c.route.Resumable && !c.stream.unresumable && c.stream.events.Resumable() && fitsHeader(c.stream.events.LastEventID())
}

// fitsHeader reports whether a header carries an event ID unchanged (RFC 9110, section
// 5.5). An engine would continue a stream after another ID, or not get the request.
func fitsHeader(id string) bool {
	isControl := func(r rune) bool { return r < ' ' && r != '\t' || r == 0x7f }
	return strings.Trim(id, " \t") == id && !strings.ContainsFunc(id, isControl)
}
