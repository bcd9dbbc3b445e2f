package intent

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	_ "github.com/bluebellwell/bluebellwell/internal/testseed" // fixed seed

	"github.com/bluebellwell/bluebellwell/internal/logstream"
	"github.com/bluebellwell/bluebellwell/internal/peerpb"
	"github.com/bluebellwell/bluebellwell/internal/standin/logsim"
)

const (
	modelOwners = 3
	modelKeys   = 3
	modelStream = "intent-00"
)

var modelLimits = Limits{Window: DefaultWindow, Margin: DefaultMargin}

// modelOwner is one router as an owner of the stream. Its log call is split into
// the steps issue, execute and deliver, so that any time can pass between them.
type modelOwner struct {
	w        *writer
	op       op
	issued   bool
	executed bool
	deliver  func(now time.Time)
}

// message is one call to an owner, with its reply once there is one.
type message struct {
	reply *peerpb.IntentReply
}

// submission is one request of a caller at its entry router.
type submission struct {
	call    *peerpb.IntentCall
	b       *beginExchange
	msg     *message
	crashed bool
	result  *peerpb.IntentReply
	refusal error
	ran     bool
	// closing is the OUTCOME or ABANDON that the router repeats until it is recorded.
	closing      *peerpb.IntentCall
	closingReply *peerpb.IntentReply
}

// modelKey is a key that callers use until it is replaced.
type modelKey struct {
	name   string
	issued time.Time
}

type model struct {
	t       *rapid.T
	clock   *clockwork.FakeClock
	log     *logsim.Log
	owners  [modelOwners]*modelOwner
	subs    []*submission
	keys    [modelKeys]modelKey
	epoch   int
	runs    map[string][]*submission
	answers map[string]string
}

func newModel(t *rapid.T) *model {
	m := &model{t: t, clock: clockwork.NewFakeClock(), runs: map[string][]*submission{}, answers: map[string]string{}}
	m.log = logsim.New(logsim.Options{Clock: m.clock, Retention: time.Hour})
	for i := range m.owners {
		m.restart(i)
	}
	for k := range m.keys {
		m.renew(k)
	}
	return m
}

func (m *model) renew(k int) {
	m.epoch++
	m.keys[k] = modelKey{name: fmt.Sprintf("k%d", m.epoch), issued: m.clock.Now()}
}

func (m *model) restart(i int) {
	m.owners[i] = &modelOwner{w: newWriter(modelLimits, timing{pollInterval: DefaultPollInterval}, m.clock.Now())}
}

func (m *model) owner() *modelOwner {
	return m.owners[rapid.IntRange(0, modelOwners-1).Draw(m.t, "owner")]
}

// send sends a call to any router, because routers disagree about the owner.
func (m *model) send(call *peerpb.IntentCall) *message {
	msg := &message{}
	m.owner().w.add(m.clock.Now(), &pendingCall{
		call:     call,
		deadline: m.clock.Now().Add(maxCallTime),
		reply:    func(r *peerpb.IntentReply) { m.checkReply(call, r); msg.reply = r },
	})
	return msg
}

func (k modelKey) begin(uid string) *peerpb.IntentCall {
	return &peerpb.IntentCall{
		Op:           peerpb.IntentOp_INTENT_OP_BEGIN,
		Uid:          uid,
		Workspace:    "w",
		Key:          k.name,
		Digest:       []byte(k.name),
		IssuedUnixMs: k.issued.UnixMilli(),
	}
}

func (m *model) submit() {
	k := rapid.IntRange(0, modelKeys-1).Draw(m.t, "key")
	call := m.keys[k].begin(fmt.Sprintf("u%d", len(m.subs)))
	s := &submission{call: call, b: newBeginExchange(call)}
	s.msg = m.send(call)
	m.subs = append(m.subs, s)
}

// stepOwner takes one step of an owner's log call.
func (m *model) stepOwner(o *modelOwner, fault string) bool {
	switch {
	case !o.issued:
		o.op = o.w.nextOp(m.clock.Now())
		o.issued = o.op.kind != opNone
		return o.issued
	case !o.executed:
		o.deliver = m.execute(o, fault)
		o.executed = true
	default:
		o.deliver(m.clock.Now())
		o.issued, o.executed = false, false
	}
	return true
}

