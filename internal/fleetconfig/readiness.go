package fleetconfig

import "time"

const (
	// MaxHeadAge is the longest time since the last read of the log's head for
	// which a router counts as reading the log.
	MaxHeadAge = 2 * time.Second
	// MaxPeerReplyAge is the longest time for which a peer's reply is used.
	MaxPeerReplyAge = 2 * time.Second
)

// LogStatus is how far a router has read and applied the stream.
type LogStatus struct {
	// HasState is false until a state was built from the log or a peer's reply.
	HasState bool
	// Unreadable is true while the state has stopped at a record whose schema
	// version is not supported.
	Unreadable bool
	// HeadReadAt is a lower bound of the time at which Head was last read from the
	// log. It is zero if the log was never read.
	HeadReadAt time.Time
	Head       uint64
	// Applied is the next offset of the state in force.
	Applied uint64
	// SelfListed is true if the VM list holds this router.
	SelfListed bool
}

// PeerStatus is the last reply of another router in the VM list.
type PeerStatus struct {
	VM string
	// RequestedAt is the time at which the request was sent.
	RequestedAt time.Time
	HasState    bool
	// Applied is the next offset of the peer's state in force.
	Applied uint64
	// HasReadLog is false if the peer has never read the log. Head is the head that
	// it read, and LogAge the time from that read to the reply.
	HasReadLog bool
	LogAge     time.Duration
	Head       uint64
}

// Reason explains why a router is current or not. The values are for reports.
type Reason string

// Reasons.
const (
	ReasonReadsLog      Reason = "log_heard"
	ReasonPeerReadsLog  Reason = "peer_heard_log"
	ReasonLogDown       Reason = "log_down_for_majority"
	ReasonNoState       Reason = "no_state"
	ReasonUnreadable    Reason = "unreadable_record"
	ReasonBehindLog     Reason = "behind_log"
	ReasonBehindPeer    Reason = "behind_peer"
	ReasonTooFewAnswers Reason = "too_few_routers_answer"
)

// IsCurrent decides whether a router may accept new requests. listed is the number
// of routers in the VM list, this one included; peers holds other listed
// routers only.
//
// A router that cannot read the log is current in two cases:
//   - A peer reads the log, and this router has applied all records below the
//     peer's head.
//   - More than half of the listed routers (this one included) answer, and none
//     of them reads the log.
//
// In both cases it must have applied what every answering peer has applied, and
// every record below the highest head that it or an answering peer has ever
// read. Routers without a state have no accepted records and do not count as
// answering.
func IsCurrent(now time.Time, self LogStatus, peers []PeerStatus, listed int) (bool, Reason) {
	if !self.HasState {
		return false, ReasonNoState
	}
	if self.Unreadable {
		return false, ReasonUnreadable
	}
	// The head never decreases, so one that was read long ago still counts.
	if self.Applied < self.Head {
		return false, ReasonBehindLog
	}
	if headIsRecent(now, self.HeadReadAt) {
		return true, ReasonReadsLog
	}
	return isCurrentByPeers(now, self, peers, listed)
}

func isCurrentByPeers(now time.Time, self LogStatus, peers []PeerStatus, listed int) (bool, Reason) {
	answering := 0
	if self.SelfListed {
		answering++
	}
	peerReadsLog := false
	for _, p := range peers {
		if !p.HasState || now.Sub(p.RequestedAt) > MaxPeerReplyAge {
			continue
		}
		answering++
		if p.Applied > self.Applied || p.Head > self.Applied {
			return false, ReasonBehindPeer
		}
		if p.HasReadLog && headIsRecent(now, p.RequestedAt.Add(-p.LogAge)) {
			peerReadsLog = true
		}
	}
	if peerReadsLog {
		return true, ReasonPeerReadsLog
	}
	if 2*answering > listed {
		return true, ReasonLogDown
	}
	return false, ReasonTooFewAnswers
}

func headIsRecent(now, readAt time.Time) bool {
	return !readAt.IsZero() && now.Sub(readAt) <= MaxHeadAge
}
