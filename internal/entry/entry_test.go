package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/bluebellwell/bluebellwell/internal/dispatch"
	"github.com/bluebellwell/bluebellwell/internal/intent"
	"github.com/bluebellwell/bluebellwell/internal/peerpb"
	"github.com/bluebellwell/bluebellwell/internal/record"
)

type fixedFleet struct{ state State }

func (f *fixedFleet) State() *State { return &f.state }

// scriptedRunner sends the same frames for every request.
type scriptedRunner struct {
	frames []*peerpb.Frame
	result dispatch.Result
}

func (r *scriptedRunner) Run(_ context.Context, _ *peerpb.Relay, sink dispatch.Sink) dispatch.Result {
	for _, f := range r.frames {
		_ = sink.Frame(f)
	}
	return r.result
}

func (r *scriptedRunner) Resume(ctx context.Context, req *peerpb.Relay, sink dispatch.Sink) dispatch.Result {
	return r.Run(ctx, req, sink)
}

// singleKeyGuard is a Guard for a single key.
type singleKeyGuard struct{ outcome *peerpb.IntentCall }

func (g *singleKeyGuard) Call(_ context.Context, c *peerpb.IntentCall) (*peerpb.IntentReply, error) {
	switch {
	case c.Op == peerpb.IntentOp_INTENT_OP_OUTCOME:
		g.outcome = c
	case g.outcome != nil:
		r := &peerpb.IntentReply{State: peerpb.IntentState_INTENT_STATE_DONE, Status: g.outcome.Status, Headers: g.outcome.Headers, Body: g.outcome.Body}
		if len(r.Body) > intent.MaxBodyBytes {
			r.Body, r.BodyOmitted = nil, true
		}
		return r, nil
	}
	return &peerpb.IntentReply{State: peerpb.IntentState_INTENT_STATE_WON}, nil
}

// testAPI serves the workspace w, the model m and the plain pool p.
func testAPI(run Runner) http.Handler { return testAPIWith(run, &singleKeyGuard{}) }

func testAPIWith(run Runner, guard Guard) http.Handler {
	cfg := record.NewConfig()
	cfg.Workspaces["w"] = &record.Workspace{Name: "w"}
	cfg.Pools["p"] = &record.Pool{Name: "p", Type: record.PoolPlain}
	cfg.Pools["e"] = &record.Pool{Name: "e", Type: record.PoolEngines, Models: []string{"m"}}
	return New(Deps{
		Fleet:        &fixedFleet{State{Config: cfg, Ready: true, Accepting: true}},
		Runner:       run,
		Guard:        guard,
		RequestIDKey: make([]byte, 32),
		Limits:       Limits{MaxBodyBytes: 1 << 10, MaxConcurrent: 1, DefaultDeadline: time.Minute},
		Clock:        clockwork.NewFakeClock(),
		Tracer:       noop.NewTracerProvider().Tracer(""),
		Status:       http.NotFoundHandler(),
		Metrics:      http.NotFoundHandler(),
	}).Handler()
}

func post(h http.Handler, path, body string, headers map[string]string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	req.Header.Set(HeaderWorkspace, "w")
	for name, v := range headers {
		req.Header.Set(name, v)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, req)
	return w
}

// Guards against answers that the status page does not count. The router counts
// by the outcome header, which must be set even if it can no longer be sent, as
// with streams and plain answers.
func TestEveryResponseSetsOutcomeHeader(t *testing.T) {
	chunk := &peerpb.Frame{Payload: []byte(`{"choices":[{"index":0,"delta":{"content":"a"}}]}`), Characters: 1}
	stream := `{"model":"m","stream":true,"messages":[{"role":"user","content":"a"}]}`
	for _, c := range []struct {
		path, body string
		first      *peerpb.Frame
		outcome    peerpb.Outcome
		want       string
	}{
		{"/v1/chat/completions", stream, chunk, peerpb.Outcome_OUTCOME_DONE, OutcomeDone},
		{"/v1/chat/completions", stream, chunk, peerpb.Outcome_OUTCOME_INCOMPLETE, OutcomeIncomplete},
		{"/services/p/x", "", &peerpb.Frame{Status: 200, Headers: []*peerpb.Header{{Name: HeaderOutcome, Value: "x"}}},
			peerpb.Outcome_OUTCOME_DONE, OutcomeDone},
		{"/services/p/x", "", &peerpb.Frame{}, peerpb.Outcome_OUTCOME_UNKNOWN, OutcomeUnknown},
	} {
		h := testAPI(&scriptedRunner{result: dispatch.Result{Outcome: c.outcome}, frames: []*peerpb.Frame{c.first}})
		if got := post(h, c.path, c.body, nil).Header().Get(HeaderOutcome); got != c.want {
			t.Errorf("%s, %v: outcome %q, want %q", c.path, c.outcome, got, c.want)
		}
	}
}

