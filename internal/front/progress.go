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
	topicCount
)

var topicNames = [topicCount]string{"configuration", "servers"}

// progress is how far this router has read the topics of the store. It is safe
// for concurrent use.
type progress struct {
	mu sync.Mutex
	// latestChange is the last record that changed the belief, and what others are
	// told. known is the last record whose effect is known here.
	latestChange [topicCount]int64
	applied      [topicCount]int64
	failing      [topicCount]bool
	// removalsDelayedUntil is until when this router uses removed servers on, after an
	// outage. Others must not rely on it meanwhile.
	removalsDelayedUntil time.Time
	// changes are the servers' changes that this router has read lately.
	changes []serverChange
	// gap is the offset of a change told by another router before which one is
	// missing here; 0 when there is none.
	gap int64
}

type serverChange struct {
	digest.ServerNews
	sent   int
	sentAt time.Time
}

const (
	// maxSends is how often a change is told, against lost datagrams.
	maxSends = 3
	// resendInterval is the time between.
	resendInterval = 400 * time.Millisecond
)

// recordRead notes changes that this router has read in the store. Each names the
// change before it that is known here, whoever read that one.
func (p *progress) recordRead(changes []registry.Change) {
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
		change := digest.ServerNews{ID: s.ID, Offset: c.Offset, Prev: p.latestChange[topicServers], Server: c.New}
		p.changes = append(p.changes, serverChange{ServerNews: change})
		p.advance(topicServers, c.Offset)
	}
}

// recordReceived notes changes that another router has read and that are applied here.
func (p *progress) recordReceived(changes []registry.Change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range changes {
		p.advance(topicServers, c.Offset)
	}
}

// ServerNews returns the changes that are to be told now.
func (p *progress) ServerNews() []digest.ServerNews {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var list []digest.ServerNews
	for i := range p.changes {
		c := &p.changes[i]
		if c.sent > 0 && now.Sub(c.sentAt) < resendInterval {
			continue
		}
		c.sent++
		c.sentAt = now
		list = append(list, c.ServerNews)
	}
	p.changes = slices.DeleteFunc(p.changes, func(c serverChange) bool { return c.sent >= maxSends })
	return list
}

// detectGap takes changes that another router tells, in order, and notes when one
// before them is missing. Changes of different routers arrive in any order, so
// an older one may still be new; the registry knows by server.
func (p *progress) detectGap(list []digest.ServerNews) {
	p.mu.Lock()
	defer p.mu.Unlock()
	applied := p.applied[topicServers]
	for _, n := range list {
		if n.Offset > applied && n.Prev > applied {
			p.gap = max(p.gap, n.Offset)
		}
		applied = max(applied, n.Offset)
	}
}

// recordReadTo notes that this router has read the servers' topic up to next. All
// changes before are known then, also those that changed nothing here.
func (p *progress) recordReadTo(next int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applied[topicServers] = max(p.applied[topicServers], next-1)
	if next > p.gap {
		p.gap = 0
	}
}

// gapOffset returns the offset up to which the servers' topic must be read
// because a change was not heard, or 0.
func (p *progress) gapOffset() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gap
}

// isApplied reports whether the news of a topic up to an offset are known here.
func (p *progress) isApplied(topic int, offset int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return offset <= p.applied[topic]
}

// recordChange notes the offset of a record that changed the belief.
func (p *progress) recordChange(topic int, offset int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.advance(topic, offset)
}

func (p *progress) advance(topic int, offset int64) {
	p.latestChange[topic] = max(p.latestChange[topic], offset)
	p.applied[topic] = max(p.applied[topic], offset)
}

// setFailing notes whether the reads of a topic fail.
func (p *progress) setFailing(topic int, failing bool) {
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

// delayRemovals notes that removals take effect late until then.
func (p *progress) delayRemovals(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removalsDelayedUntil = until
}

// report returns what other routers are told: how far this one has read, and
// whether they can rely on it.
func (p *progress) report(now time.Time) (list []digest.Progress, reading bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	reading = now.After(p.removalsDelayedUntil)
	for topic := range topicCount {
		list = append(list, digest.Progress{Topic: topic, News: p.latestChange[topic]})
		reading = reading && !p.failing[topic]
	}
	return list, reading
}
