package engineclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"

	"github.com/bluebellwell/bluebellwell/internal/httpsend"
	"github.com/bluebellwell/bluebellwell/internal/meter"
)

// Defaults of Options.
const (
	defaultDialTimeout         = 500 * time.Millisecond
	defaultProbeTimeout        = 2 * time.Second
	defaultHeaderTimeout       = 60 * time.Second
	defaultFrameTimeout        = 30 * time.Second
	defaultKVTimeout           = 30 * time.Second
	defaultMaxRequestBytes     = 4 << 20
	defaultMaxReportBytes      = 1 << 20
	defaultMaxKVBytes          = 64 << 20
	defaultMaxAnswerCharacters = 4 << 20
	maxHeaderBytes             = 64 << 10
	maxErrorBodyBytes          = 64 << 10
	maxIdleConnections         = 64
	// idleTimeout is short, so that the client closes an idle connection before
	// the engine does, and rarely sends a request on a connection just closed.
	idleTimeout = 20 * time.Second
)

// Options configures a client. A zero field takes its default.
type Options struct {
	// BaseURL is the engine's address, such as http://127.0.0.1:8000.
	BaseURL string
	// Meter counts control bytes; nil counts none. Chat streams and KV moves
	// are not control traffic.
	Meter *meter.Meter
	// Clock measures HeaderTimeout and FrameTimeout; nil means the real clock.
	Clock       clockwork.Clock
	DialTimeout time.Duration
	// ProbeTimeout bounds each call other than streams and KV moves.
	ProbeTimeout time.Duration
	// HeaderTimeout bounds the wait for the start of a stream, which includes
	// the time in the engine's queue.
	HeaderTimeout time.Duration
	// FrameTimeout bounds the wait for each event of a stream.
	FrameTimeout time.Duration
	KVTimeout    time.Duration
	// MaxRequestBytes, MaxReportBytes and MaxKVBytes are body sizes.
	MaxRequestBytes int
	MaxReportBytes  int
	MaxKVBytes      int
	// MaxAnswerCharacters is the longest answer in characters.
	MaxAnswerCharacters int
}

func (o Options) withDefaults() Options {
	durations := []struct {
		v            *time.Duration
		defaultValue time.Duration
	}{
		{&o.DialTimeout, defaultDialTimeout},
		{&o.ProbeTimeout, defaultProbeTimeout},
		{&o.HeaderTimeout, defaultHeaderTimeout},
		{&o.FrameTimeout, defaultFrameTimeout},
		{&o.KVTimeout, defaultKVTimeout},
	}
	for _, d := range durations {
		if *d.v <= 0 {
			*d.v = d.defaultValue
		}
	}
	sizes := []struct {
		v            *int
		defaultValue int
	}{
		{&o.MaxRequestBytes, defaultMaxRequestBytes},
		{&o.MaxReportBytes, defaultMaxReportBytes},
		{&o.MaxKVBytes, defaultMaxKVBytes},
		{&o.MaxAnswerCharacters, defaultMaxAnswerCharacters},
	}
	for _, s := range sizes {
		if *s.v <= 0 {
			*s.v = s.defaultValue
		}
	}
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Meter == nil {
		o.Meter = &meter.Meter{}
	}
	return o
}

// Client calls one engine. It is safe for concurrent use.
type Client struct {
	opts      Options
	transport *http.Transport
}

// New returns a client. It opens no connection.
func New(o Options) *Client {
	o = o.withDefaults()
	return &Client{opts: o, transport: httpsend.NewTransport(httpsend.Options{
		DialTimeout:         o.DialTimeout,
		MaxHeaderBytes:      maxHeaderBytes,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleTimeout:         idleTimeout,
	})}
}

// Close closes idle connections. Open streams continue.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// newRequest builds a request whose body net/http cannot send again.
func (c *Client) newRequest(ctx context.Context, method, path string, body []byte) (*http.Request, error) {
	var r io.Reader
	if body != nil {
		r = httpsend.Body(bytes.NewReader(body))
	}
	req, err := http.NewRequestWithContext(ctx, method, c.opts.BaseURL+path, r)
	if err != nil {
		return nil, err
	}
	if body != nil {
		req.ContentLength = int64(len(body))
		req.Header.Set("Content-Type", "application/json")
	}
	// An empty value prevents the default User-Agent, which costs bytes.
	req.Header.Set("User-Agent", "")
	return req, nil
}

// callSpec describes a request whose answer has a size limit.
type callSpec struct {
	op       string
	method   string
	path     string
	body     []byte
	timeout  time.Duration
	limit    int
	category meter.Category
	metered  bool
}

