package engineclient

import (
	"context"
	"errors"
	"io"
	"mime"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"

	"github.com/bluebellwell/bluebellwell/internal/answer"
	"github.com/bluebellwell/bluebellwell/internal/httpsend"
)

const (
	// maxEmptyFrames bounds the sum of frames without text and repeated frames,
	// which MaxAnswerCharacters does not bound.
	maxEmptyFrames = 64 << 10
	// drainTimeout and maxDrainBytes bound the wait for the end of the body after
	// [DONE], which allows the connection to be reused.
	drainTimeout  = 50 * time.Millisecond
	maxDrainBytes = 4 << 10
)

// Request is one attempt at a chat-completions request. Empty fields are not sent.
type Request struct {
	AttemptID string
	RequestID string
	Workspace string
	// PrefixKey names the chat. It must include the workspace when chat ids of
	// different workspaces can be equal.
	PrefixKey string
	// SystemKey names the workspace's shared system prompt.
	SystemKey      string
	Priority       string
	IdempotencyKey string
	Traceparent    string
	// Deadline is the remaining time; 0 means none.
	Deadline time.Duration
	// Body is chat-completions JSON with stream set.
	Body []byte
}

func (r *Request) setHeaders(h http.Header) {
	values := [...]struct{ name, value string }{
		{"X-Attempt-Id", r.AttemptID},
		{"X-Request-Id", r.RequestID},
		{"X-Workspace", r.Workspace},
		{"X-Prefix-Key", r.PrefixKey},
		{"X-System-Key", r.SystemKey},
		{"X-Priority", r.Priority},
		{"Idempotency-Key", r.IdempotencyKey},
		{"Traceparent", r.Traceparent},
	}
	for _, v := range values {
		if v.value != "" {
			h.Set(v.name, v.value)
		}
	}
	if r.Deadline > 0 {
		// An engine reads 0 as no deadline, so a remainder below 1 ms is sent as 1.
		h.Set("X-Deadline-Ms", strconv.FormatInt(max(1, r.Deadline.Milliseconds()), 10))
	}
	h.Set("Accept", "text/event-stream")
}

// Event is one part of an answer. Its slices are valid until the next call of Next.
type Event struct {
	// Offset is the number of characters of the answer before Text.
	Offset int
	Text   []byte
	// Characters is the length of Text in code points.
	Characters int
	// Data is the chunk's JSON as the engine sent it; nil when Done.
	Data         []byte
	FinishReason string
	HasUsage     bool
	Usage        answer.Usage
	// Done is set on the last event of a complete answer.
	Done bool
}

// Stream reads the answer of one attempt. It is not safe for concurrent use, except for Close.
type Stream struct {
	op            string
	cancel        context.CancelCauseFunc
	ctx           context.Context
	body          io.ReadCloser
	sse           *answer.SSEReader
	chunk         answer.Chunk
	timer         clockwork.Timer
	timeout       time.Duration
	offset        int
	finishReason  string
	hasUsage      bool
	maxCharacters int
	droppedFrames int
	emptyFrames   int
	complete      atomic.Bool
	bootID        string
	err           error
}

// Stream starts an attempt. After ErrNotRun the same request may be sent to
// another engine; after ErrMaybeRun the attempt may be running.
func (c *Client) Stream(ctx context.Context, r Request) (*Stream, error) {
	const op = "stream"
	if len(r.Body) > c.opts.MaxRequestBytes {
		return nil, &Error{Op: op, NotRun: true, NotSent: true, Err: ErrTooLarge}
	}
	// net/http could send a request without a body twice.
	if len(r.Body) == 0 {
		return nil, &Error{Op: op, NotRun: true, NotSent: true, Err: ErrEmptyBody}
	}
	return c.open(ctx, op, 0, func(ctx context.Context) (*http.Request, error) {
		req, err := c.newRequest(ctx, http.MethodPost, "/v1/chat/completions", r.Body)
		if err == nil {
			r.setHeaders(req.Header)
		}
		return req, err
	})
}

