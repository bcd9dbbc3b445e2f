// Package slotgrant grants the slots of a pool that has fewer of them than its many routers can share out. One router,
// the granting one, knows which slots are taken. The others ask it before they send a request to a server, and report
// when the request has ended. So the queue is before the servers, where order, objectives and rejections are decided.
//
// A Granter is the granting side of a pool and an Asker the asking side. The granting router asks its own Granter
// in the same way. Both do no I/O, take the time as an argument and are not safe for concurrent use. What is to be sent goes to
// an Outbox.
package slotgrant

import (
	"net/netip"
	"slices"
	"time"
)

// Question asks for a slot for one request. Servers are named by the hashes of their incarnations.
type Question struct {
	// Number identifies the request at the asking router. A question that is sent again keeps it.
	Number uint64
	// Priority is the rank of the request; 0 is the most urgent.
	Priority int
	// Objective and Deadline are what is left of them; an Objective that has passed is 0.
	Objective time.Duration
	Deadline  time.Duration
	// Workspace is a hash of the workspace's name.
	Workspace uint32
	// Exclude lists the servers that the request may not go to.
	Exclude []uint64
}

// Kind is what an answer says.
type Kind uint8

// Kinds of answers.
const (
	// Granted: the request may be sent to the server.
	Granted Kind = iota + 1
	// Queued: the request waits for a slot; another answer follows.
	Queued
	// Rejected: the request would be too late.
	Rejected
	// Elsewhere: this router does not grant, Message.First may do so.
	Elsewhere
)

// Reason is why a question was rejected.
type Reason uint8

// Reasons of a rejection.
const (
	ReasonNone Reason = iota
	// ReasonLate: the request would miss its objective.
	ReasonLate
	// ReasonOvertaken: requests that come before it have taken its place.
	ReasonOvertaken
	// ReasonShare: its workspace sends far more than usual, and the request would be late.
	ReasonShare
	// ReasonQueueFull: the queue has no room.
	ReasonQueueFull
	// ReasonNoServer: no server may take the request.
	ReasonNoServer
	// ReasonFallback: no router grants, and this one has used up what it may send without a grant.
	ReasonFallback
)

var reasonNames = [...]string{"none", "late", "overtaken", "share", "queue_full", "no_server", "fallback_used_up"}

// String returns the name used in logs and metrics.
func (r Reason) String() string {
	if int(r) >= len(reasonNames) {
		return "unknown"
	}
	return reasonNames[r]
}

// Answer answers a question.
type Answer struct {
	Number uint64
	Kind   Kind
	// Server is the hash of the incarnation that is granted; 0 for other kinds.
	Server uint64
	// Wait is how long the caller of a rejected request should wait; 0 for other kinds.
	Wait   time.Duration
	Reason Reason
}

// End is how the use of a grant ended.
type End uint8

// Ends of a grant.
const (
	// Running: the request is still in progress.
	Running End = iota
	// Served: the server has answered.
	Served
	// Unused: the request was not sent, or nothing is known of the number.
	Unused
	// Refused: the server has stated that it did not run the request.
	Refused
	// Unreachable: no connection could be opened.
	Unreachable
	// Failed: the server gave no valid answer, and may still run the request.
	Failed
	// Abandoned: the router has given the request up, and the server may still run it.
	Abandoned
	// Answered: the server has answered with a failure that may be due to the request.
	Answered
)

// Report tells the granting router what became of a grant.
type Report struct {
	Number uint64
	End    End
	// Took is the time from the sending of the request to the end of the answer.
	Took time.Duration
	// Load is the number of requests at the server as it said in its answer, this one included; 0 when it did not say.
	Load int
}

// Message is what one router tells another about one pool.
type Message struct {
	// Pool is the hash of the pool's name.
	Pool uint64
	// Term is the highest one that the sender knows. Each router that begins to grant takes a higher one, so a router
	// that was frozen meanwhile learns that another one has granted since.
	Term uint64
	// Ping asks whether the receiver grants; any message of it is an answer. Pong is one with nothing else to say.
	Ping, Pong bool
	// First is the router that grants, as far as the sender knows; the sender itself when it says that it has begun to, in
	// place of one that is silent.
	First     netip.Addr
	Questions []Question
	Answers   []Answer
	Reports   []Report
	// Probes ask which of the receiver's requests still run.
	Probes []uint64
}

// Outbox collects what is to be sent, one message for each router.
type Outbox struct {
	pool  uint64
	items []Outgoing
}

// Outgoing is a message with its receiver.
type Outgoing struct {
	To      netip.Addr
	Message *Message
}

// NewOutbox returns an empty outbox of a pool.
func NewOutbox(pool uint64) *Outbox { return &Outbox{pool: pool} }

// Take returns the messages in the order in which they were begun and empties the outbox.
func (o *Outbox) Take() []Outgoing {
	items := o.items
	o.items = nil
	return items
}

// takeOf removes and returns the first message to a router, or nil.
func (o *Outbox) takeOf(addr netip.Addr) *Message {
	for i, item := range o.items {
		if item.To == addr {
			o.items = slices.Delete(o.items, i, i+1)
			return item.Message
		}
	}
	return nil
}

// maxItems bounds the parts of one message, so that it fits a datagram.
const maxItems = 24

// to returns the message to a router that has room for one more part.
func (o *Outbox) to(addr netip.Addr, term uint64) *Message {
	for _, item := range o.items {
		m := item.Message
		if item.To == addr && len(m.Questions)+len(m.Answers)+len(m.Reports)+len(m.Probes) < maxItems {
			m.Term = max(m.Term, term)
			return m
		}
	}
	m := &Message{Pool: o.pool, Term: term}
	o.items = append(o.items, Outgoing{To: addr, Message: m})
	return m
}
