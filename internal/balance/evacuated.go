package balance

import (
	"time"

	"github.com/bluebellwell/bluebellwell/internal/registry"
)

// maxLiftedAge is how long it is kept that the evacuation of a data centre was lifted. No server is cold for longer.
const maxLiftedAge = time.Hour

// evacuations is which data centres are evacuated, and which were until a moment ago.
type evacuations struct {
	evacuated map[string]bool
	liftedAt  map[string]time.Time
}

// SetEvacuated replaces the list of evacuated data centres. Their servers get nothing, and after the end of an
// evacuation they count as started anew.
func (p *Pool) SetEvacuated(now time.Time, evacuated map[string]bool) {
	lifted := make(map[string]time.Time)
	for name, at := range p.evacuations.liftedAt {
		if now.Sub(at) < maxLiftedAge && !evacuated[name] {
			lifted[name] = at
		}
	}
	for name := range p.evacuations.evacuated {
		if !evacuated[name] {
			lifted[name] = now
		}
	}
	p.evacuations = evacuations{evacuated: evacuated, liftedAt: lifted}
	for _, m := range p.members {
		p.setMemberEvacuated(m)
	}
}

// setMemberEvacuated sets what is known of the data centre of a member.
func (p *Pool) setMemberEvacuated(m *member) {
	m.evacuated = p.evacuations.evacuated[m.server.DataCentre]
	m.liftedAt = p.evacuations.liftedAt[m.server.DataCentre]
}

// LiftedAt returns when this router has learned that the evacuation of a server's data centre was lifted; zero for none
// lately.
func (p *Pool) LiftedAt(key registry.Key) time.Time {
	if m := p.byKey[key]; m != nil {
		return m.liftedAt
	}
	return time.Time{}
}

// out reports whether a member takes no new requests whatever they are: it leaves or its data centre is evacuated.
func (m *member) out() bool { return m.server.Leaving || m.evacuated }

// OnlyEvacuated reports whether the request has no server because the data centres of all that stay, or of all with the
// version that it needs, are evacuated.
func (p *Pool) OnlyEvacuated(job Job) bool {
	evacuated := false
	for _, m := range p.members {
		if m.server.Leaving || job.Version != 0 && m.version != job.Version {
			continue
		}
		if !m.evacuated {
			return false
		}
		evacuated = true
	}
	return evacuated
}

// inService returns the number of members whose data centres are not evacuated.
func (p *Pool) inService() int {
	n := 0
	for _, m := range p.members {
		if !m.evacuated {
			n++
		}
	}
	return n
}
