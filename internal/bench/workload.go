package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"strings"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/placement"
	"github.com/bluebellwell/bluebellwell/internal/record"
	"github.com/bluebellwell/bluebellwell/internal/testbed"
)

// TimeScale is the factor by which pauses of callers are shortened: a pause of
// 60 s between two turns of a chat takes 1 s of the run. Generation speed and
// the routers' timers are not scaled.
const TimeScale = 60

// Planned load in requests in flight per engine. Together they result in a mean
// of about 14 over the run.
const (
	calmLoad  = 10.0
	surgeLoad = 9.0
)

// Speeds of the simulated engines. They result in about 8,000 tokens/s for 18
// engines, which a machine with 12 cores relays with most of its CPU time idle.
const (
	perToken        = 30 * time.Millisecond
	prefillPerToken = 100 * time.Microsecond
)

// drainTime is the period at the end of a run in which no request is planned, so
// that running answers end within the run.
const drainTime = 4 * time.Second

// cacheShare is the share of all chats' tokens that fits into the caches of all
// engines together.
const cacheShare = 0.5

// Rates of plain calls, and the share of bookings that are repeated.
const (
	bookingsPerSecond = 4.0
	lookupsPerSecond  = 12.0
	repeatedShare     = 0.4
)

// workspaceZipfExponent is the exponent of the Zipf distribution of the
// workspaces' sizes.
const workspaceZipfExponent = 1.1

// class describes the chats of one priority.
type class struct {
	priority record.Priority
	share    float64
	// promptMedian and promptSpread are the median and the log-normal deviation of
	// the tokens of the first prompt, maxPrompt is the limit of every prompt. The
	// system prompt is not included.
	promptMedian, promptSpread float64
	maxPrompt                  int
	// growthMedian is the median of the tokens that a turn adds besides the answer.
	growthMedian float64
	// answerMin and answerMax bound the answer's tokens.
	answerMin, answerMax int
	// turnsMedian is the median number of turns of a chat.
	turnsMedian float64
}

var classes = []class{
	{record.PriorityLookup, 0.45, 40, 0.5, 400, 25, 8, 16, 4},
	{record.PriorityStandard, 0.43, 300, 0.8, 4000, 110, 20, 60, 7},
	{record.PriorityReview, 0.12, 2600, 0.5, 7000, 300, 60, 110, 3},
}

// Pauses between turns before scaling. They are log-normal, so that a few chats
// continue after a long pause.
const (
	pauseMedian = 70 * time.Second
	pauseSpread = 1.2
	maxPause    = 15 * time.Minute
)

// Turn is one request of a chat.
type Turn struct {
	// At is the planned time since the start of the run. The turn is sent later
	// if the previous turn's answer ends after it.
	At time.Duration
	// PromptTokens are the prompt tokens after the system prompt.
	PromptTokens int
	// AnswerTokens is the number of answer tokens.
	AnswerTokens int
	// RouterRandom is the random number that selects one of the ready routers.
	RouterRandom uint64
}

// Chat is one conversation.
type Chat struct {
	ID        string
	Workspace string
	Priority  record.Priority
	// Surge marks a chat that belongs to the additional load of the surge.
	Surge bool
	// SystemTokens is the number of tokens of the shared system prompt.
	SystemTokens int
	Turns        []Turn
	// fillerOffset is the offset of the chat's prompt text in Plan.filler.
	fillerOffset int
}

// Repeat is how the caller of a booking repeats it.
type Repeat int

// Ways to repeat a booking.
const (
	// RepeatNever sends the booking once.
	RepeatNever Repeat = iota
	// RepeatConcurrently sends it to two routers at the same time.
	RepeatConcurrently
	// RepeatAfterAnswer sends it again after the answer.
	RepeatAfterAnswer
	// RepeatAfterDisconnect closes the connection early and sends it again.
	RepeatAfterDisconnect
)

// Call is one request to the plain service: a booking when Key is set, else a
// lookup.
type Call struct {
	// ID is the number of the call.
	ID        int
	At        time.Duration
	Workspace string
	Key       string
	Repeat    Repeat
	// DisconnectAfter is the time from the request to the caller's disconnect with
	// RepeatAfterDisconnect.
	DisconnectAfter time.Duration
	RouterRandom    uint64
}

// Plan is the workload of a run. It depends only on profile, seed and duration.
type Plan struct {
	Profile  testbed.Profile
	Seed     uint64
	Duration time.Duration
	Chats    []Chat
	Calls    []Call
	// SurgeFrom and SurgeTo are the start and the end of the surge.
	SurgeFrom, SurgeTo time.Duration
	// CacheTokens is the size of each engine's prefix cache.
	CacheTokens int

	// systemKeys holds the key of the shared system prompt of the workspaces
	// that have one.
	systemKeys map[string]string
	filler     string
}

// fillerBytes is longer than the longest prompt.
const fillerBytes = 1 << 17