// Resume reads an attempt's answer from a character offset on. ErrNotFound
// means that the engine does not have the attempt, for instance after a restart.
func (c *Client) Resume(ctx context.Context, attemptID string, offset int) (*Stream, error) {
	path := "/v1/attempts/" + url.PathEscape(attemptID) + "?offset=" + strconv.Itoa(offset)
	return c.open(ctx, "resume", offset, func(ctx context.Context) (*http.Request, error) {
		return c.newRequest(ctx, http.MethodGet, path, nil)
	})
}

func (c *Client) open(ctx context.Context, op string, offset int, build func(context.Context) (*http.Request, error)) (*Stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &Stream{op: op, ctx: ctx, cancel: cancel, offset: offset, timeout: c.opts.FrameTimeout, maxCharacters: c.opts.MaxAnswerCharacters}
	req, err := build(ctx)
	if err != nil {
		cancel(nil)
		return nil, &Error{Op: op, NotRun: true, NotSent: true, Err: err}
	}
	s.timer = c.opts.Clock.AfterFunc(c.opts.HeaderTimeout, func() { cancel(ErrTimeout) })
	resp, exchange, err := httpsend.Send(c.transport, req)
	if err != nil {
		err = &Error{Op: op, NotRun: exchange.NotSent, NotSent: exchange.NotSent, Err: eris.Wrap(s.cause(err), "round trip")}
		s.Close()
		return nil, err
	}
	s.timer.Stop()
	s.body = resp.Body
	if err := checkResponse(op, resp); err != nil {
		s.Close()
		return nil, err
	}
	s.bootID = resp.Header.Get("X-Boot-Id")
	s.sse = answer.NewSSEReader(resp.Body, answer.SSELimits{})
	return s, nil
}

func checkResponse(op string, resp *http.Response) error {
	if resp.StatusCode != http.StatusOK {
		return responseError(op, resp)
	}
	mediaType, _, err := mime.ParseMediaType(resp.Header.Get("Content-Type"))
	if err != nil || mediaType != "text/event-stream" {
		return &Error{Op: op, Status: resp.StatusCode, Err: eris.Wrap(ErrProtocol, "answer is not an event stream")}
	}
	return nil
}

// cause returns the cause of a cancellation instead of the error that followed
// from it.
func (s *Stream) cause(err error) error {
	if c := context.Cause(s.ctx); c != nil {
		return c
	}
	return err
}

// BootID returns the engine's boot id at the start of the stream, if it sent one.
func (s *Stream) BootID() string {
	return s.bootID
}

// Offset returns the number of characters of the answer read so far. It is the
// offset for Resume.
func (s *Stream) Offset() int {
	return s.offset
}

// Dropped returns how many repeated frames were dropped.
func (s *Stream) Dropped() int {
	return s.droppedFrames
}

// Close stops reading. The engine continues the attempt; use Cancel to end it.
func (s *Stream) Close() {
	s.timer.Stop()
	if s.complete.Load() {
		s.timer.Reset(drainTimeout)
		_, _ = io.CopyN(io.Discard, s.body, maxDrainBytes)
		s.timer.Stop()
	}
	s.cancel(context.Canceled)
	if s.body != nil {
		_ = s.body.Close()
	}
}

// Next returns the next event. After the event with Done it returns io.EOF. Any
// other error means that the answer is incomplete; it can be resumed at Offset
// while the engine stores the attempt. Every later call returns the same error.
func (s *Stream) Next() (Event, error) {
	// The timer runs only while this call waits, so that a slow caller of Next
	// does not cause a timeout of the engine.
	defer s.timer.Stop()
	for s.err == nil {
		s.timer.Reset(s.timeout)
		sse, err := s.sse.Next()
		if err != nil {
			s.fail(s.cause(err))
			break
		}
		e, isNew, err := s.accept(sse)
		if err != nil {
			s.fail(err)
			break
		}
		if isNew {
			return e, nil
		}
		s.droppedFrames++
	}
	return Event{}, s.err
}

