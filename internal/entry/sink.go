package entry

import (
	"encoding/json"
	"errors"
	"net"
	"net/http"

	"github.com/bluebellwell/bluebellwell/internal/answer"
	"github.com/bluebellwell/bluebellwell/internal/dispatch"
	"github.com/bluebellwell/bluebellwell/internal/framing"
	"github.com/bluebellwell/bluebellwell/internal/intent"
	"github.com/bluebellwell/bluebellwell/internal/peerpb"
)

// responseSink writes an answer to the caller.
type responseSink interface {
	dispatch.Sink
	// started reports whether the status line has been sent.
	started() bool
	// finish ends a complete answer.
	finish() error
	// fail ends an incomplete answer after the status line was sent.
	fail(p Problem) error
}

// setCommonHeaders sets the headers of every answer.
func setCommonHeaders(h http.Header, requestID, placement string) {
	h.Set(HeaderRequestID, requestID)
	if placement == "" {
		return
	}
	h.Set(HeaderPlacement, placement)
	cookie := http.Cookie{
		Name:     CookiePlacement,
		Value:    placement,
		Path:     "/v1/",
		MaxAge:   int(placementCookieLifetime.Seconds()),
		HttpOnly: true,
		SameSite: http.SameSiteLaxMode,
	}
	h.Add("Set-Cookie", cookie.String())
}

// streamSink writes a chat answer as server-sent events.
type streamSink struct {
	w          http.ResponseWriter
	flusher    http.Flusher
	events     *answer.SSEWriter
	requestID  string
	placement  string
	headerSent bool
}

func newStreamSink(w http.ResponseWriter, requestID string) *streamSink {
	flusher, _ := w.(http.Flusher)
	return &streamSink{w: w, flusher: flusher, events: answer.NewSSEWriter(w), requestID: requestID}
}

func (s *streamSink) Frame(f *peerpb.Frame) error {
	if f.Placement != "" {
		s.placement = f.Placement
	}
	if len(f.Payload) == 0 {
		return nil
	}
	s.writeHeader()
	if err := s.events.WriteEvent(nil, f.Payload); err != nil {
		return err
	}
	if s.flusher != nil {
		s.flusher.Flush()
	}
	return nil
}

func (s *streamSink) writeHeader() {
	if s.headerSent {
		return
	}
	s.headerSent = true
	h := s.w.Header()
	setCommonHeaders(h, s.requestID, s.placement)
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-cache")
	s.w.WriteHeader(http.StatusOK)
}

func (s *streamSink) started() bool {
	return s.headerSent
}

func (s *streamSink) finish() error {
	s.writeHeader()
	return s.events.WriteDone()
}

// fail sends the problem as an error event. It sends no [DONE], so that an
// incomplete answer is not taken for a complete one.
func (s *streamSink) fail(p Problem) error {
	data, err := json.Marshal(map[string]Problem{"error": p})
	if err != nil {
		return err
	}
	return s.events.WriteEvent(nil, data)
}

// jsonSink collects a chat answer and writes it as one JSON document.
type jsonSink struct {
	w            http.ResponseWriter
	requestID    string
	model        string
	placement    string
	chunk        answer.Chunk
	text         []byte
	finishReason string
	usage        *answer.Usage
}

func newJSONSink(w http.ResponseWriter, requestID, model string) *jsonSink {
	return &jsonSink{w: w, requestID: requestID, model: model}
}

func (s *jsonSink) Frame(f *peerpb.Frame) error {
	if f.Placement != "" {
		s.placement = f.Placement
	}
	if len(f.Payload) == 0 {
		return nil
	}
	if err := s.chunk.Parse(f.Payload); err != nil {
		return err
	}
	s.text = append(s.text, s.chunk.Text...)
	if s.chunk.FinishReason != "" {
		s.finishReason = s.chunk.FinishReason
	}
	if s.chunk.HasUsage {
		usage := s.chunk.Usage
		s.usage = &usage
	}
	return nil
}

func (s *jsonSink) started() bool {
	return false
}

