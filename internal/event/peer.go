package event

import "github.com/hashicorp/go-hclog"

// Events 600 to 699: peer connections, VM list, membership and ownership.
var (
	PeerConnected       = register(600, hclog.Debug, "peer connection opened")
	PeerClosed          = register(601, hclog.Debug, "peer connection closed")
	PeerDialFailed      = register(602, hclog.Warn, "dial to peer failed")
	PeerHelloRejected   = register(603, hclog.Warn, "peer handshake rejected")
	PeerMessageRejected = register(604, hclog.Warn, "peer message rejected")
	PeerStreamLimit     = register(605, hclog.Warn, "peer exceeded the stream limit")
	PeerMuxMessage      = register(606, hclog.Debug, "multiplexer message")
	PeerAcceptFailed    = register(607, hclog.Warn, "accepting a peer connection failed")
)
