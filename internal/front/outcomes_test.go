package front

import (
	"testing"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bluebellwell/bluebellwell/internal/balance"
	"github.com/bluebellwell/bluebellwell/internal/digest"
	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/forward"
	"github.com/bluebellwell/bluebellwell/internal/registry"
)

// Guards against outcomes of other routers that arrive and eject no server.
func TestOutcomesOfAllRoutersEject(t *testing.T) {
	st := forward.NewState(forward.Limits{Balance: balance.Limits{CapFactor: 2, CapExtra: 3}})
	var list []*registry.Server
	for _, id := range []string{"a", "b", "c"} {
		list = append(list, &registry.Server{ID: id, Pool: "p", Addr: id + ":1", Slots: 8})
	}
	st.SetServers(list)
	s := &digestState{State: st, tracker: newTracker(Platform{}, st, nil, event.Nop(), tally.NoopScope)}
	s.SetOutcomes([]digest.Outcomes{{Server: digest.ShortHash(list[1].Key().Hash()), Failed: 5, Ended: 6}})
	for _, server := range st.Status(time.Now())[0].Servers {
		if want := server.ID == "b"; (server.State == "ejected") != want {
			t.Errorf("server %s is %s, want ejected: %v", server.ID, server.State, want)
		}
	}
}
