package balance

import "time"

const (
	// slowPhase is how long servers stay slow at a time. A phase that was seen at a random moment lasts for a time
	// between 0 and slowPhase, so the weight of a report falls linearly with its age.
	slowPhase = 600 * time.Millisecond
	// usualMemory is how long a server's usual slowdown counts after its last report.
	usualMemory = 30 * time.Second
	// usualWeight is the weight of a report in the usual slowdown of its server, and poolWeight that in the pool's mean.
	usualWeight = 1.0 / 16
	poolWeight  = 1.0 / 64
	// priorReports is the number of reports that the mean of the pool counts as for a server that has given few.
	priorReports = 3
	// slowdownMemory is how long after the last report a pool counts as one whose servers report slowdowns.
	slowdownMemory = 10 * time.Second
)

// slowdownHistory has the slowdowns that a server has reported: how long work takes there, as a multiple of the usual time. The zero
// value has none.
type slowdownHistory struct {
	// last is the last report, at at; usual is the moving average of the n reports.
	last  float64
	at    time.Time
	usual float64
	n     int
}

func (s *slowdownHistory) record(now time.Time, slowdown, poolMean float64) {
	if s.n == 0 {
		s.usual = poolMean
	}
	s.n++
	s.usual += max(1/float64(s.n+priorReports), usualWeight) * (slowdown - s.usual)
	s.last, s.at = slowdown, now
}

// expected returns how many times the usual time work takes now: the last report, which decays to the server's usual slowdown, and
// that to the mean of the pool.
//
//	usual + freshness(age, slowPhase) * (last report - usual)
//	usual = poolMean + freshness(age, usualMemory) * (usual of the server - poolMean)
func (s *slowdownHistory) expected(now time.Time, poolMean float64) float64 {
	age := now.Sub(s.at)
	if s.n == 0 || age >= usualMemory {
		return poolMean
	}
	usual := poolMean + freshness(age, usualMemory)*(s.usual-poolMean)
	return usual + freshness(age, slowPhase)*(s.last-usual)
}

// freshness returns the weight of a report: 1 when it has just arrived, falling linearly to 0 at the age of limit.
func freshness(age, limit time.Duration) float64 {
	return min(max(1-float64(age)/float64(limit), 0), 1)
}

// recordSlowdown records how many times the usual time work takes at a server; 0 and NaN mean that it does not say.
func (p *Pool) recordSlowdown(now time.Time, m *member, slowdown float64) {
	if !(slowdown > 0) {
		return
	}
	if p.slowdownAt.IsZero() {
		p.meanSlowdown = slowdown
	}
	p.slowdownAt = now
	p.meanSlowdown += poolWeight * (slowdown - p.meanSlowdown)
	m.slowdowns.record(now, slowdown, p.meanSlowdown)
}

// reportsSlowdown reports whether servers of the pool say how long work takes there. Requests are then placed by expected
// times, else by counts.
func (p *Pool) reportsSlowdown(now time.Time) bool {
	return !p.slowdownAt.IsZero() && now.Sub(p.slowdownAt) < slowdownMemory
}

// slowdown returns how many times the usual time work takes at a member; 1 for a pool that does not say.
func (p *Pool) slowdown(now time.Time, m *member) float64 {
	if !p.reportsSlowdown(now) {
		return 1
	}
	return m.slowdowns.expected(now, p.meanSlowdown)
}

// atUsualSpeed returns the time that something took at a server where work takes slowdown times the usual time;
// slowdown is 0 when it is unknown; d is then returned unchanged.
func atUsualSpeed(d time.Duration, slowdown float64) time.Duration {
	if slowdown <= 0 {
		return d
	}
	return time.Duration(float64(d) / slowdown)
}
