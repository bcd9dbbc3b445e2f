package streambackup

import "time"

const (
	// lostRun is what a stream is worth that ends for its caller, in seconds of an engine, in addition to the work that
	// was done for it. The caller has to begin anew, and reads a part of the answer twice.
	lostRun = 3.0
	// takeoverTokens is what an engine reads again at a takeover, since copies arrive a few times a second.
	takeoverTokens = 10
	// remoteFactor is how many times longer a copy between data centres takes, and remotePrice what a gigabyte (1e9 bytes)
	// between them costs, in seconds of an engine.
	remoteFactor = 2.0
	remotePrice  = 0.1
	// defaultTokenTime is the assumed time for a token of the answer, and defaultOutput the number of tokens, until
	// answers show those of the pool. smoothing is the weight of a new answer.
	defaultTokenTime = 20 * time.Millisecond
	defaultOutput    = 200.0
	smoothing        = 0.05
	// maxOutputShare is the share of its bound that an answer is expected to reach.
	maxOutputShare = 0.5
	// negligibleRisk is the probability of an end below which no target is searched for.
	negligibleRisk = 1e-3
)

// Pool is what the configuration says of the engines of a pool. A number is 0 when it is unknown.
type Pool struct {
	// KVTokens is the number of tokens that fit the memory of an engine, and KVTokenBytes the size of one in bytes.
	KVTokens     int
	KVTokenBytes int
	// LinkMbps is the rate of copies, in megabits per second.
	LinkMbps float64
	// Slots is the number of slots of an engine.
	Slots int
}

// Run is a stream that is to be sent to its engine.
type Run struct {
	PromptTokens int
	// OutputHint and MaxOutput are the caller's estimate and bound of the answer's tokens; 0 when they are not stated.
	OutputHint int
	MaxOutput  int
	// Done is the number of events that the caller has.
	Done int
	// Resumable is set when another engine may continue the stream without a copy.
	Resumable bool
	// Remaining is the time until the deadline.
	Remaining time.Duration
	// ReadTime is how long an engine takes to read the prompt.
	ReadTime time.Duration
}

// Target is the engine that would hold the copy.
type Target struct {
	// Cached is the number of tokens of the prompt that it has.
	Cached int
	// Remote is set when it is in another data centre than the run.
	Remote bool
	// Load is the number of requests for each of its slots.
	Load float64
}

// Policy decides for one pool. Losses and costs are in seconds of an engine: the time of an engine with all its slots.
type Policy struct {
	Hazard Hazard
	Copies Copies
	// MinRisk is the least probability of an end at which a run may have a copy. A copy takes as much memory as the run, and as many
	// bytes are sent, whether it is used or not.
	MinRisk float64
	// tokenTime and output are learned from answers; 0 before the first one.
	tokenTime time.Duration
	output    float64
}

// RecordAnswer records the events of a whole stream and the time from the first to the last.
func (p *Policy) RecordAnswer(events int, took time.Duration) {
	if events < 2 || took <= 0 {
		return
	}
	perToken := took / time.Duration(events-1)
	if p.tokenTime == 0 {
		p.tokenTime, p.output = perToken, float64(events)
		return
	}
	p.tokenTime += time.Duration(smoothing * float64(perToken-p.tokenTime))
	p.output += smoothing * (float64(events) - p.output)
}

// outputLeft returns the expected number of tokens that are still to be generated.
func (p *Policy) outputLeft(r Run) float64 {
	expected := p.output
	switch {
	case r.OutputHint > 0:
		expected = float64(r.OutputHint)
	case expected == 0 && r.MaxOutput > 0:
		expected = maxOutputShare * float64(r.MaxOutput)
	case expected == 0:
		expected = defaultOutput
	}
	if r.MaxOutput > 0 {
		expected = min(expected, float64(r.MaxOutput))
	}
	return max(expected-float64(r.Done), 1)
}

// duration returns how long a run is expected to go on.
func (p *Policy) duration(r Run) time.Duration {
	perToken := p.tokenTime
	if perToken == 0 {
		perToken = defaultTokenTime
	}
	d := r.ReadTime + time.Duration(p.outputLeft(r)*float64(perToken))
	if r.Remaining > 0 {
		d = min(d, r.Remaining)
	}
	return d
}

// Risk returns the probability that the engine of a run ends while it goes on, and 0 when it is too small for a copy.
func (p *Policy) Risk(now time.Time, e Engine, r Run) float64 {
	risk := p.Hazard.Risk(now, e, p.duration(r))
	if risk < max(negligibleRisk, p.MinRisk) {
		return 0
	}
	return risk
}

// Tokens returns the number of tokens of the copy at the end of a run.
func (p *Policy) Tokens(r Run, t Target) int {
	return max(r.PromptTokens-t.Cached, 0) + r.Done + int(p.outputLeft(r))
}

// Loss returns what is lost when the engine of a run ends without a copy, in seconds of an engine. An end is expected to come when
// half of the rest has been generated.
//
//	resumable:     ReadTime + (Done + rest / 2 - takeoverTokens) * ReadTime / PromptTokens, at least 0
//	not resumable: lostRun + ReadTime + duration / slots
//
// A stream that another engine may resume costs the reading of what was there; any other is lost.
func (p *Policy) Loss(pool Pool, r Run) float64 {
	done := float64(r.Done) + p.outputLeft(r)/2
	readTime := r.ReadTime.Seconds()
	perToken := readTime / float64(max(r.PromptTokens, 1))
	again := readTime + done*perToken - takeoverTokens*perToken
	if r.Resumable {
		return max(again, 0)
	}
	slotTime := p.duration(r).Seconds() / float64(max(pool.Slots, 1))
	return lostRun + readTime + slotTime
}

// Cost returns what a copy costs, in seconds of an engine: the time of the link, the price of bytes between data
// centres, and the memory that the target lacks meanwhile.
//
//	same data centre:   bytes * 8 / link rate + memory
//	other data centre:  remoteFactor * bytes * 8 / link rate + remotePrice * gigabytes + memory
//	memory:             tokens / KVTokens * duration * min(load per slot, 1)^2
//
// The square makes memory of an engine with little work cheap. A term whose capacity is unknown is 0.
func (p *Policy) Cost(pool Pool, r Run, t Target) float64 {
	tokens := float64(p.Tokens(r, t))
	bytes := tokens * float64(pool.KVTokenBytes)
	cost := 0.0
	if pool.LinkMbps > 0 {
		cost = bytes * 8 / (pool.LinkMbps * 1e6)
	}
	if t.Remote {
		cost = remoteFactor*cost + remotePrice*bytes/1e9
	}
	if pool.KVTokens > 0 {
		pressure := min(max(t.Load, 0), 1)
		cost += tokens / float64(pool.KVTokens) * p.duration(r).Seconds() * pressure * pressure
	}
	return cost
}

// Worth reports whether the expected loss of a run exceeds the cost of a copy at a target.
func (p *Policy) Worth(pool Pool, r Run, t Target, risk float64) bool {
	return risk > 0 && risk*p.Loss(pool, r) > p.Cost(pool, r, t)
}