func (m *model) execute(o *modelOwner, fault string) func(time.Time) {
	ctx := context.Background()
	if o.op.kind == opRead {
		page, err := m.log.Read(ctx, modelStream, o.op.from, o.op.max, 0)
		return func(now time.Time) { o.w.handleRead(now, page, err) }
	}
	if fault == "refused" {
		return func(now time.Time) { o.w.handleAppend(now, 0, logstream.ErrRateLimited) }
	}
	m.log.SetLoseAnswers(fault == "lost")
	m.log.SetDelayAppends(fault == "delayed")
	first, err := m.log.Append(ctx, modelStream, o.op.data)
	m.log.SetLoseAnswers(false)
	m.log.SetDelayAppends(false)
	if fault == "repeated" && err == nil {
		_, err = m.log.Append(ctx, modelStream, o.op.data)
		err = errors.Join(err, logstream.ErrUnavailable)
	}
	return func(now time.Time) { o.w.handleAppend(now, first, err) }
}

// pickSubmission returns one of the submissions that satisfy a condition, or nil.
func (m *model) pickSubmission(cond func(*submission) bool) *submission {
	var found []*submission
	for _, s := range m.subs {
		if !s.crashed && cond(s) {
			found = append(found, s)
		}
	}
	if len(found) == 0 {
		return nil
	}
	return rapid.SampledFrom(found).Draw(m.t, "submission")
}

// deliverReply delivers a reply to its entry router, or loses it.
func (m *model) deliverReply(lost bool) {
	s := m.pickSubmission(func(s *submission) bool {
		return s.msg != nil && (lost || s.msg.reply != nil)
	})
	if s != nil {
		m.deliverReplyTo(s, lost)
	}
}

func (m *model) deliverReplyTo(s *submission, lost bool) {
	r := s.msg.reply
	s.msg = nil
	if s.b.finished() {
		m.deliverClosingReply(s, r, lost)
		return
	}
	if lost {
		s.b.recordLostReply()
	} else {
		s.b.recordReply(r)
	}
	if !s.b.finished() {
		s.msg = m.send(s.b.nextCall())
		return
	}
	m.recordResult(s)
}

func (m *model) deliverClosingReply(s *submission, r *peerpb.IntentReply, lost bool) {
	if !lost && conclusive(r) {
		s.closingReply = r
		return
	}
	s.msg = m.send(s.closing)
}

func (m *model) expire() {
	s := m.pickSubmission(func(s *submission) bool { return !s.b.finished() })
	if s == nil {
		return
	}
	if s.msg != nil {
		s.b.recordLostReply()
	}
	s.msg = nil
	s.b.expire(DetailLogUnavailable)
	m.recordResult(s)
}

// recordResult handles the result of a BEGIN, as Guard.begin does.
func (m *model) recordResult(s *submission) {
	r, withdraw, err := s.b.result()
	s.result, s.refusal = r, err
	if withdraw {
		m.abandon(s)
	}
}

func (m *model) abandon(s *submission) {
	s.closing = proto.CloneOf(s.call)
	s.closing.Op = peerpb.IntentOp_INTENT_OP_ABANDON
	s.msg = m.send(s.closing)
}

func hasWon(s *submission) bool {
	return s.result != nil && s.result.State == peerpb.IntentState_INTENT_STATE_WON && s.closing == nil
}

// dispatch runs a request whose BEGIN returned WON, at any later time.
func (m *model) dispatch() {
	s := m.pickSubmission(func(s *submission) bool { return hasWon(s) && !s.ran })
	if s == nil {
		return
	}
	s.ran = true
	m.runs[s.call.Key] = append(m.runs[s.call.Key], s)
	m.answers[s.call.Uid] = "answer of " + s.call.Uid
	if n := len(m.runs[s.call.Key]); n > 1 {
		m.t.Fatalf("key %s ran %d times, want once", s.call.Key, n)
	}
}

