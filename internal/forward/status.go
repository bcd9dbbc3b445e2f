package forward

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/cost"
)

// PoolStatus is this router's view of one pool, for operators.
type PoolStatus struct {
	Name string `json:"name"`
	// InFlight and Slots are the estimated load and the capacity of the usable
	// servers, in requests.
	InFlight float64 `json:"in_flight"`
	Slots    int     `json:"slots"`
	// ExpectedMs is the expected time to the first byte of a new request, in milliseconds.
	ExpectedMs int64 `json:"expected_ms"`
	// RetriesLeft is the number of retries that the retry budget allows now.
	RetriesLeft float64        `json:"retries_left"`
	Cost        CostStatus     `json:"cost"`
	Servers     []ServerStatus `json:"servers"`
	// Grants is the state of the grants of a scarce pool; absent for other pools.
	Grants *GrantStatus `json:"grants,omitempty"`
	// DelayShare tells which part of its requests this router sends to the pool; absent for pools that are not limited by it.
	DelayShare *DelayShareStatus `json:"delay_share,omitempty"`
	// Backups is the state of the copies of running requests' memory; absent while no engine ends and there are none.
	Backups *BackupStatus `json:"backups,omitempty"`
}

// BackupStatus is the state of the copies of running requests' memory in one pool.
type BackupStatus struct {
	// EngineEnds is the number of engines that have ended lately, with weights that decay.
	EngineEnds float64 `json:"engine_ends"`
	// Running and Tokens are the copies in progress of this router's runs and their expected size.
	Running int `json:"running"`
	Tokens  int `json:"tokens"`
}

// ServerStatus is this router's view of one server, for operators.
type ServerStatus struct {
	ID         string `json:"id"`
	Addr       string `json:"addr"`
	DataCentre string `json:"data_centre"`
	// Region is that of the data centre; empty when it is not known, so that no request that is bound to regions goes there.
	Region string `json:"region,omitempty"`
	// State is ready, indirect (reached through another router), evacuated (as its data centre), leaving, ejected, avoided or cold.
	State string `json:"state"`
	// Own and Others are the requests in flight of this router and of the others.
	Own    int `json:"own"`
	Others int `json:"others"`
	// LimitPerSecond is the limit that the server names; absent for none.
	LimitPerSecond *float64 `json:"limit_per_second,omitempty"`
	// ColdMs is how long the server is cold yet, in milliseconds, and ColdSender is set while this router is the one
	// that sends to it.
	ColdMs     int64 `json:"cold_ms,omitempty"`
	ColdSender bool  `json:"cold_sender,omitempty"`
	// NoReuseMs is how long connections are not reused yet, in milliseconds.
	NoReuseMs int64 `json:"no_reuse_ms,omitempty"`
	// Slowdown is how many times the usual time work is expected to take; absent when the pool's servers do not say.
	// LeftMs is the time in slots that this router's requests still take, MemoryTokens the predicted memory of all
	// requests there.
	Slowdown     float64 `json:"slowdown,omitempty"`
	LeftMs       int64   `json:"left_ms,omitempty"`
	MemoryTokens int     `json:"memory_tokens,omitempty"`
}

// CostStatus counts predictions of request costs by the ratio of the predicted value to the one that was seen, from a
// sixteenth to sixteen times: the middle bucket is about right.
type CostStatus struct {
	Output cost.Histogram `json:"output"`
	Slot   cost.Histogram `json:"slot_time"`
}

// Status returns the status of all pools, sorted by name.
func (st *State) Status(now time.Time) []PoolStatus {
	var list []PoolStatus
	grants := make(map[string]*grantPool)
	st.eachPool(func(p *pool) {
		list = append(list, p.status(now))
		grants[p.name] = p.grants
	})
	for i := range list {
		// They use the pool, so they are asked without its lock.
		list[i].Grants = grants[list[i].Name].status(now)
	}
	slices.SortFunc(list, func(a, b PoolStatus) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

// retriesLeft returns what is left of the retry budget, rounded for people.
func (p *pool) retriesLeft(now time.Time) float64 { return math.Round(10*p.budget.Remaining(now)) / 10 }

// status returns the status of the pool. The caller holds the pool's lock.
func (p *pool) status(now time.Time) PoolStatus {
	load := p.balance.Load(now)
	s := PoolStatus{
		Name:        p.name,
		InFlight:    load.InFlight(),
		Slots:       load.Slots,
		ExpectedMs:  p.controller.Expected(load).Milliseconds(),
		RetriesLeft: p.retriesLeft(now),
		Cost:        CostStatus(p.costs.Accuracy()),
		Backups:     p.backupStatus(now),
		DelayShare:  p.delayShareStatus(now),
		Servers:     []ServerStatus{},
	}
	for _, b := range p.balance.Status(now) {
		state := "ready"
		switch {
		case b.Evacuated:
			state = "evacuated"
		case b.Server.Leaving:
			state = "leaving"
		case b.Ejected:
			state = "ejected"
		case b.Avoided:
			state = "avoided"
		case b.ColdLeft > 0:
			state = "cold"
		case p.indirect(now, b.Server.Addr):
			state = "indirect"
		}
		server := ServerStatus{
			ID: b.Server.ID, Addr: b.Server.Addr, DataCentre: b.Server.DataCentre, State: state, Own: b.Own, Others: b.Others,
			Region: b.Region, LimitPerSecond: b.LimitPerSecond, ColdMs: b.ColdLeft.Milliseconds(), ColdSender: b.ColdSender,
			Slowdown: math.Round(100*b.Slowdown) / 100, LeftMs: b.Left.Milliseconds(), MemoryTokens: b.MemoryTokens,
		}
		if c := p.connections[b.Server.Key()]; c != nil {
			server.NoReuseMs = c.noReuseFor(now).Milliseconds()
		}
		s.Servers = append(s.Servers, server)
	}
	return s
}
