package intent

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"google.golang.org/protobuf/proto"
	"gopkg.in/tomb.v2"

	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/logstream"
	"github.com/bluebellwell/bluebellwell/internal/peerpb"
)

// Defaults of Options.
const (
	// DefaultWindow is the maximum age of a key. It is below the log's retention.
	DefaultWindow = 15 * time.Minute
	// DefaultMargin exceeds the clock difference that time synchronization leaves.
	DefaultMargin = 30 * time.Second
	// DefaultBatchInterval limits the appends of one stream to 100 per second.
	DefaultBatchInterval = 10 * time.Millisecond
	// DefaultPollInterval keeps the traffic of an idle stream near 20 B/s: one
	// empty read is about 600 B with framing.
	DefaultPollInterval     = 30 * time.Second
	defaultOwnerCallTimeout = 1 * time.Second
	defaultStreams          = 16
)

const (
	// maxCallTime limits a call; its context may end it earlier.
	maxCallTime = 5 * time.Second
	// maxWithdrawals limits the undecided intents that are withdrawn concurrently.
	maxWithdrawals = 256
)

// Errors that callers test with errors.Is.
var (
	// ErrNotSent is wrapped by an error of Options.Remote if no byte of the call
	// can have reached the other router.
	ErrNotSent = errors.New("call was not sent")
	// ErrUnconfirmed means that the context ended before the record of an
	// outcome or an abandonment was confirmed. It may have been recorded.
	ErrUnconfirmed = errors.New("record of the non-repeatable request is not confirmed")
)

// Options configures a Guard. Zero durations, limits and Streams take their defaults.
type Options struct {
	Log    logstream.Log
	Clock  clockwork.Clock
	Events *event.Logger
	// Streams is the number of intent streams. It must be the same in all
	// routers and may change only while the fleet has no open keys.
	Streams int
	Limits  Limits
	// BatchInterval is how long calls are collected into one append. A negative
	// value sends each append at once.
	BatchInterval time.Duration
	// PollInterval is the time between reads of an idle stream.
	PollInterval time.Duration
	// OwnerCallTimeout limits one call to another router that owns the stream.
	OwnerCallTimeout time.Duration
	// Owns reports whether this router owns a stream now.
	Owns func(stream int) bool
	// OwnerOf returns the peer address of the owner of a stream.
	OwnerOf func(stream int) (addr string, ok bool)
	// Remote sends a call to another router, whose Handle answers it. It must
	// not send a call twice. Its error wraps ErrNotSent if the call cannot have
	// reached the other router.
	Remote func(ctx context.Context, addr string, call *peerpb.IntentCall) (*peerpb.IntentReply, error)
}

func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Events == nil {
		o.Events = event.Nop()
	}
	if o.Streams <= 0 {
		o.Streams = defaultStreams
	}
	durations := []struct {
		v            *time.Duration
		defaultValue time.Duration
	}{
		{&o.Limits.Window, DefaultWindow},
		{&o.Limits.Margin, DefaultMargin},
		{&o.BatchInterval, DefaultBatchInterval},
		{&o.PollInterval, DefaultPollInterval},
		{&o.OwnerCallTimeout, defaultOwnerCallTimeout},
	}
	for _, d := range durations {
		if *d.v == 0 {
			*d.v = d.defaultValue
		}
	}
	return o
}

// Guard records non-repeatable requests in the intent streams. It is safe for
// concurrent use.
type Guard struct {
	opts Options
	tomb tomb.Tomb

	mu          sync.Mutex
	streams     map[int]*Stream
	withdrawals int
	closed      bool
}

// New returns a guard, which opens a stream at its first call or in Refresh.
func New(o Options) *Guard {
	g := &Guard{opts: o.withDefaults(), streams: map[int]*Stream{}}
	// The tomb needs one goroutine that lives as long as the guard.
	g.tomb.Go(func() error {
		<-g.tomb.Dying()
		return nil
	})
	return g
}

// Close stops all streams. Open calls end without a decision.
func (g *Guard) Close() error {
	g.mu.Lock()
	g.closed = true
	open := g.streams
	g.streams = map[int]*Stream{}
	g.mu.Unlock()
	g.tomb.Kill(nil)
	for _, s := range open {
		s.Close()
	}
	return g.tomb.Wait()
}

// Refresh opens the streams that this router owns and closes all others. The
// router calls it after each change of its membership view.
func (g *Guard) Refresh() {
	for n := range g.opts.Streams {
		g.ownedStream(n)
	}
}

// ownedStream returns the stream, opened if needed, if this router owns it.
// Otherwise it closes the stream.
func (g *Guard) ownedStream(n int) (*Stream, bool) {
	owns := g.opts.Owns(n)
	g.mu.Lock()
	s, open := g.streams[n]
	switch {
	case g.closed:
		owns, open = false, false
	case owns && !open:
		s = openStream(StreamName(n), g.opts)
		g.streams[n] = s
		g.opts.Events.Emit(event.IntentStreamOpened, "stream", s.name)
	case !owns && open:
		delete(g.streams, n)
	}
	g.mu.Unlock()
	if !owns && open {
		s.Close()
		g.opts.Events.Emit(event.IntentStreamClosed, "stream", s.name)
	}
	return s, owns
}

// Handle answers a call of another router. The reply NOT_RUN or UNSPECIFIED with
// DetailNotOwner means that this router does not own the stream.
func (g *Guard) Handle(ctx context.Context, call *peerpb.IntentCall) *peerpb.IntentReply {
	s, ok := g.ownedStream(StreamOf(call.Workspace, call.Key, g.opts.Streams))
	if !ok {
		return refusalReply(call, DetailNotOwner)
	}
	return s.Call(ctx, call)
}

