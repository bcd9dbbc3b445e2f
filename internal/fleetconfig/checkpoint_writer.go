package fleetconfig

import (
	"context"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/logstream"
)

const (
	// checkpointStagger is the delay between the writers of successive ranks. It
	// covers the time that a checkpoint takes to reach all routers.
	checkpointStagger = 5 * time.Second
	// staggerDivisor limits the delay of a rank to retention/staggerDivisor.
	staggerDivisor = 8
)

// recordTime is the append time of the record at an offset.
type recordTime struct {
	offset uint64
	time   time.Time
}

// checkpointWriter tracks the age of the oldest record that a starting router
// needs. Needed are the newest checkpoint and the records from its as_of on.
type checkpointWriter struct {
	retention time.Duration
	rank      func() int
	// needed holds the append times of the needed records in order.
	needed []recordTime
	// nextAttempt is the earliest time of the next append.
	nextAttempt time.Time
	// A state from a peer does not hold the append times of the records before it.
	// The backfill reads them once, from backfillOffset up to backfillEnd.
	backfilling    bool
	backfillOffset uint64
	backfillEnd    uint64
	backfilled     []recordTime
	// uncovered is true while no checkpoint covers some records below the floor.
	uncovered bool
}

func (w *checkpointWriter) reset() {
	w.needed = nil
	w.backfilled = nil
	w.backfilling = false
	w.uncovered = false
}

func (w *checkpointWriter) startBackfill(end uint64) {
	w.reset()
	w.backfilling = w.retention > 0
	w.backfillOffset = 0
	w.backfillEnd = end
}

// dropCovered drops the append times below the as_of of a checkpoint.
func (w *checkpointWriter) dropCovered(asOf uint64) {
	w.needed = dropBelow(w.needed, asOf)
	w.backfilled = dropBelow(w.backfilled, asOf)
	w.uncovered = false
}

func dropBelow(times []recordTime, offset uint64) []recordTime {
	n := 0
	for n < len(times) && times[n].offset < offset {
		n++
	}
	return times[n:]
}

// due reports whether the oldest needed record is older than half the retention
// plus the delay of the rank.
func (w *checkpointWriter) due(now time.Time) bool {
	if w.retention <= 0 || w.backfilling || now.Before(w.nextAttempt) {
		return false
	}
	if w.uncovered {
		return true
	}
	if len(w.needed) == 0 {
		return false
	}
	return now.Sub(w.needed[0].time) > w.retention/2+w.delay()
}

func (w *checkpointWriter) delay() time.Duration {
	if w.rank == nil {
		return 0
	}
	return min(time.Duration(w.rank())*checkpointStagger, w.retention/staggerDivisor)
}

// track stores the append time of a record that was applied.
func (r *Reader) track(rec logstream.Record) {
	if r.writer.retention <= 0 {
		return
	}
	r.writer.needed = append(r.writer.needed, recordTime{rec.Offset, rec.Time})
	if !IsCheckpoint(rec.Data) {
		return
	}
	if state := r.decodeCheckpoint(rec); state != nil {
		r.writer.dropCovered(state.Next())
	}
}

// backfill reads one page of the records before a state that came from a peer.
func (r *Reader) backfill(ctx context.Context) error {
	r.mu.Lock()
	w := &r.writer
	active := w.backfilling && !r.behind
	offset := w.backfillOffset
	r.mu.Unlock()
	if !active {
		return nil
	}
	page, err := r.log.Read(ctx, StreamName, offset, maxPageRecords, 0)
	belowFloor := errors.Is(err, logstream.ErrBelowFloor)
	if err != nil && !belowFloor {
		return eris.Wrap(err, "read the config stream")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !w.backfilling || w.backfillOffset != offset {
		// Another state was installed during the read.
		return nil
	}
	if belowFloor {
		w.backfilled = nil
		w.uncovered = true
		w.backfillOffset = page.Floor
	}
	r.backfillPage(page)
	return nil
}

func (r *Reader) backfillPage(page logstream.Page) {
	w := &r.writer
	for _, rec := range page.Records {
		if rec.Offset >= w.backfillEnd {
			break
		}
		w.backfillOffset = rec.Offset + 1
		w.backfilled = append(w.backfilled, recordTime{rec.Offset, rec.Time})
		if !IsCheckpoint(rec.Data) {
			continue
		}
		if state := r.decodeCheckpoint(rec); state != nil && state.Next() >= page.Floor {
			w.dropCovered(state.Next())
		}
	}
	if w.backfillOffset >= w.backfillEnd {
		w.needed = append(w.backfilled, w.needed...)
		w.backfilled = nil
		w.backfilling = false
	}
}

// writeCheckpoint appends a checkpoint if one is due. A second copy, written by
// another router or after a lost answer, is harmless.
func (r *Reader) writeCheckpoint(ctx context.Context) error {
	now := r.clock.Now()
	r.mu.Lock()
	due := r.state != nil && !r.scanning && !r.behind && r.writer.due(now)
	if !due {
		r.mu.Unlock()
		return nil
	}
	r.writer.nextAttempt = now.Add(checkpointStagger)
	data, err := r.state.Checkpoint()
	next := r.state.Next()
	r.mu.Unlock()
	if err != nil {
		return err
	}
	if _, err := r.log.Append(ctx, StreamName, [][]byte{data}); err != nil {
		r.events.Emit(event.ConfigCheckpointFailed, "next", next, "error", err.Error())
		return eris.Wrap(err, "append a checkpoint")
	}
	r.events.Emit(event.ConfigCheckpointWritten, "next", next, "bytes", len(data))
	return nil
}
