package forward

import (
	"errors"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/balance"
	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/framing"
	"github.com/bluebellwell/bluebellwell/internal/quarantine"
	"github.com/bluebellwell/bluebellwell/internal/registry"
)

const (
	// blamableTime is how long after the start of its answer a request may have crashed the
	// engine. One that has been answered for longer was only there.
	blamableTime = 500 * time.Millisecond
	// soundTime is how long an answer must last that does not end whole, so that its request
	// is known not to crash engines. Slow engines may take a few times blamableTime.
	soundTime = 3 * time.Second
	// confirmDelay is the time in which the requests are collected that break off together.
	confirmDelay = 20 * time.Millisecond
)

// serverEnded reports whether the server ended the connection before the last answer was
// whole. A timeout or bytes that are no answer show nothing of the kind.
func (a *attempts) serverEnded() bool {
	if a.closedBeforeAnswer {
		return true
	}
	if errors.Is(a.readError, io.EOF) {
		return a.framing == framing.Unknown || a.framing == framing.Close
	}
	for _, end := range []error{io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(a.readError, end) {
			return true
		}
	}
	return false
}

// mayHaveCrashed reports whether the engine may have ended because of the last attempt:
// it ended the connection before its answer or soon after its start.
func (c *call) mayHaveCrashed(res result) bool {
	return res.outcome == balance.Failed && c.attempts.serverEnded() && c.attempts.answeringTime() <= blamableTime
}

// showsSound reports whether the last attempt shows that the parts of the prompt do not crash
// engines. The end of an unmarked answer may be that of its engine.
func (c *call) showsSound(res result) bool {
	whole := res.outcome == balance.Served && c.w.status < http.StatusMultipleChoices && c.attempts.framing != framing.Close
	return whole || c.attempts.answeringTime() >= soundTime
}

// showsRequestSound reports whether the last attempt shows that the request as a whole does
// not crash servers. Other than for a part, it does not matter what the server answered.
func (c *call) showsRequestSound(res result) bool {
	return c.showsSound(res) || res.outcome == balance.Served && c.attempts.framing != framing.Close
}

// recordCrashSigns records what an attempt shows of the request and the parts of its prompt.
func (c *call) recordCrashSigns(s *registry.Server, res result) {
	switch {
	case c.mayHaveCrashed(res) && c.pool.brittle(s.Key()):
		// It falls over because of what it had to reject.
	case c.mayHaveCrashed(res):
		c.attempts.broken = append(c.attempts.broken, brokenAttempt{server: s.Key(), sentAt: c.attempts.sentAt, endedAt: time.Now()})
		c.handler.state.crashes.suspect(s, c.partIDs(), quarantine.Sent{Fingerprint: c.fingerprint(), At: c.attempts.sentAt})
	case c.showsSound(res):
		c.handler.state.crashes.recordServed(c.heldIDs())
	case c.showsRequestSound(res):
		c.handler.state.crashes.recordServed([]uint64{c.fingerprint()})
	}
}

// brokenAttempt is an attempt that its server broke off before the answer or soon after its start.
type brokenAttempt struct {
	server          registry.Key
	sentAt, endedAt time.Time
}

// recordBroken records the attempts that servers have broken off when none has answered the
// request, not even with a failure. Where it comes again, that may be the only sign that it
// crashes them.
func (c *call) recordBroken() {
	if len(c.attempts.broken) > 0 && c.outcome != OutcomeServed && c.attempts.failure == nil {
		c.handler.state.crashes.recordBroken(c.fingerprint(), c.attempts.broken)
	}
}

// maySendAgain reports whether another server may get the request without ending as well.
func (c *call) maySendAgain(res result) bool {
	return !c.handler.state.crashes.doubtful(c.heldIDs(), c.mayHaveCrashed(res))
}

// heldIDs returns the IDs of the shared parts of the prompt and the fingerprint.
func (c *call) heldIDs() []uint64 {
	if c.parts == nil {
		for _, p := range c.headers.shared() {
			c.parts = append(c.parts, p.ID)
		}
		c.parts = append(c.parts, c.fingerprint())
	}
	return c.parts
}

// partIDs returns the IDs of the shared parts of the prompt.
func (c *call) partIDs() []uint64 { return c.heldIDs()[:len(c.heldIDs())-1] }

// sendable reports whether what is known of crashes allows to send the request, or refuses it.
func (c *call) sendable() bool {
	v := c.handler.state.crashes.check(time.Now(), c.heldIDs())
	if (v.Refused || v.Trial) && !v.Request {
		c.decidedPart = v.Part
	}
	switch {
	case v.Refused && v.Suspected:
		c.refuseWithWait(CauseSuspectedRequest, v.RetryAfter)
	case v.Refused && v.Request:
		c.refuseWithWait(CauseCrashingRequest, max(v.RetryAfter, maxRetryAfter))
	case v.Refused:
		c.refuseWithWait(CauseCrashingPart, max(v.RetryAfter, maxRetryAfter))
	case v.Trial:
		c.handler.events.Emit(event.PartTried, "request", c.headers.ID, partField(v.Request), strconv.FormatUint(v.Part, 16))
	}
	return !v.Refused
}

// partField returns the name of a log field for a part of a prompt or a fingerprint.
func partField(request bool) string {
	if request {
		return "fingerprint"
	}
	return "part"
}

// crashes is what the router knows of servers that end under requests, and of the requests and
// the parts of their prompts. It is safe for concurrent use.
type crashes struct {
	// onNews is called when the other routers have to be told something, turn returns how many
	// routers come before this one in sending trials, onCrash and onChange log.
	onNews func()
	turn   func() int
	// ended reports whether nothing listens at the address of a server.
	ended    func(addr string) bool
	onCrash  func(s *registry.Server, parts, requests int)
	onChange func(quarantine.Change)

	mu      sync.Mutex
	tracker *quarantine.Tracker
	// pending holds the engines whose end is to be confirmed.
	pending map[registry.Key]*pendingCrash
}

