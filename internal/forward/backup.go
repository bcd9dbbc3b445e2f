package forward

import (
	"context"
	"errors"
	"io"
	"math"
	"strconv"
	"syscall"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/balance"
	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/namedlimit"
	"github.com/bluebellwell/bluebellwell/internal/placement"
	"github.com/bluebellwell/bluebellwell/internal/registry"
	"github.com/bluebellwell/bluebellwell/internal/routing"
	"github.com/bluebellwell/bluebellwell/internal/streambackup"
)

// backup is an engine that is to hold a copy of a run's memory.
type backup struct {
	server *registry.Server
	// tokens is the expected size of the copy.
	tokens int
	risk   float64
	// released is set when the copy is no longer counted. The pool's lock guards it.
	released bool
}

// backedUpEngines returns the engines of a pool that copy the memory of running requests, nil where they do not.
func backedUpEngines(t *routing.Table, pool string) *routing.Engine {
	if t == nil {
		return nil
	}
	if e := t.Pool(pool).Engine; e != nil && e.Backups {
		return e
	}
	return nil
}

// nameBackup returns the engine to which the memory of the run is to be copied that is sent to the server of a
// choice, nil for none. The backup can only be named when the request is sent.
func (c *call) nameBackup(choice balance.Choice, job balance.Job) *backup {
	if c.route.Kind != routing.Stream || !choice.Server.Engine {
		return nil
	}
	engine := backedUpEngines(c.table, c.pool.name)
	if engine == nil {
		return nil
	}
	b := c.pool.nameBackup(time.Now(), choice, job, c.backupRun(), streambackup.Bounds{Pool: streambackup.Pool{
		KVTokens: engine.KVTokens, KVTokenBytes: engine.KVTokenBytes, LinkMbps: engine.LinkMbps, Slots: engine.Slots,
	}}, c.handler.state.limitShare)
	if b != nil {
		c.handler.metrics.recordBackup(c.pool.name)
		c.handler.events.Emit(event.BackupNamed, "request", c.headers.ID, "server", choice.Server.ID, "backup", b.server.ID,
			"tokens", b.tokens, "risk", b.risk)
	}
	return b
}

// recordRun records how many events a whole stream had and how long it took, where the memory of runs may be copied.
func (c *call) recordRun() {
	if c.route.Kind != routing.Stream || backedUpEngines(c.table, c.pool.name) == nil {
		return
	}
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.backups.RecordAnswer(c.stream.events.EventsWithID(), time.Since(c.arrivedAt)-c.firstByte)
}

// backupRun describes the run that is about to be sent.
func (c *call) backupRun() streambackup.Run {
	done, _ := strconv.ParseUint(c.stream.events.LastEventID(), 10, 31)
	return streambackup.Run{
		PromptTokens: c.headers.promptTokens(), OutputHint: c.headers.OutputHint, MaxOutput: c.headers.MaxOutputTokens, Done: int(done),
		Resumable: c.route.Resumable, Remaining: time.Until(c.deadline),
	}
}

// nameBackup decides whether a run is backed up and where, and counts the copy.
func (p *pool) nameBackup(now time.Time, choice balance.Choice, job balance.Job, run streambackup.Run, in streambackup.Bounds,
	share func(server uint64) namedlimit.Share) *backup {
	p.mu.Lock()
	defer p.mu.Unlock()
	policy := &p.backups
	if policy.Hazard.Quiet(now) {
		return nil
	}
	primary := p.balance.Primary(choice, job)
	run.ReadTime, in.Engines, in.Routers = primary.ReadTime, primary.Engines, share(choice.Server.Key().Hash()).Routers
	risk := policy.Risk(now, p.engineOf(now, primary), run)
	if risk == 0 {
		return nil
	}
	target, ok := p.balance.PickBackup(now, job, choice.Server.Key(), func(b balance.Backup, hash uint64) bool {
		t := targetOf(b)
		return policy.Copies.Fits(hash, policy.Tokens(run, t), in) && policy.Worth(in.Pool, run, t, risk)
	})
	if !ok {
		return nil
	}
	b := &backup{server: target.Server, tokens: policy.Tokens(run, targetOf(target)), risk: risk}
	policy.Copies.Add(b.server.Key().Hash(), b.tokens)
	return b
}

func targetOf(b balance.Backup) streambackup.Target {
	return streambackup.Target{Cached: b.Cached, Remote: b.Remote, Load: b.LoadPerSlot}
}

// engineOf describes the engine of a run. The caller holds mu.
func (p *pool) engineOf(now time.Time, primary balance.Primary) streambackup.Engine {
	e := streambackup.Engine{ID: engineID(primary.Server), Engines: primary.Engines, Release: p.versions.several}
	if born := primary.Server.Born; born > 0 {
		e.Age = max(now.Sub(time.UnixMilli(born)), time.Millisecond)
	}
	return e
}

// engineID identifies an engine across its incarnations.
func engineID(s *registry.Server) uint64 { return placement.Hash(s.ID) }

// releaseBackup ends the count of the copy of an attempt that has ended.
func (p *pool) releaseBackup(b *backup) {
	if b == nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if !b.released {
		b.released = true
		p.backups.Copies.Release(b.server.Key().Hash(), b.tokens)
	}
}

// backupStatus returns the state of the copies, nil when there is nothing to say. The caller holds mu.
func (p *pool) backupStatus(now time.Time) *BackupStatus {
	copies := &p.backups.Copies
	if p.backups.Hazard.Quiet(now) && copies.Count() == 0 {
		return nil
	}
	return &BackupStatus{EngineEnds: math.Round(100*p.backups.Hazard.Ends(now)) / 100, Running: copies.Count(), Tokens: copies.Tokens()}
}

