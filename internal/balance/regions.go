package balance

import "slices"

// SetRegions sets the regions of data centres. One that is missing is in no region.
func (p *Pool) SetRegions(regions map[string]string) {
	p.regions = regions
	for _, m := range p.members {
		m.region = regions[m.server.DataCentre]
	}
}

// isIn reports whether the server is in one of the regions, or there are none to keep to.
func (m *member) isIn(regions []string) bool {
	return len(regions) == 0 || m.region != "" && slices.Contains(regions, m.region)
}

// Reaches reports whether the pool has a server in one of the regions, in whatever state.
func (p *Pool) Reaches(regions []string) bool {
	return slices.ContainsFunc(p.members, func(m *member) bool { return m.isIn(regions) })
}