func (m *model) finish() {
	s := m.pickSubmission(func(s *submission) bool { return hasWon(s) && s.ran })
	if s == nil {
		return
	}
	s.closing = proto.CloneOf(s.call)
	s.closing.Op = peerpb.IntentOp_INTENT_OP_OUTCOME
	s.closing.Status = 200
	s.closing.Body = []byte(m.answers[s.call.Uid])
	s.msg = m.send(s.closing)
}

func (m *model) abandonWon() {
	if s := m.pickSubmission(func(s *submission) bool { return hasWon(s) && !s.ran }); s != nil {
		m.abandon(s)
	}
}

// reference folds the whole stream from its first record without dropping entries.
func (m *model) reference() *Fold {
	f := NewFold(modelLimits, 0)
	for _, r := range m.log.Records(modelStream) {
		f.Apply(r.Offset, r.Time, r.Data)
		f.insertions = nil
	}
	return f
}

// checkReply compares a reply with what ran and with the whole stream.
func (m *model) checkReply(call *peerpb.IntentCall, r *peerpb.IntentReply) {
	e, _ := m.reference().Lookup(KeyID(call.Workspace, call.Key))
	switch r.State {
	case peerpb.IntentState_INTENT_STATE_DONE:
		if string(r.Body) != m.answers[r.Uid] || r.Uid != m.runs[call.Key][0].call.Uid {
			m.t.Fatalf("reply %v to %v, ran %v", r, call, m.answers)
		}
	case peerpb.IntentState_INTENT_STATE_WON:
		if call.Op != peerpb.IntentOp_INTENT_OP_BEGIN {
			m.t.Fatalf("%v of %s got WON", call.Op, call.Uid)
		}
	case peerpb.IntentState_INTENT_STATE_UNKNOWN:
		if r.Detail == DetailNotHolder && m.clock.Now().Before(time.UnixMilli(call.IssuedUnixMs).Add(modelLimits.Window)) {
			m.t.Fatalf("the outcome of holder %s is refused, the stream has %+v", call.Uid, e)
		}
	case peerpb.IntentState_INTENT_STATE_NOT_RUN:
		if r.Detail == DetailVoided && !slices.Contains(e.Withdrawn, call.Uid) {
			m.t.Fatalf("uid %s got voided, the stream has %+v", call.Uid, e)
		}
		if ran := m.runs[call.Key]; len(ran) > 0 && ran[0].call.Uid == call.Uid {
			m.t.Fatalf("uid %s ran but got not_run", call.Uid)
		}
	}
}

func (m *model) actions() map[string]func() {
	faults := []string{"none", "none", "none", "lost", "delayed", "repeated", "refused"}
	return map[string]func(){
		"submit": m.submit,
		"step owner": func() {
			o := m.owner()
			n := rapid.IntRange(1, 8).Draw(m.t, "steps")
			for range n {
				m.stepOwner(o, rapid.SampledFrom(faults).Draw(m.t, "fault"))
			}
		},
		"handle reply":  func() { m.deliverReply(false) },
		"lose reply":    func() { m.deliverReply(true) },
		"force timeout": m.expire,
		"dispatch":      m.dispatch,
		"finish":        m.finish,
		"abandon won":   m.abandonWon,
		"kill entry router": func() {
			if s := m.pickSubmission(func(*submission) bool { return true }); s != nil {
				s.crashed = true
			}
		},
		"renew key":  func() { m.renew(rapid.IntRange(0, modelKeys-1).Draw(m.t, "key")) },
		"kill owner": func() { m.restart(rapid.IntRange(0, modelOwners-1).Draw(m.t, "owner")) },
		"log down":   func() { m.log.SetDown(true) },
		"log up":     func() { m.log.SetDown(false) },
		"release":    func() { m.log.ApplyDelayed(rapid.IntRange(-1, 2).Draw(m.t, "released")) },
		"wait":       func() { m.clock.Advance(time.Duration(rapid.IntRange(1, 1500).Draw(m.t, "ms")) * time.Millisecond) },
		"wait long": func() {
			m.clock.Advance(time.Duration(rapid.SampledFrom([]int{0, 0, 0, 0, 0, 0, 0, 1, 2, 16}).Draw(m.t, "min")) * time.Minute)
		},
	}
}

