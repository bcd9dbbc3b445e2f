// Package backendsim emulates a plain backend server in process, with a ledger
// of what it executed and with fault switches.
package backendsim

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bluebellwell/bluebellwell/internal/standin/simserver"
)

const maxRequestBytes = 4 << 20

// Headers of the protocol between router and plain server.
const (
	HeaderAttemptID      = "X-Attempt-Id"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderFencing        = "X-Fencing"
)

// Config sets up a server.
type Config struct {
	Name string
	// Delay is the time from the effect of a request to its answer.
	Delay time.Duration
	// CheckFencing refuses a request whose fencing number is below one that was
	// executed for the same idempotency key.
	CheckFencing bool
	// Clock is the real clock when nil.
	Clock clockwork.Clock
	// Ledger is shared by the servers of a pool; nil gives the server its own.
	Ledger *Ledger
}

// Faults are the fault switches. The zero value is a healthy server.
type Faults struct {
	// HangBeforeRun holds requests before they take effect until it is cleared.
	HangBeforeRun bool
	// HangBeforeAnswer holds the answers after the effect until it is cleared.
	HangBeforeAnswer bool
	// DropAnswer closes the connection after the effect.
	DropAnswer bool
	// RefuseRun answers 503 without effect.
	RefuseRun bool
	// ExtraDelay is added to the delay.
	ExtraDelay time.Duration
	// NoLength sends answers that end with their connection.
	NoLength bool
	// AnswerBytes pads answers to this size.
	AnswerBytes int
}

// Server is one emulated server. It is safe for concurrent use.
type Server struct {
	cfg    Config
	ledger *Ledger
	server simserver.Server

	mu      sync.Mutex
	faults  Faults
	changed chan struct{}
	crashed chan struct{}
	// down is set from a crash to the restart.
	down bool
}

// New returns a server that listens on no address yet.
func New(cfg Config) *Server {
	if cfg.Clock == nil {
		cfg.Clock = clockwork.NewRealClock()
	}
	if cfg.Ledger == nil {
		cfg.Ledger = NewLedger()
	}
	return &Server{cfg: cfg, ledger: cfg.Ledger, changed: make(chan struct{}), crashed: make(chan struct{})}
}

// Start serves on a loopback address and returns the address in use.
func (s *Server) Start(addr string) (string, error) {
	return s.server.Start(addr, s)
}

// Addr returns the address in use, or an empty string.
func (s *Server) Addr() string {
	return s.server.Addr()
}

// Name returns the server's name.
func (s *Server) Name() string {
	return s.cfg.Name
}

// Ledger returns the ledger that the server writes.
func (s *Server) Ledger() *Ledger {
	return s.ledger
}

// SetFaults replaces the fault switches and releases requests that hang.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetRefuseConnections makes the operating system refuse new connections, or ends
// that.
func (s *Server) SetRefuseConnections(refuse bool) error {
	if !refuse {
		return s.server.Reopen()
	}
	s.server.Refuse()
	return nil
}

// Crash cuts all connections and refuses new ones until Restart. Requests that
// have not started are never executed.
func (s *Server) Crash() {
	s.mu.Lock()
	s.down = true
	close(s.crashed)
	s.crashed = make(chan struct{})
	s.mu.Unlock()
	s.server.Close()
}

// Restart starts a crashed server on its previous address.
func (s *Server) Restart() error {
	s.mu.Lock()
	s.down = false
	s.mu.Unlock()
	return s.server.Reopen()
}

// Close stops the server.
func (s *Server) Close() {
	s.Crash()
}

func (s *Server) state() (Faults, chan struct{}, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.changed, s.crashed
}

// hang waits while a fault switch is on.
func (s *Server) hang(r *http.Request, crashed chan struct{}, enabled func(Faults) bool) {
	for {
		f, changed, _ := s.state()
		if !enabled(f) {
			return
		}
		select {
		case <-changed:
		case <-crashed:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
	}
}

// crashedSince reports whether the server has crashed since a request arrived.
func (s *Server) crashedSince(crashed chan struct{}) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down || s.crashed != crashed
}

// waitExecutionTime waits for the execution time. A request that has started runs
// to its end even if the caller disconnects.
func (s *Server) waitExecutionTime(crashed chan struct{}, d time.Duration) {
	if d <= 0 {
		return
	}
	timer := s.cfg.Clock.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.Chan():
	case <-crashed:
		panic(http.ErrAbortHandler)
	}
}

// ServeHTTP executes a request: GET /lookup and POST /bookings answer like the
// operators' services, every other path echoes the request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _, crashed := s.state()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]any{"error": "unreadable body"})
		return
	}
	s.hang(r, crashed, func(f Faults) bool { return f.HangBeforeRun })
	f, _, _ := s.state()
	if f.RefuseRun {
		writeJSON(w, http.StatusServiceUnavailable, map[string]any{"error": "refused"})
		return
	}
	if s.crashedSince(crashed) {
		panic(http.ErrAbortHandler)
	}
	n, ok := s.execute(r, body, crashed, f)
	if !ok {
		writeJSON(w, http.StatusConflict, map[string]any{"error": "old fencing number"})
		return
	}
	s.hang(r, crashed, func(f Faults) bool { return f.HangBeforeAnswer })
	if f, _, _ = s.state(); f.DropAnswer {
		panic(http.ErrAbortHandler)
	}
	if f.NoLength {
		// net/http then sends neither a length nor chunks.
		w.Header().Set("Transfer-Encoding", "identity")
	}
	status, answer := reply(r, body, n)
	if f.AnswerBytes > 0 {
		answer["padding"] = string(make([]byte, f.AnswerBytes))
	}
	writeJSON(w, status, answer)
}

// execute records the request, which is its effect, waits for the delay and returns
// the index of the record.
func (s *Server) execute(r *http.Request, body []byte, crashed chan struct{}, f Faults) (int, bool) {
	fencing, _ := strconv.ParseUint(r.Header.Get(HeaderFencing), 10, 64)
	n, ok := s.ledger.begin(Execution{
		Server:         s.cfg.Name,
		AttemptID:      r.Header.Get(HeaderAttemptID),
		IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
		Fencing:        fencing,
		Method:         r.Method,
		Path:           r.URL.Path,
		Body:           string(body),
		Started:        s.cfg.Clock.Now(),
	}, s.cfg.CheckFencing)
	if !ok {
		return 0, false
	}
	defer func() { s.ledger.end(n, s.cfg.Clock.Now()) }()
	s.waitExecutionTime(crashed, s.cfg.Delay+f.ExtraDelay)
	return n, true
}

func reply(r *http.Request, body []byte, n int) (int, map[string]any) {
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/lookup":
		return http.StatusOK, map[string]any{"query": r.URL.Query().Get("q"), "state": "active"}
	case r.Method == http.MethodPost && r.URL.Path == "/bookings":
		return http.StatusCreated, map[string]any{"booking": n, "request": string(body)}
	}
	return http.StatusOK, map[string]any{
		"method": r.Method, "path": r.URL.Path, "query": r.URL.RawQuery, "body": string(body), "headers": r.Header,
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
