package fleetconfig

import (
	"testing"
	"time"
)

// Guards against a router that takes requests with an old configuration: on the
// minority side of a partition, behind the log or a peer, or without a state.
func TestCurrent(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	hears := LogStatus{HasState: true, HeardAt: now.Add(-2 * time.Second), Head: 7, Applied: 7, SelfListed: true}
	deaf := LogStatus{HasState: true, HeardAt: now.Add(-2001 * time.Millisecond), Head: 7, Applied: 7, SelfListed: true}
	never := LogStatus{HasState: true, Applied: 7, SelfListed: true}
	peer := func(change func(*PeerStatus)) PeerStatus {
		p := PeerStatus{AnsweredAt: now, HasState: true, Applied: 7, Heard: true, LogAge: time.Minute, Head: 7}
		change(&p)
		return p
	}
	quiet := peer(func(*PeerStatus) {})
	hearing := peer(func(p *PeerStatus) { p.LogAge = time.Second })
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
		{"no state", LogStatus{HeardAt: now, SelfListed: true}, nil, 1, ReasonNoState, false},
		{"unreadable", with(hears, func(s *LogStatus) { s.Unreadable = true }), nil, 1, ReasonUnreadable, false},
		{"log heard", hears, nil, 9, ReasonLogHeard, true},
		{"behind the log", with(hears, func(s *LogStatus) { s.Head = 8 }), nil, 9, ReasonBehindLog, false},
		{"log down, behind the head heard before", with(deaf, func(s *LogStatus) { s.Head = 8 }), nil, 1, ReasonBehindLog, false},
		{"log down, behind the head that a peer heard before", deaf, []PeerStatus{quiet, peer(func(p *PeerStatus) { p.Head = 8 })}, 3, ReasonBehindPeer, false},
		{"log down, more than half answer", deaf, []PeerStatus{quiet, quiet}, 5, ReasonLogDown, true},
		{"log never heard", never, []PeerStatus{quiet, quiet}, 5, ReasonLogDown, true},
		{"log down, single router", deaf, nil, 1, ReasonLogDown, true},
		{"minority", deaf, []PeerStatus{quiet}, 5, ReasonTooFewAnswer, false},
		{"exactly half", deaf, []PeerStatus{quiet}, 4, ReasonTooFewAnswer, false},
		{"not listed itself", with(deaf, func(s *LogStatus) { s.SelfListed = false }), []PeerStatus{quiet, quiet}, 4, ReasonTooFewAnswer, false},
		{"answers too old", deaf, []PeerStatus{quiet, peer(func(p *PeerStatus) { p.AnsweredAt = now.Add(-2001 * time.Millisecond) })}, 5, ReasonTooFewAnswer, false},
		{"peer without a state", deaf, []PeerStatus{quiet, peer(func(p *PeerStatus) { p.HasState = false })}, 5, ReasonTooFewAnswer, false},
		{"peer ahead, log down", deaf, []PeerStatus{quiet, peer(func(p *PeerStatus) { p.Applied = 8 })}, 5, ReasonBehindPeer, false},
		{"peer hears the log", deaf, []PeerStatus{hearing}, 5, ReasonPeerHeard, true},
		{"peer hears a higher head", deaf, []PeerStatus{quiet, quiet, peer(func(p *PeerStatus) { p.LogAge = time.Second; p.Head = 8 })}, 5, ReasonBehindPeer, false},
		{"peer heard the log too long ago by now", deaf, []PeerStatus{peer(func(p *PeerStatus) { p.AnsweredAt = now.Add(-1500 * time.Millisecond); p.LogAge = time.Second })}, 5, ReasonTooFewAnswer, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ok, reason := Current(now, c.self, c.peers, c.listed)
			if ok != c.ok || reason != c.want {
				t.Fatalf("got %v, %s; want %v, %s", ok, reason, c.ok, c.want)
			}
		})
	}
}
