package balance

import (
	"slices"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/overload"
)

// takers returns the admitted members that are not ejected or, when all of them are, the ejected
// ones: trying one is better than refusing every request. Placement and admission agree
// on them, so that no request waits without a bound at servers which count as unknown.
func (p *Pool) takers(now time.Time, admits func(*member) bool) []*member {
	available := make([]*member, 0, len(p.members))
	var ejected []*member
	for _, m := range p.members {
		if m.outOfService() || !admits(m) {
			continue
		}
		if m.health.ejected(now, m.own) {
			ejected = append(ejected, m)
			continue
		}
		available = append(available, m)
	}
	if len(available) == 0 {
		return ejected
	}
	return available
}

// usable returns the members that can take a request.
func (p *Pool) usable(now time.Time, job *Job) []*member {
	list := p.takers(now, func(m *member) bool { return p.admits(now, m, job) })
	if job.RunsOnce {
		list = p.withoutAvoided(now, withoutProbation(now, list))
	}
	return list
}

// admits reports whether a job may go to a member that takes requests.
func (p *Pool) admits(now time.Time, m *member, job *Job) bool {
	if len(job.Exclude) > 0 && slices.Contains(job.Exclude, m.server.Key()) {
		return false
	}
	if job.Granted != 0 && m.hash != job.Granted {
		return false
	}
	return (job.Version == 0 || m.version == job.Version) && m.isIn(job.AllowedRegions) && !p.withheld(now, m)
}

// withoutProbation drops the members that have failed lately, unless that would leave less than two thirds of them:
// a request that may run only once is lost with its server, others go on at another one. The requests that may be
// repeated show whether the server works again.
func withoutProbation(now time.Time, list []*member) []*member {
	onProbation := func(m *member) bool { return m.health.onProbation(now) }
	n := 0
	for _, m := range list {
		if onProbation(m) {
			n++
		}
	}
	if n == 0 || 3*n > len(list) {
		return list
	}
	return slices.DeleteFunc(list, onProbation)
}

// HasUsable reports whether a member can take a request.
func (p *Pool) HasUsable(now time.Time, job Job) bool { return len(p.usable(now, &job)) > 0 }

// manyUnreachable is the number of servers that a request may fail to reach before it goes to one that
// is known to answer. After the end of a rack most first choices may be down while their entries
// last, and the pauses of all end together.
const manyUnreachable = 2

// lastHeard returns the member below the bound that sent data last, for a request that could not
// reach several servers; nil for other requests, or when none has been heard.
func (p *Pool) lastHeard(now time.Time, usable []*member, mean float64, job *Job) *member {
	if job.Unreachable < manyUnreachable {
		return nil
	}
	bound := p.bound(mean)
	var last *member
	for _, m := range usable {
		if m.health.heardAt.IsZero() || m.load(now) >= bound {
			continue
		}
		if last == nil || m.health.heardAt.After(last.health.heardAt) {
			last = m
		}
	}
	return last
}

// Load returns the load of the servers that take new requests, only of those in the regions when there are any. Its
// Slots are 0 when one of these servers does not report its own.
func (p *Pool) Load(now time.Time, regions ...string) overload.Load {
	var load overload.Load
	// A server that names a limit, is cold or refuses requests takes less than its slots suggest.
	takers := p.takers(now, func(m *member) bool { return m.isIn(regions) && !p.restricted(now, m) && !m.refuses(now) })
	for _, m := range takers {
		if m.server.Slots <= 0 {
			return overload.Load{}
		}
		others, ownAtReport := m.latestReport(now)
		load.Own += m.own
		load.Others += float64(others)
		load.OwnAtReport += ownAtReport
		load.Slots += p.slotsByMemory(now, m)
	}
	return load
}

// mean returns the lowest of the mean loads of all servers, of those that stay, and of those that stay and are not evacuated.
// Servers that leave or are evacuated still finish their requests and would raise the bound of the others or, when few remain,
// hide how uneven the load is; once they have none, the bound follows the mean of all. Servers that name a limit do not
// count while others don't: the others take their requests.
func (p *Pool) mean(now time.Time) float64 {
	withoutLimited := p.hasUnlimited(now)
	var all, staying, inService loadMean
	for _, m := range p.members {
		if withoutLimited && m.limit.Active() {
			continue
		}
		load := m.load(now)
		all.add(load)
		if !m.server.Leaving {
			staying.add(load)
		}
		if !m.outOfService() {
			inService.add(load)
		}
	}
	return min(all.value(), staying.value(), inService.value())
}

// loadMean adds up the loads of servers.
type loadMean struct {
	sum float64
	n   int
}

func (l *loadMean) add(load float64) {
	l.sum += load
	l.n++
}

func (l *loadMean) value() float64 { return l.sum / float64(max(l.n, 1)) }

// leastLoaded returns the least loaded member; ties are broken by the job's random
// number.
func (p *Pool) leastLoaded(now time.Time, usable []*member, mean float64, job *Job) *member {
	if p.reportsSlowdown(now) {
		return p.soonest(now, usable, mean, job, job.PromptTokens)
	}
	start := int(job.Random % uint64(len(usable)))
	best := usable[start]
	for i := 1; i < len(usable); i++ {
		m := usable[(start+i)%len(usable)]
		if p.lessLoaded(now, m, best, job.DataCentre) {
			best = m
		}
	}
	return best
}

// lessLoaded compares by load per slot, then prefers the data centre.
func (p *Pool) lessLoaded(now time.Time, a, b *member, dataCentre string) bool {
	x, y := p.loadPerSlot(now, a), p.loadPerSlot(now, b)
	if x != y {
		return x < y
	}
	return a.server.DataCentre == dataCentre && b.server.DataCentre != dataCentre
}

// choose returns the choice of a member that has to read a number of tokens.
func (p *Pool) choose(now time.Time, m, source *member, mean float64, reason Reason, read int, job *Job) Choice {
	c := Choice{
		Server: m.server, Reason: reason, Load: m.load(now), Mean: mean, ReportAge: -1,
		ReadTokens: read, Wait: m.wait(now), Cold: p.isCold(now, m),
	}
	if source != nil {
		c.Source = source.server
	}
	if p.reportsSlowdown(now) {
		c.Expected = p.expectationAt(now, m, job, read).firstByte
		c.Slowdown = p.slowdown(now, m)
	}
	if !m.serverReportAt.IsZero() {
		c.ReportAge = now.Sub(m.serverReportAt)
	}
	return c
}
