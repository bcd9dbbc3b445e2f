package configcheck

import (
	"fmt"
	"strings"

	"github.com/bluebellwell/bluebellwell/internal/findings"
	"github.com/bluebellwell/bluebellwell/internal/routing"
)

// maxListed bounds the names that one message lists.
const maxListed = 5

func (c *check) checkEntries() {
	if c.config.Version < 1 {
		c.add(Place{Field: Version}, findings.CodeRange, "version must be 1 or higher")
	}
	c.checkNames()
	for i := range c.config.Routes {
		c.checkMatch(i)
		c.checkTargets(i)
		c.checkPriority(Routes, i, c.config.Routes[i].Priority)
	}
	c.checkUnusedPools()
	c.checkWorkspaces()
	c.checkRegions()
}

// checkNames finds entries without a name and those with that of an earlier one, and indexes the pools.
func (c *check) checkNames() {
	c.pools = byName(c.config.Pools, func(p *routing.Pool) string { return p.Name })
	routes, pools, workspaces := make(map[string]int), make(map[string]int), make(map[string]int)
	for i := range c.config.Routes {
		c.checkName(routes, Routes, i, c.config.Routes[i].Name, "route", "logs and metrics do not tell them apart")
	}
	for i, p := range c.config.Pools {
		c.checkName(pools, Pools, i, p.Name, "pool", "routers use the last one")
	}
	for i, w := range c.config.Workspaces {
		c.checkName(workspaces, Workspaces, i, w.Workspace.Name, "workspace", "servers and logs do not tell them apart")
	}
}

func (c *check) checkName(first map[string]int, section Section, i int, name, noun, effect string) {
	at := Place{Section: section, Index: i, Field: Name}
	if name == "" {
		c.add(at, findings.CodeMissing, "%s has no name", noun)
		return
	}
	if earlier, taken := first[name]; taken {
		c.add(at, findings.CodeDuplicate, "%s %s has the name of an earlier one (%s): %s", noun, name, c.in.Path(Place{Section: section, Index: earlier}), effect)
		return
	}
	first[name] = i
}

// checkMatch finds routes that get no request because of their own place or that of another route.
func (c *check) checkMatch(i int) {
	r := &c.config.Routes[i]
	if r.Host == "" {
		c.add(Place{Section: Routes, Index: i, Field: Host}, findings.CodeMissing, "route %s has no host: only requests without one match it", r.Name)
	}
	at := Place{Section: Routes, Index: i, Field: Prefix}
	switch owner := c.index.Owner(r); {
	case owner < 0:
		c.add(at, findings.CodeNeverMatches, "route %s gets no request: no path begins with %q", r.Name, r.Prefix)
	case owner == i:
	case c.config.Routes[owner].Prefix == r.Prefix:
		c.add(at, findings.CodeNeverMatches, "route %s gets no request: the earlier route %s (%s) has the same host and prefix",
			r.Name, c.config.Routes[owner].Name, c.in.Path(Place{Section: Routes, Index: owner}))
	default:
		c.add(at, findings.CodeNeverMatches, "route %s gets no request: every path matches the longer prefix of route %s (%s)",
			r.Name, c.config.Routes[owner].Name, c.in.Path(Place{Section: Routes, Index: owner}))
	}
}

// checkTargets finds pools of a route that do not exist or get no requests.
func (c *check) checkTargets(i int) {
	r := &c.config.Routes[i]
	if len(r.Targets) == 0 {
		c.add(Place{Section: Routes, Index: i}, findings.CodeMissing, "route %s has no pool: its requests are rejected", r.Name)
		return
	}
	total := 0
	seen := make(map[string]bool, len(r.Targets))
	for j, t := range r.Targets {
		at := Place{Section: Routes, Index: i, Field: Target, Item: j}
		if _, exists := c.pools[t.Pool]; !exists {
			c.add(at, findings.CodeMissing, "route %s uses pool %q, which does not exist", r.Name, t.Pool)
		}
		if seen[t.Pool] {
			c.add(at, findings.CodeDuplicate, "route %s names pool %s more than once", r.Name, t.Pool)
		}
		seen[t.Pool] = true
		switch {
		case t.Weight < 0:
			c.add(at, findings.CodeRange, "weight of pool %s is negative: the other pools do not get their shares", t.Pool)
		case t.Weight == 0:
			c.add(at, findings.CodeNeverMatches, "pool %s gets no requests of route %s: its weight is 0", t.Pool, r.Name)
		}
		total += t.Weight
	}
	if total <= 0 {
		c.add(Place{Section: Routes, Index: i}, findings.CodeRange, "weights of route %s add up to %d: its requests are rejected", r.Name, total)
	}
}

