package front

import (
	"slices"
	"sync"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/digest"
	"github.com/bluebellwell/bluebellwell/internal/logpos"
	"github.com/bluebellwell/bluebellwell/internal/registry"
)

var topicNames = [digest.TopicCount]string{"configuration", "servers"}

// progress tracks how far this router has read the topics of the store. It is
// safe for concurrent use.
type progress struct {
	mu sync.Mutex
	// lastChange is the position of the last record that changed the state of this
	// router; it is sent to the others. applied is that of the last record that is
	// reflected in the state, which may be one without an effect. Both are logpos.None before the first one.
	lastChange [digest.TopicCount]logpos.Position
	applied    [digest.TopicCount]logpos.Position
	// readTo is the position up to which this router has read the servers itself, and
	// listEnd the end of its first list of them in the store's era.
	readTo  logpos.Position
	listEnd logpos.Position
	// configVersion is the version of the configuration in force.
	configVersion int64
	failing       [digest.TopicCount]bool
	// overdue is set while a call has no answer although its wait is over, and answeredAt is when one succeeded last.
	overdue    [digest.TopicCount]bool
	answeredAt [digest.TopicCount]time.Time
	// serversAsOf is the latest time of which this router has read the servers that the store had.
	serversAsOf time.Time
	// serversHash is a hash of the servers that are known; 0 before the first list. earlierHashes are those before it.
	serversHash   uint32
	earlierHashes []earlierHash
	// lists counts the whole lists of servers that were read.
	lists int
	// removalsDelayedUntil is the time until which this router still uses removed
	// servers, after an outage of the store. Until then other routers must not rely
	// on its reads.
	removalsDelayedUntil time.Time
	// changes holds the changes of servers that are still to be sent.
	changes []serverChange
	// gap is the position of a change received from another router whose preceding
	// change has not arrived; logpos.None when there is none.
	gap logpos.Position
}

func newProgress() progress {
	return progress{gap: logpos.None, lastChange: nothingRead(), applied: nothingRead()}
}

// nothingRead returns the positions before the first record of each topic.
func nothingRead() (positions [digest.TopicCount]logpos.Position) {
	for topic := range positions {
		positions[topic] = logpos.None
	}
	return positions
}

// serverChange is a change of a server that this router has read, and how often
// and when it was sent to the others.
type serverChange struct {
	digest.ServerChange
	sent   int
	sentAt time.Time
	// toAll is set when each send must reach all routers: a later change that another
	// one reports says nothing about this one.
	toAll bool
}

const (
	// maxSends is how often a change is sent, because datagrams may be lost.
	maxSends = 3
	// resendInterval is the time between two sends of a change.
	resendInterval = 400 * time.Millisecond
)

// recordRead records changes that this router has read in the store, to be sent
// to the others. Each names the preceding change that was applied here, even one
// that another router has read.
func (p *progress) recordRead(changes []registry.Change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range changes {
		s := c.New
		if s == nil {
			s = c.Old
		}
		p.queue(registry.Entry{ID: s.ID, Position: c.Position, Server: c.New}, false)
	}
}

// recordWrittenAgain records entries that this router has read in the store and that a
// new era has regained, to be sent to the others like changes.
func (p *progress) recordWrittenAgain(entries []registry.Entry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range entries {
		p.queue(e, true)
	}
}

// queue queues an entry to be sent to the others. An entry that was regained, or a removal
// that was delayed until after later changes, is not in the chain of changes by which
// the others notice that they lack one. The caller holds p.mu.
func (p *progress) queue(e registry.Entry, regained bool) {
	prev := p.lastChange[digest.TopicServers]
	change := digest.ServerChange{ID: e.ID, Position: e.Position, Prev: prev, Server: e.Server}
	p.changes = append(p.changes, serverChange{ServerChange: change, toAll: regained || !prev.Before(e.Position)})
	p.advance(digest.TopicServers, e.Position)
}

// recordReceived records changes that were applied here but are not to be sent.
func (p *progress) recordReceived(changes []registry.Change) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range changes {
		p.advance(digest.TopicServers, c.Position)
	}
}

// recordApplied records that an entry of a server which another router has sent is
// reflected in the state, also when it had no effect here.
func (p *progress) recordApplied(position logpos.Position) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.applied[digest.TopicServers] = logpos.Max(p.applied[digest.TopicServers], position)
}

// ServerChanges returns the changes that are due to be sent.
func (p *progress) ServerChanges() []digest.ServerChange {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var list []digest.ServerChange
	for i := range p.changes {
		c := &p.changes[i]
		if c.sent > 0 && now.Sub(c.sentAt) < resendInterval {
			continue
		}
		c.sent++
		c.sentAt = now
		due := c.ServerChange
		due.Again = c.sent > 1 && !c.toAll
		list = append(list, due)
	}
	p.changes = slices.DeleteFunc(p.changes, func(c serverChange) bool { return c.sent >= maxSends })
	return list
}

// detectGap checks changes that another router has sent, in order, and records a
// gap when the change before one of them is missing. Changes of different routers
// arrive in any order, so one with an earlier position may still be new; the registry
// decides that for each server.
func (p *progress) detectGap(list []digest.ServerChange) {
	p.mu.Lock()
	defer p.mu.Unlock()
	applied := p.applied[digest.TopicServers]
	for _, c := range list {
		if applied.Before(c.Position) && applied.Before(c.Prev) {
			p.gap = logpos.Max(p.gap, c.Position)
		}
		applied = logpos.Max(applied, c.Position)
	}
}

