// Package status defines the document in which a router describes itself to
// operators and to the publishing client (GET /admin/status).
package status

import (
	"time"

	"github.com/bluebellwell/bluebellwell/internal/admission"
)

// Router is the state of one router.
type Router struct {
	VM         string `json:"vm"`
	DataCentre string `json:"data_centre"`
	Region     string `json:"region,omitempty"`
	// Lifecycle is the state of the router's state chart.
	Lifecycle string `json:"life"`
	Ready     bool   `json:"ready"`
	Reason    string `json:"reason"`
	// BootID changes when the process restarts.
	BootID  string        `json:"boot_id"`
	Started time.Time     `json:"started"`
	Config  Configuration `json:"config"`
	VMList  VMList        `json:"vm_list"`
	// Owners names the owner of each pool as this router sees it.
	Owners map[string]string `json:"owners"`
	// Pools describes the pools that this router owns.
	Pools   []admission.Stats `json:"pools"`
	Control Control           `json:"control"`
	// Callers counts this router's answers by outcome.
	Callers map[string]int64 `json:"callers"`
	// Relayed and Running are attempts in flight as entry router and as owner.
	Relayed int `json:"relayed"`
	Running int `json:"running"`
	// DroppedFrames counts late, repeated and crossed frames.
	DroppedFrames uint64 `json:"dropped_frames"`
	// Orders are the orders to engines, on the router that holds their lease.
	Orders []Order `json:"orders,omitempty"`
}

// Order is the state that an engine shall have for a model.
type Order struct {
	Engine string `json:"engine"`
	Model  string `json:"model"`
	// Unload is set when the engine shall not have the model.
	Unload  bool   `json:"unload,omitempty"`
	Version string `json:"version"`
	Role    string `json:"role"`
	// State is a state of the order chart.
	State string `json:"state"`
	// Fencing is the number of the lease and Holder the router that holds it.
	Fencing uint64 `json:"fencing"`
	Holder  string `json:"holder"`
}

// Configuration is the state of the configuration in force.
type Configuration struct {
	// NextOffset is the offset after the last record applied.
	NextOffset uint64 `json:"next_offset"`
	Head       uint64 `json:"head"`
	// LogAgeMs is the time since the log was heard; -1 means never.
	LogAgeMs int64 `json:"log_age_ms"`
	// SchemaVersions are the record versions that this router reads.
	SchemaVersions []int `json:"schema_versions"`
	// UnreadableOffset is set when a record cannot be read.
	UnreadableOffset *uint64 `json:"unreadable_offset,omitempty"`
	Pools            int     `json:"pools"`
	Workspaces       int     `json:"workspaces"`
	Routes           int     `json:"routes"`
}

// VMList is what the router knows from the platform's list.
type VMList struct {
	Version uint64 `json:"version"`
	AgeMs   int64  `json:"age_ms"`
	Routers int    `json:"routers"`
	// Suspected are listed routers that are thought dead.
	Suspected []string `json:"suspected,omitempty"`
	// Leaving are VMs that take no new work.
	Leaving []string `json:"leaving,omitempty"`
	// Down are engines and backend servers that failed lately.
	Down []string `json:"down,omitempty"`
}

// Control is the control traffic since the start, both directions.
type Control struct {
	Bytes          int64            `json:"bytes"`
	ByCategory     map[string]int64 `json:"by_category"`
	BytesPerSecond float64          `json:"bytes_per_second"`
	// LastMinute holds the rates of the last minute, in bytes a second.
	LastMinute map[string]float64 `json:"last_minute"`
	// LastMinuteTotal is their sum.
	LastMinuteTotal float64 `json:"last_minute_bytes_per_second"`
	// Refused counts messages that the budget had no room for.
	Refused map[string]int64 `json:"refused"`
}
