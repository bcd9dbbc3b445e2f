package forward

import (
	"net/http/httptest"
	"testing"

	"github.com/bluebellwell/bluebellwell/internal/routing"
)

// Guards against lines that do not tell one request that comes again from many different ones,
// or that take the requests of two callers for one.
func TestFingerprintTellsTheSameRequest(t *testing.T) {
	t.Parallel()
	b := newBed(t, bedOptions{route: routing.Route{Kind: routing.Safe}}, ok("answer"))
	seen := map[any]ask{}
	for _, a := range []ask{{path: "/x?q=1", body: "a"}, {path: "/x?q=2", body: "a"}, {path: "/x?q=1", body: "b"}, {path: "/x?q=1"}, {path: "/x", body: "q=1a"}, {path: "/x?q=1", body: "a", method: "PUT"}} {
		b.send(a)
		first := b.logged()["fingerprint"]
		b.send(a)
		if again := b.logged()["fingerprint"]; first == nil || again != first {
			t.Errorf("fingerprints %v and %v of the same request", first, again)
		}
		if other, ok := seen[first]; ok {
			t.Errorf("%+v and %+v have the same fingerprint", a, other)
		}
		seen[first] = a
	}
	c := call{r: httptest.NewRequest("POST", "/x", nil), workspace: routing.Workspace{Name: "w1"}}
	d := call{r: httptest.NewRequest("POST", "/x", nil), workspace: routing.Workspace{Name: "w2"}}
	if c.fingerprint() == d.fingerprint() {
		t.Error("two workspaces have the same fingerprint")
	}
}
