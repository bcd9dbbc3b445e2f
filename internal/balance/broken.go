package balance

import (
	"slices"
	"time"
)

// roomSlots is the load of a server, in times of its slots, from which it counts as full: a request waits there for the time of a
// whole one.
const roomSlots = 2

// brokenServers has the servers that failed many requests lately, by ID: a server that goes down and up by turns may have a new
// incarnation each time. In a pool of two no server is ejected, since a false judgement would leave a single one, and one that
// goes down then lost each request that it got.
type brokenServers map[string]brokenTime

// brokenTime is the time in which a server is avoided by requests that may run only once.
type brokenTime struct {
	until  time.Time
	length time.Duration
}

// record lets a server be avoided for as long as an ejection lasts, and forgets those that failed long ago.
func (b brokenServers) record(now time.Time, id string) {
	last := b[id]
	if now.Before(last.until) {
		return
	}
	for id, t := range b {
		if now.Sub(t.until) > maxFailureEjection {
			delete(b, id)
		}
	}
	length := longerPause(last.length, now.Sub(last.until))
	b[id] = brokenTime{until: now.Add(length), length: length}
}

// has reports whether a server is avoided.
func (b brokenServers) has(now time.Time, m *member) bool { return now.Before(b[m.server.ID].until) }

// withoutBroken drops the members that fail many requests, for a request that may run only once, while another one has room.
func (p *Pool) withoutBroken(now time.Time, list []*member) []*member {
	broken := func(m *member) bool { return p.broken.has(now, m) }
	hasRoom := func(m *member) bool { return !broken(m) && m.load(now) < roomSlots*float64(m.server.Slots) }
	if !slices.ContainsFunc(list, broken) || !slices.ContainsFunc(list, hasRoom) {
		return list
	}
	return slices.DeleteFunc(list, broken)
}
