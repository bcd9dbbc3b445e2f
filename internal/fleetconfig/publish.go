package fleetconfig

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/rotisserie/eris"

	"github.com/bluebellwell/bluebellwell/internal/findings"
	"github.com/bluebellwell/bluebellwell/internal/logstream"
	"github.com/bluebellwell/bluebellwell/internal/record"
)

// publishInterval is the pause between the steps of Publish.
const publishInterval = 200 * time.Millisecond

var (
	// ErrOutcomeUnknown means that the record may be in the log or may still
	// reach it. Publishing the same bytes again is safe.
	ErrOutcomeUnknown = errors.New("it is not known whether the record reached the log")
	// ErrNotPublished means that the record did not reach the log and will not.
	ErrNotPublished = errors.New("the record was not published")
	// ErrNotInForce means that the record is valid and in the log, but not every
	// router has reported it in force.
	ErrNotInForce = errors.New("not every router has reported the record in force")
)

// RouterStatus is what FleetStatus reports about one router.
type RouterStatus struct {
	VM string `json:"vm"`
	// Removed is true once the router has left the VM list; it is then ignored.
	Removed bool `json:"gone"`
	// Answered is false if the router did not answer; the other fields are then
	// not set.
	Answered bool `json:"answered"`
	// InForce is the next offset of the router's state in force.
	InForce uint64 `json:"in_force"`
	// Versions are the schema versions that the router reads.
	Versions []int `json:"versions"`
}

// FleetStatus reports the routers of the VM list to a publisher.
type FleetStatus interface {
	// Routers returns every listed router, whether it answers or not. An error
	// means that the VM list is not available.
	Routers(ctx context.Context) ([]RouterStatus, error)
}

// Phase is a step of publishing.
type Phase string

// Phases in their order. A failed append leads back to PhaseVersions.
const (
	PhaseSync     Phase = "reading_log"
	PhaseVersions Phase = "asking_versions"
	PhaseAppend   Phase = "appending"
	PhaseReadBack Phase = "reading_back"
	PhaseInForce  Phase = "waiting_for_routers"
	PhaseDone     Phase = "in_force"
)

// Progress reports a publication after each step.
type Progress struct {
	Phase Phase
	// Offset is the record's offset from PhaseInForce on.
	Offset uint64
	// Routers is the last result of FleetStatus.
	Routers []RouterStatus
	// Err is the failure that will be retried, or nil.
	Err error
}

// Result is an accepted record that is in force on every listed router.
type Result struct {
	ID      string
	Offset  uint64
	Routers []RouterStatus
}

// PublishOptions configures a publication.
type PublishOptions struct {
	Log   logstream.Log
	Fleet FleetStatus
	Clock clockwork.Clock
	// File names the record in findings.
	File string
	// Progress is called after each step; it may be nil.
	Progress func(Progress)
}

// Publisher publishes one record step by step. It is not safe for concurrent
// use.
type Publisher struct {
	opts   PublishOptions
	data   []byte
	record *record.Record
	digest string
	reader *Reader

	phase Phase
	// uncertain is true after an append whose outcome is unknown.
	uncertain bool
	// accepted is true once the record was read back and accepted.
	accepted bool
	offset   uint64
	routers  []RouterStatus
}

// Publish publishes one record and waits until it is in force on every listed
// router. The error is a *findings.Error for an invalid or conflicting record
// and for routers that cannot read it; otherwise it wraps ErrOutcomeUnknown,
// ErrNotPublished or ErrNotInForce, and the cause of the end.
func Publish(ctx context.Context, opts PublishOptions, data []byte) (*Result, error) {
	p, err := NewPublisher(opts, data)
	if err != nil {
		return nil, err
	}
	var lastErr error
	for {
		result, err := p.Step(ctx)
		if result != nil || !retryable(err) {
			return result, err
		}
		if err != nil {
			lastErr = err
		}
		select {
		case <-ctx.Done():
			return nil, p.stopError(errors.Join(ctx.Err(), lastErr))
		case <-opts.Clock.After(publishInterval):
		}
	}
}

// NewPublisher validates a record. The error is a *findings.Error.
func NewPublisher(opts PublishOptions, data []byte) (*Publisher, error) {
	rec, err := record.Parse(opts.File, data)
	if err != nil {
		return nil, err
	}
	return &Publisher{
		opts:   opts,
		data:   data,
		record: rec,
		digest: ContentDigest(data),
		reader: NewReader(ReaderOptions{Log: opts.Log, Clock: opts.Clock}),
		phase:  PhaseSync,
	}, nil
}

// retryError is a failure after which the next step may succeed.
type retryError struct{ error }

func (e retryError) Unwrap() error { return e.error }

func retryable(err error) bool {
	var r retryError
	return err == nil || errors.As(err, &r)
}

// Step makes one call to the log or to the fleet. It returns the result when the
// record is in force, and nil before. After an error, Retryable reports whether
// further steps can succeed.
func (p *Publisher) Step(ctx context.Context) (*Result, error) {
	err := p.step(ctx)
	if p.opts.Progress != nil {
		p.opts.Progress(Progress{Phase: p.phase, Offset: p.offset, Routers: p.routers, Err: err})
	}
	if err != nil {
		return nil, err
	}
	if p.phase != PhaseDone {
		return nil, nil
	}
	return &Result{ID: p.record.ID, Offset: p.offset, Routers: p.routers}, nil
}