func (c *Client) do(ctx context.Context, spec callSpec) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, spec.timeout)
	defer cancel()
	req, err := c.newRequest(ctx, spec.method, spec.path, spec.body)
	if err != nil {
		return nil, &Error{Op: spec.op, NotRun: true, NotSent: true, Err: err}
	}
	resp, exchange, err := httpsend.Send(c.transport, req)
	if spec.metered {
		defer func() { c.opts.Meter.Add(spec.category, meter.HTTPExchangeBytes(exchange.Bytes())) }()
	}
	if err != nil {
		return nil, &Error{Op: spec.op, NotRun: exchange.NotSent, NotSent: exchange.NotSent, Err: eris.Wrap(err, "round trip")}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return nil, responseError(spec.op, resp)
	}
	body, err := readBounded(resp.Body, spec.limit)
	if err != nil {
		return nil, &Error{Op: spec.op, Status: resp.StatusCode, Err: err}
	}
	return body, nil
}

func (c *Client) doJSON(ctx context.Context, spec callSpec, out any) error {
	body, err := c.do(ctx, spec)
	if err != nil {
		return err
	}
	if !utf8.Valid(body) || json.Unmarshal(body, out) != nil {
		return &Error{Op: spec.op, Status: http.StatusOK, Err: eris.Wrap(ErrProtocol, "answer is not the expected JSON")}
	}
	return nil
}

func readBounded(r io.Reader, limit int) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, int64(limit)+1))
	if err != nil {
		return nil, eris.Wrap(err, "read the answer")
	}
	if len(body) > limit {
		return nil, eris.Wrapf(ErrProtocol, "answer exceeds %d bytes", limit)
	}
	return body, nil
}

// responseError turns an answer other than 200 into an error. The request counts
// as not run only if the engine states the outcome not_run.
func responseError(op string, resp *http.Response) *Error {
	e := &Error{Op: op, Status: resp.StatusCode, Err: ErrEngine}
	e.NotRun = resp.Header.Get("X-Outcome") == "not_run"
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil && seconds > 0 {
		e.RetryAfter = time.Duration(seconds) * time.Second
	}
	body, err := readBounded(resp.Body, maxErrorBodyBytes)
	if err == nil {
		e.Code = errorCode(body)
	}
	switch {
	case resp.StatusCode == http.StatusNotFound:
		e.Err = ErrNotFound
	case resp.StatusCode == http.StatusRequestedRangeNotSatisfiable:
		e.Err = ErrOffset
	case resp.StatusCode == http.StatusConflict && e.Code == "old_fencing":
		e.Err = ErrOldFencing
	}
	return e
}

func errorCode(body []byte) string {
	var v struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if json.Unmarshal(body, &v) != nil || !utf8.ValidString(v.Error.Code) {
		return ""
	}
	return v.Error.Code
}

// LoadReport is the load that the engine reports for the time AsOf.
type LoadReport struct {
	Running   int       `json:"running"`
	Waiting   int       `json:"waiting"`
	CacheUsed int       `json:"cache_used"`
	AsOf      time.Time `json:"as_of"`
	// BootID changes when the engine restarts and loses its state.
	BootID string `json:"boot_id"`
	// Attempts lists the running and waiting attempts; LoadBrief leaves it empty.
	Attempts []Attempt `json:"attempts"`
}

// Attempt is one attempt as the engine reports it.
type Attempt struct {
	AttemptID string `json:"attempt_id"`
	RequestID string `json:"request_id"`
	// State is waiting, running, finished, cancelled or expired.
	State string `json:"state"`
	// Characters is the length of the text so far; load reports leave it 0.
	Characters int `json:"characters"`
}

// Load returns the load with the list of attempts.
func (c *Client) Load(ctx context.Context) (LoadReport, error) {
	return c.load(ctx, "/load")
}

// LoadBrief returns the load without the list of attempts, which keeps a
// regular probe small.
func (c *Client) LoadBrief(ctx context.Context) (LoadReport, error) {
	return c.load(ctx, "/load?attempts=0")
}

func (c *Client) load(ctx context.Context, path string) (LoadReport, error) {
	var report LoadReport
	err := c.doJSON(ctx, c.controlCall("load", http.MethodGet, path), &report)
	return report, err
}

func (c *Client) controlCall(op, method, path string) callSpec {
	return callSpec{
		op: op, method: method, path: path,
		timeout: c.opts.ProbeTimeout, limit: c.opts.MaxReportBytes, category: meter.Probe, metered: true,
	}
}

// FindAttempts returns the attempts of a request that the engine still stores,
// oldest first.
func (c *Client) FindAttempts(ctx context.Context, requestID string) ([]Attempt, error) {
	var v struct {
		Attempts []Attempt `json:"attempts"`
	}
	path := "/v1/attempts?request_id=" + url.QueryEscape(requestID)
	err := c.doJSON(ctx, c.controlCall("find", http.MethodGet, path), &v)
	return v.Attempts, err
}

