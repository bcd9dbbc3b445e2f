package digest

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/bluebellwell/bluebellwell/internal/placement"
	"github.com/bluebellwell/bluebellwell/internal/slotgrant"
)

// Questions and answers about the slots of scarce pools are datagrams of their own, sent at once. Each has the sender's ID,
// as every digest, and one field. They are decoded without the rest of a digest: a router that grants gets several hundred a
// second.

const (
	// grantCandidates is the number of routers that may grant the slots of a pool: the first one, and those that take
	// its place. If 60% of the routers end at once, all eight have ended with a probability of 2%.
	grantCandidates = 8
	// candidatesInterval is how long the order of the routers is kept. Each question needs it.
	candidatesInterval = loadInterval
	// maxGrantItems bounds the parts of a datagram of each kind, maxExcluded the servers that a question excludes, against
	// faulty senders.
	maxGrantItems = 64
	maxExcluded   = 16
	// maxGrantTime bounds the times in such a datagram, maxGrantLoad the load, and maxTerm the term, which grows by one each time
	// that a router begins to grant.
	maxGrantTime = time.Hour
	maxGrantLoad = 1 << 20
	maxTerm      = 1 << 48
)

// Field numbers of a message about grants.
const (
	grantPool     = 1
	grantTerm     = 2
	grantPing     = 3
	grantPong     = 4
	grantFirst    = 5
	grantQuestion = 6
	grantAnswer   = 7
	grantReport   = 8
	grantProbe    = 9
)

// Field numbers of a question, an answer and a report. Times are in microseconds.
const (
	itemNumber = 1

	questionPriority  = 2
	questionObjective = 3
	questionDeadline  = 4
	questionWorkspace = 5
	// questionExclude may be repeated.
	questionExclude = 6

	answerKind   = 2
	answerServer = 3
	answerWait   = 4
	answerReason = 5

	reportEnd  = 2
	reportTook = 3
	reportLoad = 4
)

// GrantHandler handles what another router says about the slots of a pool.
type GrantHandler func(from netip.Addr, m *slotgrant.Message)

// OnGrants sets the handler of messages about the slots of pools. Call it before Receive.
func (e *Exchange) OnGrants(h GrantHandler) { e.onGrants = h }

// SendGrants sends a router a message about the slots of a pool.
func (e *Exchange) SendGrants(to netip.Addr, m *slotgrant.Message) {
	b := make([]byte, 0, 128)
	b = appendFixed(b, fieldSender, e.sender)
	b = appendInner(b, fieldGrants, appendGrants(make([]byte, 0, 96), m))
	e.sent.Add(1)
	// A question without an answer is sent again.
	_, _ = e.conn.WriteToUDPAddrPort(b, netip.AddrPortFrom(to, e.port))
}

// Self returns the address of this router.
func (e *Exchange) Self() netip.Addr { return e.peers.self }

// candidates is the order of the routers that may grant the slots of a pool, as of a time.
type candidates struct {
	list []netip.Addr
	at   time.Time
}

// GrantCandidates returns the routers that may grant the slots of a pool, the first one first, and the number of live routers,
// this one included. The list must not be changed.
func (e *Exchange) GrantCandidates(now time.Time, pool uint64) (list []netip.Addr, routers int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c, ok := e.grantOrder[pool]; ok && now.Sub(c.at) < candidatesInterval {
		return c.list, e.liveRouters
	}
	live := e.peers.Live(now)
	ranked := make([]grantPeer, 0, len(live)+1)
	for _, p := range live {
		if p.level >= levelGrants && !p.notGranting {
			ranked = append(ranked, grantPeer{rankedPeer: rankedPeer{addr: p.Addr, hash: p.hash}, processor: p.processor})
		}
	}
	if !e.notGranting || len(ranked) == 0 {
		own := rankedPeer{addr: e.peers.self, hash: addrHash(e.peers.self)}
		ranked = append(ranked, grantPeer{rankedPeer: own, processor: e.processor.Load()})
	}
	rankGranters(ranked, pool)
	for _, p := range ranked[:min(grantCandidates, len(ranked))] {
		list = append(list, p.addr)
	}
	e.grantOrder[pool], e.liveRouters = candidates{list: list, at: now}, len(live)+1
	return list, e.liveRouters
}

