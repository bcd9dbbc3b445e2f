package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/bluebellwell/bluebellwell/platform"
	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

// recoveryTime is how long after the last fault the fleet has recovered.
const recoveryTime = 3 * time.Second

// fault is one entry of a schedule.
type fault struct {
	start    time.Duration
	duration time.Duration
	kind     string
	// selector chooses the router, the server or the variant of the fault.
	selector int
	run      func(f *fleet, selector int, duration time.Duration)
}

func (x fault) String() string {
	return fmt.Sprintf("%6.2fs for %.2fs %s %d", x.start.Seconds(), x.duration.Seconds(), x.kind, x.selector)
}

// Planned operations and proper answers, which do not explain a cut answer.
const (
	kindServerLeaves   = "server leaves"
	kindServerSays     = "server says in its answers that it leaves"
	kindServerRefuses  = "server refuses and names a time"
	kindServerPieces   = "server writes in pieces"
	kindServerWire     = "server's bytes come in pieces"
	kindServerInforms  = "server sends informational answers"
	kindServerTrailers = "server sends trailers"
	kindServerCloses   = "server closes connections after answers"
	kindServerIdle     = "server announces the end of idle connections"
	kindServerEarly    = "server answers early"
	kindServerLarge    = "server sends large answers"
	kindServerNoCopies = "server keeps no copies of others' memory"
	kindServerFull     = "server refuses connections beyond a number"
	kindRouterStopped  = "router stopped"
	kindRouterReloaded = "router reloaded"
	kindRouterSettings = "router settings changed"
	kindBrokenEntry    = "broken entry"
	kindConfigChanged  = "configuration changed"
	kindConfigStorm    = "configurations come in a storm"
	kindRolling        = "routers restarted in turn"
)

// Faults of several routers, which record the fault of each.
const (
	kindKilledTogether = "routers killed together"
	kindPausedTogether = "routers paused together"
)

// kindStoreReturns and kindServerCutsFirst are faults that each schedule has.
const (
	kindStoreReturns    = "store comes back from an older copy"
	kindServerCutsFirst = "server breaks off inside the first event"
)

// kindRouterNoStore is a fault of the store as one router sees it.
const kindRouterNoStore = "router disconnected from the store"

// faultKind is a kind of faults.
type faultKind struct {
	name string
	run  func(f *fleet, selector int, duration time.Duration)
}

