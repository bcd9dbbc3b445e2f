package balance

import (
	"slices"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/registry"
)

const (
	// brokenShare is the share of failures among recent outcomes from which a server counts as one that fails nearly everything.
	brokenShare = 0.75
	// freeSlots and queueSlots are the loads of a server, as multiples of its slots, up to which it takes the requests that avoid
	// another one. Beside a server that fails a part, an answer in time is not worth the delay of all others. Beside one that
	// fails nearly everything, a late answer is better than none, and plain servers queue about three requests for each slot.
	freeSlots  = 1
	queueSlots = 4
)

// avoidedServers has the servers that failed many requests lately, by ID: a server that goes down and up by turns may have a new
// incarnation each time. In a pool of two no server is ejected, since a false judgement would leave a single one, and one that
// goes down then lost each request that it got.
type avoidedServers map[string]avoidedTime

// avoidedTime is the time in which a server is avoided by requests that may run only once.
type avoidedTime struct {
	until  time.Time
	length time.Duration
	// maxLoad is the load of another server, as a multiple of its slots, up to which it is preferred.
	maxLoad float64
}

// record marks a server as avoided for the duration of an ejection, and forgets those that failed long ago. It reports whether
// the server was not avoided before.
func (a avoidedServers) record(now time.Time, id string, failed, ended int) bool {
	maxLoad := float64(freeSlots)
	if float64(failed) >= brokenShare*float64(ended) {
		maxLoad = queueSlots
	}
	last := a[id]
	if now.Before(last.until) {
		last.maxLoad = max(last.maxLoad, maxLoad)
		a[id] = last
		return false
	}
	for id, t := range a {
		if now.Sub(t.until) > maxFailureEjection {
			delete(a, id)
		}
	}
	length := longerPause(last.length, now.Sub(last.until))
	a[id] = avoidedTime{until: now.Add(length), length: length, maxLoad: maxLoad}
	return true
}

// has reports whether a server is avoided.
func (a avoidedServers) has(now time.Time, m *member) bool { return now.Before(a[m.server.ID].until) }

// AvoidFailing keeps requests that may run only once from servers that fail many of all routers' requests and can't be ejected, and
// returns those from which it did not before. When most servers fail, none is avoided, as none is ejected: the other servers
// would get all requests, and engines would have to read prompts that they do not have cached. Call it after EjectFailing.
func (p *Pool) AvoidFailing(now time.Time, outcomes func(server uint64) (failed, ended int)) []*registry.Server {
	var avoided []*registry.Server
	for _, f := range p.failingMembers(outcomes) {
		if !f.health.failing(now) && p.avoided.record(now, f.server.ID, f.failed, f.ended) {
			avoided = append(avoided, f.server)
		}
	}
	return avoided
}

// withoutAvoided drops the members that fail many requests, for a request that may run only once, while another one has room.
func (p *Pool) withoutAvoided(now time.Time, list []*member) []*member {
	maxLoad := p.avoided.maxLoad(now)
	if maxLoad == 0 {
		return list
	}
	avoided := func(m *member) bool { return p.avoided.has(now, m) }
	hasRoom := func(m *member) bool { return !avoided(m) && m.load(now) < maxLoad*float64(m.server.Slots) }
	if !slices.ContainsFunc(list, hasRoom) {
		return list
	}
	return slices.DeleteFunc(list, avoided)
}

// maxLoad returns the load of a server, as a multiple of its slots, up to which it is preferred to those that are avoided; 0 when
// none is.
func (a avoidedServers) maxLoad(now time.Time) float64 {
	highest := 0.0
	for _, t := range a {
		if now.Before(t.until) {
			highest = max(highest, t.maxLoad)
		}
	}
	return highest
}
