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
func (k *Link) SetCut(on bool) {
	k.cut.Store(on)
}

// Append implements logstream.Log.
func (k *Link) Append(ctx context.Context, stream string, data [][]byte) (uint64, error) {
	if err := k.check(); err != nil {
		return 0, err
	}
	return k.log.Append(ctx, stream, data)
}

// Read implements logstream.Log.
func (k *Link) Read(ctx context.Context, stream string, offset uint64, maxRecords int, wait time.Duration) (logstream.Page, error) {
	if err := k.check(); err != nil {
		return logstream.Page{}, err
	}
	return k.log.Read(ctx, stream, offset, maxRecords, wait)
}

func (k *Link) check() error {
	if k.cut.Load() {
		return eris.Wrap(logstream.ErrUnavailable, "the link to the log is cut")
	}
	return nil
}
