// Package backend is the HTTP client of one plain backend server. It never
// sends a non-repeatable request twice, and its errors state whether any byte
// of a request can have left this host.
package backend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bluebellwell/bluebellwell/internal/framing"
	"github.com/bluebellwell/bluebellwell/internal/httpsend"
)

// Defaults of Options.
const (
	defaultDialTimeout     = 500 * time.Millisecond
	defaultTimeout         = 60 * time.Second
	defaultMaxRequestBytes = 4 << 20
	defaultMaxAnswerBytes  = 4 << 20
	maxHeaderBytes         = 64 << 10
	maxIdleConnections     = 64
	// idleTimeout is short, so that the client closes an idle connection before
	// the server does.
	idleTimeout = 20 * time.Second
)

// Sentinel errors for errors.Is. Every error of Do is an *Error, which matches
// exactly one of ErrNotSent and ErrMaybeRun.
var (
	// ErrNotSent means that no byte of the request was or will be written.
	ErrNotSent = errors.New("request was not sent")
	// ErrMaybeRun means that the server may have run the request.
	ErrMaybeRun = errors.New("request may have run")
	// ErrTooLarge means that the request or the answer exceeds its limit.
	ErrTooLarge = errors.New("size limit exceeded")
	// ErrInvalid means that the request cannot be expressed in HTTP.
	ErrInvalid = errors.New("request is not valid")
	// ErrProtocol means that the server sent an answer that cannot be passed on.
	ErrProtocol = errors.New("server violated the protocol")
)

// Error describes a failed request.
type Error struct {
	NotSent bool
	Err     error
}