// pendingCrash is a server that has broken off requests with the parts.
type pendingCrash struct {
	at    time.Time
	parts map[uint64]bool
	// requests has the last time at which each was sent.
	requests map[uint64]time.Time
}

func newCrashes(onNews func()) *crashes {
	return &crashes{
		onNews: onNews, turn: func() int { return 0 }, onCrash: func(*registry.Server, int, int) {}, onChange: func(quarantine.Change) {},
		tracker: quarantine.New(), pending: make(map[registry.Key]*pendingCrash),
	}
}

func (k *crashes) check(now time.Time, parts []uint64) quarantine.Verdict {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.tracker.Check(now, parts, k.turn)
}

// doubtful reports whether a request with the parts should not be sent again. broken is
// set when the engine that had it may have ended under it.
func (k *crashes) doubtful(parts []uint64, broken bool) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.tracker.Quarantined(parts) || broken && k.tracker.Doubtful(parts)
}

// recordServed records that an engine has answered a request with the parts whole.
func (k *crashes) recordServed(parts []uint64) {
	k.mu.Lock()
	announced := k.tracker.RecordServed(time.Now(), parts)
	k.mu.Unlock()
	if announced {
		k.onNews()
	}
}

// suspect records that a server has broken off a request with the parts, which may have
// crashed it, and checks a little later whether it has ended.
func (k *crashes) suspect(s *registry.Server, parts []uint64, request quarantine.Sent) {
	k.mu.Lock()
	defer k.mu.Unlock()
	p := k.pending[s.Key()]
	if p == nil {
		p = &pendingCrash{at: time.Now(), parts: make(map[uint64]bool), requests: make(map[uint64]time.Time)}
		k.pending[s.Key()] = p
		time.AfterFunc(confirmDelay, func() { k.confirm(s) })
	}
	for _, part := range parts {
		p.parts[part] = true
	}
	if request.At.After(p.requests[request.Fingerprint]) {
		p.requests[request.Fingerprint] = request.At
	}
}

// recordBroken records that servers have broken a request off, and may not have ended.
func (k *crashes) recordBroken(fingerprint uint64, list []brokenAttempt) {
	k.mu.Lock()
	now := time.Now()
	for _, b := range list {
		k.tracker.RecordBroken(now, b.endedAt, b.server.Hash(), quarantine.Sent{Fingerprint: fingerprint, At: b.sentAt})
	}
	k.mu.Unlock()
	k.onNews()
}

// confirm records the crash of a server that accepts no connections.
func (k *crashes) confirm(s *registry.Server) {
	ended := k.ended(s.Addr)
	k.mu.Lock()
	p := k.pending[s.Key()]
	delete(k.pending, s.Key())
	if !ended {
		k.mu.Unlock()
		return
	}
	requests := make([]quarantine.Sent, 0, len(p.requests))
	for fingerprint, at := range p.requests {
		requests = append(requests, quarantine.Sent{Fingerprint: fingerprint, At: at})
	}
	k.tracker.RecordCrash(time.Now(), p.at, s.Key().Hash(), slices.Collect(maps.Keys(p.parts)), requests)
	k.mu.Unlock()
	k.onCrash(s, len(p.parts), len(requests))
	k.onNews()
}

// update logs the changes of what is believed of parts.
func (k *crashes) update() {
	k.mu.Lock()
	changes := k.tracker.Update(time.Now())
	k.mu.Unlock()
	for _, change := range changes {
		k.onChange(change)
	}
}

// SetTrialTurn sets the function that returns how many routers come before this one in
// trying quarantined parts again. Call it before requests are served.
func (st *State) SetTrialTurn(f func() int) { st.crashes.turn = f }

// TakePartReport returns what is new of parts of prompts that crash engines, and with all
// what is known of them.
func (st *State) TakePartReport(all bool) quarantine.Report {
	st.crashes.update()
	st.crashes.mu.Lock()
	defer st.crashes.mu.Unlock()
	return st.crashes.tracker.Take(time.Now(), all)
}

// PartEntries returns the quarantined parts.
func (st *State) PartEntries() []quarantine.Entry {
	st.crashes.mu.Lock()
	defer st.crashes.mu.Unlock()
	return st.crashes.tracker.Entries(time.Now())
}

// ApplyPartReport applies what another router knows of parts.
func (st *State) ApplyPartReport(r quarantine.Report) {
	st.crashes.mu.Lock()
	defer st.crashes.mu.Unlock()
	st.crashes.tracker.Apply(time.Now(), r)
}

// observeCrashes logs and counts crashes and what is believed of parts.
func observeCrashes(k *crashes, events *event.Logger, metrics *Metrics) {
	k.onCrash = func(s *registry.Server, parts, requests int) {
		events.Emit(event.EngineCrashed, "server", s.ID, "pool", s.Pool, "parts", parts, "requests", requests)
		metrics.scope.Counter("engine_crashes").Inc(1)
	}
	k.onChange = func(change quarantine.Change) {
		e := event.PartReleased
		switch {
		case change.Quarantined:
			e = event.PartQuarantined
		case change.Suspected:
			e = event.RequestSuspected
		}
		events.Emit(e, partField(change.Request), strconv.FormatUint(change.Part, 16), "crashes", change.Crashes, "received", change.Received)
		metrics.scope.Gauge("quarantined_parts").Update(float64(k.count()))
	}
}

func (k *crashes) count() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.tracker.Parts())
}
