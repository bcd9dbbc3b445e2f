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
	// maxContactAge is the age of the log's last answer from which a read precedes
	// an append. The read detects an outage while the calls can still be refused
	// as not run.
	maxContactAge = 1 * time.Second
	firstBackoff  = 50 * time.Millisecond
	maxBackoff    = 1 * time.Second
)

// pendingCall is one call that waits for its reply.
type pendingCall struct {
	call *peerpb.IntentCall
	// deadline is the time after which the caller no longer waits.
	deadline time.Time
	// cancelled reports whether the caller no longer waits; nil means never.
	cancelled func() bool
	// readsAtArrival is the number of reads started before the call arrived.
	readsAtArrival int
	// record is the encoded record of the call while it is being appended.
	record string
	reply  func(*peerpb.IntentReply)
}

// appendBatch is the append that a writer has open. It has at most one.
type appendBatch struct {
	calls []*pendingCall
	// unread holds the records that have not been read back yet, in order.
	unread []string
	// acknowledged is set when the log has confirmed the append.
	acknowledged bool
	// uncertain is set when an append failed that may still have taken effect or
	// may take effect later.
	uncertain bool
	// mustRead is set while the stream must be read before the next append.
	mustRead bool
	// target is the offset up to which the stream must be read.
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
	// wakeAt is the time of the next call of nextOp, for opNone.
	wakeAt time.Time
}

// timing holds the intervals of a writer.
type timing struct {
	batchInterval time.Duration
	pollInterval  time.Duration
}

// writer decides which calls a stream owner makes to the log and what it
// replies. It does no I/O: the stream executes the operation that nextOp
// returns and passes back the result. It is not safe for concurrent use.
type writer struct {
	limits Limits
	timing timing
	fold   *Fold
	search *startSearch
	// head is the highest head of the stream that a read returned.
	head         uint64
	completeFrom time.Time
	queue        []*pendingCall
	appendBatch  *appendBatch
	batchAt      time.Time
	pollAt       time.Time
	retryAt      time.Time
	backoff      time.Duration
	// lastContact is the time of the last answer of the log.
	lastContact time.Time
	failing     bool
	// readsStarted counts reads, and readsFinished is its value at the last read
	// that reached the head. They show whether a read started after a call arrived.
	readsStarted  int
	readsFinished int
}

func newWriter(limits Limits, t timing, now time.Time) *writer {
	w := &writer{limits: limits, timing: t}
	w.restartSearch(now)
	return w
}

// restartSearch discards the fold and searches again for the start of the key
// window.
func (w *writer) restartSearch(now time.Time) {
	w.fold = nil
	w.search = newStartSearch(now.Add(-w.limits.retention()))
}

func (w *writer) synced() bool { return w.fold != nil }

// add queues a call.
func (w *writer) add(now time.Time, p *pendingCall) {
	p.readsAtArrival = w.readsStarted
	if len(w.queue) == 0 {
		w.batchAt = now.Add(w.timing.batchInterval)
	}
	w.queue = append(w.queue, p)
}

// nextOp returns the next operation. At most one operation may be open.
func (w *writer) nextOp(now time.Time) op {
	w.expireCalls(now)
	if now.Before(w.retryAt) {
		if w.failing {
			w.refuseQueue()
		}
		return op{wakeAt: w.retryAt}
	}
	if !w.synced() {
		return w.readOp(w.search.nextRead())
	}
	if w.fold.Next() < w.head {
		return w.readOp(w.fold.Next(), pageRecords)
	}
	if w.appendBatch != nil {
		return w.appendBatchOp()
	}
	if len(w.queue) > 0 {
		return w.queueOp(now)
	}
	if !now.Before(w.pollAt) {
		return w.readOp(w.fold.Next(), pageRecords)
	}
	return op{wakeAt: w.pollAt}
}

func (w *writer) readOp(from uint64, limit int) op {
	w.readsStarted++
	return op{kind: opRead, from: from, max: limit}
}

func (w *writer) appendBatchOp() op {
	if w.appendBatch.mustRead || w.appendBatch.acknowledged {
		return w.readOp(w.fold.Next(), pageRecords)
	}
	o := op{kind: opAppend}
	for _, record := range w.appendBatch.unread {
		o.data = append(o.data, []byte(record))
	}
	return o
}

