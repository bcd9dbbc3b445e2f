package forward

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/balance"
	"github.com/bluebellwell/bluebellwell/internal/registry"
)

// evacuatedRetryAfter is the wait that a caller is asked for when all servers of a pool are evacuated. That lasts for minutes,
// but a caller that waits for long misses the servers that are started elsewhere meanwhile.
const evacuatedRetryAfter = 2 * time.Second

// SetEvacuated replaces the evacuated data centres. Their servers get nothing that begins afterwards. Those of a data centre
// whose evacuation has ended may be cold, and are taken for it before they get a request.
func (st *State) SetEvacuated(now time.Time, evacuated map[string]bool) {
	for _, c := range st.setEvacuated(now, evacuated) {
		st.onCold(c.server, c.left, ColdByLifting)
	}
}

// coldAfterLifting is a server that is taken for cold since the evacuation of its data centre has ended.
type coldAfterLifting struct {
	server *registry.Server
	left   time.Duration
}

func (st *State) setEvacuated(now time.Time, evacuated map[string]bool) []coldAfterLifting {
	st.mu.Lock()
	defer st.mu.Unlock()
	lifted := func(s *registry.Server) bool { return st.evacuated[s.DataCentre] && !evacuated[s.DataCentre] }
	var begun []coldAfterLifting
	for name, p := range st.pools {
		limits := st.coldLimits(name)
		p.mu.Lock()
		p.balance.SetEvacuated(evacuated)
		for _, s := range p.balance.SetCold(now, lifted, now.Add(limits.Start)) {
			if limits.Bounds.PerSecond > 0 {
				begun = append(begun, coldAfterLifting{s, limits.Start})
			}
		}
		p.mu.Unlock()
	}
	st.evacuated = evacuated
	return begun
}

// SetMaySend sets the function that reports whether this router knows which data centres are evacuated. Call it before requests are
// served.
func (st *State) SetMaySend(f func() bool) { st.maySend = f }

// evacuatedAddr reports whether the server at an address is, as far as this router knows, in an evacuated data centre.
func (st *State) evacuatedAddr(addr string) bool {
	if !st.maySend() {
		return true
	}
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.isEvacuated(addr)
}

// isEvacuated is evacuatedAddr for a caller that holds mu.
func (st *State) isEvacuated(addr string) bool {
	for _, dataCentre := range st.addrs[addr] {
		if st.evacuated[dataCentre] {
			return true
		}
	}
	return false
}

// errEvacuated is returned for a server whose data centre has been evacuated.
var errEvacuated = errors.New("data centre of the server is evacuated")

// unlessEvacuated returns a function whose error prevents that a request is written to a server that has been evacuated since it
// was chosen. The process may have been frozen in between.
func (p *pool) unlessEvacuated(addr string) func() error {
	return func() error {
		if p.evacuated(addr) {
			return errEvacuated
		}
		return nil
	}
}

// dialEvacuated is the error of a connection to such a server, which was not opened.
func dialEvacuated(network string) error {
	return &net.OpError{Op: "dial", Net: network, Err: errEvacuated}
}

// awaitMaySend holds a request while this router does not know which data centres are evacuated, for half of its objective at most. It
// reports whether the request may be sent, and ends it otherwise.
func (c *call) awaitMaySend(ctx context.Context) bool {
	limit := time.Duration(maxHeldShare * float64(c.route.Objective))
	for !c.handler.state.maySend() {
		if c.attempts.held >= limit {
			c.endUnserved(CauseEvacuationsUnknown)
			return false
		}
		if !c.hold(ctx, holdCheck) {
			c.endWithoutServer(ctx)
			return false
		}
	}
	return true
}

// refuseEvacuated refuses a request all of whose servers are evacuated. It reports whether that is so.
func (c *call) refuseEvacuated() bool {
	if !c.pool.onlyEvacuated(balance.Job{Version: c.requiredVersion(), AllowedRegions: c.regions}) {
		return false
	}
	c.endUnserved(CauseEvacuated)
	return true
}

// onlyEvacuated reports whether only evacuated servers could take a request.
func (p *pool) onlyEvacuated(job balance.Job) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balance.OnlyEvacuated(job)
}