func (s *Stream) fail(err error) {
	if isProtocolError(err) {
		err = eris.Wrap(ErrProtocol, err.Error())
	}
	s.err = &Error{Op: s.op, Status: http.StatusOK, Err: err}
}

// isProtocolError reports whether the engine sent invalid data. A truncated
// stream is not a protocol error.
func isProtocolError(err error) bool {
	return errors.Is(err, answer.ErrBadJSON) || errors.Is(err, answer.ErrTooDeep) ||
		errors.Is(err, answer.ErrInvalidUTF8) || errors.Is(err, answer.ErrLineTooLong) ||
		errors.Is(err, answer.ErrEventTooLarge)
}

// accept checks an event against the offset. It returns false for a repeated frame.
func (s *Stream) accept(sse answer.Event) (Event, bool, error) {
	if sse.Done {
		return s.finish()
	}
	if err := s.chunk.Parse(sse.Data); err != nil {
		return Event{}, false, err
	}
	if s.chunk.HasError {
		return Event{}, false, ErrEngine
	}
	if err := s.checkLimits(); err != nil {
		return Event{}, false, err
	}
	at, err := s.frameOffset(sse.ID)
	if err != nil {
		return Event{}, false, err
	}
	switch {
	case at < s.offset && at+s.chunk.Characters <= s.offset:
		return Event{}, false, nil
	case at != s.offset:
		return Event{}, false, eris.Wrapf(ErrProtocol, "frame at offset %d, expected %d", at, s.offset)
	case s.finishReason != "" && s.chunk.Characters > 0:
		return Event{}, false, eris.Wrap(ErrProtocol, "text after the finish reason")
	case s.repeatsEnd():
		return Event{}, false, nil
	}
	return s.advance(sse.Data), true, nil
}

// checkLimits bounds the text and the frames without text, so that an engine
// cannot keep a stream open forever.
func (s *Stream) checkLimits() error {
	if s.chunk.Characters == 0 {
		s.emptyFrames++
	}
	if s.emptyFrames+s.droppedFrames > maxEmptyFrames || s.offset+s.chunk.Characters > s.maxCharacters {
		return eris.Wrap(ErrProtocol, "answer exceeds the limit")
	}
	return nil
}

// frameOffset reads the offset that the engine sends as the event's id. An
// engine that sends no id is assumed to send each frame once.
func (s *Stream) frameOffset(id []byte) (int, error) {
	if len(id) == 0 {
		return s.offset, nil
	}
	at, err := strconv.Atoi(string(id))
	if err != nil || at < 0 {
		return 0, eris.Wrap(ErrProtocol, "event id is not an offset")
	}
	return at, nil
}

// repeatsEnd reports whether the chunk only repeats the finish reason or the usage.
func (s *Stream) repeatsEnd() bool {
	c := &s.chunk
	if c.FinishReason != "" {
		return s.finishReason != ""
	}
	return c.HasUsage && s.hasUsage && c.Characters == 0
}

func (s *Stream) advance(data []byte) Event {
	c := &s.chunk
	e := Event{
		Offset:       s.offset,
		Text:         c.Text,
		Characters:   c.Characters,
		Data:         data,
		FinishReason: c.FinishReason,
		HasUsage:     c.HasUsage,
		Usage:        c.Usage,
	}
	s.offset += c.Characters
	s.hasUsage = s.hasUsage || c.HasUsage
	if c.FinishReason != "" {
		s.finishReason = c.FinishReason
	}
	return e
}

func (s *Stream) finish() (Event, bool, error) {
	if s.finishReason == "" {
		return Event{}, false, eris.Wrap(ErrProtocol, "[DONE] without a finish reason")
	}
	s.err = io.EOF
	s.complete.Store(true)
	return Event{Offset: s.offset, Done: true}, true, nil
}
