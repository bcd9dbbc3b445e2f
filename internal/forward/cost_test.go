package forward

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/routing"
)

// costStatus returns the status of the only pool.
func (b *bed) costStatus() PoolStatus { return b.state.Status(time.Now())[0] }

// Guards against costs that are not learned from answers, and against those of broken, repeated and continued
// streams, which show only a part.
func TestCostsAreLearnedFromWholeAnswers(t *testing.T) {
	t.Parallel()
	events := func(from, to int) string {
		var s strings.Builder
		for n := from; n <= to; n++ {
			fmt.Fprintf(&s, "id: %d\ndata: %d\n\n", n, n)
		}
		return s.String()
	}
	cut := raw(signedHead + fmt.Sprintf("Content-Length: 10000\r\n\r\n%s", events(1, 3)))
	for name, c := range map[string]struct {
		header  http.Header
		answers []answer
		want    bool
	}{
		"whole":            {http.Header{"Hint": {"20"}}, []answer{ok(events(1, 20))}, true},
		"in two parts":     {http.Header{"Hint": {"20"}}, []answer{cut, ok(events(4, 20))}, false},
		"taken up":         {http.Header{"After": {"2"}}, []answer{ok(events(3, 20))}, false},
		"broken for good":  {http.Header{"Hint": {"20"}}, []answer{cut, cut, cut}, false},
		"without an event": {http.Header{"Hint": {"20"}}, []answer{ok("")}, false},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, bedOptions{servers: 4, route: resumable}, c.answers...)
			b.state.SetFirstStart()
			b.send(ask{header: c.header})
			b.until("the end of the request", func() bool { return b.handler.Running() == 0 })
			seen := 0
			for _, n := range b.costStatus().Cost.Output {
				seen += n
			}
			if got := seen == 1; got != c.want {
				t.Errorf("%d predictions were compared with answers, want it to be learned: %v", seen, c.want)
			}
			for _, s := range b.costStatus().Servers {
				if s.LeftMs != 0 || s.Own != 0 {
					t.Errorf("%+v after the end of the request", s)
				}
			}
		})
	}
}

// Guards against figures of servers, and sizes of engines' memories, that do not reach the balancer.
func TestFiguresAndMemoryReachTheBalancer(t *testing.T) {
	t.Parallel()
	slow := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Load", "1,0,64")
		w.Header().Set("Slowdown", "2.5")
		ok("x")(w, r)
	}
	b := newBed(t, bedOptions{pools: []routing.Pool{{Name: "p", Engine: &routing.Engine{KVTokens: 1000}}}}, slow, ok("x"))
	if got := b.costStatus().Servers[0]; got.Slowdown != 0 {
		t.Errorf("slowdown %v before the server has said so", got.Slowdown)
	}
	b.send(ask{})
	if got := b.costStatus().Servers[0]; got.Slowdown < 1.5 || got.Slowdown > 2.5 {
		t.Errorf("slowdown %v after the server has said 2.5", got.Slowdown)
	}
	if got := engineMemory(b.state.Table(), "p"); got != 1000 {
		t.Errorf("memory of %d tokens, want the 1000 of the configuration", got)
	}
	if got := engineMemory(b.state.Table(), "q") + engineMemory(nil, "p"); got != 0 {
		t.Errorf("memory of %d tokens for pools of which nothing is known", got)
	}
}
