package slotgrant

import (
	"net/netip"
	"slices"
	"time"
)

const (
	// maxQueue bounds the waiting questions of a pool.
	maxQueue = 1024
	// lateShare is the share of its deadline for which a request that misses its objective may wait. It is rejected at once when it
	// would have to wait longer.
	lateShare = 0.2
)

// waiting is a question that waits for a slot.
type waiting struct {
	key      leaseKey
	priority int
	// excess is the level of the question beyond the share of its workspace (see excessLevels), and late is set for one that can't meet
	// its objective any more.
	excess int
	late   bool
	// due is when its answer has to be there: the end of the objective, for a late one see lateDue.
	due      time.Time
	deadline time.Time
	// number orders questions that are due at the same time.
	number  uint64
	exclude []uint64
}

// lateDue returns until when the answer has to be there if the objective can't be met: now + lateShare * what is left of the deadline.
func (w *waiting) lateDue(now time.Time) time.Time {
	return now.Add(time.Duration(lateShare * float64(w.deadline.Sub(now))))
}

func (w *waiting) setLate(now time.Time) { w.late, w.due = true, w.lateDue(now) }

// leaseKey identifies a request.
type leaseKey struct {
	router netip.Addr
	number uint64
}

// compare orders the queue: questions that can be in time first, then those within the share of their workspace, then by
// priority, then those that are due first.
func compare(a, b *waiting) int {
	switch {
	case a.late != b.late:
		return sign(b.late)
	case a.excess != b.excess:
		return a.excess - b.excess
	case a.priority != b.priority:
		return a.priority - b.priority
	case !a.due.Equal(b.due):
		return a.due.Compare(b.due)
	}
	return int(int64(a.number - b.number))
}

// sign returns the result of a comparison with a question that comes last (-1), or of one that comes last itself (1).
func sign(otherLast bool) int {
	if otherLast {
		return -1
	}
	return 1
}

// queue holds the waiting questions in their order.
type queue struct {
	list []*waiting
	// byKey finds a question that is sent again.
	byKey map[leaseKey]*waiting
}

func (q *queue) insert(w *waiting) (position int) {
	if q.byKey == nil {
		q.byKey = make(map[leaseKey]*waiting)
	}
	position, _ = slices.BinarySearchFunc(q.list, w, compare)
	q.list = slices.Insert(q.list, position, w)
	q.byKey[w.key] = w
	return position
}

func (q *queue) removeAt(i int) *waiting {
	w := q.list[i]
	q.list = slices.Delete(q.list, i, i+1)
	delete(q.byKey, w.key)
	return w
}

// remove removes a question and reports whether it was waiting.
func (q *queue) remove(key leaseKey) bool {
	w := q.byKey[key]
	if w == nil {
		return false
	}
	i, _ := slices.BinarySearchFunc(q.list, w, compare)
	q.removeAt(i)
	return true
}
