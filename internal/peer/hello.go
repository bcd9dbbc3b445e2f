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
	ErrAuth    = errors.New("peer does not prove the fleet key")
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

// handshaker runs the handshake of one side.
type handshaker struct {
	key   []byte
	hello *peerpb.Hello
	meter *meter.Meter
}

// dial runs the dialling side: Hello out, Hello with proof in, proof out.
func (h *handshaker) dial(c net.Conn) (Peer, error) {
	mine, err := h.start()
	if err != nil {
		return Peer{}, err
	}
	if err := h.send(c, mine); err != nil {
		return Peer{}, err
	}
	theirs, err := h.receive(c)
	if err != nil {
		return Peer{}, err
	}
	if !hmac.Equal(theirs.GetProof(), proof(h.key, "acceptor", mine.GetNonce(), theirs)) {
		return Peer{}, ErrAuth
	}
	version, err := commonVersion(mine, theirs)
	if err != nil {
		return Peer{}, err
	}
	mine.Proof = proof(h.key, "dialler", theirs.GetNonce(), mine)
	err = h.send(c, mine)
	if mine.GetProbe() {
		// The other router has proved itself. It ends a probe as soon as it has
		// the last hello, which may look like a failed send on this side.
		err = nil
	}
	return peerOf(theirs, version), err
}

// accept runs the accepting side.
func (h *handshaker) accept(c net.Conn) (Peer, error) {
	theirs, err := h.receive(c)
	if err != nil {
		return Peer{}, err
	}
	mine, err := h.start()
	if err != nil {
		return Peer{}, err
	}
	mine.Proof = proof(h.key, "acceptor", theirs.GetNonce(), mine)
	if err := h.send(c, mine); err != nil {
		return Peer{}, err
	}
	// The dialler closes first when there is no common version: a close from
	// this side could overtake the hello that tells it the reason.
	version, versionErr := commonVersion(mine, theirs)
	final, err := h.receive(c)
	if versionErr != nil {
		return Peer{}, versionErr
	}
	if err != nil {
		return Peer{}, err
	}
	if !hmac.Equal(final.GetProof(), proof(h.key, "dialler", mine.GetNonce(), final)) {
		return Peer{}, ErrAuth
	}
	if !slices.Equal(final.GetVersions(), theirs.GetVersions()) {
		return Peer{}, ErrHello
	}
	return peerOf(final, version), nil
}

func (h *handshaker) start() (*peerpb.Hello, error) {
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

// proof binds the role, the other side's nonce and every field of the hello to
// the fleet key, so that a proof cannot be reflected or its fields changed.
func proof(key []byte, role string, peerNonce []byte, hello *peerpb.Hello) []byte {
	mac := hmac.New(sha256.New, key)
	part := func(b []byte) {
		_ = binary.Write(mac, binary.BigEndian, uint32(len(b)))
		mac.Write(b)
	}
	numbers := func(list []uint32) {
		_ = binary.Write(mac, binary.BigEndian, uint32(len(list)))
		_ = binary.Write(mac, binary.BigEndian, list)
	}
	part([]byte(role))
	part(peerNonce)
	part(hello.GetNonce())
	part([]byte(hello.GetVm()))
	part([]byte(hello.GetDataCentre()))
	part([]byte(hello.GetPeerAddr()))
	_ = binary.Write(mac, binary.BigEndian, hello.GetProbe())
	numbers(hello.GetVersions())
	numbers(hello.GetSchemaVersions())
	return mac.Sum(nil)
}

// commonVersion returns the highest version that both sides speak.
func commonVersion(mine, theirs *peerpb.Hello) (uint32, error) {
	best := uint32(0)
	for _, v := range theirs.GetVersions() {
		if v > best && slices.Contains(mine.GetVersions(), v) {
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
