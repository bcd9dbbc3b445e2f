// Package cost predicts what a request costs its server: the tokens that are read, the output tokens, the memory
// that it holds at its end, and the time in a slot. It learns from the answers that one router sees, by route and
// workspace, and from how far the callers' own estimates are off. It does no I/O and takes the time as an
// argument. A Model is not safe for concurrent use.
package cost

import (
	"math"
	"time"
)

const (
	// defaultOutput is the number of output tokens that is expected before the first answer.
	defaultOutput = 200
	// hintVariance is the variance of the logarithm of the ratio of answers to the callers' estimates before the first answer: the
	// estimates are right at the median and up to four times off.
	hintVariance = 0.5
	// maxClasses bounds the number of pairs of a route and a workspace, and of routes.
	maxClasses = 4096
	// classIdle is how long a class without answers is kept when there are too many.
	classIdle = 5 * time.Minute
	// maxSlotTime bounds a time in a slot, against clocks that stood still.
	maxSlotTime = time.Hour
	// maxTokens bounds numbers of tokens, against faulty headers.
	maxTokens = 1 << 24
)

// Request is what is known of a request before it runs.
type Request struct {
	Route     string
	Workspace string
	// PromptTokens is the size of the whole prompt; MaxOutput and Hint are the bound and the caller's estimate of the
	// output tokens. Each is 0 when it is not stated.
	PromptTokens int
	MaxOutput    int
	Hint         int
	// Stream is set for requests whose answer is a stream of output tokens.
	Stream bool
}

// Prediction is what a request is expected to cost. The zero value is a request of which nothing is known.
type Prediction struct {
	// Read is the number of prompt tokens. What the server has cached of them costs nothing.
	Read int
	// Output is the mean number of output tokens; 0 for answers that are no streams.
	Output float64
	// Memory is the number of tokens that the request holds at its end.
	Memory float64
	// Slot is the time in a slot at the usual speed, without reading the prompt; 0 when it is unknown, at most an hour.
	Slot time.Duration
}

// Answer is what a router has seen of an answer.
type Answer struct {
	// Whole is set when the answer came completely and from one server.
	Whole bool
	// Output is the number of output tokens.
	Output int
	// Slot is the time in a slot at the usual speed, without reading the prompt.
	Slot time.Duration
}

// class holds the averages of similar requests.
type class struct {
	// output, hintError and slot are averages of the logarithms of the output tokens, of their ratio to the caller's
	// estimate, and of the seconds in a slot.
	output, hintError, slot average
	usedAt                  time.Time
}

// key names a class; an empty workspace stands for all.
type key struct{ route, workspace string }

// Model predicts the requests of a pool.
type Model struct {
	all     class
	classes map[key]*class
	// perToken is the average of the logarithm of the seconds that an output token takes.
	perToken average
	accuracy Accuracy
}

// New returns a model without samples. It is not safe for concurrent use.
func New() *Model { return &Model{classes: make(map[key]*class)} }

// Accuracy returns how the predictions compare with the answers.
func (m *Model) Accuracy() Accuracy { return m.accuracy }

// Predict returns what a request is expected to cost.
func (m *Model) Predict(req Request) Prediction {
	p := Prediction{Read: clampTokens(req.PromptTokens)}
	if req.Stream {
		p.Output = m.output(req)
		p.Slot = m.streamTime(p.Output)
	} else if e := m.refined(req, func(c *class) *average { return &c.slot }, estimate{}); e.known {
		p.Slot = duration(e.value())
	}
	p.Memory = float64(p.Read) + p.Output
	return p
}

// refined returns the estimate of an average, refined from that over all requests to that of the route and that of the workspace on
// it. coarse is the estimate without samples.
func (m *Model) refined(req Request, of func(*class) *average, coarse estimate) estimate {
	e := of(&m.all).refine(coarse)
	if c := m.classes[key{req.Route, ""}]; c != nil {
		e = of(c).refine(e)
	}
	if c := m.classes[key{req.Route, req.Workspace}]; c != nil && req.Workspace != "" {
		e = of(c).refine(e)
	}
	return e
}

// output returns the expected number of output tokens: from similar requests and from the caller's estimate, each weighted by
// 1 / variance of how far it was off.
func (m *Model) output(req Request) float64 {
	e := m.refined(req, func(c *class) *average { return &c.output }, estimate{})
	if hint := clampTokens(req.Hint); hint > 0 {
		hinted := m.refined(req, func(c *class) *average { return &c.hintError }, estimate{variance: hintVariance, known: true})
		hinted.mean += math.Log(float64(hint))
		e = combine(e, hinted)
	}
	tokens := float64(defaultOutput)
	if e.known {
		tokens = e.value()
	}
	if limit := clampTokens(req.MaxOutput); limit > 0 {
		tokens = min(tokens, float64(limit))
	}
	return min(tokens, maxTokens)
}

// streamTime returns the time that a number of output tokens takes; 0 before the first answer.
func (m *Model) streamTime(tokens float64) time.Duration {
	if m.perToken.n == 0 {
		return 0
	}
	return duration(tokens * math.Exp(m.perToken.mean))
}

// Observe records the answer to a request for which p was predicted. Answers that broke off say how long they were
// at least, which would make the average shorter than it is, and are left out.
func (m *Model) Observe(now time.Time, req Request, p Prediction, a Answer) {
	if !a.Whole || a.Slot <= 0 || a.Slot > maxSlotTime || a.Output < 0 || a.Output > maxTokens || req.Stream && a.Output == 0 {
		return
	}
	m.accuracy.record(req, p, a)
	classes := [...]*class{&m.all, m.class(now, key{req.Route, ""}), m.class(now, key{req.Route, req.Workspace})}
	for i, c := range classes {
		if i > 0 && c == classes[i-1] {
			continue
		}
		c.observe(req, a)
	}
	if req.Stream {
		m.perToken.add(math.Log(a.Slot.Seconds() / float64(a.Output)))
	}
}

func (c *class) observe(req Request, a Answer) {
	if !req.Stream {
		c.slot.add(math.Log(a.Slot.Seconds()))
		return
	}
	seen := math.Log(float64(a.Output))
	c.output.add(seen)
	// An answer that ended at its bound says nothing about the estimate beyond it.
	if hint := clampTokens(req.Hint); hint > 0 && (req.MaxOutput <= 0 || a.Output < req.MaxOutput || hint <= req.MaxOutput) {
		c.hintError.add(seen - math.Log(float64(hint)))
	}
}

// class returns the class of a key, and adds it if it is missing.
func (m *Model) class(now time.Time, k key) *class {
	c := m.classes[k]
	if c == nil {
		if len(m.classes) >= maxClasses {
			m.evict(now)
		}
		c = &class{}
		m.classes[k] = c
	}
	c.usedAt = now
	return c
}

// evict removes the classes that got no answer lately, or all if none can be removed: the coarser averages remain.
func (m *Model) evict(now time.Time) {
	for k, c := range m.classes {
		if now.Sub(c.usedAt) > classIdle {
			delete(m.classes, k)
		}
	}
	if len(m.classes) >= maxClasses {
		clear(m.classes)
	}
}

// clampTokens limits a number of tokens to 0 to maxTokens.
func clampTokens(n int) int { return min(max(n, 0), maxTokens) }

// duration converts seconds, at most maxSlotTime.
func duration(seconds float64) time.Duration {
	return min(time.Duration(min(seconds, maxSlotTime.Seconds())*float64(time.Second)), maxSlotTime)
}
