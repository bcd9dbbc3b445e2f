package router

import (
	"context"
	"errors"
	"io"
	"sync"

	"github.com/bluebellwell/bluebellwell/internal/dispatch"
	"github.com/bluebellwell/bluebellwell/internal/peer"
	"github.com/bluebellwell/bluebellwell/internal/peerpb"
)

// localFrameBuffer is the number of frames buffered between the pool owner and
// the dispatcher in the same router.
const localFrameBuffer = 16

// opener implements dispatch.Opener: it relays to this router or to a peer.
type opener struct {
	r *Router
}

func (o opener) Owner(pool string) (dispatch.Target, bool) {
	t, ok := o.r.state().owners[pool]
	return t, ok
}

func (o opener) Open(ctx context.Context, to dispatch.Target, req *peerpb.Relay) (dispatch.FrameStream, error) {
	if to.VM == o.r.settings.VM {
		return o.r.openLocal(ctx, req), nil
	}
	return o.r.openRemote(ctx, to, req)
}

// localStream carries frames from the pool owner to the dispatcher in the same
// router.
type localStream struct {
	frames chan *peerpb.Frame
	cancel context.CancelFunc
	done   chan struct{}
	once   sync.Once
}

func (r *Router) openLocal(ctx context.Context, req *peerpb.Relay) *localStream {
	serveCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	s := &localStream{
		frames: make(chan *peerpb.Frame, localFrameBuffer),
		cancel: cancel,
		done:   make(chan struct{}),
	}
	r.activeRelays.Add(1)
	go func() {
		defer r.activeRelays.Add(-1)
		defer cancel()
		r.poolOwner.Serve(serveCtx, req, s)
		close(s.frames)
	}()
	return s
}

// Send implements poolowner.Sender. The payload is copied, because the engine
// client reuses its buffer.
func (s *localStream) Send(f *peerpb.Frame) error {
	f.Payload = append([]byte(nil), f.Payload...)
	select {
	case s.frames <- f:
		return nil
	case <-s.done:
		return io.ErrClosedPipe
	}
}

func (s *localStream) Next() (*peerpb.Frame, error) {
	select {
	case f, ok := <-s.frames:
		if !ok {
			return nil, io.EOF
		}
		return f, nil
	case <-s.done:
		return nil, io.ErrClosedPipe
	}
}

func (s *localStream) Cancel() {
	s.cancel()
	s.Close()
}

func (s *localStream) Close() {
	s.once.Do(func() { close(s.done) })
}

// remoteStream carries frames from a peer.
type remoteStream struct {
	r      *Router
	stream *peer.Stream
	env    peerpb.Envelope
	id     string
}

func (r *Router) openRemote(ctx context.Context, to dispatch.Target, req *peerpb.Relay) (dispatch.FrameStream, error) {
	// The stream outlives ctx, so that Cancel can still be sent after its end.
	s, err := r.peers.Open(context.WithoutCancel(ctx), to.Addr)
	if err != nil {
		return nil, markNotSent(err)
	}
	req.Control = r.piggyback.dequeue(to.VM)
	err = s.Send(&peerpb.Envelope{Body: &peerpb.Envelope_Relay{Relay: req}})
	req.Control = nil
	if err != nil {
		_ = s.Close()
		return nil, markNotSent(err)
	}
	return &remoteStream{r: r, stream: s, id: req.AttemptId}, nil
}

func markNotSent(err error) error {
	if errors.Is(err, peer.ErrNotSent) {
		return errors.Join(dispatch.ErrNotSent, err)
	}
	return err
}

var errUnexpectedMessage = errors.New("peer sent an unexpected message")

func (s *remoteStream) Next() (*peerpb.Frame, error) {
	if err := s.stream.RecvInto(&s.env); err != nil {
		return nil, err
	}
	f := s.env.GetFrame()
	if f == nil {
		return nil, errUnexpectedMessage
	}
	if f.Control != nil {
		s.r.receivePiggybacked(s.stream.Peer().VM, f.Control)
		f.Control = nil
	}
	return f, nil
}

func (s *remoteStream) Cancel() {
	_ = s.stream.Send(&peerpb.Envelope{Body: &peerpb.Envelope_Cancel{Cancel: &peerpb.Cancel{AttemptId: s.id}}})
	s.Close()
}

func (s *remoteStream) Close() {
	_ = s.stream.Close()
}
