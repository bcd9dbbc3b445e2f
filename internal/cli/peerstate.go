package cli

import (
	"context"
	"net/netip"

	"github.com/rotisserie/eris"

	"github.com/bluebellwell/bluebellwell/internal/fleetconfig"
	"github.com/bluebellwell/bluebellwell/internal/peer"
	"github.com/bluebellwell/bluebellwell/internal/peerpb"
	"github.com/bluebellwell/bluebellwell/internal/record"
	"github.com/bluebellwell/bluebellwell/internal/settings"
)

// clientVM is the name under which the client connects to routers. It is in no
// VM list, so routers never use the client as a peer.
const clientVM = "operator-client"

// discardHandler ignores what routers send to the client.
type discardHandler struct{}

// HandleStream implements peer.Handler.
func (discardHandler) HandleStream(context.Context, *peerpb.Envelope, *peer.Stream) {}

// HandleMessage implements peer.Handler.
func (discardHandler) HandleMessage(peer.Peer, *peerpb.Envelope) {}

// readRouterState requests the state in force of the router at a peer address,
// with the fleet key of the settings.
func readRouterState(ctx context.Context, s *settings.Settings, addr netip.AddrPort) (*fleetconfig.State, *peerpb.ConfigReply, error) {
	t, err := peer.New(peer.Config{
		Listen:     "127.0.0.1:0",
		Key:        s.FleetKey[:],
		VM:         clientVM,
		DataCentre: s.DataCentre,
	})
	if err != nil {
		return nil, nil, err
	}
	t.Start(discardHandler{})
	defer func() { _ = t.Close() }()
	env, err := t.Call(ctx, addr.String(), &peerpb.Envelope{
		Body: &peerpb.Envelope_ConfigFetch{ConfigFetch: &peerpb.ConfigFetch{}},
	})
	if err != nil {
		return nil, nil, eris.Wrapf(err, "ask router %s", addr)
	}
	reply := env.GetConfigReply()
	if reply == nil {
		return nil, nil, eris.Errorf("router %s sent an unexpected message", addr)
	}
	if len(reply.Checkpoint) == 0 {
		return nil, nil, eris.Errorf("router %s is not in service and returned no state", addr)
	}
	state, err := fleetconfig.FromCheckpoint(reply.Checkpoint)
	if err != nil {
		return nil, nil, eris.Wrapf(err, "read the state of router %s", addr)
	}
	return state, reply, nil
}

// routerState returns the state in force on a router, for get.
func routerState(ctx context.Context, settingsFile, addr string) (*stateInForce, *record.Config, error) {
	peerAddr, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, nil, UsageErrorf("flag -router: %q is not an IP address and a port", addr)
	}
	if settingsFile == "" {
		return nil, nil, UsageErrorf("flag -router needs -settings for the fleet key")
	}
	s, err := settings.Load(settingsFile)
	if err != nil {
		return nil, nil, err
	}
	state, reply, err := readRouterState(ctx, s, peerAddr)
	if err != nil {
		return nil, nil, err
	}
	return &stateInForce{NextOffset: state.Next(), Head: reply.Head}, state.Config(), nil
}