// grantPeer is a router that may grant, with the processor time that it may use.
type grantPeer struct {
	rankedPeer
	// processor is in thousandths of a core, and strong is set from strongShare of the largest one on.
	processor int64
	strong    bool
}

// strongShare is the share of the largest processor time from which a router is among the first that grant: a router with
// little of it answers some hundred questions a second late.
const strongShare = 0.5

// rankGranters orders the routers that may grant the slots of a pool: those with much processor time first, and among these by
// rendezvous hashing.
func rankGranters(list []grantPeer, pool uint64) {
	most := int64(0)
	for _, p := range list {
		most = max(most, p.processor)
	}
	for i := range list {
		p := &list[i]
		p.rank = placement.Mix(pool, p.hash)
		p.strong = float64(p.processor) >= strongShare*float64(most)
	}
	slices.SortFunc(list, func(a, b grantPeer) int {
		switch {
		case a.strong == b.strong:
			return cmp.Or(cmp.Compare(b.rank, a.rank), a.addr.Compare(b.addr))
		case a.strong:
			return -1
		}
		return 1
	})
}

// SetProcessor sets the processor time that this router may use, in thousandths of a core.
func (e *Exchange) SetProcessor(thousandths int64) { e.processor.Store(thousandths) }

// DisableGranting keeps this router from being one that grants. Call it before Send.
func (e *Exchange) DisableGranting() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.notGranting = true
}

// StopGranting tells the others that this router grants no more: it stops.
func (e *Exchange) StopGranting() {
	e.mu.Lock()
	e.notGranting = true
	clear(e.grantOrder)
	e.mu.Unlock()
	e.sendTo(e.targets(), e.newMessage())
}

// grantsPrefix is the length of the sender in a datagram about grants.
const grantsPrefix = 9

// decodeGrantsDatagram decodes a datagram about grants; ok is false for other ones.
func decodeGrantsDatagram(b []byte) (m *slotgrant.Message, ok bool) {
	if len(b) < grantsPrefix || b[0] != fieldSender<<3|byte(protowire.Fixed64Type) {
		return nil, false
	}
	field, kind, n := protowire.ConsumeTag(b[grantsPrefix:])
	if n < 0 || field != fieldGrants || kind != protowire.BytesType {
		return nil, false
	}
	inner, n := protowire.ConsumeBytes(b[grantsPrefix+n:])
	if n < 0 {
		return nil, false
	}
	m = &slotgrant.Message{}
	if err := eachField(inner, func(field protowire.Number, v uint64, inner []byte) error {
		return decodeGrantField(m, field, v, inner)
	}); err != nil {
		return nil, false
	}
	return m, true
}

func decodeGrantField(m *slotgrant.Message, field protowire.Number, v uint64, inner []byte) (err error) {
	if max(len(m.Questions), len(m.Answers), len(m.Reports), len(m.Probes)) >= maxGrantItems {
		return errMalformed
	}
	if field == grantTerm && v > maxTerm {
		return errMalformed
	}
	switch field {
	case grantPool:
		m.Pool = v
	case grantTerm:
		m.Term = v
	case grantPing:
		m.Ping = v != 0
	case grantPong:
		m.Pong = v != 0
	case grantFirst:
		m.First, _ = netip.AddrFromSlice(inner)
	case grantProbe:
		m.Probes = append(m.Probes, v)
	case grantQuestion:
		var q slotgrant.Question
		q, err = decodeQuestion(inner)
		m.Questions = append(m.Questions, q)
	case grantAnswer:
		var a slotgrant.Answer
		a, err = decodeAnswer(inner)
		m.Answers = append(m.Answers, a)
	case grantReport:
		var r slotgrant.Report
		r, err = decodeReport(inner)
		m.Reports = append(m.Reports, r)
	}
	return err
}

