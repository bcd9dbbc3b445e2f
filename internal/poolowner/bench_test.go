package poolowner

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bluebellwell/bluebellwell/internal/placement"
	"github.com/bluebellwell/bluebellwell/internal/record"
)

// BenchmarkAssign measures the repeated assignment of one owned pool of 33
// engines, which the control goroutine does with each snapshot, and its
// replacement by a configuration in which one workspace differs.
func BenchmarkAssign(b *testing.B) {
	for _, size := range []int{100, 5000, 38000} {
		for _, kind := range []string{"repeated", "workspace_changed"} {
			b.Run(fmt.Sprintf("workspaces=%d/%s", size, kind), func(b *testing.B) {
				clock := clockwork.NewFakeClock()
				s := New(Deps{Clock: clock, Rand: func() float64 { return 0.5 }})
				defer s.Kill()
				var servers []Server
				for i := range 33 {
					servers = append(servers, Server{Name: fmt.Sprintf("engine-%d", i), Addr: "127.0.0.1:1", State: placement.Up, Weight: 1})
				}
				workspaces := [2]map[string]*record.Workspace{{}, nil}
				for i := range size {
					name := fmt.Sprintf("workspace-%d", i)
					workspaces[0][name] = &record.Workspace{Name: name, Weight: 1, MaxQueued: 64}
				}
				workspaces[1] = maps.Clone(workspaces[0])
				if kind != "repeated" {
					workspaces[1]["workspace-0"] = &record.Workspace{Name: "workspace-0", Weight: 2, MaxQueued: 64}
				}
				pool := &record.Pool{Name: "p", Type: record.PoolEngines, LoadMultiple: 1.25, MaxInFlight: 64, QueueLimit: 256}
				end := clock.Now().Add(time.Hour)
				n := 0
				b.ReportAllocs()
				for b.Loop() {
					s.Assign(clock.Now(), []Assignment{{Pool: pool, Workspaces: workspaces[n%2], Servers: servers, Owned: true, ListedRouters: 340, LeaseEnd: end}})
					n++
				}
			})
		}
	}
}
