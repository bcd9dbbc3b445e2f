package front

import (
	"sync"

	"github.com/bluebellwell/bluebellwell/internal/digest"
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