// Error describes the failure and whether the request was sent.
func (e *Error) Error() string {
	certainty := ErrMaybeRun
	if e.NotSent {
		certainty = ErrNotSent
	}
	return fmt.Sprintf("backend server: %v (%v)", e.Err, certainty)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Is matches ErrNotSent or ErrMaybeRun.
func (e *Error) Is(target error) bool {
	return target == ErrNotSent && e.NotSent || target == ErrMaybeRun && !e.NotSent
}

// Options configures a client. A zero field takes its default.
type Options struct {
	// BaseURL is the server's address, such as http://127.0.0.1:8000, without a path.
	BaseURL     string
	DialTimeout time.Duration
	// Timeout bounds a request; the context's deadline may be earlier.
	Timeout time.Duration
	// MaxRequestBytes and MaxAnswerBytes are body sizes.
	MaxRequestBytes int
	MaxAnswerBytes  int
}

// Request is one attempt at a request to a plain service.
type Request struct {
	Method string
	// Path is the path with its query, starting with a slash.
	Path string
	// Header holds the caller's headers. Hop-by-hop headers and those that the
	// router sets itself are left out.
	Header http.Header
	Body   []byte
	// Repeatable allows net/http to reuse a connection, on which it may repeat a
	// request that has no body and an idempotent method.
	Repeatable     bool
	AttemptID      string
	IdempotencyKey string
	// Fencing is the fencing number of a non-repeatable request; 0 means none.
	Fencing uint64
}

// Answer is the server's answer, of any status.
type Answer struct {
	Status int
	// Header has no hop-by-hop headers.
	Header http.Header
	Body   []byte
}

// Client calls one server. It is safe for concurrent use.
type Client struct {
	opts             Options
	reuseTransport   *http.Transport
	noReuseTransport *http.Transport
}

// New returns a client. It opens no connection.
func New(o Options) *Client {
	if o.DialTimeout <= 0 {
		o.DialTimeout = defaultDialTimeout
	}
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	if o.MaxRequestBytes <= 0 {
		o.MaxRequestBytes = defaultMaxRequestBytes
	}
	if o.MaxAnswerBytes <= 0 {
		o.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	t := httpsend.Options{
		DialTimeout:         o.DialTimeout,
		MaxHeaderBytes:      maxHeaderBytes,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleTimeout:         idleTimeout,
	}
	c := &Client{opts: o, reuseTransport: httpsend.NewTransport(t)}
	t.NoConnReuse = true
	c.noReuseTransport = httpsend.NewTransport(t)
	return c
}

// Close closes idle connections. Requests in progress continue.
func (c *Client) Close() {
	c.reuseTransport.CloseIdleConnections()
}

// Do sends a request once and returns the answer. It follows no redirect.
func (c *Client) Do(ctx context.Context, r Request) (*Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, c.opts.Timeout)
	defer cancel()
	req, err := c.newRequest(ctx, r)
	if err != nil {
		return nil, &Error{NotSent: true, Err: err}
	}
	transport := c.noReuseTransport
	if r.Repeatable {
		transport = c.reuseTransport
	}
	resp, exchange, err := httpsend.Send(transport, req)
	if err != nil {
		return nil, &Error{NotSent: exchange.NotSent, Err: eris.Wrap(err, "round trip")}
	}
	defer func() { _ = resp.Body.Close() }()
	a, err := c.readAnswer(resp)
	if err != nil {
		return nil, &Error{Err: err}
	}
	return a, nil
}

func (c *Client) readAnswer(resp *http.Response) (*Answer, error) {
	if !framing.IsFinal(resp.StatusCode) {
		return nil, eris.Wrapf(ErrProtocol, "status %d", resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, int64(c.opts.MaxAnswerBytes)+1))
	if err != nil {
		return nil, eris.Wrap(err, "read the answer")
	}
	if len(body) > c.opts.MaxAnswerBytes {
		return nil, eris.Wrapf(ErrTooLarge, "answer exceeds %d bytes", c.opts.MaxAnswerBytes)
	}
	if framing.Of(resp) == framing.Close {
		return nil, eris.Wrap(ErrProtocol, "the answer has no length and may be incomplete")
	}
	return &Answer{Status: resp.StatusCode, Header: endToEndHeaders(resp.Header), Body: body}, nil
}

func (c *Client) newRequest(ctx context.Context, r Request) (*http.Request, error) {
	if len(r.Body) > c.opts.MaxRequestBytes {
		return nil, eris.Wrapf(ErrTooLarge, "request exceeds %d bytes", c.opts.MaxRequestBytes)
	}
	targetURL, err := c.targetURL(r.Path)
	if err != nil {
		return nil, err
	}
	if r.Method == "" || r.Method == http.MethodConnect {
		return nil, eris.Wrap(ErrInvalid, "method")
	}
	var body io.Reader
	if len(r.Body) > 0 {
		body = httpsend.Body(bytes.NewReader(r.Body))
	}
	req, err := http.NewRequestWithContext(ctx, r.Method, targetURL, body)
	if err != nil {
		return nil, eris.Wrapf(ErrInvalid, "build: %v", err)
	}
	req.ContentLength = int64(len(r.Body))
	req.Header = c.requestHeader(r)
	return req, nil
}

// targetURL appends the caller's path to the server's address, so that no path
// can lead to another host.
func (c *Client) targetURL(path string) (string, error) {
	if !strings.HasPrefix(path, "/") {
		return "", eris.Wrap(ErrInvalid, "path does not start with a slash")
	}
	base, err := url.Parse(c.opts.BaseURL)
	if err != nil {
		return "", eris.Wrap(ErrInvalid, "base URL")
	}
	p, err := url.ParseRequestURI(path)
	if err != nil {
		return "", eris.Wrap(ErrInvalid, "path")
	}
	u := url.URL{Scheme: base.Scheme, Host: base.Host, Path: p.Path, RawPath: p.RawPath, RawQuery: p.RawQuery}
	return u.String(), nil
}

// routerHeaders are set by the router or by net/http and never taken from a caller.
var routerHeaders = []string{"X-Attempt-Id", "X-Fencing", "Idempotency-Key", "Content-Length", "Expect", "Host"}

func (c *Client) requestHeader(r Request) http.Header {
	h := endToEndHeaders(r.Header)
	for _, name := range routerHeaders {
		h.Del(name)
	}
	if _, ok := h["User-Agent"]; !ok {
		h.Set("User-Agent", "")
	}
	if r.AttemptID != "" {
		h.Set("X-Attempt-Id", r.AttemptID)
	}
	if r.IdempotencyKey != "" {
		h.Set("Idempotency-Key", r.IdempotencyKey)
	}
	if r.Fencing > 0 {
		h.Set("X-Fencing", strconv.FormatUint(r.Fencing, 10))
	}
	return h
}

// hopByHopHeaders are the headers of one connection (RFC 9110, section 7.6.1), with
// the older ones that are still in use.
var hopByHopHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// endToEndHeaders returns a copy without hop-by-hop headers, including those that the
// Connection header names.
func endToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	if out == nil {
		out = http.Header{}
	}
	for _, line := range h.Values("Connection") {
		for _, name := range strings.Split(line, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}