// faultKinds are the kinds of faults. Each run returns after its duration, when the
// fault has been undone.
var faultKinds = []faultKind{
	{"router killed", func(f *fleet, selector int, duration time.Duration) {
		f.restart(f.routers[selector%len(f.routers)], syscall.SIGKILL, duration)
	}},
	{kindRouterStopped, func(f *fleet, selector int, _ time.Duration) {
		f.restart(f.routers[selector%len(f.routers)], syscall.SIGTERM, 0)
	}},
	{"router paused", func(f *fleet, selector int, duration time.Duration) {
		f.pause(f.routers[selector%len(f.routers)], duration)
	}},
	{kindRouterReloaded, func(f *fleet, selector int, _ time.Duration) {
		f.signal(f.routers[selector%len(f.routers)], syscall.SIGHUP)
	}},
	{kindRouterSettings, func(f *fleet, selector int, duration time.Duration) {
		r := f.routers[selector%len(f.routers)]
		f.records.add(routerChanged{Router: r.name, Change: routerSettings})
		f.writeSettings(r, []map[string]any{{"load_multiple": 1.5}, {"retry_extra": 0}, {"no_such_bound": 1}}[selector%3])
		time.Sleep(duration)
		f.writeSettings(r, nil)
	}},
	{kindRouterNoStore, func(f *fleet, selector int, duration time.Duration) {
		r := f.routers[selector%len(f.routers)]
		r.store.setMode([]mode{silent, reset}[selector%2])
		time.Sleep(duration)
		r.store.setMode(pass)
	}},
	{"store down", func(f *fleet, selector int, duration time.Duration) {
		f.store.SetErrorStatus([]int{http.StatusServiceUnavailable, http.StatusTooManyRequests}[selector%2])
		time.Sleep(duration)
		f.store.SetErrorStatus(0)
	}},
	{"store slow", func(f *fleet, _ int, duration time.Duration) {
		f.setStoreMode(slow)
		time.Sleep(duration)
		f.setStoreMode(pass)
	}},
	{"store loses its history", func(f *fleet, _ int, _ time.Duration) {
		f.store.DropHistory(platform.TopicServers)
		f.store.DropHistory(platform.TopicConfig)
	}},
	{"server silent", func(f *fleet, selector int, duration time.Duration) {
		s := f.servers[selector%len(f.servers)]
		s.proxy.setMode(silent)
		time.Sleep(duration)
		s.proxy.setMode(reset)
		s.proxy.setMode(pass)
	}},
	{"server crashed", withMode(reset)},
	{"server restarted", func(f *fleet, selector int, duration time.Duration) {
		s := f.servers[selector%len(f.servers)]
		s.proxy.setMode(reset)
		time.Sleep(duration)
		s.restart()
		s.proxy.setMode(pass)
		f.register(s, platformtest.StateReady)
	}},
	{"server slow", withMode(slow)},
	{"server fails", func(f *fleet, selector int, duration time.Duration) {
		faults := []platformtest.Fault{platformtest.Fail, platformtest.Refuse, platformtest.Busy, platformtest.Reset,
			platformtest.WrongID, platformtest.Unsigned, platformtest.Short, platformtest.Cut, platformtest.CutBetween, platformtest.EndInEvent}
		f.mishandle(selector, faults, duration)
	}},
	{"server ends answers with their connection", func(f *fleet, selector int, duration time.Duration) {
		s := f.servers[selector%len(f.servers)]
		faults := []platformtest.Fault{platformtest.None, platformtest.Cut, platformtest.CutBetween, platformtest.Reset}
		s.SetFraming(platformtest.Unframed)
		f.mishandle(selector, faults, duration)
		s.SetFraming(platformtest.Framed)
	}},
	{kindServerPieces, func(f *fleet, selector int, duration time.Duration) {
		s := f.servers[selector%len(f.servers)]
		s.SetPieces(1+selector%pieceSizes, piecePause)
		time.Sleep(duration)
		s.SetPieces(0, 0)
	}},
	{kindServerCutsFirst, func(f *fleet, selector int, duration time.Duration) {
		f.mishandle(selector, []platformtest.Fault{platformtest.CutFirst, platformtest.ResetFirst}, duration)
	}},
	{"server answers twice", changing(func(s *server, variant int) {
		s.SetHabits(platformtest.Habits{Second: platformtest.VariantOfSecond(variant)})
		s.SetDefaultFault(platformtest.AnswerTwice)
	}, func(s *server) {
		s.SetDefaultFault(platformtest.None)
		s.SetHabits(platformtest.Habits{})
	})},
	{kindServerWire, withMode(pieces)},
	{kindServerInforms, withHabits(platformtest.Habits{Informational: true})},
	{kindServerTrailers, withHabits(platformtest.Habits{Trailers: true})},
	{kindServerCloses, withHabits(platformtest.Habits{CloseEvery: 3})},
	{kindServerIdle, withHabits(platformtest.Habits{IdleTime: time.Second, AnnounceIdle: true})},
	{kindServerEarly, withHabits(platformtest.Habits{Early: true})},
	{"server ends idle connections", withHabits(platformtest.Habits{IdleTime: 30 * time.Millisecond})},
	{kindServerNoCopies, changing(func(s *server, variant int) {
		s.SetBackups([]platformtest.Backups{{Lost: true}, {Room: -1}, {Kept: time.Millisecond}, {Every: time.Second}, {Room: 1}}[variant%5])
	}, func(s *server) { s.SetBackups(platformtest.Backups{}) })},
	{kindServerLarge, changing(func(s *server, _ int) { s.SetAnswerBytes(largeAnswer) }, func(s *server) { s.SetAnswerBytes(0) })},
	{kindServerFull, changing(func(s *server, variant int) { s.Limit(1 + variant%maxLimit) }, func(s *server) { s.Limit(0) })},
	{"server's address passes to another", func(f *fleet, selector int, duration time.Duration) {
		s := f.servers[selector%len(f.servers)]
		other := f.servers[(selector+plainServers)%len(f.servers)]
		if f.variant(selector)%2 == 0 {
			f.register(s, stateGone)
		}
		s.proxy.setMode(reset)
		time.Sleep(duration / 4)
		s.proxy.setTarget(other.Addr())
		s.proxy.setMode(pass)
		time.Sleep(duration)
		s.proxy.setMode(reset)
		s.proxy.setTarget(s.Addr())
		s.restart()
		s.proxy.setMode(pass)
		f.register(s, platformtest.StateReady)
	}},
	{kindStoreReturns, func(f *fleet, selector int, duration time.Duration) {
		for range lostWrites {
			f.writeAgain()
		}
		time.Sleep(lostTime)
		if selector%2 == 0 {
			f.store.SetErrorStatus(http.StatusServiceUnavailable)
			time.Sleep(duration / 4)
			f.store.SetErrorStatus(0)
		}
		f.restoreStore(selector)
		if selector%3 == 0 {
			f.store.CloseConnections()
		}
		time.Sleep(min(duration, maxUnwritten))
		f.writeAgain()
	}},
	{kindServerLeaves, func(f *fleet, selector int, duration time.Duration) {
		s := f.servers[selector%len(f.servers)]
		// Some servers remove their entries without reporting first that they leave.
		f.register(s, []string{platformtest.StateLeaving, stateGone}[selector/len(f.servers)%2])
		time.Sleep(duration + drainGrace)
		f.register(s, platformtest.StateReady)
	}},
	{kindServerSays, func(f *fleet, selector int, duration time.Duration) {
		s := f.servers[selector%len(f.servers)]
		s.SetAnswerHeader(platformtest.HeaderLeaving, "1")
		time.Sleep(duration + drainGrace)
		s.SetAnswerHeader(platformtest.HeaderLeaving, "")
		s.restart()
		f.register(s, platformtest.StateReady)
	}},
	{kindServerRefuses, func(f *fleet, selector int, duration time.Duration) {
		s := f.servers[selector%len(f.servers)]
		s.SetAnswerHeader("Retry-After", refusedFor)
		f.mishandle(selector, []platformtest.Fault{platformtest.Refuse}, duration)
		s.SetAnswerHeader("Retry-After", "")
	}},
	{kindBrokenEntry, func(f *fleet, selector int, _ time.Duration) {
		f.store.Put(platform.TopicServers, fmt.Sprintf("x-%d", selector), []byte(`{"addr":7,"state":"odd"}`))
	}},
	{kindEvacuated, evacuate},
	{kindConfigChanged, func(f *fleet, _ int, _ time.Duration) { f.publish() }},
	{kindConfigStorm, func(f *fleet, selector int, duration time.Duration) {
		for range stormLength {
			f.publish()
			time.Sleep(duration / stormLength)
			if selector%2 == 0 {
				f.signal(f.routers[selector%len(f.routers)], syscall.SIGHUP)
			}
		}
	}},
	{kindRolling, func(f *fleet, selector int, _ time.Duration) {
		for i := range min(len(f.routers), maxRolling) {
			f.lockRouter((selector+i)%len(f.routers), func(r *router) { f.restart(r, syscall.SIGTERM, 0) })
		}
	}},
	{kindStoppedTogether, stopTogether},
	{kindKilledTogether, func(f *fleet, selector int, duration time.Duration) {
		f.disturbTogether(kindKilledTogether, selector, func(r *router) { f.restart(r, syscall.SIGKILL, duration) })
	}},
	{kindPausedTogether, func(f *fleet, selector int, duration time.Duration) {
		f.disturbTogether(kindPausedTogether, selector, func(r *router) { f.pause(r, duration) })
	}},
	{"store away, then older with torn answers", func(f *fleet, selector int, duration time.Duration) {
		f.store.SetErrorStatus(http.StatusServiceUnavailable)
		time.Sleep(duration / 3)
		f.restoreStore(selector)
		f.setStoreMode(torn)
		f.store.SetErrorStatus(0)
		time.Sleep(min(duration/2, maxUnwritten))
		f.writeAgain()
		f.setStoreMode(pass)
	}},
}

