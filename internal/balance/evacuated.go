package balance

// SetEvacuated replaces the list of evacuated data centres. Their servers get no new requests.
func (p *Pool) SetEvacuated(evacuated map[string]bool) {
	p.evacuated = evacuated
	for _, m := range p.members {
		p.setMemberEvacuated(m)
	}
}

// setMemberEvacuated sets what is known of the data centre of a member.
func (p *Pool) setMemberEvacuated(m *member) { m.evacuated = p.evacuated[m.server.DataCentre] }

// outOfService reports whether a member takes no new requests at all: it leaves or its data centre is evacuated.
func (m *member) outOfService() bool { return m.server.Leaving || m.evacuated }

// OnlyEvacuated reports whether the request has no server because the data centres of all that stay, or of all with the
// version and in the regions that it needs, are evacuated.
func (p *Pool) OnlyEvacuated(job Job) bool {
	evacuated := false
	for _, m := range p.members {
		if m.server.Leaving || job.Version != 0 && m.version != job.Version || !m.isIn(job.AllowedRegions) {
			continue
		}
		if !m.evacuated {
			return false
		}
		evacuated = true
	}
	return evacuated
}

// notEvacuated returns the number of members whose data centres are not evacuated.
func (p *Pool) notEvacuated() int {
	n := 0
	for _, m := range p.members {
		if !m.evacuated {
			n++
		}
	}
	return n
}
