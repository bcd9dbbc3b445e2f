package forward

import (
	"slices"

	"github.com/bluebellwell/bluebellwell/internal/routing"
)

// regionsOf returns the regions to which a request must keep, in order; nil for all. It returns false when the route
// and the workspace name regions and have none in common.
func regionsOf(route *routing.Route, workspace *routing.Workspace) (regions []string, ok bool) {
	switch {
	case len(route.AllowedRegions) == 0 && len(workspace.AllowedRegions) == 0:
		return nil, true
	case len(route.AllowedRegions) == 0:
		regions = slices.Clone(workspace.AllowedRegions)
	case len(workspace.AllowedRegions) == 0:
		regions = slices.Clone(route.AllowedRegions)
	default:
		for _, region := range route.AllowedRegions {
			if slices.Contains(workspace.AllowedRegions, region) {
				regions = append(regions, region)
			}
		}
	}
	slices.Sort(regions)
	return slices.Compact(regions), len(regions) > 0
}

// reaches reports whether the pool has a server in one of the regions.
func (p *pool) reaches(regions []string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.balance.Reaches(regions)
}
