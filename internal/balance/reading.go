package balance

import "time"

const (
	// defaultReadingSpeed is the assumed speed, in prompt tokens per millisecond,
	// until answers show that of the pool's engines.
	defaultReadingSpeed = 50.0
	// minSpeedTokens is the size of a prompt whose reading takes most of the time
	// to the first byte, so that this time shows the speed.
	minSpeedTokens = 2000
	// maxBaseTokens is the size of a prompt whose reading takes little of that time.
	maxBaseTokens = 500
	// speedSmoothing and baseSmoothing are the weights of a new observation.
	speedSmoothing = 0.2
	baseSmoothing  = 0.1
)

// readingSpeed estimates how fast the engines of a pool read prompts from the
// times to the first byte.
type readingSpeed struct {
	// tokensPerMs is 0 before the first observation.
	tokensPerMs float64
	// baseMs is the time to the first byte of a short prompt.
	baseMs float64
}

// observe records the time to the first byte of a prompt of which so many tokens
// had to be read at an engine that was reading no other prompt.
func (s *readingSpeed) observe(tokens int, firstByte time.Duration) {
	ms := float64(firstByte) / float64(time.Millisecond)
	switch {
	case tokens <= maxBaseTokens:
		s.baseMs = smooth(s.baseMs, ms, baseSmoothing)
	case tokens >= minSpeedTokens:
		s.tokensPerMs = smooth(s.tokensPerMs, float64(tokens)/max(ms-s.baseMs, 1), speedSmoothing)
	}
}

func smooth(old, observed, weight float64) float64 {
	if old == 0 {
		return observed
	}
	return old + weight*(observed-old)
}

// duration returns how long an engine reads a number of tokens.
func (s *readingSpeed) duration(tokens int) time.Duration {
	speed := s.tokensPerMs
	if speed == 0 {
		speed = defaultReadingSpeed
	}
	return time.Duration(float64(tokens) / speed * float64(time.Millisecond))
}

// firstByte returns the time to the first byte of a prompt without tokens.
func (s *readingSpeed) firstByte() time.Duration {
	return time.Duration(s.baseMs * float64(time.Millisecond))
}

// wait returns how long a server is expected to read the prompts that it has
// received.
func (m *member) wait(now time.Time) time.Duration { return max(m.readUntil.Sub(now), 0) }

// addReading adds a prompt to those that a server reads, and returns when that is
// expected to be done.
func (m *member) addReading(now time.Time, d time.Duration) time.Time {
	if m.readUntil.Before(now) {
		m.readUntil = now
	}
	m.readUntil = m.readUntil.Add(d)
	return m.readUntil
}
