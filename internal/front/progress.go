package front

import (
	"slices"
	"sync"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/digest"
	"github.com/bluebellwell/bluebellwell/internal/registry"
)

// Topics of the store, as numbered in digests.
const (
	topicConfig = iota
	topicServers
	topics
)

var topicNames = [topics]string{"configuration", "servers"}

// progress is how far this router has read the topics of the store. It is safe
// for concurrent use.
type progress struct {
	mu sync.Mutex
	// newest is the last record that changed the belief, and what others are
	// told. known is the last record whose effect is known here.
	newest  [topics]int64
	known   [topics]int64
	failing [topics]bool
	// holdsBack is until when this router uses removed servers on, after an
	// outage. Others must not rely on it meanwhile.
	holdsBack time.Time
	// changes are the servers' changes that this router has read lately.
	changes []serverChange
	// gap is the offset of a change told by another router before which one is
	// missing here; 0 when there is none.
	gap int64
}

type serverChange struct {
	digest.ServerChange
	told   int
	toldAt time.Time
}

const (
	// tellTimes is how often a change is told, against lost datagrams.
	tellTimes = 3
	// tellPause is the time between.
	tellPause = 400 * time.Millisecond
)

// read notes changes that this router has read in the store. Each names the
// change before it that is known here, whoever read that one.
func (p *progress) read(changes []registry.Change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range changes {
		if c.Offset < 0 {
			continue
		}
		s := c.New
		if s == nil {
			s = c.Old
		}
		news := digest.ServerChange{ID: s.ID, Offset: c.Offset, Prev: p.newest[topicServers], Server: c.New}
		p.changes = append(p.changes, serverChange{ServerChange: news})
		p.note(topicServers, c.Offset)
	}
}

// heard notes changes that another router has read and that are applied here.
func (p *progress) heard(changes []registry.Change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range changes {
		p.note(topicServers, c.Offset)
	}
}

// ServerChanges returns the changes that are to be told now.
func (p *progress) ServerChanges() []digest.ServerChange {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var list []digest.ServerChange
	for i := range p.changes {
		c := &p.changes[i]
		if c.told > 0 && now.Sub(c.toldAt) < tellPause {
			continue
		}
		c.told++
		c.toldAt = now
		list = append(list, c.ServerChange)
	}
	p.changes = slices.DeleteFunc(p.changes, func(c serverChange) bool { return c.told >= tellTimes })
	return list
}

// hear takes changes that another router tells, in order, and notes when one
// before them is missing. Changes of different routers arrive in any order, so
// an older one may still be new; the registry knows by server.
func (p *progress) hear(list []digest.ServerChange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	known := p.known[topicServers]
	for _, n := range list {
		if n.Offset > known && n.Prev > known {
			p.gap = max(p.gap, n.Offset)
		}
		known = max(known, n.Offset)
	}
}

// readTo notes that this router has read the servers' topic up to next. All
// changes before are known then, also those that changed nothing here.
func (p *progress) readTo(next int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.known[topicServers] = max(p.known[topicServers], next-1)
	if next > p.gap {
		p.gap = 0
	}
}

// missing returns the offset up to which the servers' topic must be read
// because a change was not heard, or 0.
func (p *progress) missing() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gap
}

// applied reports whether the news of a topic up to an offset are known here.
func (p *progress) applied(topic int, offset int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return offset <= p.known[topic]
}

// news notes the offset of a record that changed the belief.
func (p *progress) news(topic int, offset int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.note(topic, offset)
}

func (p *progress) note(topic int, offset int64) {
	p.newest[topic] = max(p.newest[topic], offset)
	p.known[topic] = max(p.known[topic], offset)
}

// lost notes whether the reads of a topic fail.
func (p *progress) lost(topic int, failing bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failing[topic] = failing
}

// failingTopics names the topics whose reads fail.
func (p *progress) failingTopics() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := []string{}
	for topic, failing := range p.failing {
		if failing {
			list = append(list, topicNames[topic])
		}
	}
	return list
}

// holdBack notes that removals take effect late until then.
func (p *progress) holdBack(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holdsBack = until
}

// state returns what other routers are told: how far this one has read, and
// whether they can rely on it.
func (p *progress) state(now time.Time) (list []digest.Progress, reading bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	reading = now.After(p.holdsBack)
	for topic := range topics {
		list = append(list, digest.Progress{Topic: topic, LastChange: p.newest[topic]})
		reading = reading && !p.failing[topic]
	}
	return list, reading
}
