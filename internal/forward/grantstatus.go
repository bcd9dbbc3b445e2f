package forward

import (
	"slices"
	"strconv"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/slotgrant"
)

// GrantStatus is the state of the grants of a scarce pool, for operators.
type GrantStatus struct {
	// Slots and Routers are the numbers that make the pool scarce.
	Slots   int                `json:"slots"`
	Routers int                `json:"routers"`
	Groups  []GrantGroupStatus `json:"groups"`
}

// GrantGroupStatus is the state of the grants of one group of a pool's servers; a small pool has one group.
type GrantGroupStatus struct {
	Servers int `json:"servers"`
	// Router is the one that grants, as this one sees it; empty for none. Granting is set at that router.
	Router   string `json:"router"`
	Granting bool   `json:"granting"`
	// Leases and Waiting are the grants in use and the waiting questions of the router that grants.
	Leases  int `json:"leases"`
	Waiting int `json:"waiting"`
	// SlotMs is the usual time from a grant to its report, in milliseconds, as the router that grants has learned it.
	SlotMs float64 `json:"slot_ms"`
	Term   uint64  `json:"term"`
	// Silent is a router that should grant and does not answer.
	Silent string `json:"silent,omitempty"`
}

// status returns the state of the grants, or nil while the pool is not scarce.
func (g *grantPool) status(now time.Time) *GrantStatus {
	if !g.isScarce(now) {
		return nil
	}
	g.mu.Lock()
	s := &GrantStatus{Slots: g.slots, Routers: g.routers}
	groups := slices.Clone(g.groups)
	g.mu.Unlock()
	for _, group := range groups {
		if d := g.endpoint(group); d != nil {
			s.Groups = append(s.Groups, d.status(now))
		}
	}
	return s
}

func (e *grantEndpoint) status(now time.Time) GrantGroupStatus {
	view := e.view(now)
	e.mu.Lock()
	defer e.mu.Unlock()
	s := GrantGroupStatus{Servers: len(view.Servers)}
	for _, addr := range view.Candidates {
		if !e.endpoint.Asker.Silent(addr) {
			s.Router = addr.String()
			break
		}
	}
	granter := e.endpoint.Granter
	s.Granting, s.Leases, s.Waiting, s.Term = granter.Active(), granter.Leases(), granter.Waiting(), e.endpoint.Asker.Term()
	s.SlotMs = float64(granter.SlotTime().Microseconds()) / 1000
	if e.silent.IsValid() {
		s.Silent = e.silent.String()
	}
	return s
}

// observe logs and counts what has changed. The caller holds e.mu.
func (e *grantEndpoint) observe() {
	g := e.endpoint.Granter
	if active := g.Active(); active != e.granting {
		e.granting = active
		change := event.GrantingEnded
		if active {
			change = event.GrantingBegun
		}
		e.shared.events.Emit(change, "pool", e.pool.pool.name, "group", strconv.FormatUint(e.group, 16), "term", e.endpoint.Asker.Term())
	}
	if silent := e.endpoint.Asker.FirstSilent(); silent != e.silent {
		e.silent = silent
		if silent.IsValid() {
			e.shared.events.Emit(event.GranterSilent, "pool", e.pool.pool.name, "group", strconv.FormatUint(e.group, 16), "router", silent.String())
		}
	}
	if counts := g.Counts(); counts != e.counts {
		e.shared.metrics.recordGranting(e.pool.pool.name, e.counts, counts)
		e.counts = counts
	}
}

// recordGranting counts what the granting side has done since the counts before.
func (m *Metrics) recordGranting(pool string, before, now slotgrant.Counts) {
	if m == nil {
		return
	}
	scope := m.scope.Tagged(map[string]string{"pool": pool})
	for _, c := range []struct {
		name        string
		before, now int64
	}{
		{"slots_granted", before.Granted, now.Granted}, {"slot_questions_queued", before.Queued, now.Queued},
		{"slot_leases_expired", before.Expired, now.Expired}, {"slot_probes", before.Probed, now.Probed},
	} {
		if n := c.now - c.before; n > 0 {
			scope.Counter(c.name).Inc(n)
		}
	}
	for reason, n := range now.Rejected {
		if n -= before.Rejected[reason]; n > 0 {
			m.scope.Tagged(map[string]string{"pool": pool, "reason": slotgrant.Reason(reason).String()}).Counter("slot_questions_rejected").Inc(n)
		}
	}
}

// recordGrantWait records how long a request waited for the decision about its slot.
func (m *Metrics) recordGrantWait(pool, result string, wait time.Duration) {
	scope := m.scope.Tagged(map[string]string{"pool": pool, "result": result})
	scope.Counter("grant_decisions").Inc(1)
	scope.Histogram("grant_wait", grantBuckets).RecordDuration(wait)
}
