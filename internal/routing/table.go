package routing

import (
	"slices"
	"strings"
)

// Table is a configuration that is indexed for lookups.
type Table struct {
	version int64
	limits  Limits
	hosts   map[string][]*Route
	keys    map[string]Workspace
	pools   map[string]Pool
	// authenticate is set when the configuration names workspaces.
	authenticate bool
}

// Compile builds the table of a configuration.
func Compile(c Config) *Table {
	t := &Table{
		version:      c.Version,
		limits:       c.Limits,
		hosts:        make(map[string][]*Route),
		keys:         make(map[string]Workspace),
		pools:        make(map[string]Pool, len(c.Pools)),
		authenticate: len(c.Workspaces) > 0,
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		t.hosts[r.Host] = append(t.hosts[r.Host], r)
	}
	for _, routes := range t.hosts {
		slices.SortStableFunc(routes, longestPrefixFirst)
	}
	for _, p := range c.Pools {
		t.pools[p.Name] = p
	}
	for _, w := range c.Workspaces {
		for _, key := range w.Keys {
			t.keys[key] = w.Workspace
		}
	}
	return t
}

func longestPrefixFirst(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) }

// Version returns the version of the configuration.
func (t *Table) Version() int64 { return t.version }

// Pool returns what the configuration says of a pool, the zero value for one that it does not name.
func (t *Table) Pool(name string) Pool { return t.pools[name] }

// Limits returns the limits for callers.
func (t *Table) Limits() Limits { return t.limits }

// Match returns the route with the longest prefix of path on host, or nil.
// The path is compared as the caller sent it.
func (t *Table) Match(host, path string) *Route {
	for _, r := range t.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Authorize returns the workspace of key. A request without a valid key is
// allowed only on a public route, or while no workspace is configured.
func (t *Table) Authorize(r *Route, key string) (Workspace, bool) {
	w, ok := t.keys[key]
	return w, ok || r.Public || !t.authenticate
}

// PickTarget returns the pool for a request whose hash is h. Equal hashes get the
// same pool on every router.
func (r *Route) PickTarget(h uint64) string {
	total := 0
	for _, t := range r.Targets {
		total += t.Weight
	}
	if total <= 0 {
		return ""
	}
	remainder := int(h % uint64(total))
	for _, t := range r.Targets {
		if remainder < t.Weight {
			return t.Pool
		}
		remainder -= t.Weight
	}
	return ""
}
