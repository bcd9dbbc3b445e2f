package routing

import "testing"

func table() *Table {
	return Compile(Config{
		Version: 3,
		Routes: []Route{
			{Name: "short", Host: "h", Prefix: "/a/", Targets: []Target{{Pool: "p", Weight: 1}}},
			{Name: "long", Host: "h", Prefix: "/a/b/", Public: true},
			{Name: "other", Host: "g", Prefix: "/a/"},
		},
		Workspaces: []Keyring{{Workspace: Workspace{Name: "w"}, Keys: []string{"k"}}},
	})
}

// Guards against a request that matches a route of another host, or one with a
// shorter prefix than the longest match.
func TestMatch(t *testing.T) {
	for _, c := range []struct{ host, path, want string }{
		{"h", "/a/x", "short"},
		{"h", "/a/b/x", "long"},
		{"h", "/a/bx", "short"},
		{"g", "/a/b/x", "other"},
		{"h", "/ab/", ""},
		{"h", "/a", ""},
		{"i", "/a/", ""},
		{"h", "/A/", ""},
	} {
		got := ""
		if r := table().Match(c.host, c.path); r != nil {
			got = r.Name
		}
		if got != c.want {
			t.Errorf("%s%s: route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

// Guards against the acceptance of requests without a valid key, and against
// refusals where no key is required.
func TestAuthorize(t *testing.T) {
	private, public := &Route{}, &Route{Public: true}
	for _, c := range []struct {
		name  string
		table *Table
		route *Route
		key   string
		want  bool
		owner string
	}{
		{"valid key", table(), private, "k", true, "w"},
		{"unknown key", table(), private, "x", false, ""},
		{"no key", table(), private, "", false, ""},
		{"public", table(), public, "", true, ""},
		{"public with a key", table(), public, "k", true, "w"},
		{"no workspaces", Compile(Config{}), private, "", true, ""},
	} {
		w, ok := c.table.Authorize(c.route, c.key)
		if ok != c.want || w.Name != c.owner {
			t.Errorf("%s: workspace %q, authorized %v", c.name, w.Name, ok)
		}
	}
}

// Guards against a route whose pools don't get requests in proportion to their
// weights.
func TestPickTarget(t *testing.T) {
	r := &Route{Targets: []Target{{"a", 90}, {"b", 10}, {"c", 0}}}
	count := map[string]int{}
	for h := range uint64(1000) {
		count[r.PickTarget(h)]++
	}
	if count["a"] != 900 || count["b"] != 100 || count["c"] != 0 {
		t.Errorf("requests by pool: %v, want 900 for a, 100 for b and none for c", count)
	}
	if got := (&Route{}).PickTarget(1); got != "" {
		t.Errorf("route without pools picked %q, want no pool", got)
	}
}

// Guards against a second run of a request that must not be repeated.
func TestMayRepeat(t *testing.T) {
	for _, c := range []struct {
		route Route
		want  bool
	}{
		{Route{Kind: Safe}, true},
		{Route{Kind: Unsafe}, false},
		{Route{Kind: Unsafe, Resumable: true}, false},
		{Route{Kind: Stream}, false},
		{Route{Kind: Stream, Resumable: true}, true},
	} {
		if got := c.route.MayRepeat(); got != c.want {
			t.Errorf("%s, resumable %v: may repeat %v", c.route.Kind, c.route.Resumable, got)
		}
	}
}
