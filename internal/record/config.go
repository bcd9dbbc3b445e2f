// Package record defines the operators' configuration records: their schema
// versions, their validation and the typed configuration that they produce.
package record

import (
	"maps"
	"time"
)

// Kind names the kind of object that a change creates or replaces.
type Kind string

// Kinds of objects.
const (
	KindPool      Kind = "pool"
	KindWorkspace Kind = "workspace"
	KindRoute     Kind = "route"
)

// PoolType is the kind of servers in a pool: model engines or plain services.
type PoolType string

// Types of pools.
const (
	PoolEngines PoolType = "engines"
	PoolPlain   PoolType = "plain"
)

// Priority is the class of a request.
type Priority string

// Priority classes, most urgent first.
const (
	PriorityLookup   Priority = "lookup"
	PriorityStandard Priority = "standard"
	PriorityReview   Priority = "review"
)

// Priorities lists the classes, most urgent first.
var Priorities = []Priority{PriorityLookup, PriorityStandard, PriorityReview}

// Pool is a set of engines or plain backend servers that serve the same requests.
type Pool struct {
	Name string
	// Version is the id of the record that put this pool in force.
	Version string
	Type    PoolType
	// Models are the model names that callers may request from this pool.
	Models []string
	// LoadMultiple bounds an engine's slots in flight as a multiple of the pool's mean.
	LoadMultiple float64
	// MaxInFlight is the absolute limit of requests in flight for each engine.
	MaxInFlight int
	// QueueLimit is the maximum number of waiting requests of the pool.
	QueueLimit int
	// HomeWait is the longest wait for the engine that holds the prefix.
	HomeWait time.Duration
	// ClassShares is the reserved share (0 to 1) of slots for each class.
	ClassShares map[Priority]float64
	// ChecksFencing is true if the engines refuse an old fencing number.
	ChecksFencing bool
	// RetryBudget is the share of requests that may be retried.
	RetryBudget float64
	// KVMovesPerMinute limits KV cache moves away from leaving engines.
	KVMovesPerMinute int
	// CacheTokens is the size of each engine's prefix cache; 0 means unknown.
	CacheTokens int
	// CacheEventBytes bounds the control bytes per second that the pool's owner
	// spends on reading cache events; 0 means that it reads none.
	CacheEventBytes int
	// EngineState is the required state of the engines; nil leaves them
	// unchanged.
	EngineState *EngineState
}

// EngineState is the required state of all engines of a pool.
type EngineState struct {
	Model   string
	Version string
	Role    string
	// LoadsPerMinute and LoadsAtOnce limit the weight loads of the whole fleet;
	// 0 sets no limit. WeightLoadLimits combines the pools' values.
	LoadsPerMinute int
	LoadsAtOnce    int
}

// Workspace is a customer unit with its own limits.
type Workspace struct {
	Name    string
	Version string
	// Weight is the share in the fair queue.
	Weight float64
	// MaxQueued is the maximum number of waiting requests of the workspace in a pool.
	MaxQueued int
	// MaxInFlight limits the workspace's requests in flight in a pool; 0 means no limit.
	MaxInFlight int
	// APIKeySHA256 holds hex digests of accepted API keys; empty means that none is needed.
	APIKeySHA256 []string
	// SystemPromptKey groups chats that share a system prompt.
	SystemPromptKey string
}

// Route sets rules for a path of a plain service.
type Route struct {
	Name    string
	Version string
	Pool    string
	// Method and PathPrefix select the requests.
	Method     string
	PathPrefix string
	// Repeatable is true if a request may be sent again after a failure.
	Repeatable bool
	Priority   Priority
	Timeout    time.Duration
}

// Config is the typed configuration in force. It is immutable once published.
type Config struct {
	Pools      map[string]*Pool
	Workspaces map[string]*Workspace
	Routes     map[string]*Route
}

// NewConfig returns an empty configuration.
func NewConfig() *Config {
	return &Config{
		Pools:      map[string]*Pool{},
		Workspaces: map[string]*Workspace{},
		Routes:     map[string]*Route{},
	}
}

// PoolForModel returns the engine pool that serves a model, or nil.
func (c *Config) PoolForModel(model string) *Pool {
	for _, p := range c.Pools {
		if p.Type != PoolEngines {
			continue
		}
		for _, m := range p.Models {
			if m == model {
				return p
			}
		}
	}
	return nil
}

// WeightLoadLimits returns the limits of weight loads for the whole fleet: for
// each limit the smallest value that a pool sets, or 0 if none does. All pools
// share one weight store, so the strictest value protects it.
func (c *Config) WeightLoadLimits() (perMinute, atOnce int) {
	for _, p := range c.Pools {
		if p.EngineState == nil {
			continue
		}
		perMinute = stricterLimit(perMinute, p.EngineState.LoadsPerMinute)
		atOnce = stricterLimit(atOnce, p.EngineState.LoadsAtOnce)
	}
	return perMinute, atOnce
}

// stricterLimit returns the smaller of two limits; 0 means no limit.
func stricterLimit(a, b int) int {
	if a == 0 || b != 0 && b < a {
		return b
	}
	return a
}

// ObjectVersion returns the version of an object in force; ok is false if there
// is none.
func (c *Config) ObjectVersion(kind Kind, name string) (version string, ok bool) {
	switch kind {
	case KindPool:
		if p := c.Pools[name]; p != nil {
			return p.Version, true
		}
	case KindWorkspace:
		if w := c.Workspaces[name]; w != nil {
			return w.Version, true
		}
	case KindRoute:
		if r := c.Routes[name]; r != nil {
			return r.Version, true
		}
	}
	return "", false
}

// Apply applies a change without further checks. The caller must own c; a
// published configuration must not be changed.
func (c *Config) Apply(change Change) {
	switch change.Kind {
	case KindPool:
		setOrDelete(c.Pools, change.Name, change.Pool)
	case KindWorkspace:
		setOrDelete(c.Workspaces, change.Name, change.Workspace)
	case KindRoute:
		setOrDelete(c.Routes, change.Name, change.Route)
	}
}

func setOrDelete[T any](objects map[string]*T, name string, object *T) {
	if object == nil {
		delete(objects, name)
		return
	}
	objects[name] = object
}

// Clone returns a copy that shares the objects, which are immutable.
func (c *Config) Clone() *Config {
	return &Config{
		Pools:      maps.Clone(c.Pools),
		Workspaces: maps.Clone(c.Workspaces),
		Routes:     maps.Clone(c.Routes),
	}
}