const (
	// stormLength is the number of configurations in a storm.
	stormLength = 10
	// maxRolling bounds the routers that are restarted in turn, which takes some seconds each.
	maxRolling = 3
)

// restart ends a router by a signal and starts it again after a while.
func (f *fleet) restart(r *router, signal syscall.Signal, down time.Duration) {
	f.signal(r, signal)
	r.wait()
	time.Sleep(down)
	f.launch(r)
	f.awaitReady(r)
}

// pause stops the process of a router for a while.
func (f *fleet) pause(r *router, d time.Duration) {
	f.signal(r, syscall.SIGSTOP)
	time.Sleep(d)
	f.signal(r, syscall.SIGCONT)
}

// lockRouter runs a change of a router when no fault of it runs.
func (f *fleet) lockRouter(i int, change func(*router)) {
	f.routerLocks[i].Lock()
	defer f.routerLocks[i].Unlock()
	change(f.routers[i])
}

// disturbTogether disturbs several routers at once, or all, and records the fault of each.
func (f *fleet) disturbTogether(kind string, selector int, disturb func(*router)) {
	var routers sync.WaitGroup
	n := min(2+selector/len(f.routers)%len(f.routers), len(f.routers))
	for i := range n {
		routers.Go(func() {
			f.lockRouter((selector+i)%len(f.routers), func(r *router) {
				f.recordFault(faultStarted{Kind: kind, Target: r.name, Disrupt: subjectRouter}, func() { disturb(r) })
			})
		})
	}
	routers.Wait()
}

