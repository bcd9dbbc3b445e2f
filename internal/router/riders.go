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
	// riderWait is the longest time that a control message waits for a data
	// message to the same router.
	riderWait = 500 * time.Millisecond
	// riderFieldBytes is the tag and the length of the field that carries it.
	riderFieldBytes = 4
)

// riders holds control messages that wait for a data message to ride on. It is
// safe for concurrent use.
type riders struct {
	clock clockwork.Clock
	meter *meter.Meter
	// send sends a message on its own.
	send func(addr string, env *peerpb.Envelope)

	mu      sync.Mutex
	waiting map[string]*rider
}

type rider struct {
	addr  string
	env   *peerpb.Envelope
	timer clockwork.Timer
}

func newRiders(clock clockwork.Clock, m *meter.Meter, send func(string, *peerpb.Envelope)) *riders {
	return &riders{clock: clock, meter: m, send: send, waiting: map[string]*rider{}}
}

// offer keeps a message for the next data message to a router. A message that
// waits already is sent on its own first.
func (r *riders) offer(vm, addr string, env *peerpb.Envelope) {
	next := &rider{addr: addr, env: env}
	r.mu.Lock()
	last := r.waiting[vm]
	r.waiting[vm] = next
	next.timer = r.clock.AfterFunc(riderWait, func() { r.expire(vm, next) })
	r.mu.Unlock()
	if last != nil {
		last.timer.Stop()
		r.send(last.addr, last.env)
	}
}

// expire sends a message on its own after its wait.
func (r *riders) expire(vm string, which *rider) {
	r.mu.Lock()
	if r.waiting[vm] != which {
		r.mu.Unlock()
		return
	}
	delete(r.waiting, vm)
	r.mu.Unlock()
	r.send(which.addr, which.env)
}

// take returns the message that waits for a router, or nil, and counts it.
func (r *riders) take(vm string) *peerpb.Envelope {
	r.mu.Lock()
	next := r.waiting[vm]
	delete(r.waiting, vm)
	r.mu.Unlock()
	if next == nil {
		return nil
	}
	next.timer.Stop()
	r.count(next.env)
	return next.env
}

// count adds a message that rode on a data message to the meter.
func (r *riders) count(env *peerpb.Envelope) {
	r.meter.Add(meter.Claim, proto.Size(env)+riderFieldBytes)
}

// received counts a message that came with a data message and hands it to the
// control goroutine.
func (r *Router) received(from string, env *peerpb.Envelope) {
	r.riders.count(env)
	r.post(ownershipReceived{from: from, env: env})
}
