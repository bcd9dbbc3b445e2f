package fleetconfig

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"
	"gopkg.in/tomb.v2"

	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/logstream"
	"github.com/bluebellwell/bluebellwell/internal/record"
)

const (
	// DefaultPollWait is the longest wait of a read at the head. It is below
	// MaxHeadAge, so that an idle log does not make the router's head too old.
	DefaultPollWait = 1500 * time.Millisecond
	// retryPause is the pause after a failed step.
	retryPause     = 500 * time.Millisecond
	maxPageRecords = 500
)

var (
	// ErrUnreadable means that the state has stopped at a record with a schema
	// version that this program cannot read.
	ErrUnreadable = errors.New("configuration record has an unreadable schema version")
	// ErrHeadRegressed means that the log's head is below the state in force.
	ErrHeadRegressed = errors.New("log head is below the configuration in force")
)

// ReaderOptions configures a Reader.
type ReaderOptions struct {
	Log   logstream.Log
	Clock clockwork.Clock
	// Events may be nil.
	Events *event.Logger
	// PollWait is the longest wait of a read at the head; zero reads without
	// waiting.
	PollWait time.Duration
	// Retention is the retention time of the log. Zero disables the writing of
	// checkpoints.
	Retention time.Duration
	// Rank is the position of this router among the writers of checkpoints. A
	// higher rank waits longer, so that only one router writes. Nil means 0.
	Rank func() int
}

// Snapshot is the state of a reader at one moment. It is immutable.
type Snapshot struct {
	Config *record.Config
	// Log is complete except for SelfListed, which the caller sets.
	Log LogStatus
	// Unreadable is the result at which the state has stopped, or nil.
	Unreadable *RecordResult
}

// Reader follows the config stream. Step and Run must be called by one
// goroutine; the other methods are safe for concurrent use.
type Reader struct {
	log      logstream.Log
	clock    clockwork.Clock
	events   *event.Logger
	pollWait time.Duration
	writer   checkpointWriter

	mu    sync.Mutex
	state *State
	// scanOffset is the next offset of the search for a checkpoint, if scanning.
	scanOffset uint64
	scanning   bool
	// behind is true if the last page may not have reached the head.
	behind bool
	// headReadAt and head are as in LogStatus.
	headReadAt time.Time
	head       uint64
}

// NewReader returns a reader without a state.
func NewReader(o ReaderOptions) *Reader {
	r := &Reader{
		log:      o.Log,
		clock:    o.Clock,
		events:   o.Events,
		pollWait: o.PollWait,
		writer:   checkpointWriter{retention: o.Retention, rank: o.Rank},
		behind:   true,
	}
	if r.events == nil {
		r.events = event.Nop()
	}
	return r
}

// Run calls Step until the tomb is dying. A failed step is retried after a pause.
func (r *Reader) Run(t *tomb.Tomb) error {
	ctx := t.Context(context.Background())
	for t.Alive() {
		err := r.Step(ctx)
		if err == nil && r.pollWait > 0 {
			continue
		}
		select {
		case <-t.Dying():
		case <-r.clock.After(retryPause):
		}
	}
	return nil
}

// Step reads one page and applies it, and writes a checkpoint when one is due.
// With PollWait set, a step at the head lasts up to PollWait. The error wraps
// one of the errors of logstream, ErrUnreadable or ErrHeadRegressed; the caller
// pauses before the next step.
func (r *Reader) Step(ctx context.Context) error {
	offset, wait := r.nextRead()
	headReadAt := r.clock.Now()
	page, err := r.log.Read(ctx, StreamName, offset, maxPageRecords, wait)
	if errors.Is(err, logstream.ErrBelowFloor) {
		r.startScan(page)
		return nil
	}
	if err != nil {
		r.events.Emit(event.ConfigReadFailed, "error", err.Error())
		return eris.Wrap(err, "read the config stream")
	}
	if len(page.Records) == 0 {
		// The log sends an empty answer after the whole wait. A paused process may
		// handle it much later, so its arrival does not show when it was sent.
		headReadAt = earliest(headReadAt.Add(wait), r.clock.Now())
	}
	if err := r.applyPage(page, offset, headReadAt); err != nil {
		return err
	}
	if err := r.backfill(ctx); err != nil {
		return err
	}
	return r.writeCheckpoint(ctx)
}

// nextRead returns the offset and the wait of the next read.
func (r *Reader) nextRead() (offset uint64, wait time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != nil {
		offset = r.state.Next()
		if _, stopped := r.state.Unreadable(); stopped {
			// Repeated reads of records that cannot be applied would exceed the
			// control budget; the head is enough.
			offset = max(offset, r.head)
		}
	}
	if r.scanning {
		offset = r.scanOffset
	}
	if r.behind {
		return offset, 0
	}
	return offset, r.pollWait
}

func (r *Reader) startScan(page logstream.Page) {
	r.events.Emit(event.ConfigBelowFloor, "floor", page.Floor, "head", page.Head)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.scanning = true
	r.scanOffset = page.Floor
	r.behind = true
}