func (w *writer) queueOp(now time.Time) op {
	if now.Before(w.batchAt) {
		return op{wakeAt: w.batchAt}
	}
	if w.failing || now.Sub(w.lastContact) >= maxContactAge {
		return w.readOp(w.fold.Next(), pageRecords)
	}
	if w.fillBatch(now) {
		return w.readOp(w.fold.Next(), pageRecords)
	}
	if w.appendBatch != nil {
		return w.appendBatchOp()
	}
	return op{wakeAt: now}
}

// fillBatch replies to the calls that can be decided now and makes a batch of
// those that need a record. It reports whether a call needs a read before it
// can be decided.
func (w *writer) fillBatch(now time.Time) (needRead bool) {
	b := &appendBatch{}
	included := map[string]bool{}
	var rest []*pendingCall
	for _, p := range w.queue {
		if len(b.unread) >= maxBatch {
			rest = append(rest, p)
			continue
		}
		d := w.view(now).evaluate(p.call, false)
		if d.reply != nil {
			if d.final || p.readsAtArrival < w.readsFinished {
				p.reply(d.reply)
				continue
			}
			needRead = true
			rest = append(rest, p)
			continue
		}
		p.record = encode(d.record)
		b.calls = append(b.calls, p)
		if !included[p.record] {
			included[p.record] = true
			b.unread = append(b.unread, p.record)
		}
	}
	w.queue = rest
	if len(b.calls) > 0 {
		w.appendBatch = b
		return false
	}
	return needRead
}

func (w *writer) view(now time.Time) view {
	return view{fold: w.fold, limits: w.limits, now: now, completeFrom: w.completeFrom}
}

// handleRead handles the result of a read.
func (w *writer) handleRead(now time.Time, page logstream.Page, err error) {
	if !w.synced() {
		w.handleSearchRead(now, page, err)
		return
	}
	if errors.Is(err, logstream.ErrBelowFloor) {
		// The owner was paused for longer than the retention.
		w.endBatch(func(p *pendingCall) { p.reply(undecidedReply()) })
		w.restartSearch(now)
		return
	}
	if err != nil {
		w.recordFailure(now)
		return
	}
	w.recordContact(now)
	w.head = max(w.head, page.Head)
	for _, r := range page.Records {
		if r.Offset != w.fold.Next() {
			break
		}
		w.fold.Apply(r.Offset, r.Time, r.Data)
		w.markRead(string(r.Data))
	}
	if w.fold.Next() >= page.Head {
		w.readsFinished = w.readsStarted
	}
	w.completeBatch(now)
}

// markRead marks a record of the batch as read back.
func (w *writer) markRead(record string) {
	if w.appendBatch == nil {
		return
	}
	for i, pending := range w.appendBatch.unread {
		if pending == record {
			w.appendBatch.unread = append(w.appendBatch.unread[:i], w.appendBatch.unread[i+1:]...)
			return
		}
	}
}

// completeBatch replies to the calls of the batch once all its records have been
// read back. If the stream was read to its head without them, the same bytes
// are appended again.
func (w *writer) completeBatch(now time.Time) {
	b := w.appendBatch
	if b == nil || w.fold.Next() < w.head {
		return
	}
	if len(b.unread) > 0 {
		b.mustRead = false
		if w.fold.Next() >= b.target {
			b.acknowledged = false
			return
		}
		// The log confirmed the append but does not show it yet.
		w.scheduleRetry(now)
		return
	}
	view := w.view(now)
	w.endBatch(func(p *pendingCall) { p.reply(view.evaluate(p.call, true).reply) })
}

// handleAppend handles the result of an append.
func (w *writer) handleAppend(now time.Time, first uint64, err error) {
	b := w.appendBatch
	if b == nil {
		return
	}
	if err == nil {
		w.recordContact(now)
		b.acknowledged = true
		b.target = first + uint64(len(b.unread))
		return
	}
	if errors.Is(err, logstream.ErrRateLimited) || errors.Is(err, logstream.ErrRefused) {
		w.scheduleRetry(now)
		if !b.uncertain {
			w.endBatch(func(p *pendingCall) { p.reply(refusalReply(p.call, DetailRateLimited)) })
			return
		}
	} else {
		b.uncertain = true
		w.recordFailure(now)
	}
	b.mustRead = true
}

