package logsim

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bluebellwell/bluebellwell/internal/logstream"
)

// Guards against a stand-in that keeps records past the retention time, or
// drops one that is young enough.
func TestRetentionByTime(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := New(Options{Clock: clock, Retention: time.Hour})
	ctx := context.Background()
	for i := 0; i < 3; i++ {
		if _, err := l.Append(ctx, "s", [][]byte{{byte(i)}}); err != nil {
			t.Fatal(err)
		}
		clock.Advance(25 * time.Minute)
	}
	page, err := l.Read(ctx, "s", 0, 10, 0)
	if !errors.Is(err, logstream.ErrBelowFloor) || page.Floor != 1 || page.Head != 3 {
		t.Fatalf("got page %+v and error %v, want the floor at 1 and the head at 3", page, err)
	}
	if got := len(l.Records("s")); got != 3 {
		t.Fatalf("the ledger has %d records, want 3", got)
	}
}

// Guards against a waiting read that misses an append.
func TestWaitingReadWakesOnAppend(t *testing.T) {
	clock := clockwork.NewFakeClock()
	l := New(Options{Clock: clock})
	ctx := context.Background()
	got := make(chan logstream.Page, 1)
	go func() {
		page, _ := l.Read(ctx, "s", 0, 10, time.Minute)
		got <- page
	}()
	if err := clock.BlockUntilContext(ctx, 1); err != nil {
		t.Fatal(err)
	}
	if _, err := l.Append(ctx, "s", [][]byte{[]byte("a")}); err != nil {
		t.Fatal(err)
	}
	if page := <-got; len(page.Records) != 1 {
		t.Fatalf("got %d records, want 1", len(page.Records))
	}
}