// Retryable reports whether Step may be called again after err.
func Retryable(err error) bool {
	return retryable(err)
}

func (p *Publisher) step(ctx context.Context) error {
	switch p.phase {
	case PhaseSync, PhaseReadBack:
		return p.readLog(ctx)
	case PhaseVersions:
		return p.checkVersions(ctx)
	case PhaseAppend:
		return p.appendRecord(ctx)
	case PhaseInForce:
		return p.checkInForce(ctx)
	}
	return nil
}

// readLog reads one page. At the head it has either found the record or the log
// does not hold it.
func (p *Publisher) readLog(ctx context.Context) error {
	if err := p.reader.Step(ctx); err != nil {
		if errors.Is(err, ErrUnreadable) {
			return p.stopError(err)
		}
		return retryError{err}
	}
	if processed, ok := p.reader.Lookup(p.record.ID); ok {
		return p.applyResult(processed)
	}
	atHead, hasState := p.reader.atHead()
	if atHead && !hasState {
		return retryError{eris.Wrap(ErrCheckpoint, "the log holds no checkpoint to start from")}
	}
	if atHead {
		p.phase = PhaseVersions
	}
	return nil
}

// applyResult continues or ends the publication by the reader's result for the
// record.
func (p *Publisher) applyResult(processed ProcessedRecord) error {
	if processed.Digest != p.digest {
		list := findings.NewList(p.opts.File)
		list.Add("$.id", findings.CodeConflict, "id %s belongs to another record at offset %d", processed.ID, processed.Offset)
		return list.Err()
	}
	p.uncertain = false
	p.offset = processed.Offset
	if processed.Accepted {
		p.accepted = true
		p.phase = PhaseInForce
		return nil
	}
	for _, result := range p.reader.History() {
		if result.Offset == processed.Offset {
			return &findings.Error{Findings: withFile(p.opts.File, result.Findings)}
		}
	}
	list := findings.NewList(p.opts.File)
	list.Add("$", findings.CodeConflict, "record was rejected at offset %d", processed.Offset)
	return list.Err()
}

// checkVersions checks that every listed router can read the record's schema
// version.
func (p *Publisher) checkVersions(ctx context.Context) error {
	if err := p.refreshRouters(ctx); err != nil {
		return err
	}
	var unable []string
	for _, r := range p.listedRouters() {
		if !r.Answered {
			return retryError{eris.Errorf("router %s did not report which schema versions it reads", r.VM)}
		}
		if !slices.Contains(r.Versions, p.record.SchemaVersion) {
			unable = append(unable, r.VM)
		}
	}
	if len(unable) > 0 {
		return p.unreadableError(unable)
	}
	p.phase = PhaseAppend
	return nil
}

func (p *Publisher) unreadableError(unable []string) error {
	list := findings.NewList(p.opts.File)
	list.Add("$.schema_version", findings.CodeUnreadable, "schema version %d cannot be read by the routers %v", p.record.SchemaVersion, unable)
	if p.uncertain {
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, list.Err())
	}
	return list.Err()
}

// appendRecord sends the record. Whatever the answer, the result comes from
// reading the stream; after a lost answer the record is sent again only if it is
// absent from a page read after the failure.
func (p *Publisher) appendRecord(ctx context.Context) error {
	_, err := p.opts.Log.Append(ctx, StreamName, [][]byte{p.data})
	if errors.Is(err, logstream.ErrRateLimited) {
		return retryError{err}
	}
	if errors.Is(err, logstream.ErrRefused) {
		return p.stopError(err)
	}
	p.uncertain = true
	p.phase = PhaseReadBack
	if err != nil {
		return retryError{err}
	}
	return nil
}

func (p *Publisher) checkInForce(ctx context.Context) error {
	if err := p.refreshRouters(ctx); err != nil {
		return err
	}
	for _, r := range p.listedRouters() {
		if !r.Answered || r.InForce <= p.offset {
			return nil
		}
	}
	p.phase = PhaseDone
	return nil
}

// refreshRouters requests the fleet's status. An empty list does not show that
// the fleet has no routers, so it is retried.
func (p *Publisher) refreshRouters(ctx context.Context) error {
	routers, err := p.opts.Fleet.Routers(ctx)
	if err != nil {
		return retryError{eris.Wrap(err, "query the routers")}
	}
	p.routers = routers
	if len(p.listedRouters()) == 0 {
		return retryError{eris.New("the VM list holds no router")}
	}
	return nil
}

func (p *Publisher) listedRouters() []RouterStatus {
	var out []RouterStatus
	for _, r := range p.routers {
		if !r.Removed {
			out = append(out, r)
		}
	}
	return out
}

// stopError returns the error of a publication that ends with cause.
func (p *Publisher) stopError(cause error) error {
	outcome := ErrNotPublished
	if p.accepted {
		outcome = ErrNotInForce
	} else if p.uncertain {
		outcome = ErrOutcomeUnknown
	}
	return fmt.Errorf("%w: %w", outcome, cause)
}

// withFile returns findings of the stream with the published file as their file.
func withFile(file string, items []findings.Finding) []findings.Finding {
	out := slices.Clone(items)
	for i := range out {
		out[i].File = file
	}
	return out
}

// atHead reports whether the last step reached the head, and whether the state
// is complete up to there.
func (r *Reader) atHead() (atHead, hasState bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.behind, r.state != nil && !r.scanning
}
