package router

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellwell/bluebellwell/internal/meter"
	"github.com/bluebellwell/bluebellwell/internal/peerpb"
)

const (
	// maxPiggybackWait is the longest time that a control message waits for a
	// data message to the same router.
	maxPiggybackWait = 500 * time.Millisecond
	// piggybackFieldBytes is the size of the tag and the length of the field that
	// carries the control message.
	piggybackFieldBytes = 4
)

// piggyback holds control messages that wait to be sent in a data message to the
// same router. It is safe for concurrent use.
type piggyback struct {
	clock clockwork.Clock
	meter *meter.Meter
	// send sends a message without a data message.
	send func(addr string, env *peerpb.Envelope)

	mu      sync.Mutex
	pending map[string]*pendingMessage
}

type pendingMessage struct {
	addr  string
	env   *peerpb.Envelope
	timer clockwork.Timer
}

func newPiggyback(clock clockwork.Clock, m *meter.Meter, send func(string, *peerpb.Envelope)) *piggyback {
	return &piggyback{clock: clock, meter: m, send: send, pending: map[string]*pendingMessage{}}
}

// enqueue keeps a message for the next data message to a router. A message that
// already waits for that router is sent separately.
func (p *piggyback) enqueue(vm, addr string, env *peerpb.Envelope) {
	next := &pendingMessage{addr: addr, env: env}
	p.mu.Lock()
	last := p.pending[vm]
	p.pending[vm] = next
	next.timer = p.clock.AfterFunc(maxPiggybackWait, func() { p.expire(vm, next) })
	p.mu.Unlock()
	if last != nil {
		last.timer.Stop()
		p.send(last.addr, last.env)
	}
}

// expire sends a message separately at the end of its maximum wait.
func (p *piggyback) expire(vm string, expired *pendingMessage) {
	p.mu.Lock()
	if p.pending[vm] != expired {
		p.mu.Unlock()
		return
	}
	delete(p.pending, vm)
	p.mu.Unlock()
	p.send(expired.addr, expired.env)
}

// dequeue removes, counts and returns the message that waits for a router. It
// returns nil if there is none.
func (p *piggyback) dequeue(vm string) *peerpb.Envelope {
	p.mu.Lock()
	next := p.pending[vm]
	delete(p.pending, vm)
	p.mu.Unlock()
	if next == nil {
		return nil
	}
	next.timer.Stop()
	p.count(next.env)
	return next.env
}

// count adds a piggybacked message to the meter.
func (p *piggyback) count(env *peerpb.Envelope) {
	p.meter.Add(meter.Claim, proto.Size(env)+piggybackFieldBytes)
}

// receivePiggybacked counts a piggybacked message and passes it to the control
// goroutine.
func (r *Router) receivePiggybacked(from string, env *peerpb.Envelope) {
	r.piggyback.count(env)
	r.post(ownershipReceived{from: from, env: env})
}
