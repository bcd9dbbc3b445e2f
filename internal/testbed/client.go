package testbed

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bluebellwell/bluebellwell/internal/answer"
	"github.com/bluebellwell/bluebellwell/internal/entry"
	"github.com/bluebellwell/bluebellwell/internal/standin/enginesim"
)

// Chat is one chat request of a caller.
type Chat struct {
	Workspace string
	ChatID    string
	Model     string
	// System is the system prompt; it may be empty.
	System    string
	Prompt    string
	MaxTokens int
	Priority  string
	Placement string
	Deadline  time.Duration
}

// ExpectedAnswer returns the text that an engine stand-in without a salt
// generates for the chat.
func (c Chat) ExpectedAnswer() string {
	return c.ExpectedSaltedAnswer("")
}

// ExpectedSaltedAnswer returns the text that an engine stand-in with the given
// salt generates for the chat.
func (c Chat) ExpectedSaltedAnswer(salt string) string {
	var messages []answer.Message
	for _, m := range c.messages() {
		content, err := json.Marshal(m.Content)
		if err != nil {
			return ""
		}
		messages = append(messages, answer.Message{Role: m.Role, Content: content})
	}
	return enginesim.SaltedAnswer(salt, enginesim.Prompt(messages), c.MaxTokens)
}

func (c Chat) messages() []chatMessage {
	var list []chatMessage
	if c.System != "" {
		list = append(list, chatMessage{Role: "system", Content: c.System})
	}
	return append(list, chatMessage{Role: "user", Content: c.Prompt})
}

// Reply is the complete or partial answer that a caller received.
type Reply struct {
	Status    int
	Outcome   string
	Code      string
	Detail    string
	RequestID string
	Placement string
	Text      string
	// Complete is set after the end marker of a stream, or when the whole body of
	// a plain service's answer was read.
	Complete bool
	Usage    answer.Usage
	// FirstToken and Total are times since the request was sent.
	FirstToken time.Duration
	Total      time.Duration
	RetryAfter time.Duration
	Replayed   bool
}

// Caller sends requests to routers. It is safe for concurrent use.
type Caller struct {
	http *http.Client
}

// NewCaller returns a caller with its own connections.
func NewCaller() *Caller {
	return &Caller{http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     30 * time.Second,
	}}}
}

// Close closes idle connections.
func (c *Caller) Close() {
	c.http.CloseIdleConnections()
}

type chatBody struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens,omitempty"`
	Messages  []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Send streams a chat through the router at addr.
func (c *Caller) Send(ctx context.Context, addr string, chat Chat) (Reply, error) {
	body, err := json.Marshal(chatBody{
		Model: chat.Model, Stream: true, MaxTokens: chat.MaxTokens,
		Messages: chat.messages(),
	})
	if err != nil {
		return Reply{}, eris.Wrap(err, "encode chat")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return Reply{}, eris.Wrap(err, "build chat request")
	}
	req.Header.Set("Content-Type", "application/json")
	setHeader(req.Header, entry.HeaderWorkspace, chat.Workspace)
	setHeader(req.Header, entry.HeaderChat, chat.ChatID)
	setHeader(req.Header, entry.HeaderPriority, chat.Priority)
	setHeader(req.Header, entry.HeaderPlacement, chat.Placement)
	if chat.Deadline > 0 {
		req.Header.Set(entry.HeaderDeadline, strconv.FormatInt(chat.Deadline.Milliseconds(), 10))
	}
	return c.streamAnswer(req)
}

// Resume requests the rest of an answer, starting at a character offset.
func (c *Caller) Resume(ctx context.Context, addr, workspace, requestID string, offset int) (Reply, error) {
	url := "http://" + addr + "/v1/answers/" + requestID + "?offset=" + strconv.Itoa(offset)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return Reply{}, eris.Wrap(err, "build resume request")
	}
	setHeader(req.Header, entry.HeaderWorkspace, workspace)
	return c.streamAnswer(req)
}

