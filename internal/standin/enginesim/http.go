package enginesim

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/answer"
)

// Headers of the engine protocol.
const (
	HeaderAttemptID      = "X-Attempt-Id"
	HeaderRequestID      = "X-Request-Id"
	HeaderWorkspace      = "X-Workspace"
	HeaderPrefixKey      = "X-Prefix-Key"
	HeaderSystemKey      = "X-System-Key"
	HeaderPriority       = "X-Priority"
	HeaderDeadline       = "X-Deadline-Ms"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderOutcome        = "X-Outcome"
	HeaderBootID         = "X-Boot-Id"
)

const outcomeNotRun = "not_run"

// LoadReport is the answer of GET /load.
type LoadReport struct {
	Running   int             `json:"running"`
	Waiting   int             `json:"waiting"`
	CacheUsed int             `json:"cache_used"`
	AsOf      time.Time       `json:"as_of"`
	BootID    string          `json:"boot_id"`
	Attempts  []AttemptReport `json:"attempts,omitempty"`
}

// AttemptReport is one attempt of a load report or of a search.
type AttemptReport struct {
	AttemptID string `json:"attempt_id"`
	RequestID string `json:"request_id"`
	State     string `json:"state"`
	// Characters is the length of the text generated so far.
	Characters int `json:"characters"`
}

// ServeHTTP serves the engine protocol.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.waitWhilePaused(r)
	e.abortIfDown()
	e.mux.ServeHTTP(w, r)
}

func (e *Engine) routes() *http.ServeMux {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	mux.HandleFunc("GET /v1/attempts", e.serveFind)
	mux.HandleFunc("GET /v1/attempts/{attempt}", e.serveResume)
	mux.HandleFunc("DELETE /v1/attempts/{attempt}", e.serveCancel)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("GET /cache/events", e.serveCacheEvents)
	mux.HandleFunc("POST /kv/export", e.serveExport)
	mux.HandleFunc("POST /kv/import", e.serveImport)
	mux.HandleFunc("POST /orders", e.serveOrder)
	mux.HandleFunc("GET /orders/state", e.serveOrdersState)
	return mux
}

func (e *Engine) abortIfDown() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		panic(http.ErrAbortHandler)
	}
}

