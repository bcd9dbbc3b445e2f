package routing

import (
	"slices"
	"strings"
)

// Index finds the same route for a path as Table.Match by a look-up for each length that prefixes on the host have, of which there are
// far fewer than routes. It is immutable.
type Index struct {
	first map[hostPrefix]int
	// lengths are those of the prefixes on each host, the longest first.
	lengths map[string][]int
}

type hostPrefix struct{ host, prefix string }

// NewIndex indexes routes in the order of the configuration.
func NewIndex(routes []Route) *Index {
	x := &Index{first: make(map[hostPrefix]int, len(routes)), lengths: make(map[string][]int)}
	for i := range routes {
		at := hostPrefix{routes[i].Host, routes[i].Prefix}
		if _, taken := x.first[at]; !taken {
			x.first[at] = i
			x.lengths[at.host] = append(x.lengths[at.host], len(at.prefix))
		}
	}
	for host, lengths := range x.lengths {
		slices.Sort(lengths)
		lengths = slices.Compact(lengths)
		slices.Reverse(lengths)
		x.lengths[host] = lengths
	}
	return x
}

// Match returns the index of the route that takes a path on host, or -1.
func (x *Index) Match(host, path string) int {
	for _, n := range x.lengths[host] {
		if n > len(path) {
			continue
		}
		if i, ok := x.first[hostPrefix{host, path[:n]}]; ok {
			return i
		}
	}
	return -1
}

// Owner returns the index of the route that takes the shortest path of a route, or -1 when no path of a request can begin with
// the route's prefix. A route that does not own its shortest path gets no request at all: the longer paths that begin with its
// prefix go to the same route, or to one with a longer prefix.
func (x *Index) Owner(r *Route) int {
	switch {
	case r.Prefix == "":
		return x.Match(r.Host, "/")
	case !isPath(r.Prefix):
		return -1
	}
	return x.Match(r.Host, r.Prefix)
}

// isPath reports whether text can be the start of a request's path, which has no query, fragment, space or control character.
func isPath(text string) bool {
	return strings.HasPrefix(text, "/") && !strings.ContainsFunc(text, func(c rune) bool { return c <= ' ' || c == '?' || c == '#' || c == 0x7f })
}