func (r *Reader) applyPage(page logstream.Page, offset uint64, headReadAt time.Time) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if page.Head < offset {
		r.events.Emit(event.ConfigHeadRegressed, "head", page.Head, "next", offset)
		return eris.Wrapf(ErrHeadRegressed, "head %d, next %d", page.Head, offset)
	}
	r.head = max(r.head, page.Head)
	r.headReadAt = headReadAt
	r.behind = len(page.Records) > 0
	if r.scanning {
		r.scanPage(page)
		return nil
	}
	if r.state == nil {
		r.state = NewState()
	}
	return r.applyRecords(page)
}

// scanPage looks for a checkpoint after which the log still holds all records.
func (r *Reader) scanPage(page logstream.Page) {
	for _, rec := range page.Records {
		r.scanOffset = rec.Offset + 1
		if !IsCheckpoint(rec.Data) {
			continue
		}
		state := r.decodeCheckpoint(rec)
		if state == nil || state.Next() < page.Floor {
			continue
		}
		if r.state != nil && state.Next() <= r.state.Next() {
			continue
		}
		r.installState(state)
		r.writer.reset()
		return
	}
}

// decodeCheckpoint returns the state of a checkpoint in the stream, or nil. A
// checkpoint cannot cover records that were appended after it.
func (r *Reader) decodeCheckpoint(rec logstream.Record) *State {
	state, err := FromCheckpoint(rec.Data)
	if err == nil && state.Next() > rec.Offset {
		err = eris.Wrap(ErrCheckpoint, "it covers records appended after it")
	}
	if err != nil {
		r.events.Emit(event.ConfigCheckpointUnusable, "offset", rec.Offset, "error", err.Error())
		return nil
	}
	return state
}

func (r *Reader) installState(state *State) {
	r.state = state
	r.scanning = false
	r.behind = true
	r.events.Emit(event.ConfigStateLoaded, "next", state.Next())
}

// applyRecords applies the records of a page. Records that a checkpoint from a
// peer has covered in the meantime are old.
func (r *Reader) applyRecords(page logstream.Page) error {
	if result, stopped := r.state.Unreadable(); stopped {
		return eris.Wrapf(ErrUnreadable, "offset %d, schema version %d", result.Offset, result.SchemaVersion)
	}
	for _, rec := range page.Records {
		result := r.state.Apply(rec.Offset, rec.Data)
		r.emitEvent(result)
		switch result.Outcome {
		case OutcomeUnreadable:
			return eris.Wrapf(ErrUnreadable, "offset %d, schema version %d", result.Offset, result.SchemaVersion)
		case OutcomeOld, OutcomeGap:
			continue
		}
		r.track(rec)
	}
	return nil
}

func (r *Reader) emitEvent(result RecordResult) {
	switch result.Outcome {
	case OutcomeAccepted:
		r.events.Emit(event.ConfigAccepted, "offset", result.Offset, "id", result.ID)
	case OutcomeRejected:
		r.events.Emit(event.ConfigRejected, "offset", result.Offset, "id", result.ID, "findings", len(result.Findings))
	case OutcomeDuplicate:
		r.events.Emit(event.ConfigDuplicate, "offset", result.Offset, "id", result.ID)
	case OutcomeUnreadable:
		r.events.Emit(event.ConfigUnreadable, "offset", result.Offset, "schema_version", result.SchemaVersion)
	}
}

// ApplyCheckpoint installs the state of an in-service peer if it is ahead of this
// router's own, and reports whether it did. The error wraps ErrCheckpoint.
func (r *Reader) ApplyCheckpoint(data []byte) (bool, error) {
	state, err := FromCheckpoint(data)
	if err != nil {
		return false, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state != nil && state.Next() <= r.state.Next() {
		return false, nil
	}
	r.installState(state)
	r.writer.startBackfill(state.Next())
	return true, nil
}

// Checkpoint encodes the state in force for a peer. ok is false without a state.
func (r *Reader) Checkpoint() (data []byte, next uint64, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state == nil {
		return nil, 0, false
	}
	data, err := r.state.Checkpoint()
	return data, r.state.Next(), err == nil
}

// Snapshot returns the configuration in force and the log status.
func (r *Reader) Snapshot() Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Snapshot{Log: LogStatus{HeadReadAt: r.headReadAt, Head: r.head}}
	if r.state == nil {
		return s
	}
	s.Config = r.state.Config()
	s.Log.HasState = true
	s.Log.Applied = r.state.Next()
	if result, stopped := r.state.Unreadable(); stopped {
		s.Unreadable = &result
		s.Log.Unreadable = true
	}
	return s
}

// History returns the results of the last records, oldest first.
func (r *Reader) History() []RecordResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state == nil {
		return nil
	}
	return r.state.History()
}

// Lookup returns the entry of a record id.
func (r *Reader) Lookup(id string) (ProcessedRecord, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.state == nil {
		return ProcessedRecord{}, false
	}
	return r.state.Lookup(id)
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
