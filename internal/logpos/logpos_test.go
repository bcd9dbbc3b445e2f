package logpos

import (
	"testing"

	"pgregory.net/rapid"

	_ "github.com/bluebellwell/bluebellwell/internal/testseed"
)

// Guards against offsets of different eras that are compared with each other.
func TestLaterEraIsAfterEveryOffset(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(name string) Position {
			return Position{Era: rapid.Int64Range(0, 3).Draw(t, name+" era"), Offset: rapid.Int64Range(-1, 5).Draw(t, name+" offset")}
		}
		p, q := draw("p"), draw("q")
		want := p.Offset < q.Offset
		if p.Era != q.Era {
			want = p.Era < q.Era
		}
		if p.Before(q) != want {
			t.Fatalf("%s before %s: %v, want %v", p, q, p.Before(q), want)
		}
		if m := Max(p, q); m.Before(p) || m.Before(q) || m != p && m != q {
			t.Fatalf("max of %s and %s is %s", p, q, m)
		}
		if !p.Prev().Before(p) {
			t.Fatalf("%s is not before %s", p.Prev(), p)
		}
	})
}