// NewPlan generates the workload.
func NewPlan(p testbed.Profile, seed uint64, duration time.Duration) (*Plan, error) {
	keys, err := systemPrompts(p)
	if err != nil {
		return nil, err
	}
	plan := &Plan{
		Profile:    p,
		Seed:       seed,
		Duration:   duration,
		SurgeFrom:  duration / 3,
		SurgeTo:    duration * 2 / 3,
		systemKeys: keys,
	}
	rng := rand.New(rand.NewPCG(seed, placement.Hash("bench/"+p.Name)))
	plan.filler = newFiller(rng)
	plan.addUsers(rng)
	plan.addCalls(rng)
	plan.CacheTokens = int(cacheShare * float64(plan.totalTokens()) / float64(p.Engines))
	return plan, nil
}

// systemTokens is the length of a shared system prompt.
const systemTokens = 400

// systemPrompts returns the keys of the shared system prompts by workspace.
func systemPrompts(p testbed.Profile) (map[string]string, error) {
	records, err := p.Records()
	if err != nil {
		return nil, err
	}
	keys := map[string]string{}
	for _, data := range records {
		rec, err := record.Parse(p.Name, data)
		if err != nil {
			return nil, err
		}
		for _, c := range rec.Changes {
			if c.Workspace != nil && c.Workspace.SystemPromptKey != "" {
				keys[c.Name] = c.Workspace.SystemPromptKey
			}
		}
	}
	return keys, nil
}

var fillerWords = strings.Fields("please check renew the domain of shop booking shears gang paddock morning " +
	"registrant transfer status dispute letter date invoice hall wool fleece farm road contact holder reply")

func newFiller(rng *rand.Rand) string {
	var b strings.Builder
	for b.Len() < fillerBytes {
		b.WriteString(fillerWords[rng.IntN(len(fillerWords))])
		b.WriteByte(' ')
	}
	return b.String()
}

// addUsers adds users until the planned load is reached. A user has one chat
// after the other.
func (p *Plan) addUsers(rng *rand.Rand) {
	weights := workspaceWeights(len(p.Profile.Workspaces))
	engines := float64(p.Profile.Engines)
	user := 0
	add := func(workspace string, from, to time.Duration, surge bool) time.Duration {
		user++
		userRNG := rand.New(rand.NewPCG(rng.Uint64(), uint64(user)))
		return p.addUser(userRNG, user, workspace, from, to, surge)
	}
	sendEnd := p.Duration - drainTime
	for busy := time.Duration(0); busy.Seconds() < calmLoad*engines*sendEnd.Seconds(); {
		busy += add(p.Profile.Workspaces[weightedIndex(rng, weights)], 0, sendEnd, false)
	}
	surging := p.SurgingWorkspaces()
	length := (p.SurgeTo - p.SurgeFrom).Seconds()
	for busy := time.Duration(0); busy.Seconds() < surgeLoad*engines*length; {
		busy += add(surging[weightedIndex(rng, []float64{0.7, 0.3})], p.SurgeFrom, p.SurgeTo, true)
	}
	sort.SliceStable(p.Chats, func(i, j int) bool { return p.Chats[i].Turns[0].At < p.Chats[j].Turns[0].At })
}

// SurgingWorkspaces returns the largest workspace and a small one. The example
// records set no limit of requests in flight for either of them.
func (p *Plan) SurgingWorkspaces() []string {
	return []string{p.Profile.Workspaces[0], p.Profile.Workspaces[5]}
}

func workspaceWeights(n int) []float64 {
	weights := make([]float64, n)
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -workspaceZipfExponent)
	}
	return weights
}

// weightedIndex returns a random index with a probability proportional to its
// weight.
func weightedIndex(rng *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	x := rng.Float64() * sum
	for i, w := range weights {
		if x < w {
			return i
		}
		x -= w
	}
	return len(weights) - 1
}

// addUser adds chats of one user between from and to and returns the planned time
// that their requests spend at engines in this period.
func (p *Plan) addUser(rng *rand.Rand, user int, workspace string, from, to time.Duration, surge bool) time.Duration {
	shares := make([]float64, len(classes))
	for i, c := range classes {
		shares[i] = c.share
	}
	c := classes[weightedIndex(rng, shares)]
	busy := time.Duration(0)
	// The user starts within a pause, so that the load is even from the start.
	at := from + time.Duration(rng.Float64()*float64(scale(pauseMedian)+c.typicalServiceTime()))
	for n := 0; at < to; n++ {
		chat := Chat{
			ID:           fmt.Sprintf("chat-%d-%d", user, n),
			Workspace:    workspace,
			Priority:     c.priority,
			Surge:        surge,
			fillerOffset: rng.IntN(fillerBytes / 2),
		}
		if p.systemKeys[workspace] != "" {
			chat.SystemTokens = systemTokens
		}
		var chatBusy time.Duration
		at, chatBusy = p.addTurns(rng, &chat, c, at, to)
		busy += chatBusy
		p.Chats = append(p.Chats, chat)
	}
	return busy
}