func setHeader(h http.Header, name, value string) {
	if value != "" {
		h.Set(name, value)
	}
}

func (c *Caller) streamAnswer(req *http.Request) (Reply, error) {
	sent := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return Reply{}, eris.Wrap(err, "send request")
	}
	defer func() { _ = resp.Body.Close() }()
	r := newReply(resp)
	if resp.StatusCode != http.StatusOK {
		err := r.readProblem(resp.Body)
		r.Total = time.Since(sent)
		return r, err
	}
	err = r.readEvents(resp.Body, sent)
	r.Total = time.Since(sent)
	return r, err
}

func newReply(resp *http.Response) Reply {
	return Reply{
		Status:    resp.StatusCode,
		Outcome:   resp.Header.Get(entry.HeaderOutcome),
		RequestID: resp.Header.Get(entry.HeaderRequestID),
		Placement: resp.Header.Get(entry.HeaderPlacement),
		Replayed:  resp.Header.Get("X-Replayed") == "true",
	}
}

func (r *Reply) readProblem(body io.Reader) error {
	var p entry.Problem
	if err := json.NewDecoder(body).Decode(&p); err != nil {
		return eris.Wrapf(err, "decode problem with status %d", r.Status)
	}
	r.Outcome = p.Outcome
	r.Code = p.Code
	r.Detail = p.Detail
	r.RetryAfter = time.Duration(p.RetryAfterMs) * time.Millisecond
	return nil
}

// readEvents reads a stream. If the connection breaks, it returns an error and
// keeps the text received so far; an error event sets the outcome.
func (r *Reply) readEvents(body io.Reader, sent time.Time) error {
	reader := answer.NewSSEReader(body, answer.SSELimits{})
	var chunk answer.Chunk
	for {
		ev, err := reader.Next()
		if errors.Is(err, io.EOF) || err != nil {
			return err
		}
		if ev.Done {
			r.Complete = true
			r.Outcome = entry.OutcomeDone
			return nil
		}
		if err := chunk.Parse(ev.Data); err != nil {
			return eris.Wrap(err, "parse chunk")
		}
		if chunk.HasError {
			r.Outcome = entry.OutcomeIncomplete
			return nil
		}
		if r.FirstToken == 0 && chunk.Characters > 0 {
			r.FirstToken = time.Since(sent)
		}
		r.Text += string(chunk.Text)
		if chunk.HasUsage {
			r.Usage = chunk.Usage
		}
	}
}

// Call is one request to a plain service.
type Call struct {
	Workspace string
	Pool      string
	Method    string
	Path      string
	Body      string
	// Key is the idempotency key and Issued the time at which it was issued.
	Key    string
	Issued time.Time
}

// Do sends a request to a plain service through the router at addr.
func (c *Caller) Do(ctx context.Context, addr string, call Call) (Reply, error) {
	url := "http://" + addr + "/services/" + call.Pool + call.Path
	req, err := http.NewRequestWithContext(ctx, call.Method, url, bytes.NewReader([]byte(call.Body)))
	if err != nil {
		return Reply{}, eris.Wrap(err, "build service request")
	}
	setHeader(req.Header, entry.HeaderWorkspace, call.Workspace)
	setHeader(req.Header, entry.HeaderIdempotencyKey, call.Key)
	if !call.Issued.IsZero() {
		req.Header.Set(entry.HeaderKeyIssued, call.Issued.UTC().Format(time.RFC3339))
	}
	sent := time.Now()
	resp, err := c.http.Do(req)
	if err != nil {
		return Reply{}, eris.Wrap(err, "send request")
	}
	defer func() { _ = resp.Body.Close() }()
	r := newReply(resp)
	defer func() { r.Total = time.Since(sent) }()
	if resp.Header.Get("Content-Type") == "application/problem+json" {
		err := r.readProblem(resp.Body)
		return r, err
	}
	body, err := io.ReadAll(resp.Body)
	r.Text = string(body)
	r.Complete = err == nil
	if r.Complete {
		r.Outcome = entry.OutcomeDone
	}
	return r, err
}
