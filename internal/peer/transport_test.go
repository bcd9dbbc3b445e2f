package peer

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/jonboulle/clockwork"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/meter"
	"github.com/bluebellwell/bluebellwell/internal/peermux"
	"github.com/bluebellwell/bluebellwell/internal/peerpb"
)

// testHandler sends the messages that it receives to channels. It serves a
// stream with serve if set, and otherwise answers with a Frame.
type testHandler struct {
	messages chan *peerpb.Envelope
	streams  chan *peerpb.Envelope
	serve    func(ctx context.Context, s *Stream)
}

func (h *testHandler) HandleStream(ctx context.Context, first *peerpb.Envelope, s *Stream) {
	h.streams <- first
	if h.serve != nil {
		h.serve(ctx, s)
		return
	}
	_ = s.Send(&peerpb.Envelope{Body: &peerpb.Envelope_Frame{Frame: &peerpb.Frame{AttemptId: first.GetCancel().GetAttemptId()}}})
}

func (h *testHandler) HandleMessage(_ Peer, env *peerpb.Envelope) { h.messages <- env }

func newCancel(id string) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_Cancel{Cancel: &peerpb.Cancel{AttemptId: id}}}
}

var fleetKey = []byte("fleet key of the test")

func startTransport(t testing.TB, cfg Config) (*Transport, *testHandler) {
	t.Helper()
	cfg.Listen = "127.0.0.1:0"
	setDefault(&cfg.VM, "vm-b")
	if cfg.Key == nil {
		cfg.Key = fleetKey
	}
	tr, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	h := &testHandler{messages: make(chan *peerpb.Envelope, 1000), streams: make(chan *peerpb.Envelope, 1000)}
	tr.Start(h)
	t.Cleanup(func() { _ = tr.Close() })
	return tr, h
}

// rawPeer returns a connection that has passed the handshake and that a test can
// send malformed messages on.
func rawPeer(t *testing.T, addr string) *yamux.Session {
	t.Helper()
	raw, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	mux, err := yamux.Client(raw, peermux.Config(event.Nop()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = mux.Close() })
	s, err := mux.OpenStream()
	if err != nil {
		t.Fatal(err)
	}
	h := &handshaker{key: fleetKey, meter: &meter.Meter{}, hello: &peerpb.Hello{Versions: []uint32{1}, Vm: "raw", PeerAddr: "raw"}}
	if _, err := h.dial(s); err != nil {
		t.Fatal(err)
	}
	return mux
}

// Guards against malformed messages that reach a handler, leave the stream open
// or break the connection.
func TestMalformedMessages(t *testing.T) {
	whole := encode(t, newCancel("x"))
	cases := map[string]struct {
		bytes []byte
		close bool
	}{
		"oversized message":   {bytes: []byte{0x00, 0x40, 0x00, 0x01, 0x32}},
		"oversized frame":     {bytes: oversizedFrame(t)},
		"undecodable message": {bytes: []byte{0, 0, 0, 2, 0x32, 0x7f}},
		"empty message":       {bytes: []byte{0, 0, 0, 0}},
		"second hello":        {bytes: encode(t, &peerpb.Envelope{Body: &peerpb.Envelope_Hello{Hello: &peerpb.Hello{}}})},
		"truncated message":   {bytes: whole[:len(whole)-1], close: true},
		"truncated prefix":    {bytes: whole[:2], close: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			tr, h := startTransport(t, Config{})
			mux := rawPeer(t, tr.Addr())
			s, err := mux.OpenStream()
			if err != nil {
				t.Fatal(err)
			}
			_, _ = s.Write(c.bytes)
			if c.close {
				_ = s.Close()
			}
			_ = s.SetReadDeadline(time.Now().Add(5 * time.Second))
			if n, err := s.Read(make([]byte, 1)); n != 0 || err == nil || errors.Is(err, yamux.ErrTimeout) {
				t.Fatalf("stream not closed: %d, %v", n, err)
			}
			next, err := mux.OpenStream()
			if err != nil {
				t.Fatal(err)
			}
			_, _ = next.Write(whole)
			if _, err := readMessage(next, &peerpb.Envelope{}, MaxMessageBytes); err != nil {
				t.Fatalf("connection unusable afterwards: %v", err)
			}
			if got := <-h.streams; got.GetCancel() == nil || len(h.streams) != 0 {
				t.Fatalf("handler got the malformed message %v", got)
			}
		})
	}
}

// oversizedFrame encodes a Frame one byte over the payload limit.
func oversizedFrame(t *testing.T) []byte {
	data, err := proto.Marshal(newFrame(MaxFramePayloadBytes + 1))
	if err != nil {
		t.Fatal(err)
	}
	return append(binary.BigEndian.AppendUint32(nil, uint32(len(data))), data...)
}

