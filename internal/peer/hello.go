package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"net"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/bluebellwell/bluebellwell/internal/meter"
	"github.com/bluebellwell/bluebellwell/internal/peerpb"
)

const (
	// ProtocolVersion is the newest version of the peer protocol.
	ProtocolVersion = 1

	nonceBytes    = 32
	maxHelloBytes = 4 << 10
)

// Errors of the handshake.
var (
	ErrAuth    = errors.New("peer sent no valid proof of the fleet key")
	ErrVersion = errors.New("no protocol version in common with the peer")
	ErrHello   = errors.New("peer sent an unexpected handshake message")
)

// Peer describes the router at the other end of a connection.
type Peer struct {
	VM         string
	DataCentre string
	// Addr is the address on which the peer accepts connections.
	Addr string
	// Version is the protocol version in use.
	Version uint32
	// SchemaVersions are the record schema versions that the peer reads.
	SchemaVersions []uint32

	probe bool
}

// handshaker runs one side of the handshake.
type handshaker struct {
	key   []byte
	hello *peerpb.Hello
	meter *meter.Meter
}

// dial runs the dialling side: it sends a Hello, receives a Hello with the
// acceptor's proof and sends its own proof.
func (h *handshaker) dial(c net.Conn) (Peer, error) {
	local, err := h.newHello()
	if err != nil {
		return Peer{}, err
	}
	if err := h.send(c, local); err != nil {
		return Peer{}, err
	}
	remote, err := h.receive(c)
	if err != nil {
		return Peer{}, err
	}
	if !hmac.Equal(remote.GetProof(), proof(h.key, "acceptor", local.GetNonce(), remote)) {
		return Peer{}, ErrAuth
	}
	version, err := commonVersion(local, remote)
	if err != nil {
		return Peer{}, err
	}
	local.Proof = proof(h.key, "dialler", remote.GetNonce(), local)
	err = h.send(c, local)
	if local.GetProbe() {
		// The peer is authenticated. It closes the connection of a probe as soon
		// as it has the last hello, which can make this send fail.
		err = nil
	}
	return peerOf(remote, version), err
}

// accept runs the accepting side.
func (h *handshaker) accept(c net.Conn) (Peer, error) {
	remote, err := h.receive(c)
	if err != nil {
		return Peer{}, err
	}
	local, err := h.newHello()
	if err != nil {
		return Peer{}, err
	}
	local.Proof = proof(h.key, "acceptor", remote.GetNonce(), local)
	if err := h.send(c, local); err != nil {
		return Peer{}, err
	}
	// Without a common version, the dialler closes first: a close by this side
	// could take effect before the dialler has read the hello with the versions.
	version, versionErr := commonVersion(local, remote)
	final, err := h.receive(c)
	if versionErr != nil {
		return Peer{}, versionErr
	}
	if err != nil {
		return Peer{}, err
	}
	if !hmac.Equal(final.GetProof(), proof(h.key, "dialler", local.GetNonce(), final)) {
		return Peer{}, ErrAuth
	}
	if !slices.Equal(final.GetVersions(), remote.GetVersions()) {
		return Peer{}, ErrHello
	}
	return peerOf(final, version), nil
}

func (h *handshaker) newHello() (*peerpb.Hello, error) {
	nonce := make([]byte, nonceBytes)
	if _, err := rand.Read(nonce); err != nil {
		return nil, eris.Wrap(err, "nonce")
	}
	return &peerpb.Hello{
		Versions:       h.hello.GetVersions(),
		Vm:             h.hello.GetVm(),
		DataCentre:     h.hello.GetDataCentre(),
		SchemaVersions: h.hello.GetSchemaVersions(),
		PeerAddr:       h.hello.GetPeerAddr(),
		Probe:          h.hello.GetProbe(),
		Nonce:          nonce,
	}, nil
}

func (h *handshaker) send(c net.Conn, hello *peerpb.Hello) error {
	n, err := writeMessage(c, &peerpb.Envelope{Body: &peerpb.Envelope_Hello{Hello: hello}})
	h.meter.Add(meter.Heartbeat, meter.PeerMessageBytes(n))
	return err
}

func (h *handshaker) receive(c net.Conn) (*peerpb.Hello, error) {
	env := &peerpb.Envelope{}
	n, err := readMessage(c, env, maxHelloBytes)
	if err != nil {
		return nil, err
	}
	h.meter.Add(meter.Heartbeat, meter.PeerMessageBytes(n))
	hello := env.GetHello()
	if hello == nil || len(hello.GetNonce()) != nonceBytes || hello.GetVm() == "" {
		return nil, ErrHello
	}
	return hello, nil
}

// proof returns a MAC under the fleet key of the role, the peer's nonce and every
// field of the hello, so that a proof cannot be reflected and no field changed.
func proof(key []byte, role string, peerNonce []byte, hello *peerpb.Hello) []byte {
	mac := hmac.New(sha256.New, key)
	writeBytes := func(b []byte) {
		_ = binary.Write(mac, binary.BigEndian, uint32(len(b)))
		mac.Write(b)
	}
	writeNumbers := func(list []uint32) {
		_ = binary.Write(mac, binary.BigEndian, uint32(len(list)))
		_ = binary.Write(mac, binary.BigEndian, list)
	}
	writeBytes([]byte(role))
	writeBytes(peerNonce)
	writeBytes(hello.GetNonce())
	writeBytes([]byte(hello.GetVm()))
	writeBytes([]byte(hello.GetDataCentre()))
	writeBytes([]byte(hello.GetPeerAddr()))
	_ = binary.Write(mac, binary.BigEndian, hello.GetProbe())
	writeNumbers(hello.GetVersions())
	writeNumbers(hello.GetSchemaVersions())
	return mac.Sum(nil)
}

// commonVersion returns the highest version that both sides support.
func commonVersion(local, remote *peerpb.Hello) (uint32, error) {
	best := uint32(0)
	for _, v := range remote.GetVersions() {
		if v > best && slices.Contains(local.GetVersions(), v) {
			best = v
		}
	}
	if best == 0 {
		return 0, ErrVersion
	}
	return best, nil
}

func peerOf(h *peerpb.Hello, version uint32) Peer {
	return Peer{
		VM:             h.GetVm(),
		DataCentre:     h.GetDataCentre(),
		Addr:           h.GetPeerAddr(),
		Version:        version,
		SchemaVersions: h.GetSchemaVersions(),
		probe:          h.GetProbe(),
	}
}