// recordFailure records that the log did not answer, and refuses the calls of
// which no record was appended.
func (w *writer) recordFailure(now time.Time) {
	w.failing = true
	w.scheduleRetry(now)
	w.pollAt = now.Add(w.timing.pollInterval)
	w.refuseQueue()
}

func (w *writer) refuseQueue() {
	for _, p := range w.queue {
		p.reply(refusalReply(p.call, DetailLogUnavailable))
	}
	w.queue = nil
}

func (w *writer) scheduleRetry(now time.Time) {
	w.backoff = min(max(2*w.backoff, firstBackoff), maxBackoff)
	w.retryAt = now.Add(w.backoff)
}

func (w *writer) recordContact(now time.Time) {
	w.failing = false
	w.backoff = 0
	w.lastContact = now
	w.pollAt = now.Add(w.timing.pollInterval)
}

// expireCalls replies to the calls that were cancelled or whose deadline has
// passed. A record of theirs that is being appended may still take effect.
func (w *writer) expireCalls(now time.Time) {
	expired := func(p *pendingCall) bool { return now.After(p.deadline) || p.cancelled != nil && p.cancelled() }
	w.queue = filterCalls(w.queue, func(p *pendingCall) bool {
		if expired(p) {
			p.reply(refusalReply(p.call, DetailLogUnavailable))
			return false
		}
		return true
	})
	if w.appendBatch == nil {
		return
	}
	w.appendBatch.calls = filterCalls(w.appendBatch.calls, func(p *pendingCall) bool {
		if expired(p) {
			p.reply(undecidedReply())
			return false
		}
		return true
	})
	if len(w.appendBatch.calls) == 0 {
		w.appendBatch = nil
	}
}

// stop replies to every call.
func (w *writer) stop() {
	for _, p := range w.queue {
		p.reply(refusalReply(p.call, DetailNotOwner))
	}
	w.queue = nil
	w.endBatch(func(p *pendingCall) { p.reply(undecidedReply()) })
}

func (w *writer) endBatch(reply func(*pendingCall)) {
	b := w.appendBatch
	w.appendBatch = nil
	if b == nil {
		return
	}
	for _, p := range b.calls {
		reply(p)
	}
}

// handleSearchRead handles the result of a read during the search for the start
// of the window.
func (w *writer) handleSearchRead(now time.Time, page logstream.Page, err error) {
	if err != nil && !errors.Is(err, logstream.ErrBelowFloor) {
		w.recordFailure(now)
		return
	}
	w.recordContact(now)
	start, found := w.search.handlePage(page)
	if !found {
		return
	}
	w.fold = NewFold(w.limits, start)
	w.head = page.Head
	w.completeFrom = time.Time{}
	if start > 0 {
		w.completeFrom = w.search.since.Add(w.limits.Margin)
	}
}

func filterCalls(calls []*pendingCall, keep func(*pendingCall) bool) []*pendingCall {
	kept := calls[:0]
	for _, p := range calls {
		if keep(p) {
			kept = append(kept, p)
		}
	}
	clear(calls[len(kept):])
	return kept
}

// refusalReply returns the reply to a call of which nothing was recorded. Only a
// refused BEGIN will certainly never be dispatched.
func refusalReply(c *peerpb.IntentCall, detail string) *peerpb.IntentReply {
	if c.Op == peerpb.IntentOp_INTENT_OP_BEGIN {
		return notRunReply(detail)
	}
	return &peerpb.IntentReply{Detail: detail}
}

func undecidedReply() *peerpb.IntentReply {
	return &peerpb.IntentReply{State: peerpb.IntentState_INTENT_STATE_UNKNOWN, Detail: DetailUndecided}
}

func encode(r *peerpb.IntentRecord) string {
	data, err := proto.Marshal(r)
	if err != nil {
		// Marshal fails only for text that is not UTF-8, which evaluate keeps out
		// of records. An empty record has no effect.
		return ""
	}
	return string(data)
}
