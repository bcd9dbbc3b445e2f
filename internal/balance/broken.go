package balance

import (
	"slices"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/registry"
)

// roomSlots is the load of a server, in times of its slots, from which it counts as full. A late answer is better than a lost one,
// and plain servers queue about three requests for each slot before they reject any.
const roomSlots = 4

// brokenServers has the servers that failed many requests lately, by ID: a server that goes down and up by turns may have a new
// incarnation each time. In a pool of two no server is ejected, since a false judgement would leave a single one, and one that
// goes down then lost each request that it got.
type brokenServers map[string]brokenTime

// brokenTime is the time in which a server is avoided by requests that may run only once.
type brokenTime struct {
	until  time.Time
	length time.Duration
}

// record lets a server be avoided for as long as an ejection lasts, and forgets those that failed long ago. It reports whether
// the server was not avoided before.
func (b brokenServers) record(now time.Time, id string) bool {
	last := b[id]
	if now.Before(last.until) {
		return false
	}
	for id, t := range b {
		if now.Sub(t.until) > maxFailureEjection {
			delete(b, id)
		}
	}
	length := longerPause(last.length, now.Sub(last.until))
	b[id] = brokenTime{until: now.Add(length), length: length}
	return true
}

// has reports whether a server is avoided.
func (b brokenServers) has(now time.Time, m *member) bool { return now.Before(b[m.server.ID].until) }

// AvoidFailing keeps requests that may run only once from servers that fail many of all routers' requests and can't be ejected, and
// returns those from which it did not before. Call it after EjectFailing.
func (p *Pool) AvoidFailing(now time.Time, outcomes func(server uint64) (failed, ended int)) []*registry.Server {
	var avoided []*registry.Server
	for _, m := range p.members {
		if m.evacuated || m.health.failing(now) || !tooManyFailures(outcomes(m.hash)) {
			continue
		}
		if p.broken.record(now, m.server.ID) {
			avoided = append(avoided, m.server)
		}
	}
	return avoided
}

// withoutBroken drops the members that fail many requests, for a request that may run only once, while another one has room.
func (p *Pool) withoutBroken(now time.Time, list []*member) []*member {
	broken := func(m *member) bool { return p.broken.has(now, m) }
	hasRoom := func(m *member) bool { return !broken(m) && m.load(now) < roomSlots*float64(m.server.Slots) }
	if !slices.ContainsFunc(list, broken) || !slices.ContainsFunc(list, hasRoom) {
		return list
	}
	return slices.DeleteFunc(list, broken)
}
