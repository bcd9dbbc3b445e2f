// Package routing holds the routing configuration in force as one immutable
// table: which route a request takes, which pools serve the route, and which
// workspace an API key belongs to. It does no I/O. A Table is safe for
// concurrent use.
package routing

import "time"

// Kind classifies requests by how often they may run.
type Kind uint8

// Kinds of requests.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests may run again after any failure.
	Safe
	// Stream requests are answered with a series of events. They run at most
	// once, unless the route is resumable.
	Stream
)

var kindNames = [...]string{"unsafe", "safe", "stream"}

// String returns the name used in logs and metrics.
func (k Kind) String() string { return kindNames[k] }

// MaxPriority is the rank of the least urgent requests. The most urgent ones have 0, and a rank outside counts as the nearest one.
const MaxPriority = 9

// Target is a pool that serves a share of a route's requests.
type Target struct {
	Pool   string
	Weight int
}

// Route maps a host and a path prefix to pools.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds the time that a caller waits; 0 means none.
	Timeout time.Duration
	// Objective is the latency objective: the time to the whole answer, or to
	// the first event of a stream.
	Objective time.Duration
	// GapObjective is the objective for the time between two events of a stream.
	GapObjective time.Duration
	// MaxAttempts bounds the servers that one request may be sent to.
	MaxAttempts int
	// Priority is the rank of the route, from 0, the most urgent, to MaxPriority.
	Priority int
	// Public routes need no API key.
	Public bool
	// Resumable streams may continue at another engine after the last event.
	Resumable bool
	Targets   []Target
	// AllowedRegions are the regions whose servers may get the requests; empty for all.
	AllowedRegions []string
}

// MayRepeat reports whether a request of the route may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Workspace is the owner of API keys.
type Workspace struct {
	Name string
	// Priority replaces the route's when HasPriority is set.
	Priority    int
	HasPriority bool
	// AllowedRegions are the regions whose servers may get the requests; empty for all.
	AllowedRegions []string
}

// Limits bound what a caller may send and how long it may stay idle.
type Limits struct {
	// BodyBytes is the maximum size of a body; 0 means the default.
	BodyBytes int64
	// IdleTimeout is how long a connection may stay open without a request.
	IdleTimeout time.Duration
	// HeaderTimeout is how long the headers of a request may take; 0 means the default.
	HeaderTimeout time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Version    int64
	Routes     []Route
	Pools      []Pool
	Workspaces []Keyring
	Limits     Limits
	// Ignored names the fields whose values are not usable and count as missing.
	Ignored []string
}

// Pool is what the configuration says of a pool of servers.
type Pool struct {
	Name string
	// MaxConnections bounds the connections to one server; 0 means unknown.
	MaxConnections int
	// ColdStart is how long a server is cold after its start; 0 when its servers do not get cold.
	ColdStart time.Duration
	// ColdPerSecond is the number of requests a second that a cold server takes from all routers together; 0 for
	// no limit.
	ColdPerSecond float64
	// Engine is nil for plain servers.
	Engine *Engine
}

// Engine describes the model engines of a pool. A number is 0 when it is unknown.
type Engine struct {
	Slots int
	// KVTokens is the number of tokens that fit the memory, and KVTokenBytes the size of one in bytes.
	KVTokens     int
	KVTokenBytes int
	// LinkMbps is the rate of copies of prompt memory, in megabits per second.
	LinkMbps float64
	// HandleTimeout is how long an engine keeps a copy that is not used.
	HandleTimeout time.Duration
	// Moves and Backups are set when the engines offer to move running requests, and to copy their memory as it grows.
	Moves   bool
	Backups bool
}

// Keyring is a workspace with its API keys.
type Keyring struct {
	Workspace Workspace
	Keys      []string
}