// completion is the body of a chat answer that is not streamed.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *answer.Usage      `json:"usage,omitempty"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (s *jsonSink) finish() error {
	h := s.w.Header()
	setCommonHeaders(h, s.requestID, s.placement)
	h.Set("Content-Type", "application/json")
	return json.NewEncoder(s.w).Encode(completion{
		ID:     s.requestID,
		Object: "chat.completion",
		Model:  s.model,
		Choices: []completionChoice{{
			Message:      completionMessage{Role: "assistant", Content: string(s.text)},
			FinishReason: s.finishReason,
		}},
		Usage: s.usage,
	})
}

func (s *jsonSink) fail(Problem) error {
	return nil
}

// errNoStatus is returned for the body of an answer that has no status.
var errNoStatus = errors.New("answer has no status")

// rawSink copies the answer of a plain service. It writes nothing before the answer's
// status, since net/http would send a 200 of its own.
type rawSink struct {
	w          http.ResponseWriter
	requestID  string
	headerSent bool
}

func (s *rawSink) Frame(f *peerpb.Frame) error {
	if framing.IsFinal(int(f.Status)) && !s.headerSent {
		s.writeHeader(f)
	}
	if len(f.Payload) == 0 {
		return nil
	}
	if !s.headerSent {
		return errNoStatus
	}
	_, err := s.w.Write(f.Payload)
	return err
}

func (s *rawSink) writeHeader(f *peerpb.Frame) {
	s.headerSent = true
	h := s.w.Header()
	for _, header := range f.Headers {
		// A plain server must not set the router's headers, such as the outcome.
		if !reservedHeaders[http.CanonicalHeaderKey(header.Name)] {
			h.Add(header.Name, header.Value)
		}
	}
	setCommonHeaders(h, s.requestID, "")
	s.w.WriteHeader(int(f.Status))
}

func (s *rawSink) started() bool {
	return s.headerSent
}

func (s *rawSink) finish() error {
	return nil
}

// fail resets the connection: a plain answer cannot carry an error after its status line,
// and a truncated answer must not look complete, as it would to an HTTP/1.0 caller after an
// orderly close.
func (s *rawSink) fail(Problem) error {
	conn, _, err := http.NewResponseController(s.w).Hijack()
	if err == nil {
		if tcp, ok := conn.(*net.TCPConn); ok {
			// An error means that the connection has ended.
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
	panic(http.ErrAbortHandler)
}

// recordingSink stores a copy of a small answer for later requests with the
// same key.
type recordingSink struct {
	responseSink
	status  uint32
	headers []*peerpb.Header
	// body is cut one byte above the size that is stored, so that the guard omits a
	// larger one.
	body []byte
	// writeFailed is set once a write to the caller has failed.
	writeFailed bool
}

func (s *recordingSink) Frame(f *peerpb.Frame) error {
	// The terminal frame repeats the status without headers.
	if framing.IsFinal(int(f.Status)) && s.status == 0 {
		s.status = f.Status
		s.headers = f.Headers
	}
	s.appendBody(f.Payload)
	if !s.writeFailed {
		s.writeFailed = s.responseSink.Frame(f) != nil
	}
	return nil
}

func (s *recordingSink) appendBody(payload []byte) {
	room := intent.MaxBodyBytes + 1 - len(s.body)
	s.body = append(s.body, payload[:min(room, len(payload))]...)
}

// storedHeaders are the response headers stored with an outcome: without the encoding,
// an encoded body would be another one.
var storedHeaders = map[string]bool{"Content-Type": true, "Content-Encoding": true, "Location": true}

// fillOutcome copies the recorded answer into outcome. Chat answers are not
// stored, because the engine stores them.
func (s *recordingSink) fillOutcome(outcome *peerpb.IntentCall) {
	outcome.Status = max(s.status, http.StatusOK)
	if s.status == 0 {
		return
	}
	outcome.Body = s.body
	for _, h := range s.headers {
		if storedHeaders[http.CanonicalHeaderKey(h.Name)] {
			outcome.Headers = append(outcome.Headers, h)
		}
	}
}