// Guards against a handshake that succeeds with a wrong key or without a common
// version, and against one that hangs on a peer that never answers.
func TestRefusedHandshake(t *testing.T) {
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	good, _ := startTransport(t, Config{})
	cases := map[string]struct {
		cfg  Config
		addr string
		want error
	}{
		"wrong key":       {cfg: Config{Key: []byte("other")}, addr: good.Addr(), want: ErrAuth},
		"unknown version": {cfg: Config{Versions: []uint32{99}}, addr: good.Addr(), want: ErrVersion},
		"silent peer":     {cfg: Config{HelloTimeout: 20 * time.Millisecond}, addr: silent.Addr().String(), want: yamux.ErrTimeout},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			c.cfg.VM = "vm-a"
			tr, _ := startTransport(t, c.cfg)
			if err := tr.Connect(t.Context(), c.addr); !errors.Is(err, c.want) || !errors.Is(err, ErrNotSent) {
				t.Fatalf("got %v, want %v", err, c.want)
			}
		})
	}
}

// Guards against an acceptor that accepts a dialler without the key. The dialler
// here skips its check of the acceptor's proof, which would fail first.
func TestAcceptorChecksProof(t *testing.T) {
	for _, changed := range []string{"proof", "vm"} {
		dialSide, acceptSide := net.Pipe()
		h := &handshaker{key: fleetKey, meter: &meter.Meter{}, hello: &peerpb.Hello{Versions: []uint32{1}, Vm: "b"}}
		result := make(chan error, 1)
		go func() {
			_, err := h.accept(acceptSide)
			result <- err
		}()
		a := &handshaker{key: fleetKey, meter: &meter.Meter{}, hello: &peerpb.Hello{Versions: []uint32{1}, Vm: "a"}}
		local, _ := a.newHello()
		_ = a.send(dialSide, local)
		remote, err := a.receive(dialSide)
		if err != nil {
			t.Fatal(err)
		}
		local.Proof = proof(fleetKey, "dialler", remote.GetNonce(), local)
		if changed == "proof" {
			local.Proof = remote.GetProof()
		} else {
			local.Vm = "c"
		}
		_ = a.send(dialSide, local)
		if err := <-result; !errors.Is(err, ErrAuth) {
			t.Fatalf("changed %s: got %v, want ErrAuth", changed, err)
		}
	}
}

// Guards against dialling an address again at once after a failure, and against
// never dialling it again.
func TestDialBackoff(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	// The port stays in use: a free one could be given to the transport's listener.
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_ = c.Close()
		}
	}()
	addr := l.Addr().String()
	clock := clockwork.NewFakeClock()
	dials := 0
	tr, _ := startTransport(t, Config{Clock: clock, OnDialFailure: func(string, error) { dials++ }})
	inBackoff := func() bool {
		var d *DialError
		if err := tr.Connect(t.Context(), addr); !errors.As(err, &d) {
			t.Fatalf("got %v, want a DialError", err)
		}
		return d.InBackoff
	}
	if inBackoff() {
		t.Fatal("first failure reported as in backoff")
	}
	if !inBackoff() {
		t.Fatal("dialled again at once")
	}
	clock.Advance(maxBackoff)
	inBackoff()
	if err := tr.Close(); err != nil || dials != 2 {
		t.Fatalf("%d dials, want 2; close: %v", dials, err)
	}
}

// Guards against a call that outlives its context when the peer hangs.
func TestCallToHangingPeerEndsWithItsContext(t *testing.T) {
	b, h := startTransport(t, Config{})
	h.serve = func(ctx context.Context, _ *Stream) { <-ctx.Done() }
	a, _ := startTransport(t, Config{VM: "vm-a"})
	ctx, stop := context.WithCancel(t.Context())
	go func() {
		<-h.streams
		stop()
	}()
	if _, err := a.Call(ctx, b.Addr(), newCancel("x")); !errors.Is(err, context.Canceled) || errors.Is(err, ErrNotSent) {
		t.Fatalf("got %v, want context.Canceled without ErrNotSent", err)
	}
}

// Guards against an answer that seems complete although the peer closed the
// connection.
func TestStreamFailsWhenPeerCloses(t *testing.T) {
	b, h := startTransport(t, Config{})
	h.serve = func(_ context.Context, s *Stream) {
		_ = s.Send(newFrame(10))
		_, _ = s.Recv()
		b.CloseConn(s.Peer().Addr)
	}
	a, _ := startTransport(t, Config{VM: "vm-a"})
	s, err := a.Open(t.Context(), b.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	_ = s.Send(newCancel("x"))
	if env, err := s.Recv(); err != nil || env.GetFrame() == nil {
		t.Fatalf("got %v, %v; want a frame", env, err)
	}
	_ = s.Send(newCancel("y"))
	if env, err := s.Recv(); err == nil {
		t.Fatalf("got %v after the connection was lost, want an error", env)
	}
	if err := a.Connect(t.Context(), b.Addr()); err != nil {
		t.Fatalf("no new connection: %v", err)
	}
}

func (t *Transport) connections() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.conns)
}

