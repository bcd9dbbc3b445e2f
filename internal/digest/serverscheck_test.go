package digest

import (
	"testing"
	"time"
)

// hashMessage is a reader's digest with a hash of its servers.
func hashMessage(from int, hash uint32) *Message {
	m := roleMessage(from, RoleReader, 0)
	m.ServersHash = hash
	return m
}

// Guards against routers that go on with a removed server because the readers know of the removal and they do not: one
// must read the list within differenceSettle of hearing of the difference, the last one in a time in which the others
// may fail, and not all at once.
func TestRoutersListInTurnWhenTheReadersKnowOthers(t *testing.T) {
	t.Parallel()
	for _, n := range []int{7, 60, 195, 340} {
		f := newRoleFleet(n)
		began := f.now
		first, last := time.Duration(-1), time.Duration(0)
		atOnce := 0
		listed := map[int]bool{}
		for ; f.now.Sub(began) < 3*time.Second; f.now = f.now.Add(roleStep) {
			due := 0
			for i, p := range f.peers {
				for from := range maxReaders {
					p.RecordMessage(f.now, routerAddr(from), hashMessage(from, 11))
				}
				for _, peer := range p.tracked {
					peer.LastReceived = f.now
				}
				if i < maxReaders || listed[i] || !p.MustListServers(f.now, OwnReads{Succeed: true}, KnownServers{Hash: 10}) {
					continue
				}
				listed[i] = true
				due++
				if first < 0 {
					first = f.now.Sub(began)
				}
				last = f.now.Sub(began)
			}
			atOnce = max(atOnce, due)
		}
		t.Logf("%d routers: the first lists after %s, the last after %s, at most %d in %s", n, first, last, atOnce, roleStep)
		if len(listed) != n-maxReaders {
			t.Errorf("%d of %d routers list", len(listed), n-maxReaders)
		}
		if limit := differenceSettle + roleStep; first > limit {
			t.Errorf("%d routers: the first one lists after %s, want %s", n, first, limit)
		}
		// Each takes 20 ms at the most to read the list and to tell the others.
		if limit := max(1, n/10); atOnce > limit {
			t.Errorf("%d of %d routers list within %s, want at most %d", atOnce, n, roleStep, limit)
		}
		if limit := differenceSettle + takeoverWait(n, 1) + roleStep; last > limit {
			t.Errorf("%d routers: the last one lists after %s, want %s", n, last, limit)
		}
	}
}

// Guards against lists that are read for a change which is only on the way, and against lists without end when one does
// not end the difference.
func TestListsForADifferenceAreBounded(t *testing.T) {
	t.Parallel()
	p := newRoleFleet(7).peers[6]
	known := KnownServers{Hash: 10, Lists: 1}
	now := start
	due := func(d time.Duration) bool {
		now = now.Add(d)
		for from := range maxReaders {
			p.RecordMessage(now, routerAddr(from), hashMessage(from, 11))
		}
		return p.MustListServers(now, OwnReads{Succeed: true}, known)
	}
	if due(0) || due(differenceSettle/2) {
		t.Error("the list is read for a change that may be on the way")
	}
	known.Hash = 11
	if due(time.Minute) {
		t.Error("the list is read although the servers are those of the readers")
	}
	known = KnownServers{Hash: 12, Earlier: []uint32{10, 11}, Lists: 1}
	for range 10 {
		if due(differenceSettle) {
			t.Error("the list is read although the readers may not know the newest change yet")
		}
	}
	known.Earlier = nil
	lists := 0
	for range 10 * 60 {
		if due(100 * time.Millisecond) {
			known.Lists++
			lists++
		}
	}
	// At 1 s and then twice as long each time.
	if lists < 3 || lists > 7 {
		t.Errorf("%d lists in a minute in which the difference remains, want 3 to 7", lists)
	}
}

// Guards against comparisons with routers that say nothing of the servers, or nothing that holds here.
func TestServersAreComparedWithReadersOfTheEraOnly(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(m *Message){
		"an earlier version of the program": func(m *Message) { m.ServersHash = 0 },
		"no reader":                         func(m *Message) { m.Role = RoleOther },
		"reads fail":                        func(m *Message) { m.Reading = false },
		"another era":                       func(m *Message) { m.StoreEra = 7 },
	} {
		p := NewPeers(routerAddr(9), nil)
		m := hashMessage(1, 11)
		change(m)
		p.RecordMessage(start, routerAddr(1), m)
		if _, differs := p.differingReader(start, OwnReads{Succeed: true}, KnownServers{Hash: 10}); differs {
			t.Errorf("%s: counts as a difference", name)
		}
	}
}
