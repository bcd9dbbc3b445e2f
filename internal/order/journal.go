package order

import (
	"errors"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/logstream"
)

const (
	pageRecords  = 500
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 2 * time.Second
)

type opKind int

const (
	opNone opKind = iota
	opRead
	opAppend
)

// op is the next call to the log.
type op struct {
	kind opKind
	from uint64
	data [][]byte
	// wakeAt is the time of the next call of nextOp, for opNone.
	wakeAt time.Time
}

// entry is one record to be appended. done is called after the record was read
// back; applied is true if it had an effect.
type entry struct {
	data string
	// sent is the time before the first append that contains the record.
	sent time.Time
	done func(sent time.Time, applied bool)
}

// journal reads the stream into the fold and appends records one batch at a
// time. Each batch is read back; after a lost answer the same bytes are
// appended again. It does no I/O and is not safe for concurrent use.
type journal struct {
	budget       Budget
	fold         *Fold
	pollInterval time.Duration
	queue        []*entry
	// inFlight is the batch that is being appended or read back.
	inFlight []*entry
	// acknowledged is set when the log has confirmed the append of inFlight.
	acknowledged bool
	// mustRead is set while the stream must be read before the next append.
	mustRead bool
	head     uint64
	pollAt   time.Time
	retryAt  time.Time
	backoff  time.Duration
	// current is set while the stream has been read to its head.
	current bool
}

func newJournal(b Budget, pollInterval time.Duration) *journal {
	return &journal{budget: b, pollInterval: pollInterval, fold: NewFold(b, 0)}
}

func (j *journal) add(data string, done func(time.Time, bool)) {
	j.queue = append(j.queue, &entry{data: data, done: done})
}

// idle reports whether no record is queued or in flight.
func (j *journal) idle() bool {
	return len(j.queue) == 0 && len(j.inFlight) == 0
}

// nextOp returns the next call to the log. At most one call may be open.
func (j *journal) nextOp(now time.Time) op {
	if now.Before(j.retryAt) {
		return op{wakeAt: j.retryAt}
	}
	if !j.current || j.mustRead || j.acknowledged || j.fold.Next() < j.head {
		return op{kind: opRead, from: j.fold.Next()}
	}
	if len(j.inFlight) == 0 {
		j.inFlight, j.queue = j.queue, nil
	}
	if len(j.inFlight) > 0 {
		return j.appendOp(now)
	}
	if !now.Before(j.pollAt) {
		return op{kind: opRead, from: j.fold.Next()}
	}
	return op{wakeAt: j.pollAt}
}

func (j *journal) appendOp(now time.Time) op {
	o := op{kind: opAppend}
	for _, e := range j.inFlight {
		if e.sent.IsZero() {
			e.sent = now
		}
		o.data = append(o.data, []byte(e.data))
	}
	return o
}

// handleRead handles the result of a read.
func (j *journal) handleRead(now time.Time, page logstream.Page, err error) {
	if errors.Is(err, logstream.ErrBelowFloor) {
		j.fold = NewFold(j.budget, page.Floor)
		j.current = false
		return
	}
	if err != nil {
		j.scheduleRetry(now)
		return
	}
	j.recordSuccess(now)
	j.head = max(j.head, page.Head)
	for _, r := range page.Records {
		if r.Offset != j.fold.Next() {
			break
		}
		applied := j.fold.Apply(r.Offset, r.Time, r.Data)
		j.markRead(string(r.Data), applied)
	}
	j.current = j.fold.Next() >= j.head
	if j.current {
		j.mustRead, j.acknowledged = false, false
	}
}

// markRead completes the entry of a record that was read back.
func (j *journal) markRead(data string, applied bool) {
	for i, e := range j.inFlight {
		if e.data == data {
			j.inFlight = append(j.inFlight[:i], j.inFlight[i+1:]...)
			e.done(e.sent, applied)
			return
		}
	}
}

// handleAppend handles the result of an append.
func (j *journal) handleAppend(now time.Time, err error) {
	if err == nil {
		j.recordSuccess(now)
		j.acknowledged = true
		return
	}
	// Even after a refusal an earlier append of the same bytes may take effect.
	j.mustRead = true
	j.scheduleRetry(now)
}

func (j *journal) scheduleRetry(now time.Time) {
	j.backoff = min(max(2*j.backoff, firstBackoff), maxBackoff)
	j.retryAt = now.Add(j.backoff)
}

func (j *journal) recordSuccess(now time.Time) {
	j.backoff = 0
	j.pollAt = now.Add(j.pollInterval)
}