func appendGrants(b []byte, m *slotgrant.Message) []byte {
	b = appendFixed(b, grantPool, m.Pool)
	b = appendNumber(b, grantTerm, m.Term)
	b = appendBool(b, grantPing, m.Ping)
	b = appendBool(b, grantPong, m.Pong)
	if m.First.IsValid() {
		b = protowire.AppendTag(b, grantFirst, protowire.BytesType)
		b = protowire.AppendBytes(b, m.First.AsSlice())
	}
	var buffer [64]byte
	for i := range m.Questions {
		b = appendInner(b, grantQuestion, appendQuestion(buffer[:0], &m.Questions[i]))
	}
	for _, a := range m.Answers {
		inner := appendFixed(buffer[:0], itemNumber, a.Number)
		inner = appendNumber(inner, answerKind, uint64(a.Kind))
		if a.Server != 0 {
			inner = appendFixed(inner, answerServer, a.Server)
		}
		inner = appendGrantTime(inner, answerWait, a.Wait)
		inner = appendNumber(inner, answerReason, uint64(a.Reason))
		b = appendInner(b, grantAnswer, inner)
	}
	for _, r := range m.Reports {
		inner := appendFixed(buffer[:0], itemNumber, r.Number)
		inner = appendNumber(inner, reportEnd, uint64(r.End))
		inner = appendGrantTime(inner, reportTook, r.Took)
		inner = appendNumber(inner, reportLoad, uint64(max(r.Load, 0)))
		b = appendInner(b, grantReport, inner)
	}
	for _, number := range m.Probes {
		b = appendFixed(b, grantProbe, number)
	}
	return b
}

func appendQuestion(b []byte, q *slotgrant.Question) []byte {
	b = appendFixed(b, itemNumber, q.Number)
	b = appendNumber(b, questionPriority, uint64(max(q.Priority, 0)))
	b = appendGrantTime(b, questionObjective, q.Objective)
	b = appendGrantTime(b, questionDeadline, q.Deadline)
	b = appendNumber(b, questionWorkspace, uint64(q.Workspace))
	for _, s := range q.Exclude[:min(maxExcluded, len(q.Exclude))] {
		b = appendFixed(b, questionExclude, s)
	}
	return b
}

// appendNumber encodes a number that is left out when it is 0.
func appendNumber(b []byte, field protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return appendVarint(b, field, v)
}

func appendGrantTime(b []byte, field protowire.Number, d time.Duration) []byte {
	return appendNumber(b, field, uint64(max(d.Microseconds(), 0)))
}

// grantTime returns a time of a datagram about grants.
func grantTime(us uint64) time.Duration {
	return time.Duration(min(us, uint64(maxGrantTime.Microseconds()))) * time.Microsecond
}

func decodeQuestion(b []byte) (q slotgrant.Question, err error) {
	err = eachField(b, func(field protowire.Number, v uint64, _ []byte) error {
		switch field {
		case itemNumber:
			q.Number = v
		case questionPriority:
			q.Priority = int(min(v, maxGrantLoad))
		case questionObjective:
			q.Objective = grantTime(v)
		case questionDeadline:
			q.Deadline = grantTime(v)
		case questionWorkspace:
			q.Workspace = uint32(v)
		case questionExclude:
			if len(q.Exclude) >= maxExcluded {
				return errMalformed
			}
			q.Exclude = append(q.Exclude, v)
		}
		return nil
	})
	return q, err
}

func decodeAnswer(b []byte) (a slotgrant.Answer, err error) {
	err = eachField(b, func(field protowire.Number, v uint64, _ []byte) error {
		switch field {
		case itemNumber:
			a.Number = v
		case answerKind:
			a.Kind = slotgrant.Kind(min(v, 255))
		case answerServer:
			a.Server = v
		case answerWait:
			a.Wait = grantTime(v)
		case answerReason:
			a.Reason = slotgrant.Reason(min(v, 255))
		}
		return nil
	})
	return a, err
}

func decodeReport(b []byte) (r slotgrant.Report, err error) {
	err = eachField(b, func(field protowire.Number, v uint64, _ []byte) error {
		switch field {
		case itemNumber:
			r.Number = v
		case reportEnd:
			r.End = slotgrant.End(min(v, 255))
		case reportTook:
			r.Took = grantTime(v)
		case reportLoad:
			r.Load = int(min(v, maxGrantLoad))
		}
		return nil
	})
	return r, err
}
