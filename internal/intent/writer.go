package intent

import (
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellwell/bluebellwell/internal/logstream"
	"github.com/bluebellwell/bluebellwell/internal/peerpb"
)

const (
	// maxBatch is the largest number of records in one append.
	maxBatch = 256
	// pageRecords is the size of one read.
	pageRecords = 1000
	// contactFresh is the age of the last answer of the log from which on a
	// read precedes an append. An outage that began meanwhile is then seen
	// while the calls can still be refused as not run.
	contactFresh = 1 * time.Second
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 1 * time.Second
)

// item is one call that waits for its reply.
type item struct {
	call *peerpb.IntentCall
	// deadline is the time after which the caller no longer waits.
	deadline time.Time
	// gone reports whether the caller has left; nil means never.
	gone func() bool
	// reads is the number of reads that had been started when the call came.
	reads int
	// record is the encoded record of the call while it is in flight.
	record string
	reply  func(*peerpb.IntentReply)
}

// flight is the one append that a writer has open.
type flight struct {
	items []*item
	// unseen holds the records that were not read back yet, in order.
	unseen []string
	// landed is set when the log has confirmed the append.
	landed bool
	// uncertain is set when an append may have taken effect, or still may.
	uncertain bool
	// read is set while the stream has to be read before the next append.
	read bool
	// target is the head of the stream up to which it has to be read.
	target uint64
}

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
	max  int
	data [][]byte
	// wake is the time at which next has to be asked again, for opNone.
	wake time.Time
}

// timing are the intervals of a writer.
type timing struct {
	batch time.Duration
	poll  time.Duration
}

// writer decides which calls a stream owner makes to the log and what it
// answers. It does no I/O: the caller carries out the operation of next and
// reports its result. It is not safe for concurrent use.
type writer struct {
	limits Limits
	timing timing
	fold   *Fold
	sync   *startSearch
	// head is the highest head of the stream seen.
	head     uint64
	complete time.Time
	queue    []*item
	flight   *flight
	batchAt  time.Time
	pollAt   time.Time
	retryAt  time.Time
	backoff  time.Duration
	// contact is the time of the last answer of the log.
	contact time.Time
	failing bool
	// started and finished count reads, so that a call can be judged by a read
	// that began after the call came.
	started  int
	finished int
}

func newWriter(limits Limits, t timing, now time.Time) *writer {
	w := &writer{limits: limits, timing: t}
	w.restart(now)
	return w
}

// restart forgets the fold and looks for the start of the key window again.
func (w *writer) restart(now time.Time) {
	w.fold = nil
	w.sync = newStartSearch(now.Add(-w.limits.keep()))
}

func (w *writer) synced() bool { return w.fold != nil }

// add takes a call.
func (w *writer) add(now time.Time, it *item) {
	it.reads = w.started
	if len(w.queue) == 0 {
		w.batchAt = now.Add(w.timing.batch)
	}
	w.queue = append(w.queue, it)
}

// next returns the next operation. At most one operation may be open.
func (w *writer) next(now time.Time) op {
	w.expire(now)
	if now.Before(w.retryAt) {
		if w.failing {
			w.refuseQueue()
		}
		return op{wake: w.retryAt}
	}
	if !w.synced() {
		return w.readOp(w.sync.probe())
	}
	if w.fold.Next() < w.head {
		return w.readOp(w.fold.Next(), pageRecords)
	}
	if w.flight != nil {
		return w.flightOp()
	}
	if len(w.queue) > 0 {
		return w.queueOp(now)
	}
	if !now.Before(w.pollAt) {
		return w.readOp(w.fold.Next(), pageRecords)
	}
	return op{wake: w.pollAt}
}

func (w *writer) readOp(from uint64, limit int) op {
	w.started++
	return op{kind: opRead, from: from, max: limit}
}

func (w *writer) flightOp() op {
	if w.flight.read || w.flight.landed {
		return w.readOp(w.fold.Next(), pageRecords)
	}
	o := op{kind: opAppend}
	for _, record := range w.flight.unseen {
		o.data = append(o.data, []byte(record))
	}
	return o
}

func (w *writer) queueOp(now time.Time) op {
	if now.Before(w.batchAt) {
		return op{wake: w.batchAt}
	}
	if w.failing || now.Sub(w.contact) >= contactFresh {
		return w.readOp(w.fold.Next(), pageRecords)
	}
	if w.fill(now) {
		return w.readOp(w.fold.Next(), pageRecords)
	}
	if w.flight != nil {
		return w.flightOp()
	}
	return op{wake: now}
}

// fill answers what can be answered and makes a flight of the rest. It reports
// whether a call needs a read before it can be judged.
func (w *writer) fill(now time.Time) (needRead bool) {
	f := &flight{}
	known := map[string]bool{}
	var rest []*item
	for _, it := range w.queue {
		if len(f.unseen) >= maxBatch {
			rest = append(rest, it)
			continue
		}
		v := w.view(now).judge(it.call, false)
		if v.reply != nil {
			if v.final || it.reads < w.finished {
				it.reply(v.reply)
				continue
			}
			needRead = true
			rest = append(rest, it)
			continue
		}
		it.record = encode(v.record)
		f.items = append(f.items, it)
		if !known[it.record] {
			known[it.record] = true
			f.unseen = append(f.unseen, it.record)
		}
	}
	w.queue = rest
	if len(f.items) > 0 {
		w.flight = f
		return false
	}
	return needRead
}

func (w *writer) view(now time.Time) view {
	return view{fold: w.fold, limits: w.limits, now: now, complete: w.complete}
}

