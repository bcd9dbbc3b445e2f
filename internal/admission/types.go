package admission

import (
	"fmt"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/placement"
	"github.com/bluebellwell/bluebellwell/internal/record"
)

// Code is the reason for a refusal. A refused request was not run.
type Code string

// Refusal codes.
const (
	CodeQueueFull          Code = "queue_full"
	CodeWorkspaceQueueFull Code = "workspace_queue_full"
	CodeDeadline           Code = "deadline"
	CodeNoEngine           Code = "no_engine"
	CodeNotOwner           Code = "not_owner"
	CodeStopping           Code = "stopping"
	CodeRetryBudget        Code = "retry_budget"
	CodeCancelled          Code = "cancelled"
)

// Refusal is the error for a request that was not run.
type Refusal struct {
	Code Code
	// RetryAfter estimates when a retry may succeed; it includes jitter.
	RetryAfter time.Duration
}

// Error returns the code and the time after which to retry.
func (r *Refusal) Error() string {
	return fmt.Sprintf("request was not run: %s, retry after %s", r.Code, r.RetryAfter)
}

// Grant assigns one slot of an engine to a request.
type Grant struct {
	Engine string
	// BootID is the engine's boot id as given to SetEngines.
	BootID string
	// QueueTime is the time from Submit to the grant.
	QueueTime time.Duration
	// Reason is the placement rule that chose the engine.
	Reason placement.Reason
	// ExpectedPrefixTokens is the number of prompt tokens expected in the
	// engine's cache.
	ExpectedPrefixTokens int
}

// Outcome is delivered once for each ticket. Exactly one field is set.
type Outcome struct {
	Grant   *Grant
	Refusal *Refusal
}

// Request asks for one slot. It must not change after Submit.
type Request struct {
	ID        string
	Workspace string
	// Class is the priority; an unknown class counts as standard.
	Class record.Priority
	// Chat names the chat within the workspace; empty means none.
	Chat string
	// Deadline ends the wait in the queue; the zero time means none.
	Deadline time.Time
	// Hint is the content of a valid placement token; an empty Engine means none.
	Hint placement.Hint
	// PromptTokens and OutputTokens are estimates.
	PromptTokens int
	OutputTokens int
	// Exclude names engines that must not be chosen, for example after a failure.
	Exclude []string
	// Retry marks a retry of a request that was granted before. It uses up retry
	// budget.
	Retry bool
	// Payload is the caller's own data, which the pool does not read.
	Payload any
}

// Result describes the end of a granted request.
type Result struct {
	// CachedTokens is the length of the prefix that the engine reports as reused.
	CachedTokens int
	PromptTokens int
	OutputTokens int
	// EngineFailed means that the engine did not finish the request. Whether its
	// cache holds the chat is then unknown.
	EngineFailed bool
	// Cancelled means that the caller disconnected. This is not a failure of the
	// engine, and whether its cache holds the chat is unknown.
	Cancelled bool
}

// Engine describes one engine to SetEngines.
type Engine struct {
	Name string
	// Weight is the relative capacity; values up to 0 count as 1.
	Weight float64
	State  placement.State
	// BootID changes when the engine restarts.
	BootID string
	// CacheTokens is the size of the prefix cache; 0 means unknown.
	CacheTokens int
}

// AdoptedAttempt is an attempt that the previous owner of the pool started.
type AdoptedAttempt struct {
	ID        string
	Engine    string
	Workspace string
	Class     record.Priority
}

// Config is the part of the current configuration that a pool needs.
type Config struct {
	Pool *record.Pool
	// Workspaces holds the configured workspaces; others get the defaults.
	Workspaces map[string]*record.Workspace
}

// Deps are the pool's dependencies. They are used with the pool's lock held.
type Deps struct {
	// Rand returns uniform numbers from 0 up to but not including 1. It is required.
	Rand func() float64
	// Picker chooses engines; nil means placement.Affinity with its defaults.
	Picker placement.Picker
	// Prefixes is the prefix index; nil means a new one of the default size.
	Prefixes *placement.PrefixIndex
}

// class is the internal number of a priority, most urgent first.
type class uint8

const (
	classLookup class = iota
	classStandard
	classReview
	numClasses
)

func classOf(p record.Priority) class {
	switch p {
	case record.PriorityLookup:
		return classLookup
	case record.PriorityReview:
		return classReview
	}
	return classStandard
}

// Defaults for values that the records leave at 0.
const (
	defaultQueueLimit   = 4096
	defaultMaxQueued    = 512
	defaultLoadMultiple = 1.5
	defaultRetryBudget  = 0.1
)

// defaultClassShares are the reserved class shares of a pool without ClassShares.
var defaultClassShares = [numClasses]float64{0.2, 0.3, 0.1}
