package cli

import (
	"math"

	"github.com/bluebellwell/bluebellwell/internal/record"
)

// The spec types have the fields of schema version 2, so that the output of get
// can be edited and published.

type poolSpec struct {
	Type                     record.PoolType             `json:"type"`
	Models                   []string                    `json:"models,omitempty"`
	LoadMultiplePercent      int                         `json:"load_multiple_percent"`
	MaxInFlight              int                         `json:"max_in_flight"`
	QueueLimit               int                         `json:"queue_limit"`
	HomeWaitMS               int64                       `json:"home_wait_ms"`
	ChecksFencing            bool                        `json:"checks_fencing"`
	RetryBudget              float64                     `json:"retry_budget"`
	ClassShares              map[record.Priority]float64 `json:"class_shares"`
	KVMovesPerMinute         int                         `json:"kv_moves_per_minute"`
	CacheTokens              int                         `json:"cache_tokens"`
	CacheEventBytesPerSecond int                         `json:"cache_event_bytes_per_s"`
	EngineState              *engineStateSpec            `json:"engine_state,omitempty"`
}

type engineStateSpec struct {
	Model          string `json:"model"`
	Version        string `json:"version"`
	Role           string `json:"role"`
	LoadsPerMinute int    `json:"weight_loads_per_minute,omitempty"`
	LoadsAtOnce    int    `json:"weight_loads_at_once,omitempty"`
}

func poolSpecOf(p *record.Pool) poolSpec {
	return poolSpec{
		Type:                     p.Type,
		Models:                   p.Models,
		LoadMultiplePercent:      int(math.Round(p.LoadMultiple * 100)),
		MaxInFlight:              p.MaxInFlight,
		QueueLimit:               p.QueueLimit,
		HomeWaitMS:               p.HomeWait.Milliseconds(),
		ChecksFencing:            p.ChecksFencing,
		RetryBudget:              p.RetryBudget,
		ClassShares:              p.ClassShares,
		KVMovesPerMinute:         p.KVMovesPerMinute,
		CacheTokens:              p.CacheTokens,
		CacheEventBytesPerSecond: p.CacheEventBytes,
		EngineState:              (*engineStateSpec)(p.EngineState),
	}
}

type workspaceSpec struct {
	Weight          float64  `json:"weight"`
	MaxQueued       int      `json:"max_queued"`
	MaxInFlight     int      `json:"max_in_flight"`
	APIKeySHA256    []string `json:"api_key_sha256,omitempty"`
	SystemPromptKey string   `json:"system_prompt_key,omitempty"`
}

func workspaceSpecOf(w *record.Workspace) workspaceSpec {
	return workspaceSpec{
		Weight:          w.Weight,
		MaxQueued:       w.MaxQueued,
		MaxInFlight:     w.MaxInFlight,
		APIKeySHA256:    w.APIKeySHA256,
		SystemPromptKey: w.SystemPromptKey,
	}
}

type routeSpec struct {
	Pool       string          `json:"pool"`
	Method     string          `json:"method,omitempty"`
	PathPrefix string          `json:"path_prefix"`
	Repeatable bool            `json:"repeatable"`
	Priority   record.Priority `json:"priority"`
	TimeoutMS  int64           `json:"timeout_ms"`
}

func routeSpecOf(r *record.Route) routeSpec {
	return routeSpec{
		Pool:       r.Pool,
		Method:     r.Method,
		PathPrefix: r.PathPrefix,
		Repeatable: r.Repeatable,
		Priority:   r.Priority,
		TimeoutMS:  r.Timeout.Milliseconds(),
	}
}