// waitWhilePaused waits while the engine is paused. It aborts the request if the
// caller disconnects meanwhile.
func (e *Engine) waitWhilePaused(r *http.Request) {
	for {
		e.mu.Lock()
		resumed := e.resumed
		e.mu.Unlock()
		if resumed == nil {
			return
		}
		select {
		case <-resumed:
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// hang waits while a fault switch is on.
func (e *Engine) hang(r *http.Request, boot *bootState, enabled func(Faults) bool) {
	for {
		e.mu.Lock()
		hanging, changed := enabled(e.faults), e.changed
		e.mu.Unlock()
		if !hanging {
			return
		}
		select {
		case <-changed:
		case <-boot.crashed:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func (e *Engine) currentBoot() *bootState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.bootState
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, status int, code string) {
	writeJSON(w, status, map[string]any{"error": map[string]string{"code": code}})
}

// refuse answers a chat request that was not run.
func refuse(w http.ResponseWriter, status int, code string) {
	w.Header().Set(HeaderOutcome, outcomeNotRun)
	writeError(w, status, code)
}

func (e *Engine) serveChat(w http.ResponseWriter, r *http.Request) {
	boot := e.currentBoot()
	e.hang(r, boot, func(f Faults) bool { return f.HangBeforeRun })
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		refuse(w, http.StatusBadRequest, "unreadable_body")
		return
	}
	req, err := answer.ParseChatRequest(body)
	if err != nil {
		refuse(w, http.StatusBadRequest, "invalid_request")
		return
	}
	a, status, code := e.accept(boot, r.Header, req)
	if status == http.StatusConflict {
		// The attempt with this id may be running, so not_run would be wrong.
		writeError(w, status, code)
		return
	}
	if a == nil {
		refuse(w, status, code)
		return
	}
	e.hang(r, boot, func(f Faults) bool { return f.HangBeforeHeaders })
	sub := e.subscribe(a)
	defer e.unsubscribe(a, sub)
	if !e.awaitStart(w, r, boot, a, sub) {
		return
	}
	if req.Stream {
		e.writeStream(w, r, boot, a, sub, 0)
		return
	}
	e.writeAnswer(w, r, boot, a, sub)
}

// accept queues a request, or returns the refusal.
func (e *Engine) accept(boot *bootState, h http.Header, req *answer.ChatRequest) (*attempt, int, string) {
	a := e.newAttempt(h, req)
	if a.id == "" {
		return nil, http.StatusBadRequest, "missing_attempt_id"
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.bootState != boot || e.down:
		panic(http.ErrAbortHandler)
	case e.faults.RefuseNew:
		return nil, http.StatusServiceUnavailable, "refused"
	case boot.attempts[a.id] != nil:
		return nil, http.StatusConflict, "attempt_exists"
	case boot.waiting() >= e.cfg.QueueLimit:
		return nil, http.StatusServiceUnavailable, "queue_full"
	}
	now := e.clock.Now()
	a.queued = now
	a.deadline = deadline(h, now)
	a.recordIndex = e.ledger.begin(e.newRecord(a, h, now))
	boot.attempts[a.id] = a
	boot.byRequest[a.requestID] = append(boot.byRequest[a.requestID], a.id)
	boot.queues[a.priority] = append(boot.queues[a.priority], a)
	e.wake()
	return a, 0, ""
}

func deadline(h http.Header, now time.Time) time.Time {
	ms, err := strconv.Atoi(h.Get(HeaderDeadline))
	if err != nil || ms <= 0 {
		return time.Time{}
	}
	return now.Add(time.Duration(ms) * time.Millisecond)
}

func (e *Engine) newAttempt(h http.Header, req *answer.ChatRequest) *attempt {
	prompt := Prompt(req.Messages)
	a := &attempt{
		id:           h.Get(HeaderAttemptID),
		requestID:    h.Get(HeaderRequestID),
		model:        req.Model,
		prefixKey:    h.Get(HeaderPrefixKey),
		systemKey:    h.Get(HeaderSystemKey),
		priority:     priorityIndex(h.Get(HeaderPriority)),
		promptTokens: tokenField(req, "x_prompt_tokens", EstimateTokens(prompt)),
		systemTokens: tokenField(req, "x_system_tokens", EstimateTokens(systemText(req))),
		limited:      req.MaxTokens > 0,
		tokens:       e.cfg.DefaultTokens,
		state:        stateWaiting,
		subscribers:  map[chan struct{}]struct{}{},
	}
	if a.limited {
		a.tokens = min(req.MaxTokens, e.cfg.MaxTokens)
	}
	a.systemTokens = min(a.systemTokens, a.promptTokens)
	a.generated = generate(e.cfg.Salt, prompt, a.tokens)
	return a
}

func (e *Engine) newRecord(a *attempt, h http.Header, now time.Time) Record {
	return Record{
		Engine:         e.cfg.Name,
		AttemptID:      a.id,
		RequestID:      a.requestID,
		Workspace:      h.Get(HeaderWorkspace),
		IdempotencyKey: h.Get(HeaderIdempotencyKey),
		PrefixKey:      a.prefixKey,
		SystemKey:      a.systemKey,
		Priority:       h.Get(HeaderPriority),
		Accepted:       now,
		PromptTokens:   a.promptTokens,
	}
}

func priorityIndex(name string) int {
	switch name {
	case "lookup":
		return 0
	case "review":
		return 2
	}
	return 1
}

func tokenField(req *answer.ChatRequest, name string, defaultValue int) int {
	var n int
	if json.Unmarshal(req.Field(name), &n) != nil || n < 0 {
		return defaultValue
	}
	return n
}

// systemText joins the system messages at the start of the chat.
func systemText(req *answer.ChatRequest) string {
	text := ""
	for _, m := range req.Messages {
		if m.Role != "system" {
			break
		}
		text += m.Text()
	}
	return text
}

func (e *Engine) subscribe(a *attempt) chan struct{} {
	ch := make(chan struct{}, 1)
	e.mu.Lock()
	defer e.mu.Unlock()
	a.subscribers[ch] = struct{}{}
	return ch
}

func (e *Engine) unsubscribe(a *attempt, ch chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(a.subscribers, ch)
}

// progress is a consistent view of an attempt.
type progress struct {
	state           string
	generatedTokens int
}

// wait returns the attempt's progress once it satisfies the condition. It aborts
// the request if the engine crashes or the caller disconnects.
func (e *Engine) wait(r *http.Request, boot *bootState, a *attempt, sub chan struct{}, condition func(progress) bool) progress {
	for {
		e.waitWhilePaused(r)
		e.mu.Lock()
		p := progress{state: a.state, generatedTokens: a.generatedTokens}
		crashed := e.bootState != boot
		e.mu.Unlock()
		if crashed {
			panic(http.ErrAbortHandler)
		}
		if condition(p) {
			return p
		}
		select {
		case <-sub:
		case <-boot.crashed:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

func (p progress) hasEnded() bool {
	return p.state != stateWaiting && p.state != stateRunning
}

// awaitStart waits until the attempt has a slot. An attempt that never gets
// one is refused as not run.
func (e *Engine) awaitStart(w http.ResponseWriter, r *http.Request, boot *bootState, a *attempt, sub chan struct{}) bool {
	p := e.wait(r, boot, a, sub, func(p progress) bool { return p.state != stateWaiting })
	e.mu.Lock()
	started := !a.started.IsZero()
	e.mu.Unlock()
	if !started {
		refuse(w, http.StatusServiceUnavailable, p.state)
		return false
	}
	w.Header().Set(HeaderAttemptID, a.id)
	w.Header().Set(HeaderBootID, boot.bootID)
	return true
}

// writeAnswer writes the whole answer to a request without stream.
func (e *Engine) writeAnswer(w http.ResponseWriter, r *http.Request, boot *bootState, a *attempt, sub chan struct{}) {
	p := e.wait(r, boot, a, sub, progress.hasEnded)
	if p.state != stateFinished {
		writeError(w, http.StatusInternalServerError, p.state)
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{
		"id":     a.requestID,
		"object": "chat.completion",
		"model":  a.model,
		"choices": []any{map[string]any{
			"index":         0,
			"message":       map[string]string{"role": "assistant", "content": string(a.generated.text)},
			"finish_reason": a.finishReason(),
		}},
		"usage": a.usage(),
	})
}

func (a *attempt) finishReason() string {
	if a.limited {
		return answer.FinishLength
	}
	return answer.FinishStop
}

func (a *attempt) usage() answer.Usage {
	return answer.Usage{
		PromptTokens:        a.promptTokens,
		CompletionTokens:    a.tokens,
		TotalTokens:         a.promptTokens + a.tokens,
		PromptTokensDetails: answer.PromptTokensDetails{CachedTokens: a.cachedTokens},
	}
}

// findAttempt returns an attempt that has not been dropped yet, or nil.
func (e *Engine) findAttempt(id string) (*bootState, *attempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.bootState.dropAnswersBefore(e.clock.Now().Add(-e.cfg.AnswerRetention))
	return e.bootState, e.bootState.attempts[id]
}

func (e *Engine) serveResume(w http.ResponseWriter, r *http.Request) {
	boot, a := e.findAttempt(r.PathValue("attempt"))
	if a == nil {
		writeError(w, http.StatusNotFound, "no_attempt")
		return
	}
	offset, err := strconv.Atoi(r.URL.Query().Get("offset"))
	if err != nil || offset < 0 {
		writeError(w, http.StatusBadRequest, "invalid_offset")
		return
	}
	e.mu.Lock()
	generatedChars := answer.Characters(a.generated.text[:a.generated.bytesAfter(a.generatedTokens)])
	e.mu.Unlock()
	if offset > generatedChars {
		writeError(w, http.StatusRequestedRangeNotSatisfiable, "offset_beyond_answer")
		return
	}
	sub := e.subscribe(a)
	defer e.unsubscribe(a, sub)
	if !e.awaitStart(w, r, boot, a, sub) {
		return
	}
	e.writeStream(w, r, boot, a, sub, offset)
}

func (e *Engine) serveCancel(w http.ResponseWriter, r *http.Request) {
	_, a := e.findAttempt(r.PathValue("attempt"))
	if a == nil {
		writeError(w, http.StatusNotFound, "no_attempt")
		return
	}
	e.mu.Lock()
	e.cancel(a)
	report := a.report()
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, report)
}

func (e *Engine) serveFind(w http.ResponseWriter, r *http.Request) {
	e.findAttempt("")
	e.mu.Lock()
	found := []AttemptReport{}
	for _, id := range e.bootState.byRequest[r.URL.Query().Get("request_id")] {
		found = append(found, e.bootState.attempts[id].report())
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"attempts": found})
}

func (a *attempt) report() AttemptReport {
	return AttemptReport{
		AttemptID:  a.id,
		RequestID:  a.requestID,
		State:      a.state,
		Characters: answer.Characters(a.generated.text[:a.generated.bytesAfter(a.generatedTokens)]),
	}
}

// serveLoad leaves the list of attempts out with the query attempts=0.
func (e *Engine) serveLoad(w http.ResponseWriter, r *http.Request) {
	rep := e.loadReport()
	if r.URL.Query().Get("attempts") == "0" {
		rep.Attempts = nil
	}
	writeJSON(w, http.StatusOK, rep)
}

// loadReport returns the load as it was LoadLag ago.
func (e *Engine) loadReport() LoadReport {
	e.mu.Lock()
	defer e.mu.Unlock()
	asOf := e.clock.Now().Add(-e.cfg.LoadLag)
	rep := LoadReport{CacheUsed: e.bootState.cache.used, AsOf: asOf, BootID: e.bootState.bootID, Attempts: []AttemptReport{}}
	for _, a := range e.bootState.attempts {
		switch a.stateAt(asOf) {
		case stateRunning:
			rep.Running++
		case stateWaiting:
			rep.Waiting++
		default:
			continue
		}
		rep.Attempts = append(rep.Attempts, AttemptReport{AttemptID: a.id, RequestID: a.requestID, State: a.stateAt(asOf)})
	}
	return rep
}

// stateAt returns the state at an earlier time, or an empty string when the
// attempt was not in the engine.
func (a *attempt) stateAt(t time.Time) string {
	switch {
	case a.queued.After(t), a.hasEnded() && !a.ended.After(t):
		return ""
	case !a.started.IsZero() && !a.started.After(t):
		return stateRunning
	}
	return stateWaiting
}

var errCut = errors.New("stream is cut")

// writeStream sends the answer from a character offset on. It aborts the request
// when the stream is to be cut.
func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, boot *bootState, a *attempt, sub chan struct{}, offset int) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
	frames := e.newFrameWriter(a, offset)
	flush := http.NewResponseController(w).Flush
	_ = flush()
	for {
		p := e.wait(r, boot, a, sub, func(p progress) bool { return p.generatedTokens > frames.sent || p.hasEnded() })
		err := frames.appendFrames(p)
		if _, writeErr := w.Write(frames.buf); writeErr != nil {
			panic(http.ErrAbortHandler)
		}
		_ = flush()
		if errors.Is(err, errCut) {
			panic(http.ErrAbortHandler)
		}
		if p.hasEnded() {
			return
		}
	}
}
