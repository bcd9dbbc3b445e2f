package balance

import (
	"time"

	"github.com/bluebellwell/bluebellwell/internal/registry"
)

// Outcome is how an attempt at a server ended.
type Outcome uint8

// Outcomes of an attempt.
const (
	// Served: the server answered, whatever the status, below 500.
	Served Outcome = iota
	// Refused: the server stated that it did not run the request.
	Refused
	// Failed: an answer of status 500 and more, or a broken one.
	Failed
	// Unreachable: no connection could be opened.
	Unreachable
	// Cancelled: the caller left; this says nothing about the server.
	Cancelled
)

var outcomeNames = [...]string{"served", "refused", "failed", "unreachable", "cancelled"}

// String returns the name used in logs and metrics.
func (o Outcome) String() string { return outcomeNames[o] }

// Load is what a server says about itself in an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Begin counts a request in flight at a server and remembers its subject.
func (p *Pool) Begin(now time.Time, key registry.Key, subject uint64) {
	m := p.find(key)
	if m == nil {
		return
	}
	m.own++
	m.health.begin(now, m.own)
	if subject == 0 {
		return
	}
	if len(p.held) >= subjectMemory {
		p.forgetOld(now)
	}
	p.held[subject] = holding{server: key, at: now}
}

// forgetOld drops the subjects that no cache is expected to hold, or all when
// that leaves no room.
func (p *Pool) forgetOld(now time.Time) {
	for subject, h := range p.held {
		if now.Sub(h.at) > reuseSpan {
			delete(p.held, subject)
		}
	}
	if len(p.held) >= subjectMemory {
		clear(p.held)
	}
}

// Report takes the load of an answer.
func (p *Pool) Report(now time.Time, key registry.Key, load Load) {
	m := p.find(key)
	if m == nil {
		return
	}
	m.others = max(load.Running+load.Waiting-m.own, 0)
	m.reportedAt = now
}

// Progress notes that a server has sent something.
func (p *Pool) Progress(now time.Time, key registry.Key) {
	if m := p.find(key); m != nil {
		m.health.progress(now)
	}
}

// End takes the outcome of a request in flight. It reports whether the belief
// about the server changed from usable to ejected.
func (p *Pool) End(now time.Time, key registry.Key, o Outcome) bool {
	m := p.find(key)
	if m == nil {
		return false
	}
	m.own = max(m.own-1, 0)
	return m.health.end(now, o, p.mayEject(now))
}

// mayEject reports whether one more server may be ejected for its failures: at
// most a third of the pool, so that failures of all servers eject none.
func (p *Pool) mayEject(now time.Time) bool {
	ejected := 0
	for _, m := range p.members {
		if m.health.failing(now) {
			ejected++
		}
	}
	return 3*(ejected+1) <= len(p.members)
}

// Status is the belief about one server, for logs and status pages.
type Status struct {
	Server  *registry.Server
	Own     int
	Others  int
	Ejected bool
}

// Status returns the belief about all servers.
func (p *Pool) Status(now time.Time) []Status {
	list := make([]Status, 0, len(p.members))
	for _, m := range p.members {
		list = append(list, Status{
			Server:  m.server,
			Own:     m.own,
			Others:  m.others,
			Ejected: m.health.ejected(now, m.own),
		})
	}
	return list
}