// Call records or looks up a key on behalf of this router as the entry router.
//
// BEGIN needs a uid that was never used before. Only the reply WON allows the
// request to be dispatched; its Fencing is the fencing number for the backend
// server. A *RefusedError, like the reply NOT_RUN, means that the request was
// not dispatched and will not be: the caller receives not_run. Every other
// reply forbids a dispatch.
//
// OUTCOME and ABANDON are sent by the holder and are repeated until they are
// recorded or the context ends, which returns ErrUnconfirmed. ABANDON is allowed
// only if no byte can have reached a backend server. QUERY withdraws the uid,
// which must belong to a BEGIN of this router that did not return WON.
func (g *Guard) Call(ctx context.Context, call *peerpb.IntentCall) (*peerpb.IntentReply, error) {
	ctx, cancel := clockwork.WithTimeout(ctx, g.opts.Clock, maxCallTime)
	defer cancel()
	if call.Op == peerpb.IntentOp_INTENT_OP_BEGIN {
		return g.begin(ctx, call)
	}
	return g.callUntilConclusive(ctx, call)
}

func (g *Guard) begin(ctx context.Context, call *peerpb.IntentCall) (*peerpb.IntentReply, error) {
	b := newBeginExchange(call)
	backoff := newBackoff(g.opts.Clock)
	for !b.finished() {
		g.sendNext(ctx, b)
		if b.finished() {
			break
		}
		if !backoff.wait(ctx) {
			b.expire(DetailLogUnavailable)
		}
	}
	r, withdraw, err := b.result()
	if withdraw {
		g.opts.Events.Emit(event.IntentNotDispatched, "uid", call.Uid, "state", r.State.String())
		g.withdraw(call)
	}
	return r, err
}

// sendNext sends the next call of a BEGIN and records its result.
func (g *Guard) sendNext(ctx context.Context, b *beginExchange) {
	r, err := g.callOwner(ctx, b.nextCall())
	switch {
	case errors.Is(err, ErrNotSent):
		b.recordNotSent(DetailNotOwner)
	case err != nil:
		g.opts.Events.Emit(event.IntentReplyLost, "uid", b.call.Uid)
		b.recordLostReply()
	default:
		b.recordReply(r)
	}
}

// callOwner sends one call to the owner of its stream, which may be this router.
func (g *Guard) callOwner(ctx context.Context, call *peerpb.IntentCall) (*peerpb.IntentReply, error) {
	n := StreamOf(call.Workspace, call.Key, g.opts.Streams)
	if s, ok := g.ownedStream(n); ok {
		return s.Call(ctx, call), nil
	}
	addr, ok := g.opts.OwnerOf(n)
	if !ok {
		return nil, eris.Wrapf(ErrNotSent, "owner of stream %d is not known", n)
	}
	ctx, cancel := clockwork.WithTimeout(ctx, g.opts.Clock, g.opts.OwnerCallTimeout)
	defer cancel()
	r, err := g.opts.Remote(ctx, addr, call)
	if err == nil && r == nil {
		return nil, eris.New("owner sent an empty reply")
	}
	return r, err
}

// callUntilConclusive repeats a call until its reply is conclusive.
func (g *Guard) callUntilConclusive(ctx context.Context, call *peerpb.IntentCall) (*peerpb.IntentReply, error) {
	backoff := newBackoff(g.opts.Clock)
	for {
		r, err := g.callOwner(ctx, call)
		if err == nil && conclusive(r) {
			return r, nil
		}
		if !backoff.wait(ctx) {
			return nil, eris.Wrapf(ErrUnconfirmed, "%v of uid %s", call.Op, call.Uid)
		}
	}
}

// conclusive reports whether the reply shows that the call was decided.
func conclusive(r *peerpb.IntentReply) bool {
	return r.State != peerpb.IntentState_INTENT_STATE_UNSPECIFIED && r.Detail != DetailUndecided
}

// withdraw starts to withdraw the uid of a BEGIN whose reply was lost, so that
// the key is not blocked by an intent that no router dispatches. Only the
// router that submitted the uid, and will not dispatch it, may do so.
func (g *Guard) withdraw(call *peerpb.IntentCall) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed || g.withdrawals >= maxWithdrawals {
		return
	}
	g.withdrawals++
	abandon := proto.CloneOf(call)
	abandon.Op = peerpb.IntentOp_INTENT_OP_ABANDON
	g.tomb.Go(func() error {
		g.retryWithdraw(abandon)
		g.mu.Lock()
		defer g.mu.Unlock()
		g.withdrawals--
		return nil
	})
}

// retryWithdraw repeats the call until it is recorded or the key has expired.
func (g *Guard) retryWithdraw(abandon *peerpb.IntentCall) {
	ctx := g.tomb.Context(context.Background())
	end := time.UnixMilli(abandon.IssuedUnixMs).Add(g.opts.Limits.Window)
	for !contextEnded(ctx) && g.opts.Clock.Now().Before(end) {
		if _, err := g.Call(ctx, abandon); err == nil {
			g.opts.Events.Emit(event.IntentWithdrawn, "uid", abandon.Uid)
			return
		}
	}
	g.opts.Events.Emit(event.IntentWithdrawalFailed, "uid", abandon.Uid)
}

// backoff waits between two attempts, longer each time.
type backoff struct {
	clock clockwork.Clock
	delay time.Duration
}

func newBackoff(clock clockwork.Clock) *backoff {
	return &backoff{clock: clock, delay: firstBackoff}
}

// wait returns false if the context ended.
func (b *backoff) wait(ctx context.Context) bool {
	timer := b.clock.NewTimer(b.delay)
	defer timer.Stop()
	b.delay = min(2*b.delay, maxBackoff)
	select {
	case <-timer.Chan():
		return !contextEnded(ctx)
	case <-ctx.Done():
		return false
	}
}
