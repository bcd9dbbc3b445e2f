package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"syscall"
	"time"

	"github.com/bluebellwell/bluebellwell/platform"
	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

// touchTime is how long after a disturbance a router is excused from deadlines.
const touchTime = 3 * time.Second

// fault is one entry of a schedule.
type fault struct {
	at    time.Duration
	span  time.Duration
	kind  string
	which int
	run   func(f *fleet, which int, span time.Duration)
}

func (x fault) String() string {
	return fmt.Sprintf("%6.2fs for %.2fs %s %d", x.at.Seconds(), x.span.Seconds(), x.kind, x.which)
}

// kindLeaves and kindStopped are planned work: they excuse no broken answer.
const (
	kindLeaves  = "server leaves"
	kindStopped = "router stopped"
)

// kinds of faults. Each returns when its span is over and all is well again.
var kinds = []struct {
	name string
	run  func(f *fleet, which int, span time.Duration)
}{
	{"router killed", func(f *fleet, which int, span time.Duration) {
		r := f.routers[which%len(f.routers)]
		r.signal(syscall.SIGKILL)
		r.wait()
		time.Sleep(span)
		f.launch(r)
		f.awaitReady(r)
	}},
	{kindStopped, func(f *fleet, which int, span time.Duration) {
		r := f.routers[which%len(f.routers)]
		r.signal(syscall.SIGTERM)
		r.wait()
		f.launch(r)
		f.awaitReady(r)
	}},
	{"router paused", func(f *fleet, which int, span time.Duration) {
		r := f.routers[which%len(f.routers)]
		r.signal(syscall.SIGSTOP)
		time.Sleep(span)
		r.signal(syscall.SIGCONT)
	}},
	{"router reloaded", func(f *fleet, which int, _ time.Duration) { f.routers[which%len(f.routers)].signal(syscall.SIGHUP) }},
	{"router settings changed", func(f *fleet, which int, span time.Duration) {
		r := f.routers[which%len(f.routers)]
		f.writeSettings(r, []map[string]any{{"load_multiple": 1.5}, {"retry_extra": 0}, {"no_such_bound": 1}}[which%3])
		time.Sleep(span)
		f.writeSettings(r, nil)
	}},
	{"router cut from the store", func(f *fleet, which int, span time.Duration) {
		r := f.routers[which%len(f.routers)]
		r.store.set([]mode{silent, reset}[which%2])
		time.Sleep(span)
		r.store.set(pass)
	}},
	{"store down", func(f *fleet, which int, span time.Duration) {
		f.store.SetErrorStatus([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[which%2])
		time.Sleep(span)
		f.store.SetErrorStatus(0)
	}},
	{"store slow", func(f *fleet, _ int, span time.Duration) {
		f.setStores(slow)
		time.Sleep(span)
		f.setStores(pass)
	}},
	{"store forgets", func(f *fleet, _ int, _ time.Duration) {
		f.store.DropHistory(platform.TopicServers)
		f.store.DropHistory(platform.TopicConfig)
	}},
	{"server dark", func(f *fleet, which int, span time.Duration) {
		s := f.servers[which%len(f.servers)]
		s.proxy.set(silent)
		time.Sleep(span)
		s.proxy.set(reset)
		s.proxy.set(pass)
	}},
	{"server crashed", func(f *fleet, which int, span time.Duration) {
		s := f.servers[which%len(f.servers)]
		s.proxy.set(reset)
		time.Sleep(span)
		s.proxy.set(pass)
	}},
	{"server started again", func(f *fleet, which int, span time.Duration) {
		s := f.servers[which%len(f.servers)]
		s.proxy.set(reset)
		time.Sleep(span)
		s.Restart(time.Now())
		s.proxy.set(pass)
		f.register(s, "ready")
	}},
	{"server slow", func(f *fleet, which int, span time.Duration) {
		s := f.servers[which%len(f.servers)]
		s.proxy.set(slow)
		time.Sleep(span)
		s.proxy.set(pass)
	}},
	{"server fails", func(f *fleet, which int, span time.Duration) {
		faults := []platformtest.Fault{platformtest.Fail, platformtest.Refuse, platformtest.Busy, platformtest.Reset,
			platformtest.WrongID, platformtest.Unsigned, platformtest.Short, platformtest.Cut}
		s := f.servers[which%len(f.servers)]
		s.SetDefaultFault(faults[which%len(faults)])
		time.Sleep(span)
		s.SetDefaultFault(platformtest.None)
	}},
	{kindLeaves, func(f *fleet, which int, span time.Duration) {
		s := f.servers[which%len(f.servers)]
		f.register(s, "draining")
		time.Sleep(span + drainTime)
		f.register(s, "ready")
	}},
	{"broken entry", func(f *fleet, which int, _ time.Duration) {
		f.store.Put(platform.TopicServers, fmt.Sprintf("x-%d", which), []byte(`{"addr":7,"state":"odd"}`))
	}},
	{"configuration changed", func(f *fleet, _ int, _ time.Duration) { f.publish() }},
}

// drainTime is when a leaving server must get nothing any more.
const drainTime = 2 * time.Second

func (f *fleet) setStores(m mode) {
	for _, r := range f.routers {
		r.store.set(m)
	}
}

// play runs a fault and notes its time.
func (x fault) play(f *fleet) {
	s := span{kind: x.kind, what: x.hits(f), from: time.Now()}
	x.run(f, x.which, x.span)
	s.to = time.Now()
	f.note(s)
}

// hits returns the name of the router or the server that a fault hits; empty
// for all routers.
func (x fault) hits(f *fleet) string {
	switch {
	case strings.HasPrefix(x.kind, "server"):
		return f.servers[x.which%len(f.servers)].ID
	case strings.HasPrefix(x.kind, "router"):
		return f.routers[x.which%len(f.routers)].name
	}
	return ""
}

// draw makes a schedule of faults that overlap, in series and in bursts.
func draw(seed uint64, length time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, 1))
	var list []fault
	for at := 500 * time.Millisecond; at < length; {
		k := kinds[random.IntN(len(kinds))]
		list = append(list, fault{
			at: at, kind: k.name, which: random.IntN(720), run: k.run,
			span: 200*time.Millisecond + time.Duration(random.Int64N(int64(2500*time.Millisecond))),
		})
		if random.IntN(4) > 0 {
			at += time.Duration(random.Int64N(int64(1500 * time.Millisecond)))
		}
	}
	return list
}