// recordEndSign records a sign that an engine has ended. The caller holds mu.
func (p *pool) recordEndSign(now time.Time, s *registry.Server, sign streambackup.Sign) {
	p.backups.Hazard.Record(now, s.Key().Hash(), engineID(s), sign)
}

// recordVanished records the engines that are not among the current servers although they have not said that they
// leave, and ends their silent attempts. The caller holds mu.
func (p *pool) recordVanished(current map[registry.Key]bool) {
	for _, s := range p.balance.Vanished(current) {
		p.recordEndSign(time.Now(), s, streambackup.Vanished)
		p.endSilentRuns(s.Key())
	}
}

// recordEndSigns records what an attempt shows of the end of its engine.
func (c *call) recordEndSigns(s *registry.Server, res result) {
	if !s.Engine {
		return
	}
	switch {
	case res.outcome == balance.Unreachable && errors.Is(c.attempts.readError, syscall.ECONNREFUSED):
		c.pool.recordEnd(s, streambackup.Refused)
	case res.outcome == balance.Failed && c.attempts.serverEnded() && !c.pool.brittle(s.Key()):
		c.pool.recordEnd(s, streambackup.Broken)
	}
}

// recordEnd records a sign that an engine has ended. One that accepts no connections has ended under its runs.
func (p *pool) recordEnd(s *registry.Server, sign streambackup.Sign) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.balance.Leaving(s.Key()) {
		// The end of one that leaves says nothing of others.
		p.recordEndSign(time.Now(), s, sign)
	}
	if sign == streambackup.Refused {
		p.endSilentRuns(s.Key())
	}
}

const (
	// minReportedFailures is the number of failures of an engine at all routers, and minReportedShare their share in
	// its outcomes, that count as a sign of its end.
	minReportedFailures = 2
	minReportedShare    = 0.5
)

// recordReported records failures of engines at all routers. The caller holds mu.
func (p *pool) recordReported(now time.Time, outcomes func(server uint64) (failed, ended int)) {
	for _, status := range p.balance.Status(now) {
		if !status.Server.Engine {
			continue
		}
		failed, ended := outcomes(status.Server.Key().Hash())
		if failed >= minReportedFailures && float64(failed) >= minReportedShare*float64(ended) {
			p.recordEndSign(now, status.Server, streambackup.Reported)
		}
	}
}

// errEngineGone cancels an attempt whose engine is gone and sends nothing.
var errEngineGone = errors.New("engine is gone")

// goneSilence is how long an engine that is gone, by its entry or because it accepts no connections, may send nothing
// before its runs go on elsewhere. What it had sent arrives within that time.
const goneSilence = 100 * time.Millisecond

// watchBackedUp remembers an attempt whose run has a backup until its end.
func (p *pool) watchBackedUp(key registry.Key, w *watch) (forget func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.backedUp == nil {
		p.backedUp = make(map[registry.Key]map[*watch]bool)
	}
	if p.backedUp[key] == nil {
		p.backedUp[key] = make(map[*watch]bool)
	}
	p.backedUp[key][w] = true
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		delete(p.backedUp[key], w)
		if len(p.backedUp[key]) == 0 {
			delete(p.backedUp, key)
		}
	}
}

// endSilentRuns ends the backed-up attempts at a server that is gone once they are silent. The caller holds mu.
func (p *pool) endSilentRuns(key registry.Key) {
	for w := range p.backedUp[key] {
		w.endWhenSilent()
	}
}

// maxGoneChecks bounds the checks after a sign that an engine has ended: one that still sends after a second has not.
const maxGoneChecks = 10

// endWhenSilent cancels the attempt when its server sends nothing for goneSilence soon after a sign that it has ended.
func (w *watch) endWhenSilent() {
	if w.checking.CompareAndSwap(false, true) {
		w.checkGone(maxGoneChecks)
	}
}

// checkGone makes a number of checks at most.
func (w *watch) checkGone(checks int) {
	before := w.lastProgress.Load()
	time.AfterFunc(goneSilence, func() {
		switch {
		case w.stopped.Load():
		case w.lastProgress.Load() == before:
			w.cancel(errEngineGone)
		case checks > 1:
			w.checkGone(checks - 1)
		default:
			w.checking.Store(false)
		}
	})
}

// runOver reports whether the run of the current attempt is over, although its answer is not whole: the engine ended the
// answer, or sent what is none, so that the connection was closed and the engine drops the run. Silence shows nothing,
// nor does a connection that timed out or lost its way: its engine does not see that it is closed.
func (c *call) runOver(ctx context.Context) bool {
	if cause := context.Cause(ctx); cause != nil {
		return errors.Is(cause, errEngineGone)
	}
	err := c.attempts.readError
	var network syscall.Errno
	var timeout interface{ Timeout() bool }
	switch {
	case c.attempts.serverEnded(), errors.Is(err, io.EOF):
		return true
	case errors.Is(err, errTooLong), errors.As(err, &network), errors.As(err, &timeout) && timeout.Timeout():
		return false
	}
	// The router that carries a connection, or the way to it, may have ended without its other side.
	return c.attempts.via == ""
}

// holdsEvents reports whether the caller gets whole events only, so that another engine can go on after the last one.
func (c *call) holdsEvents() bool { return c.route.Resumable || c.backup != nil }
