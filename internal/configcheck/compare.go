package configcheck

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/bluebellwell/bluebellwell/internal/findings"
	"github.com/bluebellwell/bluebellwell/internal/routing"
)

// differ adds a difference.
func (c *check) differ(at Place, format string, args ...any) {
	c.differences.Add(c.in.Path(at), findings.CodeDifference, format, args...)
}

// compare finds the differences from the version in force. An entry is the same when it has the same name.
func (c *check) compare(old *routing.Config) {
	if c.config.Version <= old.Version {
		c.add(Place{Field: Version}, findings.CodeConflict, "version %d is not higher than %d, which is in force: routers ignore it", c.config.Version, old.Version)
	}
	c.compareRoutes(old)
	c.comparePools(old)
	c.compareWorkspaces(old)
	c.compareLimits(old.Limits)
}

func (c *check) compareRoutes(old *routing.Config) {
	oldIndex := routing.NewIndex(old.Routes)
	before := byName(old.Routes, func(r *routing.Route) string { return r.Name })
	after := byName(c.config.Routes, func(r *routing.Route) string { return r.Name })
	for i := range c.config.Routes {
		r := &c.config.Routes[i]
		at := Place{Section: Routes, Index: i}
		j, known := before[r.Name]
		if !known {
			c.differ(at, "route %s is new: it takes the requests to %s%s, %s", r.Name, r.Host, r.Prefix, servedBefore(old.Routes, oldIndex, r))
			continue
		}
		for _, change := range routeChanges(&old.Routes[j], r) {
			c.differ(at, "route %s: %s", r.Name, change)
		}
	}
	for i := range old.Routes {
		if r := &old.Routes[i]; !contains(after, r.Name) {
			c.differ(Place{Section: Routes, Index: -1}, "route %s is removed: the requests to %s%s %s", r.Name, r.Host, r.Prefix, c.servedAfter(r))
		}
	}
}

func servedBefore(routes []routing.Route, index *routing.Index, r *routing.Route) string {
	if i := index.Owner(r); i >= 0 {
		return "which route " + routes[i].Name + " serves"
	}
	return "which no route serves"
}

func (c *check) servedAfter(r *routing.Route) string {
	if i := c.index.Owner(r); i >= 0 {
		return "go to route " + c.config.Routes[i].Name
	}
	return "match no route and get 404"
}

// routeChanges describes what a new version of a route changes for its callers.
func routeChanges(a, b *routing.Route) []string {
	var list changes
	list.add(a.Host+a.Prefix, b.Host+b.Prefix, "takes the requests to %[2]s instead of %[1]s")
	list.add(a.Kind, b.Kind, "kind is %[2]v, was %[1]v")
	switch {
	case a.MayRepeat() && !b.MayRepeat():
		list = append(list, "its requests run at most once now; a failure is not retried")
	case !a.MayRepeat() && b.MayRepeat():
		list = append(list, "its requests may run more than once now")
	}
	list.add(a.Timeout, b.Timeout, "timeout is %[2]v, was %[1]v: callers get an answer or a failure in that time")
	list.add(a.Objective, b.Objective, "objective is %[2]v, was %[1]v: a full pool rejects what would be later")
	list.add(a.GapObjective, b.GapObjective, "objective between two events is %[2]v, was %[1]v")
	list.add(a.MaxAttempts, b.MaxAttempts, "attempts are %[2]d, were %[1]d")
	list.add(a.Priority, b.Priority, "priority is %[2]d, was %[1]d; 0 is the most urgent")
	switch {
	case a.Public && !b.Public:
		list = append(list, "callers need a key now; those without one get 401")
	case !a.Public && b.Public:
		list = append(list, "callers need no key any more")
	}
	list.add(targetsText(a.Targets), targetsText(b.Targets), "pools are %[2]s, were %[1]s: requests move accordingly")
	list.add(regionsText(a.AllowedRegions), regionsText(b.AllowedRegions), "requests keep to %[2]s, kept to %[1]s")
	return list
}

// changes are texts of what differs.
type changes []string

// add adds a text when the old and the new value differ. The format has the old value as %[1]v and the new one as %[2]v.
func (l *changes) add(before, after any, format string) {
	if before != after {
		*l = append(*l, fmt.Sprintf(format, before, after))
	}
}

func targetsText(targets []routing.Target) string {
	if len(targets) == 0 {
		return "none"
	}
	texts := make([]string, len(targets))
	for i, t := range targets {
		texts[i] = t.Pool
		if len(targets) > 1 {
			texts[i] = fmt.Sprintf("%s:%d", t.Pool, t.Weight)
		}
	}
	return strings.Join(texts, " ")
}

func regionsText(regions []string) string {
	if len(regions) == 0 {
		return "all regions"
	}
	sorted := slices.Sorted(slices.Values(regions))
	return "regions " + strings.Join(slices.Compact(sorted), ", ")
}

