package balance

import "time"

// atHolder predicts when a holder of its prefix would serve a request.
func (p *Pool) atHolder(now time.Time, h *holder, job *Job) expectation {
	return p.expectationAt(now, h.member, job, job.PromptTokens-job.longest().Tokens)
}

// soonerElsewhere reports whether a request would wait too long at the holder of its prefix, and another server
// that has to read the prefix would serve it sooner, with what that adds to the requests there. Reading shared parts
// again is the most expensive result of a placement, so a wait of maxWaitShare of the objective is accepted.
func (p *Pool) soonerElsewhere(now time.Time, usable []*member, h *holder, job *Job) bool {
	if job.Objective <= 0 {
		return false
	}
	x := p.expectations(now, usable, job)
	here := p.atHolder(now, h, job)
	if here.wait <= time.Duration(maxWaitShare*float64(job.Objective)) {
		return false
	}
	// The prefix counts twice: what it displaces there has to be read again as well.
	read := job.PromptTokens + job.longest().Tokens
	for _, m := range usable {
		if m != h.member && x.of(m, read).total() < here.total() {
			return true
		}
	}
	return false
}

// tooLate returns a function that reports whether a prompt would be read so much later at a member than at the best one
// that the member is no home for it. Smaller differences do not change the order of homes, on which all routers agree.
func (p *Pool) tooLate(now time.Time, usable []*member, job *Job) func(*member) bool {
	if !p.reportsSlowdown(now) || job.Objective <= 0 {
		return func(*member) bool { return false }
	}
	x := p.expectations(now, usable, job)
	margin := time.Duration(maxWaitShare * float64(job.Objective))
	// An idle server takes at least this long. Most members are within the margin of it, which spares the comparison with
	// all others.
	idle := time.Duration(min(p.meanSlowdown, 1) * float64(p.speed.duration(job.PromptTokens)+p.speed.firstByte()))
	shortest := time.Duration(-1)
	return func(m *member) bool {
		d := x.of(m, job.PromptTokens).firstByte
		if d <= idle+margin {
			return false
		}
		if shortest < 0 {
			shortest = x.shortest(usable, job.PromptTokens)
		}
		return d > shortest+margin
	}
}

// shortest returns the shortest time to the first byte at members that have a number of tokens to read.
func (x *expectations) shortest(members []*member, read int) time.Duration {
	shortest := maxExpected
	for _, m := range members {
		shortest = min(shortest, x.of(m, read).firstByte)
	}
	return shortest
}
