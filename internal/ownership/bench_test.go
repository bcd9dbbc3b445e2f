package ownership

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellwell/bluebellwell/internal/membership"
	"github.com/bluebellwell/bluebellwell/internal/meter"
	"github.com/bluebellwell/bluebellwell/internal/vmlist"
)

// fleet simulates routers without faults whose messages arrive at once.
type fleet struct {
	now         time.Time
	names       []string
	routers     map[string]*Ownership
	bytes       map[string]int
	messages    []message
	received    int
	receiveTime time.Duration
}

func newFleet(n int) *fleet {
	f := &fleet{now: time.UnixMilli(1e12), routers: map[string]*Ownership{}, bytes: map[string]int{}}
	v := &membership.View{ListVersion: 1, ListedRouters: n, SelfListed: true}
	for i := range n {
		name := fmt.Sprintf("entry-vm-%03d", i)
		f.names = append(f.names, name)
		v.Usable = append(v.Usable, name)
		v.Routers = append(v.Routers, membership.Router{VM: vmlist.VM{Name: name, State: "live"}})
	}
	for i, name := range f.names {
		own := *v
		own.Self = name
		f.routers[name] = New(f.now, name, uint64(i+1)*1e6)
		f.routers[name].RenewMajorityOnly()
		f.enqueue(name, f.routers[name].SetView(f.now, &own))
	}
	return f
}

func (f *fleet) enqueue(from string, actions []Action) {
	for _, a := range actions {
		if s, ok := a.(Send); ok {
			size := meter.PeerMessageBytes(proto.Size(s.Env))
			f.bytes[from] += size
			f.bytes[s.To] += size
			f.messages = append(f.messages, message{from, s.To, s.Env})
		}
	}
}

// run advances the time by d and ticks all routers.
func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(TickInterval)
		for _, name := range f.names {
			f.enqueue(name, f.routers[name].Tick(f.now))
		}
		for len(f.messages) > 0 {
			messages := f.messages
			f.messages = nil
			for _, m := range messages {
				f.deliver(m)
			}
		}
	}
}

func (f *fleet) deliver(m message) {
	started := time.Now()
	actions := f.routers[m.to].Receive(f.now, m.from, m.env)
	f.receiveTime += time.Since(started)
	f.received++
	f.enqueue(m.to, actions)
}

// BenchmarkTick measures an idle tick of the router that sends and receives most
// bytes, and the renewal of all votes: the time per received message, messages
// and B/s of the average router, and B/s of the busiest one. Bytes are counted
// sent and received, as if no message went with a data message.
func BenchmarkTick(b *testing.B) {
	for _, size := range []struct{ members, pools int }{{8, 2}, {57, 7}, {340, 42}} {
		b.Run(fmt.Sprintf("members=%d/pools=%d", size.members, size.pools), func(b *testing.B) {
			f := newFleet(size.members)
			f.run(HoldTime + 2*time.Second)
			var pools []string
			for i := range size.pools {
				pools = append(pools, fmt.Sprintf("pool-%d", i))
			}
			for _, name := range f.names {
				f.enqueue(name, f.routers[name].SetPools(f.now, pools))
			}
			// Votes beyond the majority expire after the first lease.
			f.run(2 * LeaseTime)
			clear(f.bytes)
			f.received, f.receiveTime = 0, 0
			f.run(renewInterval)
			owners := map[string]int{}
			for _, pool := range pools {
				owner := f.routers[f.names[0]].Owner(pool)
				owners[owner]++
				if votes := len(f.routers[owner].pools[pool].leases); 2*votes <= size.members {
					b.Fatalf("%s has %d of %d votes", owner, votes, size.members)
				}
			}
			busiest, total := "", 0
			for _, name := range f.names {
				total += f.bytes[name]
				if busiest == "" || f.bytes[name] > f.bytes[busiest] {
					busiest = name
				}
			}
			period := renewInterval.Seconds()
			o := f.routers[busiest]
			b.ReportAllocs()
			for b.Loop() {
				o.Tick(f.now)
			}
			b.ReportMetric(float64(f.receiveTime.Nanoseconds())/float64(f.received), "ns/message")
			b.ReportMetric(float64(f.received)/float64(size.members)/period, "messages/s")
			b.ReportMetric(float64(total)/float64(size.members)/period, "B/s")
			b.ReportMetric(float64(f.bytes[busiest])/period, "busiest-B/s")
			b.ReportMetric(float64(owners[busiest]), "busiest-pools")
		})
	}
}