// recordReadTo records that this router has read the servers' topic up to the
// position next, in a list or record by record. All records before it count as applied,
// even those without an effect here.
func (p *progress) recordReadTo(next logpos.Position, list bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.readTo = logpos.Max(p.readTo, next)
	if list {
		p.lists++
	}
	if list && p.listEnd.Era < next.Era {
		p.listEnd = next
	}
	p.applied[digest.TopicServers] = logpos.Max(p.applied[digest.TopicServers], next.Prev())
	if p.gap.Before(next) {
		p.gap = logpos.None
	}
}

// gapPosition returns the position up to which the servers' topic must be read
// because a change was not received, or logpos.None.
func (p *progress) gapPosition() logpos.Position {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.gap
}

// unreadOf returns the position up to which the servers' topic must be read because the
// first lists of the readers reach further than this router has read, or logpos.None.
func (p *progress) unreadOf(listEnd logpos.Position) logpos.Position {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.readTo.Era != listEnd.Era || !p.readTo.Before(listEnd) {
		return logpos.None
	}
	return listEnd.Prev()
}

// readEra returns the era in which this router has read the servers last.
func (p *progress) readEra() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.readTo.Era
}

// isApplied reports whether the changes of a topic up to a position are applied here.
func (p *progress) isApplied(topic int, position logpos.Position) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.applied[topic].Before(position)
}

// recordConfig records the version and the position of a configuration that was put in
// force.
func (p *progress) recordConfig(version int64, position logpos.Position) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.configVersion = version
	p.advance(digest.TopicConfig, position)
}

// recordConfigAgain records the position at which the version in force has been read again,
// and reports whether it is the first one of a new era. The position of the era before
// says nothing to a router that has read the new era without that version.
func (p *progress) recordConfigAgain(position logpos.Position) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lastChange[digest.TopicConfig].Era >= position.Era {
		return false
	}
	p.advance(digest.TopicConfig, position)
	return true
}

// versionInForce returns the version of the configuration in force; 0 for none.
func (p *progress) versionInForce() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.configVersion
}

func (p *progress) advance(topic int, position logpos.Position) {
	p.lastChange[topic] = logpos.Max(p.lastChange[topic], position)
	p.applied[topic] = logpos.Max(p.applied[topic], position)
}

// earlierHash is a hash of the servers and when it was replaced.
type earlierHash struct {
	hash  uint32
	until time.Time
}

const (
	// hashMaxAge is how long an earlier hash may still be that of a reader's last digest. Readers send four a second.
	hashMaxAge = time.Second
	// maxEarlierHashes bounds the earlier hashes.
	maxEarlierHashes = 32
)

// recordServers records a hash of the servers that are known, after a list or a change.
func (p *progress) recordServers(now time.Time, hash uint32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.serversHash == hash {
		return
	}
	p.earlierHashes = append(p.earlierHashes, earlierHash{p.serversHash, now})
	p.earlierHashes = p.earlierHashes[max(0, len(p.earlierHashes)-maxEarlierHashes):]
	p.serversHash = hash
}

// knownServers returns what is compared with the servers of the readers. The caller holds p.mu.
func (p *progress) knownServers(now time.Time) digest.KnownServers {
	known := digest.KnownServers{Hash: p.serversHash, Lists: p.lists}
	for _, e := range p.earlierHashes {
		if now.Sub(e.until) < hashMaxAge {
			known.Earlier = append(known.Earlier, e.hash)
		}
	}
	return known
}

// setFailing records whether the reads of a topic fail.
func (p *progress) setFailing(topic int, failing bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.failing[topic] = failing
}

// setOverdue records that a call has no answer although its wait is over. It reports whether that changes anything.
func (p *progress) setOverdue(topic int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	changed := !p.overdue[topic] && !p.failing[topic]
	p.overdue[topic] = true
	return changed
}

// recordCallEnd records the end of a call. It reports whether the router's reads have become recent or are no longer overdue.
func (p *progress) recordCallEnd(now time.Time, topic int, answered bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	before := p.recent(now) && !p.overdue[topic]
	p.overdue[topic] = false
	if answered {
		p.answeredAt[topic] = now
	}
	return !before && p.recent(now)
}

// recordServersAsOf records that this router knows the servers that the store had at a time.
func (p *progress) recordServersAsOf(asOf time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if asOf.After(p.serversAsOf) {
		p.serversAsOf = asOf
	}
}

// recent reports whether the store has answered calls for all topics lately. The caller holds p.mu.
func (p *progress) recent(now time.Time) bool {
	for _, at := range p.answeredAt {
		if at.IsZero() || now.Sub(at) > answerMaxAge {
			return false
		}
	}
	return true
}

// failingTopics returns the names of the topics whose reads fail.
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

// delayRemovals records that removals are delayed until end.
func (p *progress) delayRemovals(end time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removalsDelayedUntil = end
}

// report returns what is sent to other routers about the reads of the store in an era.
func (p *progress) report(now time.Time, era int64) digest.StoreProgress {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := make([]digest.Progress, 0, digest.TopicCount)
	reading := now.After(p.removalsDelayedUntil)
	for topic := range digest.TopicCount {
		list = append(list, digest.Progress{Topic: topic, LastChange: p.lastChange[topic]})
		reading = reading && !p.failing[topic]
		reading = reading && !p.overdue[topic]
	}
	listEnd := int64(0)
	if p.listEnd.Era == era {
		listEnd = p.listEnd.Offset
	}
	return digest.StoreProgress{
		Topics: list, ConfigVersion: p.configVersion, ListEnd: listEnd, Servers: p.knownServers(now),
		OwnReads: digest.OwnReads{Succeed: reading, Recent: p.recent(now), Era: era, ServersAsOf: p.serversAsOf},
	}
}
