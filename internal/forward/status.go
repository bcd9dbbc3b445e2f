package forward

import (
	"cmp"
	"slices"
	"time"
)

// PoolStatus is the belief about one pool, for operators.
type PoolStatus struct {
	Name string `json:"name"`
	// InFlight and Slots are the load and the capacity of the servers in use.
	InFlight float64 `json:"in_flight"`
	Slots    int     `json:"slots"`
	// ExpectedMs is the time in which a new request would get its first byte.
	ExpectedMs int64 `json:"expected_ms"`
	// RetriesLeft are the requests that may go to a second server now.
	RetriesLeft float64        `json:"retries_left"`
	Servers     []ServerStatus `json:"servers"`
}

// ServerStatus is the belief about one server, for operators.
type ServerStatus struct {
	ID         string `json:"id"`
	Addr       string `json:"addr"`
	DataCentre string `json:"data_centre"`
	// State is ready, leaving or ejected.
	State string `json:"state"`
	// Own and Others are the requests of this router and of the others.
	Own    int `json:"own"`
	Others int `json:"others"`
}

// Status returns the belief about all pools, by name.
func (st *State) Status(now time.Time) []PoolStatus {
	var list []PoolStatus
	st.eachPool(func(p *pool) { list = append(list, p.status(now)) })
	slices.SortFunc(list, func(a, b PoolStatus) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// status is called with the pool's lock held.
func (p *pool) status(now time.Time) PoolStatus {
	load := p.balance.Load(now)
	s := PoolStatus{
		Name:        p.name,
		InFlight:    load.InFlight(),
		Slots:       load.Slots,
		ExpectedMs:  p.guard.Expected(load).Milliseconds(),
		RetriesLeft: p.budget.Left(now),
		Servers:     []ServerStatus{},
	}
	for _, b := range p.balance.Status(now) {
		state := "ready"
		switch {
		case b.Server.Leaving:
			state = "leaving"
		case b.Ejected:
			state = "ejected"
		}
		s.Servers = append(s.Servers, ServerStatus{
			ID: b.Server.ID, Addr: b.Server.Addr, DataCentre: b.Server.DataCentre, State: state, Own: b.Own, Others: b.Others,
		})
	}
	return s
}
