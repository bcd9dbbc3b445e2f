package router

import (
	"context"
	"encoding/hex"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/peer"
	"github.com/bluebellwell/bluebellwell/internal/peerpb"
)

// frameSendTimeout bounds the wait for an entry router that does not read. The
// attempt continues without it.
const frameSendTimeout = 30 * time.Second

// HandleStream implements peer.Handler.
func (r *Router) HandleStream(ctx context.Context, first *peerpb.Envelope, s *peer.Stream) {
	switch body := first.Body.(type) {
	case *peerpb.Envelope_Relay:
		r.serveRelay(ctx, body.Relay, s)
	case *peerpb.Envelope_ConfigFetch:
		_ = s.Send(r.configReply(body.ConfigFetch))
	case *peerpb.Envelope_IntentCall:
		r.serveIntent(ctx, body.IntentCall, s)
	case *peerpb.Envelope_AttemptEnded:
		r.recordAttemptsEnded(body.AttemptEnded)
	case *peerpb.Envelope_StatusQuery:
		_ = s.Send(&peerpb.Envelope{Body: &peerpb.Envelope_StatusReply{
			StatusReply: &peerpb.StatusReply{Json: r.statusJSON()},
		}})
	}
}

// HandleMessage implements peer.Handler.
func (r *Router) HandleMessage(from peer.Peer, env *peerpb.Envelope) {
	switch body := env.Body.(type) {
	case *peerpb.Envelope_Heartbeat:
		r.post(heartbeatReceived{from: from, heartbeat: body.Heartbeat})
	case *peerpb.Envelope_AttemptEnded:
		r.recordAttemptsEnded(body.AttemptEnded)
	case *peerpb.Envelope_Claim, *peerpb.Envelope_ClaimReply, *peerpb.Envelope_VoteLost,
		*peerpb.Envelope_Renewal, *peerpb.Envelope_RenewalReply, *peerpb.Envelope_Join, *peerpb.Envelope_JoinReply:
		r.post(ownershipReceived{from: from.VM, env: env})
	}
}

// recordAttemptsEnded records the end of attempts that an earlier owner started.
func (r *Router) recordAttemptsEnded(m *peerpb.AttemptEnded) {
	for _, id := range m.GetAttempts() {
		r.poolOwner.RecordAttemptEnded(r.clock.Now(), m.GetPool(), hex.EncodeToString(id))
	}
}

// frameSender sends frames to an entry router.
type frameSender struct {
	stream    *peer.Stream
	piggyback *piggyback
	env       peerpb.Envelope
	body      peerpb.Envelope_Frame
}

// Send implements poolowner.Sender.
func (s *frameSender) Send(f *peerpb.Frame) error {
	f.Control = s.piggyback.dequeue(s.stream.Peer().VM)
	s.body.Frame = f
	s.env.Body = &s.body
	_ = s.stream.SetDeadline(time.Now().Add(frameSendTimeout))
	return s.stream.Send(&s.env)
}

// serveRelay runs a relayed request. A Cancel message cancels it; the loss of the
// connection to the entry router does not.
func (r *Router) serveRelay(ctx context.Context, req *peerpb.Relay, s *peer.Stream) {
	r.activeRelays.Add(1)
	defer r.activeRelays.Add(-1)
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	go func() {
		env, err := s.Recv()
		if err == nil && env.GetCancel() != nil {
			cancel()
		}
	}()
	if req.Control != nil {
		r.receivePiggybacked(s.Peer().VM, req.Control)
	}
	r.poolOwner.Serve(ctx, req, &frameSender{stream: s, piggyback: r.piggyback})
}

func (r *Router) serveIntent(ctx context.Context, call *peerpb.IntentCall, s *peer.Stream) {
	reply := r.guard.Handle(ctx, call)
	if reply == nil {
		return
	}
	_ = s.Send(&peerpb.Envelope{Body: &peerpb.Envelope_IntentReply{IntentReply: reply}})
}

// configReply returns the reply to a peer that cannot reach the log or that is
// starting.
func (r *Router) configReply(fetch *peerpb.ConfigFetch) *peerpb.Envelope {
	reply, err := r.config.ConfigReply(fetch.KnownOffset, r.state().entry.Accepting)
	if err != nil {
		reply = &peerpb.ConfigReply{LogAgeMs: logAgeUnknown}
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_ConfigReply{ConfigReply: reply}}
}

// logAgeUnknown is the log age of a router that has never read the log's head.
const logAgeUnknown = ^uint32(0)

// logAge returns the milliseconds since the log's head was last confirmed.
func logAge(now, lastConfirmed time.Time) uint32 {
	if lastConfirmed.IsZero() {
		return logAgeUnknown
	}
	age := now.Sub(lastConfirmed).Milliseconds()
	return uint32(min(max(age, 0), int64(logAgeUnknown-1)))
}
