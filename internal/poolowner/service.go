// Package poolowner implements the owner of a pool: it admits relayed requests,
// runs each attempt on the engine or backend server that admission grants, and
// sends the answer back as frames.
package poolowner

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"go.opentelemetry.io/otel/trace"

	"github.com/bluebellwell/bluebellwell/internal/admission"
	"github.com/bluebellwell/bluebellwell/internal/dispatch"
	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/meter"
	"github.com/bluebellwell/bluebellwell/internal/peerpb"
	"github.com/bluebellwell/bluebellwell/internal/placement"
	"github.com/bluebellwell/bluebellwell/internal/record"
)

// Sender sends the frames of one answer. An error means that the connection to
// the entry router is lost; the attempt then runs to its end, so that the caller
// can resume its answer through another router.
type Sender interface {
	Send(f *peerpb.Frame) error
}

// Deps are the service's dependencies.
type Deps struct {
	Clock       clockwork.Clock
	TokenSigner *placement.TokenSigner
	Meter       *meter.Meter
	Tracer      trace.Tracer
	// ReportResult receives whether an attempt on an engine or backend server
	// succeeded. It may be called from any goroutine and must not block.
	ReportResult func(server string, ok bool)
	// ReportAttemptEnded receives the end of an attempt whose pool this router
	// no longer owns. It may be called from any goroutine and must not block.
	ReportAttemptEnded func(pool, attemptID string)
	// Rand returns uniform numbers from 0 up to but not including 1 and is safe
	// for concurrent use.
	Rand func() float64
	// PrefixIndexSize is the size of each pool's prefix index; 0 means the default.
	PrefixIndexSize int
	// NewPicker returns the placement policy; nil means the default.
	NewPicker func() placement.Picker
	// Events receives log events; nil discards them.
	Events *event.Logger
}

// Server is one engine or backend server of a pool.
type Server struct {
	Name string
	// Addr is the host and port.
	Addr   string
	State  placement.State
	Weight float64
	// CacheTokens is the size of the prefix cache; 0 means the size in the pool's
	// record.
	CacheTokens int
}

// Assignment is the control goroutine's decision about one pool.
type Assignment struct {
	Pool       *record.Pool
	Workspaces map[string]*record.Workspace
	Servers    []Server
	// Owned is set when this router holds a majority of the votes for the pool.
	Owned bool
	// Candidate is set when this router claims the pool. Attempts are adopted
	// from then on, before the majority is reached.
	Candidate bool
	// ListedRouters is the number of routers in the VM list.
	ListedRouters int
	// LeaseEnd is when the majority expires; zero means never.
	LeaseEnd time.Time
	// Stopping refuses new requests; running ones continue.
	Stopping bool
}

// Service serves the pools that this router owns. It is safe for concurrent use.
type Service struct {
	deps Deps
	// ctx is cancelled by Kill.
	ctx    context.Context
	cancel context.CancelFunc
	killed atomic.Bool
	mu     sync.RWMutex
	pools  map[string]*ownedPool
}

// New returns a service without pools.
func New(deps Deps) *Service {
	if deps.Events == nil {
		deps.Events = event.Nop()
	}
	s := &Service{deps: deps, pools: map[string]*ownedPool{}}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Kill ends all requests at once without cancelling them at the engines, as a
// crash of the process would.
func (s *Service) Kill() {
	s.killed.Store(true)
	s.cancel()
	s.Close()
}

// Close stops the KV cache moves of all pools. Requests continue. It is called
// when the router has drained.
func (s *Service) Close() {
	for _, p := range s.snapshot() {
		p.closeMoves()
	}
}

// Assign applies decisions of the control goroutine. Pools that are not in the
// list are handed back.
func (s *Service) Assign(now time.Time, list []Assignment) {
	assigned := map[string]bool{}
	for _, a := range list {
		assigned[a.Pool.Name] = true
		s.assign(now, a)
	}
	for name, p := range s.snapshot() {
		if !assigned[name] {
			p.handBack(now, admission.CodeNotOwner)
		}
	}
}

func (s *Service) assign(now time.Time, a Assignment) {
	p := s.lookup(a.Pool.Name)
	if p == nil {
		if !a.Owned && !a.Candidate {
			return
		}
		p = newOwnedPool(s.ctx, s.deps, a, &s.killed)
		s.mu.Lock()
		s.pools[a.Pool.Name] = p
		s.mu.Unlock()
	}
	p.apply(now, a)
}

func (s *Service) lookup(name string) *ownedPool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.pools[name]
}

