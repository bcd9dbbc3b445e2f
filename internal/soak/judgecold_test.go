package soak

import (
	"slices"
	"time"
)

// checkRegions: a request reaches only servers in a region that its workspace allows in some configuration.
func checkRegions(h *history, a *attempt, r *request) []violation {
	i := slices.IndexFunc(h.entries, func(e logged[entryConfirmed]) bool { return e.event.Server == a.arrived.event.Server })
	if i < 0 || a.refused.event.Status == 421 || h.predatesRule(r, ruleRegions) {
		return nil
	}
	region, bound := h.entries[i].event.Region, false
	for _, c := range h.configs {
		for _, w := range c.event.Workspaces {
			if w.Name != a.arrived.event.Workspace {
				continue
			}
			if len(w.Regions) == 0 || slices.Contains(w.Regions, region) {
				return nil
			}
			bound = true
		}
	}
	if !bound {
		return nil
	}
	v := a.breaks(r, "arrived in the region %q, which the workspace %q does not allow", region, a.arrived.event.Workspace)
	v.Lines = append(v.Lines, h.entries[i].line)
	return []violation{v}
}

// checkCold: a server that has started again gets no more requests in a second than it tolerates. Routers that are not in touch
// may not know of the start, nor may one whose requests were held up.
func checkCold(h *history) []violation {
	var list []violation
	for i, e := range h.entries {
		if !h.isStart(i) {
			continue
		}
		from, to := e.at+h.bounds.ColdKnown, e.at+h.bounds.ColdStart-h.bounds.Margin
		var counted []*attempt
		for _, a := range h.attempts {
			r := h.byID[a.arrived.event.ID]
			if a.arrived.event.Server != e.event.Server || a.arrived.at < from || a.arrived.at > to || a.refused.event.Status == 421 {
				continue
			}
			if r == nil || h.predatesRule(r, ruleCold) || h.heldUp(a) || !h.inTouch(r.sent.event.Router, a.arrived.at) {
				continue
			}
			counted = append(counted, a)
		}
		if most := mostWithin(counted, time.Second); len(most) > h.bounds.ColdMost {
			r := h.byID[most[0].arrived.event.ID]
			v := most[0].breaks(r, "is one of %d requests that arrived in a second at a server that started %v before", len(most), most[0].arrived.at-e.at)
			v.Lines = append(v.Lines, e.line)
			list = append(list, v)
		}
	}
	return list
}

// isStart reports whether an entry is the first one of a further incarnation of its server.
func (h *history) isStart(i int) bool {
	e := h.entries[i].event
	before := int64(0)
	for _, earlier := range h.entries[:i] {
		if earlier.event.Server == e.Server {
			before = max(before, earlier.event.Start)
		}
	}
	return e.State == entryReady && e.Start > before
}

// mostWithin returns the most attempts that arrived within a time.
func mostWithin(attempts []*attempt, d time.Duration) []*attempt {
	slices.SortFunc(attempts, func(a, b *attempt) int { return int(a.arrived.at - b.arrived.at) })
	var most []*attempt
	first := 0
	for i, a := range attempts {
		for a.arrived.at-attempts[first].arrived.at > d {
			first++
		}
		if i-first+1 > len(most) {
			most = attempts[first : i+1]
		}
	}
	return most
}
