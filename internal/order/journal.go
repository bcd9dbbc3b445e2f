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
	// wake is the time at which next has to be asked again, for opNone.
	wake time.Time
}

// entry is one record on its way into the log. done is called when it was read
// back, with its effect.
type entry struct {
	data string
	// sent is the time before the first append that holds the record.
	sent time.Time
	done func(sent time.Time, effect bool)
}

// journal reads the stream into the fold and appends records one batch at a
// time. Each batch is read back; after a lost answer the same bytes are
// appended again. It does no I/O and is not safe for concurrent use.
type journal struct {
	budget  Budget
	fold    *Fold
	poll    time.Duration
	queue   []*entry
	flight  []*entry
	landed  bool
	mustGet bool
	head    uint64
	pollAt  time.Time
	retryAt time.Time
	backoff time.Duration
	// current is set while the fold has been read to the head.
	current bool
}

func newJournal(b Budget, poll time.Duration) *journal {
	return &journal{budget: b, poll: poll, fold: NewFold(b, 0)}
}

func (j *journal) add(data string, done func(time.Time, bool)) {
	j.queue = append(j.queue, &entry{data: data, done: done})
}

// idle reports whether no record is on its way.
func (j *journal) idle() bool {
	return len(j.queue) == 0 && len(j.flight) == 0
}

// next returns the next call. At most one may be open.
func (j *journal) next(now time.Time) op {
	if now.Before(j.retryAt) {
		return op{wake: j.retryAt}
	}
	if !j.current || j.mustGet || j.landed || j.fold.Next() < j.head {
		return op{kind: opRead, from: j.fold.Next()}
	}
	if len(j.flight) == 0 {
		j.flight, j.queue = j.queue, nil
	}
	if len(j.flight) > 0 {
		return j.appendOp(now)
	}
	if !now.Before(j.pollAt) {
		return op{kind: opRead, from: j.fold.Next()}
	}
	return op{wake: j.pollAt}
}

func (j *journal) appendOp(now time.Time) op {
	o := op{kind: opAppend}
	for _, e := range j.flight {
		if e.sent.IsZero() {
			e.sent = now
		}
		o.data = append(o.data, []byte(e.data))
	}
	return o
}

// readDone takes the result of a read.
func (j *journal) readDone(now time.Time, page logstream.Page, err error) {
	if errors.Is(err, logstream.ErrBelowFloor) {
		j.fold = NewFold(j.budget, page.Floor)
		j.current = false
		return
	}
	if err != nil {
		j.fail(now)
		return
	}
	j.answered(now)
	j.head = max(j.head, page.Head)
	for _, r := range page.Records {
		if r.Offset != j.fold.Next() {
			break
		}
		effect := j.fold.Apply(r.Offset, r.Time, r.Data)
		j.saw(string(r.Data), effect)
	}
	j.current = j.fold.Next() >= j.head
	if j.current {
		j.mustGet, j.landed = false, false
	}
}

func (j *journal) saw(data string, effect bool) {
	for i, e := range j.flight {
		if e.data == data {
			j.flight = append(j.flight[:i], j.flight[i+1:]...)
			e.done(e.sent, effect)
			return
		}
	}
}

// appendDone takes the result of an append.
func (j *journal) appendDone(now time.Time, err error) {
	if err == nil {
		j.answered(now)
		j.landed = true
		return
	}
	// Also after a refusal an earlier append of the same bytes may land.
	j.mustGet = true
	j.fail(now)
}

func (j *journal) fail(now time.Time) {
	j.backoff = min(max(2*j.backoff, firstBackoff), maxBackoff)
	j.retryAt = now.Add(j.backoff)
}

func (j *journal) answered(now time.Time) {
	j.backoff = 0
	j.pollAt = now.Add(j.poll)
}
