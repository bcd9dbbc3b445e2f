package digest

import (
	"testing"
	"time"
)

// silentFleet is a fleet of routers to some of which the store gives no answer. A call of such a router counts as
// overdue after a time, as the feed tells it.
type silentFleet struct {
	now     time.Time
	routers []*silentRouter
	digests []roleDatagram
	// delay is the time until a datagram arrives, answer that until the store answers.
	delay, answer time.Duration
}

type silentRouter struct {
	peers  *Peers
	silent bool
	// stopped is set for a process that does not run.
	stopped bool
	// actsSince is when the router began to read for the others, overdueAt when its call is overdue.
	actsSince, overdueAt time.Time
	own                  OwnReads
	told                 Role
}

// callOverdue is how long a router that takes over waits for an answer, and readerOverdue how long a reader does at most: a
// pause, a wait at the store and that time.
const (
	callOverdue   = 250 * time.Millisecond
	readerOverdue = 1100 * time.Millisecond
	// lookInterval is how often a router looks at its role.
	lookInterval = 100 * time.Millisecond
)

func newSilentFleet(n int) *silentFleet {
	f := &silentFleet{now: start, delay: 20 * time.Millisecond, answer: 20 * time.Millisecond}
	base := newRoleFleet(n)
	for i, p := range base.peers {
		r := &silentRouter{peers: p, own: OwnReads{Succeed: true}, told: RoleOther}
		if i < maxReaders {
			r.own.Recent, r.told, r.actsSince = true, RoleReader, start
		}
		f.routers = append(f.routers, r)
	}
	return f
}

func (f *silentFleet) send(from int) {
	for to := range f.routers {
		if to != from {
			f.digests = append(f.digests, roleDatagram{arrives: f.now.Add(f.delay), from: from, to: to, role: f.routers[from].told, failing: !f.routers[from].own.Succeed})
		}
	}
}

// silence lets the store answer some routers no more. The readers among them notice it at the last moment.
func (f *silentFleet) silence(routers ...int) {
	for _, i := range routers {
		r := f.routers[i]
		r.silent = true
		if r.told == RoleReader {
			r.overdueAt = f.now.Add(readerOverdue)
		}
	}
}

// readersServed returns how many routers read for the others and get answers.
func (f *silentFleet) readersServed() int {
	n := 0
	for _, r := range f.routers {
		if !r.silent && !r.stopped && r.told == RoleReader {
			n++
		}
	}
	return n
}

// step lets roleStep pass.
func (f *silentFleet) step() {
	f.now = f.now.Add(roleStep)
	tick := int(f.now.Sub(start) / roleStep)
	rest := f.digests[:0]
	for _, d := range f.digests {
		if f.now.Before(d.arrives) {
			rest = append(rest, d)
			continue
		}
		m := roleMessage(d.from, d.role, 0)
		m.Reading = !d.failing
		f.routers[d.to].peers.RecordMessage(f.now, routerAddr(d.from), m)
	}
	f.digests = rest
	for i, r := range f.routers {
		if r.stopped {
			continue
		}
		overdue := !r.overdueAt.IsZero() && !f.now.Before(r.overdueAt)
		if overdue {
			r.own, r.overdueAt = OwnReads{}, time.Time{}
		}
		if overdue || (tick+i)%int(lookInterval/roleStep) == 0 {
			f.look(i)
		}
		if r.told == RoleReader && (tick+i)%int(loadInterval/roleStep) == 0 {
			f.send(i)
		}
	}
}

// look lets a router look at its role, and tell the others when that has changed.
func (f *silentFleet) look(i int) {
	r := f.routers[i]
	acts := r.peers.IsReader(f.now, r.own)
	switch {
	case !acts:
		r.actsSince = time.Time{}
	case r.actsSince.IsZero():
		r.actsSince = f.now
		if r.silent {
			r.overdueAt = f.now.Add(callOverdue)
		}
	}
	r.own.Recent = r.own.Recent && acts || acts && !r.silent && f.now.Sub(r.actsSince) >= f.answer
	told := roleOf(acts && r.own.Recent)
	if told != r.told || !r.own.Succeed {
		r.told = told
		f.send(i)
	}
}

// replaced returns the time until a router that gets answers reads for the others.
func (f *silentFleet) replaced(t *testing.T) time.Duration {
	began := f.now
	for f.readersServed() == 0 {
		if f.now.Sub(began) > 10*time.Second {
			t.Fatal("no router reads that gets answers")
		}
		f.step()
	}
	return f.now.Sub(began)
}

// Guards against a fleet in which nobody learns of a change for longer than 2 s, because the store gives the readers no
// answer, nor the routers that take their place. What is left of the 2 s is for the first read, the change's way to
// all and the wait for further versions of the configuration.
func TestReadersWithoutAnswersAreReplaced(t *testing.T) {
	t.Parallel()
	for _, n := range []int{7, 60, 195, 340} {
		for _, c := range []struct {
			successors int
			limit      time.Duration
		}{
			{0, readerOverdue + 200*time.Millisecond},
			{2, readerOverdue + 200*time.Millisecond},
			{3, readerOverdue + 500*time.Millisecond},
			{8, readerOverdue + 900*time.Millisecond},
		} {
			if maxReaders+c.successors >= n {
				continue
			}
			f := newSilentFleet(n)
			for i := range maxReaders + c.successors {
				f.silence(i)
			}
			got := f.replaced(t)
			t.Logf("%d routers, no answer to %d successors either: replaced after %s", n, c.successors, got)
			if got > c.limit {
				t.Errorf("%d routers, no answer to %d successors either: replaced after %s, want %s", n, c.successors, got, c.limit)
			}
		}
	}
}

// Guards against readers that are frozen and replaced late, in fleets of each size.
func TestFrozenReadersAreReplaced(t *testing.T) {
	t.Parallel()
	for _, n := range []int{7, 60, 195, 340} {
		f := newSilentFleet(n)
		for range 50 {
			f.step()
		}
		for i := range maxReaders {
			f.routers[i].stopped = true
		}
		got := f.replaced(t)
		t.Logf("%d routers: frozen readers are replaced after %s", n, got)
		if limit := readerTimeout + 200*time.Millisecond; got > limit {
			t.Errorf("%d routers: frozen readers are replaced after %s, want %s", n, got, limit)
		}
	}
}

// Guards against a fleet without a reader that gets answers, when the readers and then each router that takes over
// are turned away one after the other. A second and a half leaves time for the change's way to all.
func TestReadersTurnedAwayInTurnAreReplaced(t *testing.T) {
	t.Parallel()
	for _, n := range []int{9, 60, 195, 340} {
		f := newSilentFleet(n)
		gap, worst := time.Duration(0), time.Duration(0)
		const silenced, interval = 6, 200 * time.Millisecond
		for began := f.now; f.now.Sub(began) < 5*time.Second; f.step() {
			since := f.now.Sub(began)
			if since%interval == 0 && since/interval < silenced {
				f.silence(int(since / interval))
			}
			gap += roleStep
			if f.readersServed() > 0 {
				gap = 0
			}
			worst = max(worst, gap)
		}
		t.Logf("%d routers: without a reader that gets answers for %s at most", n, worst)
		if limit := 1500 * time.Millisecond; worst > limit || gap > 0 {
			t.Errorf("%d routers: without a reader for %s, want %s at most", n, worst, limit)
		}
	}
}
