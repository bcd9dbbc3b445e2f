package fleetconfig

import (
	"testing"
	"time"
)

// Guards against a router that accepts requests with an old configuration: on
// the minority side of a partition, behind the log or a peer, or without a state.
func TestCurrent(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	reading := LogStatus{HasState: true, HeadReadAt: now.Add(-2 * time.Second), Head: 7, Applied: 7, SelfListed: true}
	notReading := LogStatus{HasState: true, HeadReadAt: now.Add(-2001 * time.Millisecond), Head: 7, Applied: 7, SelfListed: true}
	neverRead := LogStatus{HasState: true, Applied: 7, SelfListed: true}
	peer := func(change func(*PeerStatus)) PeerStatus {
		p := PeerStatus{RequestedAt: now, HasState: true, Applied: 7, HasReadLog: true, LogAge: time.Minute, Head: 7}
		change(&p)
		return p
	}
	peerNotReading := peer(func(*PeerStatus) {})
	peerReading := peer(func(p *PeerStatus) { p.LogAge = time.Second })
	with := func(s LogStatus, change func(*LogStatus)) LogStatus {
		change(&s)
		return s
	}
	cases := []struct {
		name   string
		self   LogStatus
		peers  []PeerStatus
		listed int
		want   Reason
		ok     bool
	}{
		{"no state", LogStatus{HeadReadAt: now, SelfListed: true}, nil, 1, ReasonNoState, false},
		{"unreadable", with(reading, func(s *LogStatus) { s.Unreadable = true }), nil, 1, ReasonUnreadable, false},
		{"log read", reading, nil, 9, ReasonReadsLog, true},
		{"behind the log", with(reading, func(s *LogStatus) { s.Head = 8 }), nil, 9, ReasonBehindLog, false},
		{"log down, behind the head read before", with(notReading, func(s *LogStatus) { s.Head = 8 }), nil, 1, ReasonBehindLog, false},
		{"log down, behind the head that a peer read before", notReading, []PeerStatus{peerNotReading, peer(func(p *PeerStatus) { p.Head = 8 })}, 3, ReasonBehindPeer, false},
		{"log down, more than half answer", notReading, []PeerStatus{peerNotReading, peerNotReading}, 5, ReasonLogDown, true},
		{"log never read", neverRead, []PeerStatus{peerNotReading, peerNotReading}, 5, ReasonLogDown, true},
		{"log down, single router", notReading, nil, 1, ReasonLogDown, true},
		{"minority", notReading, []PeerStatus{peerNotReading}, 5, ReasonTooFewAnswers, false},
		{"exactly half", notReading, []PeerStatus{peerNotReading}, 4, ReasonTooFewAnswers, false},
		{"not listed itself", with(notReading, func(s *LogStatus) { s.SelfListed = false }), []PeerStatus{peerNotReading, peerNotReading}, 4, ReasonTooFewAnswers, false},
		{"answers too old", notReading, []PeerStatus{peerNotReading, peer(func(p *PeerStatus) { p.RequestedAt = now.Add(-2001 * time.Millisecond) })}, 5, ReasonTooFewAnswers, false},
		{"peer without a state", notReading, []PeerStatus{peerNotReading, peer(func(p *PeerStatus) { p.HasState = false })}, 5, ReasonTooFewAnswers, false},
		{"peer ahead, log down", notReading, []PeerStatus{peerNotReading, peer(func(p *PeerStatus) { p.Applied = 8 })}, 5, ReasonBehindPeer, false},
		{"peer reads the log", notReading, []PeerStatus{peerReading}, 5, ReasonPeerReadsLog, true},
		{"peer reads a higher head", notReading, []PeerStatus{peerNotReading, peerNotReading, peer(func(p *PeerStatus) { p.LogAge = time.Second; p.Head = 8 })}, 5, ReasonBehindPeer, false},
		{"peer read the log too long ago by now", notReading, []PeerStatus{peer(func(p *PeerStatus) { p.RequestedAt = now.Add(-1500 * time.Millisecond); p.LogAge = time.Second })}, 5, ReasonTooFewAnswers, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ok, reason := IsCurrent(now, c.self, c.peers, c.listed)
			if ok != c.ok || reason != c.want {
				t.Fatalf("got %v, %s; want %v, %s", ok, reason, c.ok, c.want)
			}
		})
	}
}