// Guards against a replayed answer that differs from the first one: the terminal
// frame has a status but no headers, and must not clear those of the first frame.
func TestReplayKeepsContentType(t *testing.T) {
	done := dispatch.Result{Outcome: peerpb.Outcome_OUTCOME_DONE, Status: 201}
	h := testAPI(&scriptedRunner{result: done, frames: []*peerpb.Frame{
		{Status: 201, Headers: []*peerpb.Header{{Name: "Content-Type", Value: "application/json"}}, Payload: []byte("{}")},
		{Status: 201, Terminal: true, Outcome: peerpb.Outcome_OUTCOME_DONE},
	}})
	nonRepeatable := map[string]string{
		HeaderIdempotencyKey: "k", HeaderKeyIssued: "2026-12-03T08:00:00Z", HeaderRepeatable: "false",
	}
	for i, replayed := range []string{"", "true"} {
		w := post(h, "/services/p/bookings", "{}", nonRepeatable)
		if w.Code != 201 || w.Body.String() != "{}" || w.Header().Get("Content-Type") != "application/json" ||
			w.Header().Get(headerReplayed) != replayed {
			t.Errorf("answer %d: status %d, body %q, headers %v", i, w.Code, w.Body, w.Header())
		}
	}
}

// Guards against a success with another body than the server's: a retry with the same key
// as a request whose answer is too large to be recorded, or is encoded.
func TestReplayIsTheWholeAnswerOrNone(t *testing.T) {
	nonRepeatable := map[string]string{
		HeaderIdempotencyKey: "k", HeaderKeyIssued: "2026-12-03T08:00:00Z", HeaderRepeatable: "false",
	}
	part := []byte(strings.Repeat("x", intent.MaxBodyBytes/2))
	for _, c := range []struct {
		name   string
		parts  [][]byte
		status int
	}{
		{"empty", nil, 201},
		{"of the largest size", [][]byte{part, part}, 201},
		{"a byte larger", [][]byte{part, part, part[:1]}, http.StatusGone},
		{"larger in its first part", [][]byte{append(append(part, part...), part...)}, http.StatusGone},
		{"larger with a small last part", [][]byte{part, append(part, part...), part[:1]}, http.StatusGone},
	} {
		frames := []*peerpb.Frame{{Status: 201, Headers: []*peerpb.Header{{Name: "Content-Encoding", Value: "x"}}}}
		for _, p := range c.parts {
			frames = append(frames, &peerpb.Frame{Payload: p})
		}
		frames = append(frames, &peerpb.Frame{Status: 201, Terminal: true, Outcome: peerpb.Outcome_OUTCOME_DONE})
		h := testAPI(&scriptedRunner{result: dispatch.Result{Outcome: peerpb.Outcome_OUTCOME_DONE, Status: 201}, frames: frames})
		first := post(h, "/services/p/bookings", "{}", nonRepeatable)
		again := post(h, "/services/p/bookings", "{}", nonRepeatable)
		if first.Code != 201 || again.Code != c.status {
			t.Errorf("%s: statuses %d and %d, want 201 and %d", c.name, first.Code, again.Code, c.status)
		}
		if again.Code == 201 && (again.Body.String() != first.Body.String() || again.Header().Get("Content-Encoding") != "x") {
			t.Errorf("%s: the replay has %d bytes and headers %v, want %d bytes", c.name, again.Body.Len(), again.Header(), first.Body.Len())
		}
		if again.Code != 201 && again.Header().Get(HeaderOutcome) != OutcomeDone {
			t.Errorf("%s: outcome %q, want done", c.name, again.Header().Get(HeaderOutcome))
		}
	}
}

// Guards against a success that no server gave: the owner's frames hold no final status, and
// net/http sends a 200 with a body that has none.
func TestPlainAnswerNeedsAStatus(t *testing.T) {
	nonRepeatable := map[string]string{
		HeaderIdempotencyKey: "k", HeaderKeyIssued: "2026-12-03T08:00:00Z", HeaderRepeatable: "false",
	}
	done := &peerpb.Frame{Terminal: true, Outcome: peerpb.Outcome_OUTCOME_DONE}
	for name, frames := range map[string][]*peerpb.Frame{
		"no frame":       nil,
		"end only":       {done},
		"body only":      {{Payload: []byte("x")}, done},
		"interim status": {{Status: 103, Payload: []byte("x")}, done},
		"unknown status": {{Status: 700, Payload: []byte("x")}, done},
	} {
		guard := &singleKeyGuard{}
		h := testAPIWith(&scriptedRunner{result: dispatch.Result{Outcome: peerpb.Outcome_OUTCOME_DONE}, frames: frames}, guard)
		for _, headers := range []map[string]string{nil, nonRepeatable} {
			w := post(h, "/services/p/x", "{}", headers)
			if w.Code != http.StatusBadGateway || w.Header().Get(HeaderOutcome) != OutcomeUnknown {
				t.Errorf("%s: status %d, outcome %q, body %q; want 502, unknown", name, w.Code, w.Header().Get(HeaderOutcome), w.Body)
			}
		}
		if guard.outcome != nil {
			t.Errorf("%s: recorded for the key: %v", name, guard.outcome)
		}
	}
}