// Guards against a second connection between two routers, lost or reordered
// one-way messages, control bytes that only one side counts, and a connection in
// use that counts as idle.
func TestOneConnectionCarriesAll(t *testing.T) {
	ma, mb := &meter.Meter{}, &meter.Meter{}
	clock := clockwork.NewFakeClock()
	b, hb := startTransport(t, Config{Meter: mb, Clock: clock})
	a, ha := startTransport(t, Config{VM: "vm-a", Meter: ma, Clock: clock})
	const count = 100
	for i := range count {
		if err := a.Send(b.Addr(), &peerpb.Envelope{Body: &peerpb.Envelope_Claim{Claim: &peerpb.Claim{Epoch: uint64(i)}}}); err != nil {
			t.Fatal(err)
		}
	}
	for i := range count {
		if got := (<-hb.messages).GetClaim().GetEpoch(); got != uint64(i) {
			t.Fatalf("message %d arrived as %d", got, i)
		}
	}
	for i := range count {
		id := fmt.Sprint(i)
		if r, err := b.Call(t.Context(), a.Addr(), newCancel(id)); err != nil || r.GetFrame().GetAttemptId() != id {
			t.Fatalf("got %v, %v; want the reply to the call", r, err)
		}
	}
	_ = b.Send(a.Addr(), &peerpb.Envelope{Body: &peerpb.Envelope_VoteLost{VoteLost: &peerpb.VoteLost{}}})
	<-ha.messages
	if err := a.Probe(b.Addr()); err != nil {
		t.Fatal(err)
	}
	if na, nb := a.connections(), b.connections(); na != 1 || nb != 1 {
		t.Fatalf("%d and %d connections, want 1 on each side", na, nb)
	}
	later := clock.Now().Add(defaultIdleTimeout)
	if early := a.collectIdle(later.Add(-1)); len(early) != 0 {
		t.Fatal("connection in use counted as idle")
	}
	// A side may close a served stream only after the other has the reply.
	for end := time.Now().Add(10 * time.Second); len(a.collectIdle(later)) == 0 && time.Now().Before(end); {
		runtime.Gosched()
	}
	if got := a.collectIdle(later); len(got) != 1 {
		t.Fatalf("%d idle connections, want 1", len(got))
	}
	// A side may count a message only after the other has read it.
	for end := time.Now().Add(10 * time.Second); ma.Total() != mb.Total() && time.Now().Before(end); {
		runtime.Gosched()
	}
	_, _ = a.Close(), b.Close()
	if ma.Total() != mb.Total() || ma.Totals()["claim"] < count*120 {
		t.Fatalf("a counts %v, b counts %v; want equal totals that include the claims", ma.Totals(), mb.Totals())
	}
}

// Guards against a peer that exhausts memory by opening streams.
func TestStreamLimit(t *testing.T) {
	b, h := startTransport(t, Config{MaxStreams: 2})
	h.serve = func(ctx context.Context, _ *Stream) { <-ctx.Done() }
	a, _ := startTransport(t, Config{VM: "vm-a"})
	for range 2 {
		s, _ := a.Open(t.Context(), b.Addr())
		_ = s.Send(newCancel("x"))
		<-h.streams
	}
	if r, err := a.Call(t.Context(), b.Addr(), newCancel("x")); err == nil {
		t.Fatalf("third stream got %v, want an error", r)
	}
}

func benchmarkFrames(b *testing.B, payload int) {
	server, h := startTransport(b, Config{})
	h.serve = func(_ context.Context, s *Stream) {
		env := &peerpb.Envelope{}
		for s.RecvInto(env) == nil && s.Send(env) == nil {
		}
	}
	client, _ := startTransport(b, Config{VM: "vm-a"})
	s, err := client.Open(b.Context(), server.Addr())
	if err != nil {
		b.Fatal(err)
	}
	_ = s.Send(newCancel("x"))
	out, in := newFrame(payload), &peerpb.Envelope{}
	b.ReportAllocs()
	for b.Loop() {
		if err := s.Send(out); err != nil {
			b.Fatal(err)
		}
		if err := s.RecvInto(in); err != nil {
			b.Fatal(err)
		}
	}
}

// One operation sends a frame to the peer and back: two sends, two receives.
func BenchmarkFrameEcho64(b *testing.B) { benchmarkFrames(b, 64) }
func BenchmarkFrameEcho4K(b *testing.B) { benchmarkFrames(b, 4<<10) }

// BenchmarkCall measures one call and its reply.
func BenchmarkCall(b *testing.B) {
	server, h := startTransport(b, Config{})
	go func() {
		for range h.streams {
		}
	}()
	client, _ := startTransport(b, Config{VM: "vm-a"})
	b.ReportAllocs()
	for b.Loop() {
		if _, err := client.Call(b.Context(), server.Addr(), newCancel("x")); err != nil {
			b.Fatal(err)
		}
	}
}