// Cancel ends an attempt and returns its last state. ErrNotFound means that
// the engine does not have the attempt.
func (c *Client) Cancel(ctx context.Context, attemptID string) (Attempt, error) {
	var a Attempt
	err := c.doJSON(ctx, c.controlCall("cancel", http.MethodDelete, "/v1/attempts/"+url.PathEscape(attemptID)), &a)
	return a, err
}

// CacheEvent is one change of the engine's prefix cache.
type CacheEvent struct {
	Seq uint64 `json:"seq"`
	// Op is store or evict.
	Op string `json:"op"`
	// PrefixKey is empty for a shared system prompt.
	PrefixKey string    `json:"prefix_key"`
	SystemKey string    `json:"system_key"`
	Tokens    int       `json:"tokens"`
	Time      time.Time `json:"time"`
}

// CacheEvents is a page of cache events in ascending order. Sequence numbers
// have gaps when the engine lost events; they restart with a new BootID.
type CacheEvents struct {
	BootID string       `json:"boot_id"`
	Events []CacheEvent `json:"events"`
}

// CacheEvents returns at most limit events after a sequence number.
func (c *Client) CacheEvents(ctx context.Context, after uint64, limit int) (CacheEvents, error) {
	var v CacheEvents
	spec := c.controlCall("cache events", http.MethodGet,
		"/cache/events?after="+strconv.FormatUint(after, 10)+"&max="+strconv.Itoa(limit))
	spec.category = meter.CacheEvents
	if err := c.doJSON(ctx, spec, &v); err != nil {
		return v, err
	}
	last := after
	for _, e := range v.Events {
		if e.Seq <= last {
			return CacheEvents{}, &Error{Op: spec.op, Status: http.StatusOK, Err: eris.Wrap(ErrProtocol, "cache events are out of order")}
		}
		last = e.Seq
	}
	return v, nil
}

// ExportKV returns the cached prefix of a chat in the engine's own format.
// ErrNotFound means that it is not cached.
func (c *Client) ExportKV(ctx context.Context, prefixKey, systemKey string) ([]byte, error) {
	body, err := json.Marshal(map[string]string{"prefix_key": prefixKey, "system_key": systemKey})
	if err != nil {
		return nil, &Error{Op: "kv export", NotRun: true, NotSent: true, Err: err}
	}
	return c.do(ctx, callSpec{
		op: "kv export", method: http.MethodPost, path: "/kv/export", body: body,
		timeout: c.opts.KVTimeout, limit: c.opts.MaxKVBytes,
	})
}

// ImportKV sends an exported prefix to the engine and returns its cached tokens.
func (c *Client) ImportKV(ctx context.Context, blob []byte) (int, error) {
	var v struct {
		Tokens int `json:"tokens"`
	}
	if len(blob) > c.opts.MaxKVBytes {
		return 0, &Error{Op: "kv import", NotRun: true, NotSent: true, Err: ErrTooLarge}
	}
	err := c.doJSON(ctx, callSpec{
		op: "kv import", method: http.MethodPost, path: "/kv/import", body: blob,
		timeout: c.opts.KVTimeout, limit: c.opts.MaxReportBytes,
	}, &v)
	return v.Tokens, err
}

// Order sets an engine to a given state; repeating it changes nothing.
type Order struct {
	OrderID string `json:"order_id"`
	Fencing uint64 `json:"fencing"`
	// Kind is load, unload or role.
	Kind    string `json:"kind"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Role    string `json:"role"`
}

// ModelState is one loaded model.
type ModelState struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Role    string `json:"role"`
}

// OrdersState is the state that an engine reports after its orders.
type OrdersState struct {
	BootID string `json:"boot_id"`
	// Fencing is the highest fencing number of an applied order.
	Fencing     uint64       `json:"fencing"`
	LastOrderID string       `json:"last_order_id"`
	Models      []ModelState `json:"models"`
}

// Order sends an order once and returns the state after it. ErrOldFencing
// means that the engine refused it; after ErrMaybeRun it may have taken effect.
func (c *Client) Order(ctx context.Context, o Order) (OrdersState, error) {
	body, err := json.Marshal(o)
	if err != nil {
		return OrdersState{}, &Error{Op: "order", NotRun: true, NotSent: true, Err: err}
	}
	spec := c.controlCall("order", http.MethodPost, "/orders")
	spec.body, spec.category = body, meter.Order
	var s OrdersState
	err = c.doJSON(ctx, spec, &s)
	var e *Error
	if errors.As(err, &e) && errors.Is(err, ErrOldFencing) {
		e.NotRun = true
	}
	return s, err
}

// OrdersState returns the state that results from the engine's orders.
func (c *Client) OrdersState(ctx context.Context) (OrdersState, error) {
	spec := c.controlCall("orders state", http.MethodGet, "/orders/state")
	spec.category = meter.Order
	var s OrdersState
	err := c.doJSON(ctx, spec, &s)
	return s, err
}
