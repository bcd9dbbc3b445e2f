package balance

import "time"

// Grantable is a plain server whose slots can be granted one by one.
type Grantable struct {
	// Hash identifies the incarnation.
	Hash  uint64
	Slots int
	// Usable is set while this router may send it requests.
	Usable bool
	// Load is the number of requests of all routers there.
	Load int
}

// Grantable returns the servers whose slots can be granted: those that neither leave nor are evacuated or cold, when all are plain servers of a known size
// which neither name a limit nor are brittle. Other rules bound the load of such ones. Otherwise there are none.
func (p *Pool) Grantable(now time.Time) []Grantable {
	list := make([]Grantable, 0, len(p.members))
	anyUsable := false
	for _, m := range p.members {
		if m.server.Engine || m.server.Slots <= 0 || m.limit.Active() || m.brittle.active() {
			return nil
		}
		if m.outOfService() || p.isCold(now, m) {
			continue
		}
		usable := !m.health.ejected(now, m.own) && !m.refuses(now)
		anyUsable = anyUsable || usable
		list = append(list, Grantable{Hash: m.hash, Slots: m.server.Slots, Load: m.own + m.others(now), Usable: usable})
	}
	if !anyUsable {
		// As in takers, an ejected server is tried when there is no other one.
		for i := range list {
			list[i].Usable = !p.byHash[list[i].Hash].refuses(now)
		}
	}
	return list
}

// Withheld returns the hashes of the servers that may not get a request of this router. Those whose entry says that they leave
// are known to all and left out.
func (p *Pool) Withheld(now time.Time, job Job) []uint64 {
	usable := p.usable(now, &job)
	if len(usable) == len(p.members) {
		return nil
	}
	may := make(map[uint64]bool, len(usable))
	for _, m := range usable {
		may[m.hash] = true
	}
	var list []uint64
	for _, m := range p.members {
		if !may[m.hash] && (!m.server.Leaving || m.saidLeaving) {
			list = append(list, m.hash)
		}
	}
	return list
}

// PlainSlots returns the slots of the servers that neither leave nor are evacuated, cold or ejected, when all servers of the pool are plain ones
// of a known size that say nothing of their load, name no limit and are not brittle. Otherwise it returns 0. A server that
// wants no requests for a moment counts.
func (p *Pool) PlainSlots(now time.Time) int {
	slots, ejected := 0, 0
	for _, m := range p.members {
		if m.server.Engine || m.server.Slots <= 0 || m.limit.Active() || m.brittle.active() || !m.serverReportAt.IsZero() {
			return 0
		}
		switch {
		case m.outOfService() || p.isCold(now, m):
		case m.health.ejected(now, m.own):
			ejected += m.server.Slots
		default:
			slots += m.server.Slots
		}
	}
	if slots == 0 {
		// As in takers, ejected servers are tried when there are no other ones.
		return ejected
	}
	return slots
}
