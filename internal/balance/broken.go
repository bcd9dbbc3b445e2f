package balance

import (
	"slices"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/registry"
)

const (
	// brokenShare is the share of failures among recent outcomes from which a server counts as one that fails nearly everything.
	brokenShare = 0.75
	// freeSlots and queueSlots are the loads of a server, in times of its slots, up to which it takes the requests that avoid
	// another one. Beside a server that fails a part, an answer in time is not worth the delay of all others. Beside one that
	// fails nearly everything, a late answer is better than none, and plain servers queue about three requests for each slot.
	freeSlots  = 1
	queueSlots = 4
)

// brokenServers has the servers that failed many requests lately, by ID: a server that goes down and up by turns may have a new
// incarnation each time. In a pool of two no server is ejected, since a false judgement would leave a single one, and one that
// goes down then lost each request that it got.
type brokenServers map[string]brokenTime

// brokenTime is the time in which a server is avoided by requests that may run only once.
type brokenTime struct {
	until  time.Time
	length time.Duration
	// room is the load of another server, in times of its slots, up to which it is preferred.
	room float64
}

// record lets a server be avoided for as long as an ejection lasts, and forgets those that failed long ago. It reports whether
// the server was not avoided before.
func (b brokenServers) record(now time.Time, id string, failed, ended int) bool {
	room := float64(freeSlots)
	if float64(failed) >= brokenShare*float64(ended) {
		room = queueSlots
	}
	last := b[id]
	if now.Before(last.until) {
		last.room = max(last.room, room)
		b[id] = last
		return false
	}
	for id, t := range b {
		if now.Sub(t.until) > maxFailureEjection {
			delete(b, id)
		}
	}
	length := longerPause(last.length, now.Sub(last.until))
	b[id] = brokenTime{until: now.Add(length), length: length, room: room}
	return true
}

// has reports whether a server is avoided.
func (b brokenServers) has(now time.Time, m *member) bool { return now.Before(b[m.server.ID].until) }

// AvoidFailing keeps requests that may run only once from servers that fail many of all routers' requests and can't be ejected, and
// returns those from which it did not before. When most servers fail, none is avoided, as none is ejected: the others would get
// all, and engines prompts that they have not read. Call it after EjectFailing.
func (p *Pool) AvoidFailing(now time.Time, outcomes func(server uint64) (failed, ended int)) []*registry.Server {
	type failing struct {
		m             *member
		failed, ended int
	}
	var list []failing
	for _, m := range p.members {
		failed, ended := outcomes(m.hash)
		if !m.evacuated && tooManyFailures(failed, ended) {
			list = append(list, failing{m, failed, ended})
		}
	}
	if 2*len(list) > p.inService() {
		return nil
	}
	var avoided []*registry.Server
	for _, f := range list {
		if !f.m.health.failing(now) && p.broken.record(now, f.m.server.ID, f.failed, f.ended) {
			avoided = append(avoided, f.m.server)
		}
	}
	return avoided
}

// withoutBroken drops the members that fail many requests, for a request that may run only once, while another one has room.
func (p *Pool) withoutBroken(now time.Time, list []*member) []*member {
	room := p.broken.room(now)
	if room == 0 {
		return list
	}
	broken := func(m *member) bool { return p.broken.has(now, m) }
	hasRoom := func(m *member) bool { return !broken(m) && m.load(now) < room*float64(m.server.Slots) }
	if !slices.ContainsFunc(list, hasRoom) {
		return list
	}
	return slices.DeleteFunc(list, broken)
}

// room returns the load of a server, in times of its slots, up to which it is preferred to those that are avoided; 0 when none is.
func (b brokenServers) room(now time.Time) float64 {
	room := 0.0
	for _, t := range b {
		if now.Before(t.until) {
			room = max(room, t.room)
		}
	}
	return room
}
