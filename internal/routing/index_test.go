package routing

import (
	"testing"

	"pgregory.net/rapid"
)

// Guards against an index that finds another route than the routers take, and against a route that the index calls hidden
// although a request reaches it. Hosts and prefixes are drawn from few characters, so that prefixes contain each other.
func TestIndexFindsTheRouteThatRoutersTake(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		host := rapid.SampledFrom([]string{"g", "h"})
		var routes []Route
		for range rapid.IntRange(0, 8).Draw(t, "routes") {
			routes = append(routes, Route{Host: host.Draw(t, "host"), Prefix: rapid.StringMatching(`/?[a/]{0,3}`).Draw(t, "prefix")})
		}
		table := Compile(Config{Routes: routes})
		position := make(map[*Route]int)
		for _, sorted := range table.hosts {
			for _, r := range sorted {
				for i := range routes {
					if r == &routes[i] {
						position[r] = i
					}
				}
			}
		}
		index := NewIndex(routes)
		reached := make(map[int]bool)
		for _, h := range []string{"g", "h"} {
			for _, path := range pathsOf("/", 4) {
				want := -1
				if r := table.Match(h, path); r != nil {
					want = position[r]
					reached[want] = true
				}
				if got := index.Match(h, path); got != want {
					t.Fatalf("%s%s: route %d, want %d of %+v", h, path, got, want, routes)
				}
			}
		}
		for i := range routes {
			if owns := index.Owner(&routes[i]) == i; owns != reached[i] {
				t.Fatalf("route %d owns its shortest path: %v; reached by a request: %v; routes %+v", i, owns, reached[i], routes)
			}
		}
	})
}

// pathsOf returns the paths that begin with start and have up to n more characters.
func pathsOf(start string, n int) []string {
	paths := []string{start}
	if n == 0 {
		return paths
	}
	for _, c := range "a/" {
		paths = append(paths, pathsOf(start+string(c), n-1)...)
	}
	return paths
}