func (c *check) checkPriority(section Section, i, priority int) {
	if least := c.options.Rules.LeastPriority; priority < 0 || priority > least {
		c.add(Place{Section: section, Index: i, Field: Priority}, findings.CodeRange,
			"priority %d counts as %d: priorities are 0 to %d", priority, min(max(priority, 0), least), least)
	}
}

func (c *check) checkUnusedPools() {
	used := make(map[string]bool)
	for i := range c.config.Routes {
		for _, t := range c.config.Routes[i].Targets {
			used[t.Pool] = true
		}
	}
	for i, p := range c.config.Pools {
		if !used[p.Name] {
			c.add(Place{Section: Pools, Index: i}, findings.CodeNeverMatches, "pool %s gets no requests: no route uses it", p.Name)
		}
	}
}

// checkWorkspaces finds keys that are not usable as written. Messages name workspaces, never keys.
func (c *check) checkWorkspaces() {
	owners := make(map[string]int)
	for i, w := range c.config.Workspaces {
		if len(w.Keys) == 0 {
			c.add(Place{Section: Workspaces, Index: i}, findings.CodeNeverMatches, "workspace %s gets no requests: it has no keys", w.Workspace.Name)
		}
		if w.Workspace.HasPriority {
			c.checkPriority(Workspaces, i, w.Workspace.Priority)
		}
		for j, key := range w.Keys {
			at := Place{Section: Workspaces, Index: i, Field: Key, Item: j}
			owner, taken := owners[key]
			switch {
			case key == "":
				c.add(at, findings.CodeInvalid, "workspace %s has an empty key: requests without a key are accepted as its own", w.Workspace.Name)
			case taken && owner == i:
				c.add(at, findings.CodeDuplicate, "workspace %s has this key more than once", w.Workspace.Name)
			case taken:
				c.add(at, findings.CodeDuplicate, "workspaces %s and %s have the same key: its requests count for %s",
					c.config.Workspaces[owner].Workspace.Name, w.Workspace.Name, w.Workspace.Name)
			}
			owners[key] = i
		}
	}
}

// regionSet is the routes or the workspaces that allow the same regions.
type regionSet struct {
	// first is the index of the first member.
	first   int
	members []int
}

// checkRegions finds routes that reject all requests of a workspace because they have no region in common. Entries
// with the same regions are compared once, so that the work grows with the number of different lists of regions.
func (c *check) checkRegions() {
	var routes, workspaces []*regionSet
	byList := make(map[string]*regionSet)
	for i := range c.config.Routes {
		routes = addToSet(routes, byList, c.config.Routes[i].AllowedRegions, i)
	}
	clear(byList)
	for i := range c.config.Workspaces {
		workspaces = addToSet(workspaces, byList, c.config.Workspaces[i].Workspace.AllowedRegions, i)
	}
	for _, rs := range routes {
		var rejected []string
		for _, ws := range workspaces {
			if _, ok := c.options.Rules.Regions(&c.config.Routes[rs.first], &c.config.Workspaces[ws.first].Workspace); ok {
				continue
			}
			for _, w := range ws.members {
				rejected = append(rejected, c.config.Workspaces[w].Workspace.Name)
			}
		}
		if len(rejected) == 0 {
			continue
		}
		for _, i := range rs.members {
			c.add(Place{Section: Routes, Index: i, Field: AllowedRegions}, findings.CodeConflict,
				"route %s rejects the requests of %s: they have no allowed region in common", c.config.Routes[i].Name, listed("workspace", rejected))
		}
	}
}

// addToSet adds an entry to the set of its list of regions. Entries that allow all regions are left out.
func addToSet(sets []*regionSet, byList map[string]*regionSet, regions []string, i int) []*regionSet {
	if len(regions) == 0 {
		return sets
	}
	list := fmt.Sprintf("%q", regions)
	set, ok := byList[list]
	if !ok {
		set = &regionSet{first: i}
		byList[list] = set
		sets = append(sets, set)
	}
	set.members = append(set.members, i)
	return sets
}

// listed returns a noun with the first names of a list.
func listed(noun string, names []string) string {
	if len(names) > 1 {
		noun += "s"
	}
	more := ""
	if n := len(names) - maxListed; n > 0 {
		names, more = names[:maxListed], fmt.Sprintf(" and %d more", n)
	}
	return noun + " " + strings.Join(names, ", ") + more
}
