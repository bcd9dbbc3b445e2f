package enginesim

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// Defaults of Config.
const (
	defaultSlots           = 16
	defaultPrefill         = 200 * time.Microsecond
	defaultDecodePerToken  = 20 * time.Millisecond
	defaultTick            = 2 * time.Millisecond
	defaultCacheTokens     = 200_000
	defaultTokens          = 64
	defaultMaxTokens       = 16_384
	defaultQueueLimit      = 1024
	defaultAnswerRetention = 60 * time.Second
	maxRequestBytes        = 4 << 20
	maxCacheEvents         = 4096
	maxCacheEventsAnswer   = 512
)

// Config sets up an engine. A zero field takes its default, except for the
// lags, DropCacheEventEvery and CheckFencing, for which zero means off.
type Config struct {
	Name string
	// Salt is part of the seed of the generated text. Engines with different
	// salts generate different texts for one prompt, so that a splice of two
	// generations is detected.
	Salt string
	// Slots is the largest number of attempts that run at the same time.
	Slots int
	// PrefillPerToken is the time for each uncached prompt token.
	PrefillPerToken time.Duration
	// DecodePerToken is the time for each generated token.
	DecodePerToken time.Duration
	// TimeScale multiplies PrefillPerToken and DecodePerToken; 0 means 1.
	TimeScale float64
	// Tick is the shortest time between two steps of the scheduler. Tokens that
	// are due within one tick are sent together.
	Tick time.Duration
	// CacheTokens is the size of the prefix cache.
	CacheTokens int
	// DefaultTokens is the answer length of a request without max_tokens.
	DefaultTokens int
	// MaxTokens bounds the answer length of any request.
	MaxTokens int
	// QueueLimit is the largest number of waiting attempts.
	QueueLimit int
	// AnswerRetention is how long a finished answer can be resumed. It must be
	// longer than LoadLag.
	AnswerRetention time.Duration
	// LoadLag is the age of load reports.
	LoadLag time.Duration
	// CacheEventLag is the age at which cache events become visible.
	CacheEventLag time.Duration
	// DropCacheEventEvery drops every n-th cache event; 0 means none.
	DropCacheEventEvery int
	// CheckFencing makes the engine refuse an order with an old fencing number.
	CheckFencing bool
	// Clock is the real clock when nil.
	Clock clockwork.Clock
	// Ledger records attempts. Engines of one pool share it; nil gives the
	// engine one of its own.
	Ledger *Ledger
	// Weight is the engine's weight in the ledger's pool; 0 means 1.
	Weight float64
}

func (c Config) withDefaults() Config {
	setInt(&c.Slots, defaultSlots)
	setInt(&c.CacheTokens, defaultCacheTokens)
	setInt(&c.DefaultTokens, defaultTokens)
	setInt(&c.MaxTokens, defaultMaxTokens)
	setInt(&c.QueueLimit, defaultQueueLimit)
	setDuration(&c.PrefillPerToken, defaultPrefill)
	setDuration(&c.DecodePerToken, defaultDecodePerToken)
	setDuration(&c.Tick, defaultTick)
	setDuration(&c.AnswerRetention, defaultAnswerRetention)
	if c.TimeScale <= 0 {
		c.TimeScale = 1
	}
	if c.Weight <= 0 {
		c.Weight = 1
	}
	if c.Clock == nil {
		c.Clock = clockwork.NewRealClock()
	}
	if c.Ledger == nil {
		c.Ledger = NewLedger()
	}
	return c
}

func setInt(v *int, defaultValue int) {
	if *v <= 0 {
		*v = defaultValue
	}
}

func setDuration(v *time.Duration, defaultValue time.Duration) {
	if *v <= 0 {
		*v = defaultValue
	}
}

// Faults are the fault switches that act on requests. The zero value is a
// healthy engine. Refused connections, pauses and crashes have their own methods.
type Faults struct {
	// HangBeforeRun holds new chat requests, before they run, until it is cleared.
	HangBeforeRun bool
	// HangBeforeHeaders runs new chat requests and holds their answers until it is cleared.
	HangBeforeHeaders bool
	// RefuseNew answers new chat requests with 503 and outcome not_run.
	RefuseNew bool
	// CutAfterFrames closes the connection of a stream after this many frames;
	// 0 means never.
	CutAfterFrames int
	// MaxCuts is how many streams are cut; 0 means all.
	MaxCuts int
	// SlowFactor multiplies the time for each token; 0 means 1.
	SlowFactor float64
	// DuplicateFrames sends every frame of a stream twice.
	DuplicateFrames bool
	// CorruptEvery replaces every n-th frame of a stream by bytes that are not
	// UTF-8; 0 means none.
	CorruptEvery int
	// DropOrderAnswer closes the connection after an order took effect.
	DropOrderAnswer bool
}
