package balance

import (
	"slices"
	"time"
)

// brokenShare is the share of failures among the recent outcomes from which a server is taken for one that fails nearly
// everything. It is far above that of servers which fail some requests by themselves.
const brokenShare = 0.75

// roomSlots is the load of a server, in times of its slots, from which it counts as full: a request waits there for the time of a
// whole one.
const roomSlots = 2

// broken reports whether the server failed nearly everything lately, and could not be ejected.
func (h *health) broken(now time.Time) bool { return now.Before(h.brokenUntil) }

// recordBroken keeps requests that may run only once from a server for as long as an ejection lasts. In a pool of two no server is
// ejected, since a false judgement would leave a single one; one that goes down and up by turns then lost each request that it got.
func (h *health) recordBroken(now time.Time) {
	if h.broken(now) || h.failing(now) {
		return
	}
	h.brokenDuration = longerPause(h.brokenDuration, now.Sub(h.brokenUntil))
	h.brokenUntil = now.Add(h.brokenDuration)
}

// isBroken reports whether recent outcomes are those of a server that fails nearly everything.
func isBroken(failed, ended int) bool {
	return failed >= minFailures && float64(failed) >= brokenShare*float64(ended)
}

// withoutBroken drops the members that fail nearly everything, for a request that may run only once, while another one has room.
func withoutBroken(now time.Time, list []*member) []*member {
	broken := func(m *member) bool { return m.health.broken(now) }
	hasRoom := func(m *member) bool { return !broken(m) && m.load(now) < roomSlots*float64(m.server.Slots) }
	if !slices.ContainsFunc(list, broken) || !slices.ContainsFunc(list, hasRoom) {
		return list
	}
	return slices.DeleteFunc(list, broken)
}