func (c *check) comparePools(old *routing.Config) {
	before := byName(old.Pools, func(p *routing.Pool) string { return p.Name })
	for i := range c.config.Pools {
		p := &c.config.Pools[i]
		at := Place{Section: Pools, Index: i}
		j, known := before[p.Name]
		if !known {
			c.differ(at, "pool %s is new", p.Name)
			continue
		}
		for _, change := range poolChanges(&old.Pools[j], p) {
			c.differ(at, "pool %s: %s", p.Name, change)
		}
	}
	for _, p := range old.Pools {
		if !contains(c.pools, p.Name) {
			c.differ(Place{Section: Pools, Index: -1}, "pool %s is removed: its servers get no more requests", p.Name)
		}
	}
}

func poolChanges(a, b *routing.Pool) []string {
	var list changes
	list.add(a.MaxConnections, b.MaxConnections, "connections to a server are %[2]d, were %[1]d")
	list.add(a.ColdStart, b.ColdStart, "servers are cold for %[2]v after their start, were for %[1]v")
	list.add(a.ColdPerSecond, b.ColdPerSecond, "cold servers take %[2]g requests a second, took %[1]g; 0 is no limit")
	if !reflect.DeepEqual(a.Engine, b.Engine) {
		list = append(list, "description of the engines differs: slots, memory, moves and backups follow it")
	}
	return list
}

func (c *check) compareWorkspaces(old *routing.Config) {
	switch {
	case len(old.Workspaces) == 0 && len(c.config.Workspaces) > 0:
		c.differ(Place{Section: Workspaces, Index: -1}, "workspaces are new: callers of routes that are not public need a key now")
	case len(old.Workspaces) > 0 && len(c.config.Workspaces) == 0:
		c.differ(Place{Section: Workspaces, Index: -1}, "no workspace is left: requests are accepted without a key")
	}
	before := byName(old.Workspaces, workspaceName)
	ownersBefore := keyOwners(old.Workspaces)
	for i := range c.config.Workspaces {
		w := &c.config.Workspaces[i]
		at := Place{Section: Workspaces, Index: i}
		if j, known := before[w.Workspace.Name]; known {
			for _, change := range workspaceChanges(&old.Workspaces[j].Workspace, &w.Workspace) {
				c.differ(at, "workspace %s: %s", w.Workspace.Name, change)
			}
		} else {
			c.differ(at, "workspace %s is new", w.Workspace.Name)
		}
		c.compareKeys(i, ownersBefore)
	}
	c.findRemovedWorkspaces(old.Workspaces, ownersBefore)
}

func workspaceName(k *routing.Keyring) string { return k.Workspace.Name }

// findRemovedWorkspaces finds the earlier workspaces that are missing, and counts the keys that belong to no workspace any more.
func (c *check) findRemovedWorkspaces(old []routing.Keyring, ownersBefore map[string]string) {
	after, ownersAfter := byName(c.config.Workspaces, workspaceName), keyOwners(c.config.Workspaces)
	for _, w := range old {
		at := Place{Section: Workspaces, Index: -1}
		if i, kept := after[w.Workspace.Name]; kept {
			at.Index = i
		} else {
			c.differ(at, "workspace %s is removed", w.Workspace.Name)
		}
		revoked := 0
		for _, key := range distinct(w.Keys) {
			if _, held := ownersAfter[key]; !held && ownersBefore[key] == w.Workspace.Name {
				revoked++
			}
		}
		if revoked > 0 {
			c.differ(at, "workspace %s: keys that are revoked: %d; requests with them get 401 where a key is needed", w.Workspace.Name, revoked)
		}
	}
}

// compareKeys counts the keys of a workspace that are new and those that another one had.
func (c *check) compareKeys(i int, ownersBefore map[string]string) {
	w := &c.config.Workspaces[i]
	added := 0
	moved := make(map[string]int)
	for _, key := range distinct(w.Keys) {
		switch owner, held := ownersBefore[key]; {
		case !held:
			added++
		case owner != w.Workspace.Name:
			moved[owner]++
		}
	}
	at := Place{Section: Workspaces, Index: i}
	if added > 0 {
		c.differ(at, "workspace %s: keys that are new: %d", w.Workspace.Name, added)
	}
	for _, owner := range slices.Sorted(maps.Keys(moved)) {
		c.differ(at, "workspace %s: keys of workspace %s that count for it now: %d", w.Workspace.Name, owner, moved[owner])
	}
}

func workspaceChanges(a, b *routing.Workspace) []string {
	var list changes
	list.add(priorityText(a), priorityText(b), "priority is %[2]s, was %[1]s")
	list.add(regionsText(a.AllowedRegions), regionsText(b.AllowedRegions), "requests keep to %[2]s, kept to %[1]s")
	return list
}

func priorityText(w *routing.Workspace) string {
	if !w.HasPriority {
		return "that of the route"
	}
	return fmt.Sprint(w.Priority)
}

func (c *check) compareLimits(old routing.Limits) {
	var list changes
	list.add(old.BodyBytes, c.config.Limits.BodyBytes, "body limit is %[2]d bytes, was %[1]d; larger bodies get 413, 0 is the default")
	list.add(old.IdleTimeout, c.config.Limits.IdleTimeout, "connections may be idle for %[2]v, were for %[1]v")
	list.add(old.HeaderTimeout, c.config.Limits.HeaderTimeout, "headers may take %[2]v, took %[1]v at most; 0 is the default")
	for _, change := range list {
		c.differ(Place{Section: Limits}, "%s", change)
	}
}
