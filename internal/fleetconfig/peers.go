package fleetconfig

import (
	"math"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bluebellwell/bluebellwell/internal/peerpb"
)

// logAgeUnknown is the log_age_ms of a router that has never read the log, and
// the largest age that is sent.
const logAgeUnknown = math.MaxUint32

// ConfigReply answers a ConfigFetch of a peer whose next offset is knownOffset.
// inService reports whether this router is current; only then does the reply hold
// a checkpoint. The error is a failure to encode the state.
func (r *Reader) ConfigReply(knownOffset uint64, inService bool) (*peerpb.ConfigReply, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	reply := &peerpb.ConfigReply{InService: inService, Head: r.head, LogAgeMs: r.logAge()}
	if r.state == nil {
		return reply, nil
	}
	reply.Offset = r.state.Next()
	// A peer without a state sends offset 0 and needs the empty state too.
	if !inService || knownOffset > 0 && knownOffset >= reply.Offset {
		return reply, nil
	}
	data, err := r.state.Checkpoint()
	if err != nil {
		return nil, eris.Wrap(err, "encode the state for a peer")
	}
	reply.Checkpoint = data
	return reply, nil
}

// logAge returns the milliseconds since the head was read. It rounds up, so that
// the peer never considers the head more recent than it is.
func (r *Reader) logAge() uint32 {
	if r.headReadAt.IsZero() {
		return logAgeUnknown
	}
	age := r.clock.Since(r.headReadAt) + time.Millisecond - 1
	return uint32(min(max(0, age.Milliseconds()), logAgeUnknown))
}

// ApplyReply installs the state in the reply of a peer, if it is ahead, and
// returns the peer's status for IsCurrent. requestedAt is the time at which the
// ConfigFetch was sent. The status is valid even if the error, which wraps
// ErrCheckpoint, means that the state is not usable.
func (r *Reader) ApplyReply(vm string, requestedAt time.Time, reply *peerpb.ConfigReply) (PeerStatus, error) {
	status := PeerStatusOf(vm, requestedAt, reply)
	if !reply.GetInService() || len(reply.GetCheckpoint()) == 0 {
		return status, nil
	}
	_, err := r.ApplyCheckpoint(reply.GetCheckpoint())
	return status, err
}

// PeerStatusOf returns the peer's status for IsCurrent.
func PeerStatusOf(vm string, requestedAt time.Time, reply *peerpb.ConfigReply) PeerStatus {
	hasReadLog := reply.GetLogAgeMs() != logAgeUnknown
	return PeerStatus{
		VM:          vm,
		RequestedAt: requestedAt,
		// The message does not distinguish an empty state from none, so a peer
		// that has no records and has never read the log does not count.
		HasState:   hasReadLog || reply.GetOffset() > 0,
		Applied:    reply.GetOffset(),
		HasReadLog: hasReadLog,
		LogAge:     time.Duration(reply.GetLogAgeMs()) * time.Millisecond,
		Head:       reply.GetHead(),
	}
}
