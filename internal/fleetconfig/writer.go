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
	// covers the time in which a checkpoint reaches all routers.
	checkpointStagger = 5 * time.Second
	// maxStaggerShare is the part of the retention that ranks may use up.
	maxStaggerShare = 8
)

// stamp is the append time of a record.
type stamp struct {
	offset uint64
	time   time.Time
}

// checkpointWriter knows the age of the oldest record that a starting router
// needs: the records from the newest checkpoint's as_of on, the checkpoint
// itself included.
type checkpointWriter struct {
	retention time.Duration
	rank      func() int
	// needed holds the stamps of the needed records in order.
	needed []stamp
	// nextTry is the earliest time of the next attempt.
	nextTry time.Time
	// A state that came from a peer tells nothing about the records before it.
	// The audit reads them once, from auditAt up to auditEnd.
	auditing bool
	auditAt  uint64
	auditEnd uint64
	audited  []stamp
	// lost is true while records below the floor are covered by no checkpoint.
	lost bool
}

func (w *checkpointWriter) reset() {
	w.needed = nil
	w.audited = nil
	w.auditing = false
	w.lost = false
}

func (w *checkpointWriter) startAudit(end uint64) {
	w.reset()
	w.auditing = w.retention > 0
	w.auditAt = 0
	w.auditEnd = end
}

// covered drops the stamps below the as_of of a checkpoint.
func (w *checkpointWriter) covered(asOf uint64) {
	w.needed = dropBelow(w.needed, asOf)
	w.audited = dropBelow(w.audited, asOf)
	w.lost = false
}

func dropBelow(stamps []stamp, offset uint64) []stamp {
	n := 0
	for n < len(stamps) && stamps[n].offset < offset {
		n++
	}
	return stamps[n:]
}

// due reports whether the oldest needed record is older than half the retention
// and the delay of the rank.
func (w *checkpointWriter) due(now time.Time) bool {
	if w.retention <= 0 || w.auditing || now.Before(w.nextTry) {
		return false
	}
	if w.lost {
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
	return min(time.Duration(w.rank())*checkpointStagger, w.retention/maxStaggerShare)
}

// track notes a record that was applied.
func (r *Reader) track(rec logstream.Record) {
	if r.writer.retention <= 0 {
		return
	}
	r.writer.needed = append(r.writer.needed, stamp{rec.Offset, rec.Time})
	if !IsCheckpoint(rec.Data) {
		return
	}
	if state := r.decode(rec); state != nil {
		r.writer.covered(state.Next())
	}
}

// audit reads one page of the records before a state that came from a peer.
func (r *Reader) audit(ctx context.Context) error {
	r.mu.Lock()
	w := &r.writer
	run := w.auditing && !r.behind
	offset := w.auditAt
	r.mu.Unlock()
	if !run {
		return nil
	}
	page, err := r.log.Read(ctx, StreamName, offset, pageRecords, 0)
	below := errors.Is(err, logstream.ErrBelowFloor)
	if err != nil && !below {
		return eris.Wrap(err, "read the config stream")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !w.auditing || w.auditAt != offset {
		// Another state was installed during the read.
		return nil
	}
	if below {
		w.audited = nil
		w.lost = true
		w.auditAt = page.Floor
	}
	r.auditPage(page)
	return nil
}

func (r *Reader) auditPage(page logstream.Page) {
	w := &r.writer
	for _, rec := range page.Records {
		if rec.Offset >= w.auditEnd {
			break
		}
		w.auditAt = rec.Offset + 1
		w.audited = append(w.audited, stamp{rec.Offset, rec.Time})
		if !IsCheckpoint(rec.Data) {
			continue
		}
		if state := r.decode(rec); state != nil && state.Next() >= page.Floor {
			w.covered(state.Next())
		}
	}
	if w.auditAt >= w.auditEnd {
		w.needed = append(w.audited, w.needed...)
		w.audited = nil
		w.auditing = false
	}
}

// writeCheckpoint appends a checkpoint if one is due. A second copy, by another
// router or after a lost answer, is harmless.
func (r *Reader) writeCheckpoint(ctx context.Context) error {
	now := r.clock.Now()
	r.mu.Lock()
	due := r.state != nil && !r.scanning && !r.behind && r.writer.due(now)
	if !due {
		r.mu.Unlock()
		return nil
	}
	r.writer.nextTry = now.Add(checkpointStagger)
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
