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
	mu      sync.Mutex
	newest  [topics]int64
	failing [topics]bool
	// changes are the servers' changes that this router has read lately.
	changes []serverChange
}

type serverChange struct {
	digest.ServerNews
	at time.Time
}

// toldFor is how long a change is told to others, against lost datagrams.
const toldFor = 1500 * time.Millisecond

// read notes changes that this router has read in the store.
func (p *progress) read(now time.Time, changes []registry.Change) {
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
		p.changes = append(p.changes, serverChange{digest.ServerNews{ID: s.ID, Offset: c.Offset, Server: c.New}, now})
	}
}

// ServerNews returns the changes that are told to others.
func (p *progress) ServerNews() []digest.ServerNews {
	p.mu.Lock()
	defer p.mu.Unlock()
	oldest := time.Now().Add(-toldFor)
	p.changes = slices.DeleteFunc(p.changes, func(c serverChange) bool { return c.at.Before(oldest) })
	var list []digest.ServerNews
	for _, c := range p.changes {
		list = append(list, c.ServerNews)
	}
	return list
}

// applied reports whether the news of a topic up to an offset are known here.
func (p *progress) applied(topic int, offset int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return offset <= p.newest[topic]
}

// news notes the offset of a record that changed the belief.
func (p *progress) news(topic int, offset int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.newest[topic] = max(p.newest[topic], offset)
}

// lost notes whether the reads of a topic fail.
func (p *progress) lost(topic int, failing bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failing[topic] = failing
}

// state returns what other routers are told.
func (p *progress) state() (list []digest.Progress, reading bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	reading = true
	for topic := range topics {
		list = append(list, digest.Progress{Topic: topic, News: p.newest[topic]})
		reading = reading && !p.failing[topic]
	}
	return list, reading
}
