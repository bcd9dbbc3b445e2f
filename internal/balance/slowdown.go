package balance

import "time"

const (
	// slowPhase is how long servers stay slow at a time. A phase that was seen at a random moment lasts for a time
	// between 0 and slowPhase, so what a figure says of now falls linearly with its age.
	slowPhase = 600 * time.Millisecond
	// usualMemory is how long a server's usual figure counts after its last report.
	usualMemory = 30 * time.Second
	// usualWeight is the weight of a figure in the usual one of its server, poolFigureWeight that in the pool's.
	usualWeight      = 1.0 / 16
	poolFigureWeight = 1.0 / 64
	// priorFigures is the number of figures that the mean of the pool counts as for a server that has given few.
	priorFigures = 3
	// figuresMemory is how long a pool counts as one whose servers tell how long work takes.
	figuresMemory = 10 * time.Second
)

// slowness is what a server has said of how long work takes there, as a multiple of the usual time.
type slowness struct {
	last  float64
	at    time.Time
	usual float64
	n     int
}

func (s *slowness) record(now time.Time, figure, poolMean float64) {
	if s.n == 0 {
		s.usual = poolMean
	}
	s.n++
	s.usual += max(1/float64(s.n+priorFigures), usualWeight) * (figure - s.usual)
	s.last, s.at = figure, now
}

// expected returns how many times the usual time work takes now: the last figure, which decays to the server's
// usual one, and that to the mean of the pool.
func (s *slowness) expected(now time.Time, poolMean float64) float64 {
	age := now.Sub(s.at)
	if s.n == 0 || age >= usualMemory {
		return poolMean
	}
	usual := poolMean + freshness(age, usualMemory)*(s.usual-poolMean)
	return usual + freshness(age, slowPhase)*(s.last-usual)
}

// freshness returns 1 for what was heard just now, falling to 0 at the age of limit.
func freshness(age, limit time.Duration) float64 {
	return min(max(1-float64(age)/float64(limit), 0), 1)
}

// recordFigure records how many times the usual time work takes at a server, 0 for one that does not say.
func (p *Pool) recordFigure(now time.Time, m *member, figure float64) {
	if !(figure > 0) {
		return
	}
	if p.figureAt.IsZero() {
		p.figure = figure
	}
	p.figureAt = now
	p.figure += poolFigureWeight * (figure - p.figure)
	m.slowness.record(now, figure, p.figure)
}

// timed reports whether servers of the pool tell how long work takes there. Requests are then placed by expected
// times, else by counts.
func (p *Pool) timed(now time.Time) bool {
	return !p.figureAt.IsZero() && now.Sub(p.figureAt) < figuresMemory
}

// slowdown returns how many times the usual time work takes at a member; 1 for a pool that does not say.
func (p *Pool) slowdown(now time.Time, m *member) float64 {
	if !p.timed(now) {
		return 1
	}
	return m.slowness.expected(now, p.figure)
}

// atUsualSpeed returns the time that something took at a server where work takes slowdown times the usual time;
// slowdown is 0 when it is unknown; d is then returned unchanged.
func atUsualSpeed(d time.Duration, slowdown float64) time.Duration {
	if slowdown <= 0 {
		return d
	}
	return time.Duration(float64(d) / slowdown)
}