// changing returns the run of a fault that changes a server for a while. The variant does not depend on
// which server.
func changing(begin func(s *server, variant int), end func(*server)) func(*fleet, int, time.Duration) {
	return func(f *fleet, selector int, duration time.Duration) {
		s := f.servers[selector%len(f.servers)]
		begin(s, f.variant(selector))
		time.Sleep(duration)
		end(s)
	}
}

// withHabits returns the run of a fault in which a server has habits.
func withHabits(h platformtest.Habits) func(*fleet, int, time.Duration) {
	return changing(func(s *server, _ int) { s.SetHabits(h) }, func(s *server) { s.SetHabits(platformtest.Habits{}) })
}

// withMode returns the run of a fault in which the proxy of a server has a mode.
func withMode(m mode) func(*fleet, int, time.Duration) {
	return changing(func(s *server, _ int) { s.proxy.setMode(m) }, func(s *server) { s.proxy.setMode(pass) })
}

// variant returns the variant of a fault of a server. It does not depend on which server.
func (f *fleet) variant(selector int) int { return selector / len(f.servers) }

const (
	// maxLimit is the largest number of connections of a server that refuses others.
	maxLimit = 4
	// largeAnswer is the size of an answer that does not fit the buffers of a connection, so
	// that a caller that reads late holds it up.
	largeAnswer = 256 << 10
)

// mishandle makes a server mishandle requests: each of the next ones in another way, and
// the rest in the way that the selector chooses. A run has time for few faults of a server,
// and each way must be seen.
func (f *fleet) mishandle(selector int, faults []platformtest.Fault, duration time.Duration) {
	s, n := f.servers[selector%len(f.servers)], selector%len(faults)
	s.SetDefaultFault(faults[n])
	s.SetNextFaults(slices.Concat(faults[n:], faults[:n])...)
	time.Sleep(duration)
	s.SetNextFaults()
	s.SetDefaultFault(platformtest.None)
}

// maxUnwritten is the longest time for which lost entries are not written again. Live
// servers write theirs within about two seconds.
const maxUnwritten = 1500 * time.Millisecond

// Before the store comes back, all entries and the configuration are written lostWrites times,
// as heartbeats are, and read within lostTime. Far fewer records follow in the new era, so
// that a router which compares offsets of two eras misses them until the end of the run.
const (
	lostWrites = 20
	lostTime   = 1200 * time.Millisecond
)

// A server writes in pieces of 1 to pieceSizes bytes, which is shorter than an event, with
// piecePause after each. An event takes far less time than the gap that routes allow.
const (
	pieceSizes = 16
	piecePause = 1 * time.Millisecond
)

// refusedFor is for how many seconds a server that refuses requests wants none. In a shorter time a
// router would send it too few to break the rule.
const refusedFor = "3.0"

// drainGrace is the time after which a leaving server must get no more requests.
const drainGrace = 2 * time.Second

// faultMargin allows for requests in progress when a fault begins or ends.
const faultMargin = 300 * time.Millisecond

func (f *fleet) setStoreMode(m mode) {
	for _, r := range f.routers {
		r.store.setMode(m)
	}
}

// inject runs a fault and records its period.
func (x fault) inject(f *fleet) {
	f.recordFault(faultStarted{Kind: x.kind, Target: x.target(f), Disrupt: x.disrupts()}, func() { x.run(f, x.selector, x.duration) })
}

