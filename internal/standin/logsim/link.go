package logsim

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bluebellwell/bluebellwell/internal/logstream"
)

// Link is one client's connection to a log. Cutting it affects no other client.
// It is safe for concurrent use.
type Link struct {
	log *Log
	cut atomic.Bool
}

var _ logstream.Log = (*Link)(nil)

// Link returns a new connection to the log.
func (l *Log) Link() *Link {
	return &Link{log: l}
}

// SetCut makes every call over the link fail without effect.
func (l *Link) SetCut(on bool) {
	l.cut.Store(on)
}

// Append implements logstream.Log.
func (l *Link) Append(ctx context.Context, stream string, data [][]byte) (uint64, error) {
	if err := l.check(); err != nil {
		return 0, err
	}
	return l.log.Append(ctx, stream, data)
}

// Read implements logstream.Log.
func (l *Link) Read(ctx context.Context, stream string, offset uint64, maxRecords int, wait time.Duration) (logstream.Page, error) {
	if err := l.check(); err != nil {
		return logstream.Page{}, err
	}
	return l.log.Read(ctx, stream, offset, maxRecords, wait)
}

func (l *Link) check() error {
	if l.cut.Load() {
		return eris.Wrap(logstream.ErrUnavailable, "the link to the log is cut")
	}
	return nil
}