func (s *Service) snapshot() map[string]*ownedPool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	all := make(map[string]*ownedPool, len(s.pools))
	for name, p := range s.pools {
		all[name] = p
	}
	return all
}

// Adopt counts attempts that a previous owner of the pool started. complete is
// set when the list is from the previous owner and contains all of them.
func (s *Service) Adopt(now time.Time, pool string, attempts []*peerpb.Attempt, complete bool) {
	p := s.lookup(pool)
	if p == nil {
		return
	}
	if len(attempts) > 0 {
		s.deps.Events.Emit(event.AttemptsAdopted, "pool", pool, "attempts", len(attempts), "complete", complete)
	}
	if complete {
		p.applyCompleteList(now, attempts)
	}
	p.adopt(now, attempts)
}

// RecordAttemptEnded records that an adopted attempt has ended.
func (s *Service) RecordAttemptEnded(now time.Time, pool, attemptID string) {
	if p := s.lookup(pool); p != nil {
		p.releaseAdopted(now, attemptID)
	}
}

// Attempts returns the attempts of a pool that this router runs or adopted.
// complete is set when this router was the previous owner, so that the list
// contains all its attempts.
func (s *Service) Attempts(pool string) (attempts []*peerpb.Attempt, complete bool) {
	p := s.lookup(pool)
	if p == nil {
		return nil, false
	}
	complete = !p.owned() && p.wasOwned.Swap(false)
	return append(p.runs.attempts(), p.adoptedAttempts()...), complete
}

// Tick processes the waits and deadlines of all pools and returns the time of the
// next event, or the zero time.
func (s *Service) Tick(now time.Time) time.Time {
	var next time.Time
	for _, p := range s.snapshot() {
		t := p.admission.Tick(now)
		if !t.IsZero() && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	return next
}

// Stats returns the state of the owned pools.
func (s *Service) Stats() []admission.Stats {
	var stats []admission.Stats
	for _, p := range s.snapshot() {
		if p.owned() {
			stats = append(stats, p.admission.Stats())
		}
	}
	return stats
}

// MoveResults returns the number of ended KV cache moves of the owned pools, by
// pool and result, since the pool was taken over.
func (s *Service) MoveResults() map[string]map[string]int64 {
	all := map[string]map[string]int64{}
	for name, p := range s.snapshot() {
		if m := p.currentMover(); m != nil {
			all[name] = m.Results()
		}
	}
	return all
}

// Running returns the number of attempts that this router runs.
func (s *Service) Running() int {
	n := 0
	for _, p := range s.snapshot() {
		n += p.runs.count()
	}
	return n
}

// Serve processes one relayed request up to its terminal frame. The end of ctx
// means that the caller has disconnected, and cancels the attempt.
func (s *Service) Serve(ctx context.Context, req *peerpb.Relay, out Sender) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(s.ctx, cancel)()
	p := s.lookup(req.Pool)
	if p == nil || !p.owned() && !req.Resume {
		_ = out.Send(notOwnerFrame(req))
		return
	}
	e := &exchange{pool: p, req: req, out: out, startedAt: s.deps.Clock.Now()}
	if req.Resume {
		e.resume(ctx)
		return
	}
	e.run(ctx)
}

func notOwnerFrame(req *peerpb.Relay) *peerpb.Frame {
	return &peerpb.Frame{
		AttemptId: req.AttemptId,
		Terminal:  true,
		Outcome:   peerpb.Outcome_OUTCOME_NOT_RUN,
		Code:      dispatch.CodeNotOwner,
		Detail:    "this router does not own the pool",
	}
}
