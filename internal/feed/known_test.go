package feed

import (
	"context"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/logpos"
)

// offsetSource is an empty topic that records where reads begin.
type offsetSource struct {
	era, end int64
	from     []int64
}

func (s *offsetSource) Newest(context.Context) (Page, error) {
	s.from = append(s.from, -1)
	return Page{Era: s.era, Next: s.end}, nil
}

func (s *offsetSource) Read(_ context.Context, from int64, _ time.Duration) (Page, error) {
	s.from = append(s.from, from)
	return Page{Era: s.era, Next: from}, nil
}

// Guards against a follower that reads whole texts again which it has from other routers, that goes back, that skips the records of
// another era or that takes what others have told for a list.
func TestToldRecordsAreNotRead(t *testing.T) {
	s := &offsetSource{era: 4, end: 6}
	told := logpos.Position{Era: 4, Offset: 20}
	f := New(s, Options{
		Timing: func() Timing { return Timing{Timeout: time.Second} }, PeerPosition: func() logpos.Position { return logpos.None },
		Eras: &Eras{}, EraReported: func(int64) time.Time { return time.Time{} }, KnownTo: func() logpos.Position { return told },
	}, &recorder{})
	step := func(position logpos.Position) {
		told = position
		f.Step(t.Context())
	}
	step(told)
	step(logpos.None)
	step(logpos.Position{Era: 4, Offset: 9})
	step(logpos.Position{Era: 4, Offset: 8})
	step(logpos.Position{Era: 5, Offset: 30})
	step(logpos.Position{Era: 3, Offset: 30})
	requireEqual(t, "reads", s.from, []int64{-1, 6, 9, 9, 9, 9})
}