// readDone takes the result of a read.
func (w *writer) readDone(now time.Time, page logstream.Page, err error) {
	if !w.synced() {
		w.searched(now, page, err)
		return
	}
	if errors.Is(err, logstream.ErrBelowFloor) {
		// The owner was paused for longer than the retention.
		w.endFlight(func(it *item) { it.reply(undecided()) })
		w.restart(now)
		return
	}
	if err != nil {
		w.fail(now)
		return
	}
	w.answered(now)
	w.head = max(w.head, page.Head)
	for _, r := range page.Records {
		if r.Offset != w.fold.Next() {
			break
		}
		w.fold.Apply(r.Offset, r.Time, r.Data)
		w.saw(string(r.Data))
	}
	if w.fold.Next() >= page.Head {
		w.finished = w.started
	}
	w.settle(now)
}

// saw marks a record of the flight as read back.
func (w *writer) saw(record string) {
	if w.flight == nil {
		return
	}
	for i, own := range w.flight.unseen {
		if own == record {
			w.flight.unseen = append(w.flight.unseen[:i], w.flight.unseen[i+1:]...)
			return
		}
	}
}

// settle answers the flight when all its records were read back. When the
// stream was read to its head without them, the same bytes are appended again.
func (w *writer) settle(now time.Time) {
	f := w.flight
	if f == nil || w.fold.Next() < w.head {
		return
	}
	if len(f.unseen) > 0 {
		f.read = false
		if w.fold.Next() >= f.target {
			f.landed = false
			return
		}
		// The log confirmed the append but does not show it yet.
		w.delay(now)
		return
	}
	view := w.view(now)
	w.endFlight(func(it *item) { it.reply(view.judge(it.call, true).reply) })
}

// appendDone takes the result of an append.
func (w *writer) appendDone(now time.Time, first uint64, err error) {
	f := w.flight
	if f == nil {
		return
	}
	if err == nil {
		w.answered(now)
		f.landed = true
		f.target = first + uint64(len(f.unseen))
		return
	}
	if errors.Is(err, logstream.ErrRateLimited) || errors.Is(err, logstream.ErrRefused) {
		w.delay(now)
		if !f.uncertain {
			w.endFlight(func(it *item) { it.reply(refusal(it.call, DetailRateLimited)) })
			return
		}
	} else {
		f.uncertain = true
		w.fail(now)
	}
	f.read = true
}

// fail notes that the log did not answer, and refuses the calls of which no
// record was ever appended.
func (w *writer) fail(now time.Time) {
	w.failing = true
	w.delay(now)
	w.pollAt = now.Add(w.timing.poll)
	w.refuseQueue()
}

func (w *writer) refuseQueue() {
	for _, it := range w.queue {
		it.reply(refusal(it.call, DetailLogUnavailable))
	}
	w.queue = nil
}

func (w *writer) delay(now time.Time) {
	w.backoff = min(max(2*w.backoff, firstBackoff), maxBackoff)
	w.retryAt = now.Add(w.backoff)
}

func (w *writer) answered(now time.Time) {
	w.failing = false
	w.backoff = 0
	w.contact = now
	w.pollAt = now.Add(w.timing.poll)
}

// expire answers the calls whose time has passed. A record of theirs that is
// in flight may still land.
func (w *writer) expire(now time.Time) {
	over := func(it *item) bool { return now.After(it.deadline) || it.gone != nil && it.gone() }
	w.queue = keepItems(w.queue, func(it *item) bool {
		if over(it) {
			it.reply(refusal(it.call, DetailLogUnavailable))
			return false
		}
		return true
	})
	if w.flight == nil {
		return
	}
	w.flight.items = keepItems(w.flight.items, func(it *item) bool {
		if over(it) {
			it.reply(undecided())
			return false
		}
		return true
	})
	if len(w.flight.items) == 0 {
		w.flight = nil
	}
}

// stop answers every call.
func (w *writer) stop() {
	for _, it := range w.queue {
		it.reply(refusal(it.call, DetailNotOwner))
	}
	w.queue = nil
	w.endFlight(func(it *item) { it.reply(undecided()) })
}

func (w *writer) endFlight(answer func(*item)) {
	f := w.flight
	w.flight = nil
	if f == nil {
		return
	}
	for _, it := range f.items {
		answer(it)
	}
}

// searched takes the result of a read while the start of the window is sought.
func (w *writer) searched(now time.Time, page logstream.Page, err error) {
	if err != nil && !errors.Is(err, logstream.ErrBelowFloor) {
		w.fail(now)
		return
	}
	w.answered(now)
	start, found := w.sync.take(page)
	if !found {
		return
	}
	w.fold = NewFold(w.limits, start)
	w.head = page.Head
	w.complete = time.Time{}
	if start > 0 {
		w.complete = w.sync.since.Add(w.limits.Margin)
	}
}

func keepItems(items []*item, keep func(*item) bool) []*item {
	kept := items[:0]
	for _, it := range items {
		if keep(it) {
			kept = append(kept, it)
		}
	}
	clear(items[len(kept):])
	return kept
}

// refusal is the reply to a call of which nothing was recorded. Only a BEGIN
// that is refused will certainly never be dispatched.
func refusal(c *peerpb.IntentCall, detail string) *peerpb.IntentReply {
	if c.Op == peerpb.IntentOp_INTENT_OP_BEGIN {
		return notRun(detail)
	}
	return &peerpb.IntentReply{Detail: detail}
}

func undecided() *peerpb.IntentReply {
	return &peerpb.IntentReply{State: peerpb.IntentState_INTENT_STATE_UNKNOWN, Detail: DetailUndecided}
}

func encode(r *peerpb.IntentRecord) string {
	data, err := proto.Marshal(r)
	if err != nil {
		// Marshal fails only for text that is not UTF-8, which judge keeps out.
		// An empty record has no effect.
		return ""
	}
	return string(data)
}
