package digest

import (
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/namedlimit"
	"github.com/bluebellwell/bluebellwell/internal/quarantine"
	"github.com/bluebellwell/bluebellwell/internal/streamversion"
)

// Guards against a router that has just started and sends requests to engines which the
// others know to crash them.
func TestWelcomeNamesPartsThatCrashEngines(t *testing.T) {
	old, fresh := &fakeState{}, &fakeState{received: map[Placement]bool{}}
	startPair(t, old, fresh)
	waitFor(t, "the router that has started knows the part", func() bool { return fresh.knowsPart(26) })
}

func (s *fakeState) knowsPart(part uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.parts, func(e quarantine.Entry) bool { return e.Part == part && e.Trials == 2 })
}

// Guards against times beyond all bounds, which would overflow, and against reports that make
// a datagram too large to be sent whole.
func TestPartReportsAreBounded(t *testing.T) {
	if got := reportAge(1 << 63); got != maxReportAge {
		t.Errorf("an age of %v, want %v", got, maxReportAge)
	}
	r := quarantine.Report{}
	for range entriesPerDatagram {
		r.Entries = append(r.Entries, quarantine.Entry{Part: 1 << 63, Request: true, Age: maxReportAge, Idle: maxReportAge, NextTrial: maxReportAge, Trials: maxTrials})
	}
	crash := quarantine.Report{Crashes: []quarantine.Crash{{Engine: 1 << 63, Age: maxReportAge, Parts: make([]uint64, partsPerDatagram)}}}
	requests := quarantine.Crash{Engine: 1 << 63, Age: maxReportAge, Broken: true}
	for range requestsPerDatagram {
		requests.Requests = append(requests.Requests, quarantine.SentRequest{Fingerprint: 1 << 63, Age: maxReportAge})
	}
	for _, report := range []quarantine.Report{r, crash, {Crashes: []quarantine.Crash{requests}}, {Sound: make([]uint64, partsPerDatagram)}} {
		if n := len(Encode(&Message{Sender: 1 << 63, Parts: report})); n > maxDatagram {
			t.Errorf("a datagram of %d bytes, want at most %d", n, maxDatagram)
		}
	}
}

// Guards against two senders for a server that names a limit, against none, and against a share that
// outlives a router that stops.
func TestRoutersAgreeOnTheSenderOfALimitedServer(t *testing.T) {
	addrs := []netip.Addr{addr(1), addr(2), addr(3)}
	exchanges := map[netip.Addr]*Exchange{}
	for _, a := range addrs {
		exchanges[a] = &Exchange{peers: NewPeers(a, nil), shares: map[uint64]namedlimit.Share{}, state: &fakeState{}, events: event.Nop()}
		for _, other := range addrs {
			exchanges[a].peers.RecordMessage(time.Now(), other, &Message{Sender: 1})
		}
	}
	senders := map[netip.Addr]int{}
	for server := range uint64(60) {
		for _, a := range addrs {
			if share := exchanges[a].LimitShare(server); share.Sender {
				senders[a]++
			} else if share.Routers != 3 {
				t.Fatalf("share %+v, want one of three", share)
			}
		}
	}
	if n := senders[addrs[0]] + senders[addrs[1]] + senders[addrs[2]]; n != 60 || len(senders) != 3 {
		t.Errorf("senders %v of 60 servers, want one each, and all routers among them", senders)
	}
	for _, other := range addrs[1:] {
		exchanges[addrs[0]].handle(other, &Message{Stopping: true})
	}
	if share := exchanges[addrs[0]].LimitShare(7); !share.Sender || share.Routers != 1 {
		t.Errorf("share %+v of the last router", share)
	}
}

// Guards against a stream whose version is told to no router that another one asks, since they
// disagree on who is live, and against one that is told to all.
func TestHoldersOfAStreamAreAmongThoseThatAreAsked(t *testing.T) {
	told, asks := &Exchange{peers: NewPeers(addr(1), nil)}, &Exchange{peers: NewPeers(addr(2), nil)}
	for i := 3; i < 60; i++ {
		told.peers.RecordMessage(time.Now(), addr(i), &Message{Sender: 1})
		if i%7 > 0 {
			asks.peers.RecordMessage(time.Now(), addr(i), &Message{Sender: 1})
		}
	}
	missed := 0
	for s := range streamversion.Stream(200) {
		holders, asked := holdersOf(told.livePeers(), s, streamHolders), holdersOf(asks.livePeers(), s, askedHolders)
		if len(holders) != streamHolders || len(asked) != askedHolders {
			t.Fatalf("%d holders, %d are asked", len(holders), len(asked))
		}
		isAsked := func(h rankedPeer) bool {
			return slices.ContainsFunc(asked, func(a rankedPeer) bool { return a.addr == h.addr })
		}
		if !slices.ContainsFunc(holders, isAsked) {
			missed++
		}
	}
	if missed > 4 {
		t.Errorf("%d of 200 streams are held by no router that is asked", missed)
	}
}