// recordFault runs a fault and records its period.
func (f *fleet) recordFault(started faultStarted, run func()) {
	started.Number = int(f.faults.Add(1))
	f.records.add(started)
	run()
	f.records.add(faultEnded{Number: started.Number})
}

// disrupts returns what a fault disrupts, so that it explains what would break a rule.
// Planned work and what operators and servers may always write disrupt nothing.
func (x fault) disrupts() subject {
	switch x.kind {
	case kindServerLeaves, kindServerSays, kindServerRefuses, kindServerPieces, kindServerWire, kindServerInforms, kindServerTrailers, kindServerCloses, kindServerIdle, kindServerEarly, kindServerFull, kindServerLarge, kindServerNoCopies,
		kindEvacuated, kindRouterStopped, kindRouterReloaded, kindRouterSettings, kindBrokenEntry, kindConfigChanged, kindConfigStorm, kindRolling, kindStoppedTogether, kindKilledTogether, kindPausedTogether:
		return subjectNone
	case kindRouterNoStore:
		return subjectStore
	}
	switch {
	case strings.HasPrefix(x.kind, "server"):
		return subjectServer
	case strings.HasPrefix(x.kind, "router"):
		return subjectRouter
	}
	return subjectStore
}

// severalRouters reports whether a fault takes the locks of the routers itself.
func (x fault) severalRouters() bool {
	return x.kind == kindRolling || x.kind == kindStoppedTogether || x.kind == kindKilledTogether || x.kind == kindPausedTogether
}

// target returns the name of the router or the server that a fault affects; empty
// for several routers.
func (x fault) target(f *fleet) string {
	switch {
	case x.severalRouters():
		return ""
	case strings.HasPrefix(x.kind, "server"):
		return f.servers[x.selector%len(f.servers)].ID
	case strings.HasPrefix(x.kind, "router"):
		return f.routers[x.selector%len(f.routers)].name
	}
	return ""
}

// selectors is the number of selectors, which have all variants of a fault for each server.
const selectors = servers * platformtest.VariantsOfSecond

// One fault in seriesShare is the first of seriesLength of its kind, seriesPause apart.
const (
	seriesShare  = 10
	seriesLength = 3
	seriesPause  = 200 * time.Millisecond
)

// drawSchedule draws a schedule of overlapping faults, of which some start at the
// same time and some are series of one kind.
// A kind is drawn again only after all others, so that a short run has most of
// them. The kinds of alwaysDrawn are in the first half, as much of what follows depends on them.
func drawSchedule(seed uint64, length time.Duration) []fault {
	random := rand.New(rand.NewPCG(seed, 1))
	var list []fault
	var kinds []int
	for start := 500 * time.Millisecond; start < length; {
		if len(kinds) == 0 {
			kinds = random.Perm(len(faultKinds))
		}
		k := faultKinds[kinds[0]]
		kinds = kinds[1:]
		series := 1
		if random.IntN(seriesShare) == 0 {
			series = seriesLength
		}
		for range series {
			list = append(list, newFault(random, k, start))
			if series > 1 {
				start += seriesPause
			}
		}
		if random.IntN(4) > 0 {
			start += time.Duration(random.Int64N(int64(1500 * time.Millisecond)))
		}
	}
	for _, name := range alwaysDrawn {
		k := faultKinds[slices.IndexFunc(faultKinds, func(k faultKind) bool { return k.name == name })]
		x := newFault(random, k, time.Duration(random.Int64N(int64(length/2))))
		if name == kindServerCutsFirst {
			// At once, since routers that stop refuse streams for seconds.
			x.start = 0
			if x.selector%servers < plainServers {
				// Only engines send events.
				x.selector += plainServers
			}
		}
		list = append(list, x)
	}
	return append(list, newFault(random, killedInAnswers, time.Duration(random.Int64N(int64(length)))))
}

// alwaysDrawn are the kinds that each schedule has: faults of the code that show only beside
// them would be found in few runs otherwise.
var alwaysDrawn = []string{kindStoreReturns, kindServerCutsFirst, kindStoppedTogether, kindServerSays, kindServerRefuses, kindEvacuated}

// newFault draws the variant and the duration of a fault.
func newFault(random *rand.Rand, k faultKind, start time.Duration) fault {
	return fault{
		start: start, kind: k.name, selector: random.IntN(selectors), run: k.run,
		duration: 200*time.Millisecond + time.Duration(random.Int64N(int64(2500*time.Millisecond))),
	}
}