func (p *Plan) addTurns(rng *rand.Rand, chat *Chat, c class, at, to time.Duration) (next, busy time.Duration) {
	tokens := min(logNormal(rng, c.promptMedian, c.promptSpread), c.maxPrompt)
	previousTokens := 0
	for range max(1, logNormal(rng, c.turnsMedian, 0.7)) {
		if at >= to {
			break
		}
		t := Turn{At: at, PromptTokens: tokens, AnswerTokens: c.answerMin + rng.IntN(c.answerMax-c.answerMin+1), RouterRandom: rng.Uint64()}
		chat.Turns = append(chat.Turns, t)
		service := serviceTime(tokens-previousTokens, t.AnswerTokens)
		busy += min(service, to-at)
		at += service + pause(rng)
		previousTokens = tokens
		tokens = min(tokens+t.AnswerTokens+logNormal(rng, c.growthMedian, 0.6), c.maxPrompt)
	}
	return at, busy
}

func serviceTime(uncached, answer int) time.Duration {
	return time.Duration(uncached)*prefillPerToken + time.Duration(answer)*perToken
}

// typicalServiceTime returns the service time of a typical request of a class.
func (c class) typicalServiceTime() time.Duration {
	return serviceTime(int(c.growthMedian), (c.answerMin+c.answerMax)/2)
}

func logNormal(rng *rand.Rand, median, spread float64) int {
	return int(math.Round(median * math.Exp(spread*rng.NormFloat64())))
}

func pause(rng *rand.Rand) time.Duration {
	d := time.Duration(float64(pauseMedian) * math.Exp(pauseSpread*rng.NormFloat64()))
	return scale(min(d, maxPause))
}

func scale(d time.Duration) time.Duration {
	return d / TimeScale
}

func (p *Plan) addCalls(rng *rand.Rand) {
	weights := workspaceWeights(len(p.Profile.Workspaces))
	add := func(rate float64, newCall func(at time.Duration) Call) {
		for at := interarrivalTime(rng, rate); at < p.Duration-drainTime; at += interarrivalTime(rng, rate) {
			call := newCall(at)
			call.Workspace = p.Profile.Workspaces[weightedIndex(rng, weights)]
			call.RouterRandom = rng.Uint64()
			call.ID = len(p.Calls) + 1
			p.Calls = append(p.Calls, call)
		}
	}
	bookings := 0
	add(bookingsPerSecond, func(at time.Duration) Call {
		bookings++
		call := Call{At: at, Key: fmt.Sprintf("%s-%d-%d", p.Profile.Name, p.Seed, bookings)}
		if rng.Float64() < repeatedShare {
			call.Repeat = RepeatConcurrently + Repeat(rng.IntN(3))
			call.DisconnectAfter = time.Duration(rng.IntN(40)) * time.Millisecond
		}
		return call
	})
	add(lookupsPerSecond, func(at time.Duration) Call { return Call{At: at} })
	sort.SliceStable(p.Calls, func(i, j int) bool { return p.Calls[i].At < p.Calls[j].At })
}

// interarrivalTime returns the time to the next arrival of a Poisson process.
func interarrivalTime(rng *rand.Rand, rate float64) time.Duration {
	return time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
}

// totalTokens returns the tokens that unlimited caches would hold at the end.
func (p *Plan) totalTokens() int {
	sum := 0
	for _, c := range p.Chats {
		sum += c.Turns[len(c.Turns)-1].PromptTokens
	}
	return sum
}

// RequestCount returns the number of planned requests without repeats of bookings.
func (p *Plan) RequestCount() int {
	n := len(p.Calls)
	for _, c := range p.Chats {
		n += len(c.Turns)
	}
	return n
}

// charactersPerToken is the ratio that enginesim.EstimateTokens assumes.
const charactersPerToken = 4

// Request returns the request of a turn. Its prompt starts with the prompt of
// the previous turn. It is one character short of the planned tokens, because the
// engine counts a line end after each message.
func (p *Plan) Request(c *Chat, turn int) testbed.Chat {
	t := c.Turns[turn]
	text := c.ID + " " + p.filler[c.fillerOffset:]
	r := testbed.Chat{
		Workspace: c.Workspace,
		ChatID:    c.ID,
		Model:     p.Profile.Model,
		Prompt:    text[:max(t.PromptTokens, minPromptTokens)*charactersPerToken-1],
		MaxTokens: t.AnswerTokens,
		Priority:  string(c.Priority),
	}
	if c.SystemTokens > 0 {
		r.System = p.filler[:c.SystemTokens*charactersPerToken-1]
	}
	return r
}

// minPromptTokens leaves room for the chat's id, which makes the prompts of
// different chats distinct.
const minPromptTokens = 8

// InSurge reports whether a planned time is in the surge.
func (p *Plan) InSurge(at time.Duration) bool {
	return at >= p.SurgeFrom && at < p.SurgeTo
}
