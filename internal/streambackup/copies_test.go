package streambackup

import "testing"

// Guards against copies of one router that fill the memory or the slots of engines.
func TestCopiesKeepWithinTheRoutersShare(t *testing.T) {
	pool := Pool{KVTokens: 480_000, Slots: 64}
	for _, c := range []struct {
		name string
		in   Bounds
		// each is the size of the copies, want the number that fits at one target, and all that at many.
		each, want, all int
	}{
		{"by slots", Bounds{Pool: pool, Routers: 1, Engines: 100}, 100, 16, maxBackups},
		{"by memory of the target", Bounds{Pool: pool, Routers: 1, Engines: 100}, 12_000, 10, maxBackups},
		{"by memory of the pool", Bounds{Pool: pool, Routers: 4, Engines: 5}, 12_000, 2, 12},
		{"one of any size at a target", Bounds{Pool: pool, Routers: 70, Engines: 500}, 12_000, 1, 71},
		{"unknown capacity", Bounds{Routers: 1, Engines: 1}, 12_000, maxBackups, maxBackups},
	} {
		t.Run(c.name, func(t *testing.T) {
			var one, many Copies
			for range 2 * maxBackups {
				if one.Fits(1, c.each, c.in) {
					one.Add(1, c.each)
				}
			}
			for target := range uint64(2 * maxBackups) {
				if many.Fits(target, c.each, c.in) {
					many.Add(target, c.each)
				}
			}
			if one.Count() != c.want || many.Count() != min(c.all, maxBackups) {
				t.Errorf("%d copies at one target and %d at many, want %d and %d", one.Count(), many.Count(), c.want, min(c.all, maxBackups))
			}
		})
	}
}

// Guards against copies that are counted after their end.
func TestReleasedCopyMakesRoom(t *testing.T) {
	var b Copies
	in := Bounds{Pool: Pool{KVTokens: 100, Slots: 4}, Routers: 1, Engines: 1}
	b.Add(1, 20)
	if b.Fits(1, 20, in) {
		t.Error("a second copy fits beside the first")
	}
	b.Release(1, 20)
	b.Release(2, 20)
	if !b.Fits(1, 20, in) || b.Count() != 0 || b.Tokens() != 0 || len(b.byTarget) != 0 {
		t.Errorf("%d copies of %d tokens are counted after the end", b.Count(), b.Tokens())
	}
}