// weights raise the share of the actions that advance calls.
var weights = map[string]int{
	"step owner": 16, "handle reply": 12, "submit": 1, "dispatch": 4, "finish": 4, "log up": 8,
}

// settle ends all faults and runs every router until it has nothing to do.
func (m *model) settle() {
	m.log.SetDown(false)
	m.log.ApplyDelayed(-1)
	for range 6 {
		m.clock.Advance(maxBackoff)
		for _, o := range m.owners {
			for steps := 0; m.stepOwner(o, "none"); steps++ {
				if steps > 2000 {
					m.t.Fatal("an owner still has work after 2000 steps")
				}
			}
		}
		for _, s := range m.subs {
			if s.msg != nil && !s.crashed {
				m.deliverReplyTo(s, s.msg.reply == nil)
			}
		}
	}
}

// checkHolder guards against a key that is held by a uid whose running router
// will never dispatch it.
func (m *model) checkHolder(e Entry) {
	for _, s := range m.subs {
		abandoned := s.result != nil && !hasWon(s) && !s.ran || s.refusal != nil
		if s.call.Uid == e.Holder && abandoned && !s.crashed {
			m.t.Fatalf("the key is held by %s, which got %v and %v", e.Holder, s.result, s.refusal)
		}
	}
}

// checkEnd guards against a key that stays blocked, and against a fold that
// differs from the stream.
func (m *model) checkEnd() {
	m.settle()
	m.clock.Advance(DefaultPollInterval)
	m.settle()
	reference := m.reference()
	for k, key := range m.keys {
		id := KeyID("w", key.name)
		if age := m.clock.Since(key.issued); age > modelLimits.Window {
			m.checkFinalBegin(key, peerpb.IntentState_INTENT_STATE_EXPIRED)
			continue
		} else if age > modelLimits.Window-time.Minute {
			continue
		}
		want, _ := reference.Lookup(id)
		m.checkHolder(want)
		for i, o := range m.owners {
			got, _ := o.w.fold.Lookup(id)
			if got.Generation != want.Generation || got.Holder != want.Holder || got.Fencing != want.Fencing {
				m.t.Fatalf("owner %d has %+v for key %d, the stream has %+v", i, got, k, want)
			}
		}
		state := peerpb.IntentState_INTENT_STATE_WON
		switch {
		case want.Outcome != nil:
			state = peerpb.IntentState_INTENT_STATE_DONE
		case want.Holder != "" && m.owners[0].w.view(m.clock.Now()).holderEnded(want):
			state = peerpb.IntentState_INTENT_STATE_UNKNOWN
		case want.Holder != "":
			state = peerpb.IntentState_INTENT_STATE_IN_PROGRESS
		}
		m.checkFinalBegin(key, state)
	}
}

// checkFinalBegin guards against a free key that a new uid cannot win, and a
// held or expired key that it can.
func (m *model) checkFinalBegin(key modelKey, want peerpb.IntentState) {
	msg := m.send(key.begin("last-" + key.name))
	m.settle()
	if msg.reply == nil || msg.reply.State != want {
		m.t.Fatalf("key %s: got %v, want %v", key.name, msg.reply, want)
	}
}

// Guards against a second run of a key, a false not_run, a DONE reply that
// differs from what ran, folds that differ between routers, and a key that
// stays blocked although no uid holds it. Routers disagree about the owner, and
// pause and crash at any step; appends are lost, delayed and repeated.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel(t)
		actions := m.actions()
		var names []string
		for name := range actions {
			names = append(names, slices.Repeat([]string{name}, weights[name]+1)...)
		}
		slices.Sort(names)
		for range rapid.IntRange(200, 400).Draw(t, "actions") {
			actions[rapid.SampledFrom(names).Draw(t, "action")]()
		}
		m.checkEnd()
	})
}
