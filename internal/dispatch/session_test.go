package dispatch

import (
	"context"
	"io"
	"testing"

	"github.com/jonboulle/clockwork"

	"github.com/bluebellwell/bluebellwell/internal/peerpb"
)

// scriptedOwner is an owner that answers each relayed attempt with the next list
// of frames.
type scriptedOwner struct {
	answers [][]*peerpb.Frame
}

func (s *scriptedOwner) Owner(string) (Target, bool) { return Target{VM: "vm"}, true }

func (s *scriptedOwner) Open(_ context.Context, _ Target, req *peerpb.Relay) (FrameStream, error) {
	frames := s.answers[0]
	s.answers = s.answers[1:]
	for i, f := range frames {
		if f.AttemptId == "" {
			f.AttemptId = req.AttemptId
		}
		f.Seq = uint64(i)
	}
	return &scriptedStream{frames: frames}, nil
}

type scriptedStream struct{ frames []*peerpb.Frame }

func (s *scriptedStream) Next() (*peerpb.Frame, error) {
	if len(s.frames) == 0 {
		return nil, io.EOF
	}
	f := s.frames[0]
	s.frames = s.frames[1:]
	return f, nil
}

func (s *scriptedStream) Cancel() {}
func (s *scriptedStream) Close()  {}

type nullSink struct{}

func (nullSink) Frame(*peerpb.Frame) error { return nil }

// Guards against attempts that stay in the registry after their end: a new owner
// would count them as load.
func TestEndedAttemptsAreRemoved(t *testing.T) {
	grantFrame := func(id string) *peerpb.Frame { return &peerpb.Frame{Engine: "e", AttemptId: id} }
	doneFrame := func(id string) *peerpb.Frame {
		return &peerpb.Frame{Terminal: true, Outcome: peerpb.Outcome_OUTCOME_DONE, AttemptId: id}
	}
	failedFrame := &peerpb.Frame{Terminal: true, Outcome: peerpb.Outcome_OUTCOME_UNKNOWN, Code: CodeEngineFailed, Engine: "e"}
	for name, c := range map[string]struct {
		answers [][]*peerpb.Frame
		resume  bool
	}{
		"complete answer":      {answers: [][]*peerpb.Frame{{grantFrame(""), doneFrame("")}}},
		"retried attempt":      {answers: [][]*peerpb.Frame{{grantFrame(""), failedFrame}, {grantFrame(""), doneFrame("")}}},
		"resume by request id": {answers: [][]*peerpb.Frame{{grantFrame("found"), doneFrame("found")}}, resume: true},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := DefaultConfig()
			cfg.Backoff = 0
			d := New(cfg, &scriptedOwner{answers: c.answers}, clockwork.NewRealClock())
			run := d.Run
			if c.resume {
				run = d.Resume
			}
			res := run(t.Context(), &peerpb.Relay{Pool: "p", Repeatable: true}, nullSink{})
			if res.Outcome != peerpb.Outcome_OUTCOME_DONE || d.InFlight().Count() != 0 {
				t.Fatalf("outcome %v with %d attempts in the registry, want done with none", res.Outcome, d.InFlight().Count())
			}
		})
	}
}
