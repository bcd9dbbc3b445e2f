package admission

import (
	"container/heap"
	"time"
)

// flow is the queue of one workspace in one class.
type flow struct {
	ws    *workspace
	class class
	// head and tail are the ends of the list of tickets in order of arrival.
	head, tail *Ticket
	// virtualFinish is the virtual time at which the last grant ends.
	virtualFinish float64
	// seq breaks ties between flows in order of activation.
	seq uint64
	// heapIndex is the position in the class heap, or -1.
	heapIndex int
}

// push appends a ticket.
func (f *flow) push(t *Ticket) {
	t.prev = f.tail
	if f.tail == nil {
		f.head = t
	} else {
		f.tail.next = t
	}
	f.tail = t
}

func (f *flow) remove(t *Ticket) {
	if t.prev == nil {
		f.head = t.next
	} else {
		t.prev.next = t.next
	}
	if t.next == nil {
		f.tail = t.prev
	} else {
		t.next.prev = t.prev
	}
	t.prev, t.next = nil, nil
}

// flowHeap orders the active flows of a class by virtual start time.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	if h[i].virtualFinish != h[j].virtualFinish {
		return h[i].virtualFinish < h[j].virtualFinish
	}
	return h[i].seq < h[j].seq
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.heapIndex = len(*h)
	*h = append(*h, f)
}

func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	f.heapIndex = -1
	return f
}

// classQueue is the fair queue of one class.
type classQueue struct {
	active flowHeap
	// virtualTime is the virtual start time of the last grant.
	virtualTime float64
	// seq numbers the activations of flows.
	seq uint64
	// share is the reserved share of slots and of grants.
	share float64
	// credit is the number of grants due to the class under its share.
	credit float64
	// waiting counts the tickets in flows, parked ones excluded.
	waiting int
	// inFlight counts the occupied slots, including those of adopted attempts.
	inFlight int
	// lastRequestAt is the time of the last request of the class.
	lastRequestAt time.Time
}

// activate adds a flow to the heap if it has waiting tickets and its workspace
// is not at its limit. A flow that was idle starts at the current virtual time,
// so that it gains nothing from the idle time.
func (q *classQueue) activate(f *flow) {
	if f.heapIndex >= 0 || f.head == nil || f.ws.atLimit() {
		return
	}
	f.virtualFinish = max(f.virtualFinish, q.virtualTime)
	q.seq++
	f.seq = q.seq
	heap.Push(&q.active, f)
}

// deactivate removes a flow from the heap.
func (q *classQueue) deactivate(f *flow) {
	if f.heapIndex >= 0 {
		heap.Remove(&q.active, f.heapIndex)
	}
}

// charge accounts for one grant to a flow, which costs the inverse of the
// workspace's weight in virtual time.
func (q *classQueue) charge(f *flow) {
	q.virtualTime = max(q.virtualTime, f.virtualFinish)
	f.virtualFinish = max(f.virtualFinish, q.virtualTime) + 1/f.ws.weight
	if f.heapIndex >= 0 {
		heap.Fix(&q.active, f.heapIndex)
	}
}

// dueHeap orders waiting tickets by the time of their next event.
type dueHeap []*Ticket

func (h dueHeap) Len() int { return len(h) }

func (h dueHeap) Less(i, j int) bool { return h[i].due.Before(h[j].due) }

func (h dueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].dueIndex, h[j].dueIndex = i, j
}

func (h *dueHeap) Push(x any) {
	t := x.(*Ticket)
	t.dueIndex = len(*h)
	*h = append(*h, t)
}

func (h *dueHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.dueIndex = -1
	return t
}

// schedule sets the time of a ticket's next event; the zero time means none.
func (h *dueHeap) schedule(t *Ticket, due time.Time) {
	t.due = due
	switch {
	case due.IsZero() && t.dueIndex >= 0:
		heap.Remove(h, t.dueIndex)
	case due.IsZero():
	case t.dueIndex >= 0:
		heap.Fix(h, t.dueIndex)
	default:
		heap.Push(h, t)
	}
}
