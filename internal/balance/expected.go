package balance

import (
	"time"
)

const (
	// unknownSlot is the time in a slot that is assumed before the first answer. Only its relation to other
	// times of the same server matters then.
	unknownSlot = 50 * time.Millisecond
	// crowdingShare is the part of a request's own time that a server with a request for each slot is expected to add.
	// Reported loads are some tenths of a second old, so a server that looks nearly full may be full already.
	crowdingShare = 2
	// addedShare is the weight of the time that a request adds to the others at its server, beside its own. A stream
	// that runs shows a pause of some ten milliseconds as a slower event; the objective is about the first one.
	addedShare = 0.05
	// nearEqual is the difference, as a share of the shortest expected time, within which servers count as equal. A
	// wider margin lets requests to a full pool pile up at some servers.
	nearEqual = 0.004
)

// expectation says when a request would have its first byte at a server, and what it would add there.
type expectation struct {
	// firstByte is the time until then. For plain servers that is the whole answer.
	firstByte time.Duration
	// wait is the part of it before the server works on the request.
	wait time.Duration
	// added is the sum of the delays of the requests that run there.
	added time.Duration
}

// total is what servers are compared by.
func (e expectation) total() time.Duration {
	return e.firstByte + time.Duration(addedShare*float64(e.added))
}

// expectations predicts when a request would be served by each of several members. What is the same for all of them is
// computed once.
type expectations struct {
	pool *Pool
	now  time.Time
	job  *Job
	// reported is set when the servers of the pool say how long work takes.
	reported bool
	// others is the mean number of other routers' requests, othersAge the age at which a report of them says nothing.
	others    float64
	othersAge time.Duration
	// own is the time in a slot of the request.
	own time.Duration
}

func (p *Pool) expectations(now time.Time, members []*member, job *Job) expectations {
	return expectations{
		pool: p, now: now, job: job, reported: p.reportsSlowdown(now), others: meanOthers(now, members),
		othersAge: min(max(p.means.slot, minOthersAge), maxOnlyReportAge), own: p.slotTime(job),
	}
}

// of returns the prediction for a member that has a number of tokens to read.
//
//	firstByte = wait + (1 + crowdingShare * load / slots) * slowdown * (reading + own)
//	wait      = slotWait + slowdown * reading of earlier prompts
//	added     = load * slowdown * reading, for engines
//
// own is the time in a slot, or the time to the first byte after the reading for engines.
func (x *expectations) of(m *member, read int) expectation {
	p, slowdown, others := x.pool, 1.0, x.othersAt(m)
	if x.reported {
		slowdown = m.slowdowns.expected(x.now, p.meanSlowdown)
	}
	load := float64(m.own) + others
	scale := func(d time.Duration) time.Duration { return time.Duration(slowdown * float64(d)) }
	reading, own := scale(p.speed.duration(read)), x.own
	var e expectation
	e.wait = p.slotWait(x.now, m, load, others, slowdown) + scale(m.wait(x.now))
	if m.server.Engine {
		own = p.speed.firstByte()
		e.added = time.Duration(load * float64(reading))
	}
	crowding := 1 + crowdingShare*load/float64(max(m.server.Slots, 1))
	e.firstByte = e.wait + time.Duration(crowding*float64(reading+scale(own)))
	return e
}

// expectationAt returns the prediction for one member.
func (p *Pool) expectationAt(now time.Time, m *member, job *Job, read int) expectation {
	x := p.expectations(now, []*member{m}, job)
	return x.of(m, read)
}

// slotTime returns the time that a request is expected to spend in a slot, at the usual speed.
func (p *Pool) slotTime(job *Job) time.Duration {
	switch {
	case job.Cost.Slot > 0:
		return job.Cost.Slot
	case p.means.slot > 0:
		return p.means.slot
	}
	return unknownSlot
}

// slotWait returns how long a request waits for a slot: as many requests as exceed the slots have to end before, each after the
// mean of what the requests there have left.
//
//	(load - slots + 1) / slots * left / load
//
// left is the time that this router's requests still take, and the mean time in a slot for each of the others.
func (p *Pool) slotWait(now time.Time, m *member, load, others, slowdown float64) time.Duration {
	slots := float64(m.server.Slots)
	if slots <= 0 || load < slots || load <= 0 {
		return 0
	}
	left := float64(m.work.left(now)) + (others+float64(m.own-len(m.work.runs)))*slowdown*float64(max(p.means.slot, 0))
	return time.Duration((load - slots + 1) / slots * left / load)
}

// othersAt returns the number of other routers' requests at a member, as last reported by it or by them. As the
// report ages, it decays to the mean of the pool.
func (x *expectations) othersAt(m *member) float64 {
	others := x.others
	if !m.peerReportAt.IsZero() {
		age := x.pool.peersAge + x.now.Sub(m.peerReportAt)
		others += freshness(age, x.othersAge) * (float64(m.peersReported) - others)
	}
	if !m.serverReportAt.IsZero() {
		others += freshness(x.now.Sub(m.serverReportAt), x.othersAge) * (float64(m.serverReported) - others)
	}
	return others
}

// minOthersAge is the age at which a report of short requests says nothing of the difference between servers: those
// that it counts have ended. Longer ones count for as long as they take.
const minOthersAge = 300 * time.Millisecond

// meanOthers returns the mean number of other routers' requests at members.
func meanOthers(now time.Time, members []*member) float64 {
	sum := 0
	for _, m := range members {
		sum += m.others(now)
	}
	return float64(sum) / float64(max(len(members), 1))
}

// withinNearEqual returns the longest time that counts as equal to the shortest one.
func withinNearEqual(best time.Duration) time.Duration {
	return best + time.Duration(nearEqual*float64(best))
}

// maxExpected stands for a server that has its full share of the pool's load.
const maxExpected = time.Hour

// soonest returns a member below the bound that is expected to serve a request within nearEqual of the shortest time.
// Routers that know the same do not all choose the same one. Those of the data centre are preferred.
func (p *Pool) soonest(now time.Time, usable []*member, mean float64, job *Job, read int) *member {
	x := p.expectations(now, usable, job)
	p.totals = p.totals[:0]
	best := maxExpected
	bound := p.bound(mean)
	for _, m := range usable {
		total := x.of(m, read).total()
		if total <= withinNearEqual(best) && m.load(now) >= bound {
			total = maxExpected
		}
		p.totals = append(p.totals, total)
		best = min(best, total)
	}
	limit := withinNearEqual(best)
	var chosen *member
	start := int(job.Random % uint64(len(usable)))
	for i := range usable {
		n := (start + i) % len(usable)
		if p.totals[n] > limit {
			continue
		}
		if usable[n].server.DataCentre == job.DataCentre {
			return usable[n]
		}
		if chosen == nil {
			chosen = usable[n]
		}
	}
	return chosen
}
