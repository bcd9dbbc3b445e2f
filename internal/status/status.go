// Package status defines the document that a router returns to operators and to
// the publishing client (GET /admin/status).
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
	// Owners maps each pool to its owner in this router's view.
	Owners map[string]string `json:"owners"`
	// Pools describes the pools that this router owns.
	Pools   []admission.Stats `json:"pools"`
	Control Control           `json:"control"`
	// Callers counts this router's answers by outcome.
	Callers map[string]int64 `json:"callers"`
	// Relayed and Running count the attempts in flight for which this router is the
	// entry router and the pool owner, respectively.
	Relayed int `json:"relayed"`
	Running int `json:"running"`
	// DroppedFrames counts the frames that failed the sequence check: late and
	// duplicate ones, those after a gap, and those of another attempt.
	DroppedFrames uint64 `json:"dropped_frames"`
	// Orders are the orders to engines; only the router that holds their lease has
	// them.
	Orders []Order `json:"orders,omitempty"`
}

// Order is the state of a model that an engine is ordered to have.
type Order struct {
	Engine string `json:"engine"`
	Model  string `json:"model"`
	// Unload is set when the engine must not have the model loaded.
	Unload  bool   `json:"unload,omitempty"`
	Version string `json:"version"`
	Role    string `json:"role"`
	// State is a state of the order chart.
	State string `json:"state"`
	// Fencing is the fencing number of the lease; Holder is the router that holds it.
	Fencing uint64 `json:"fencing"`
	Holder  string `json:"holder"`
}

// Configuration is the state of the configuration in force.
type Configuration struct {
	// NextOffset is the offset after the last record applied.
	NextOffset uint64 `json:"next_offset"`
	Head       uint64 `json:"head"`
	// LogAgeMs is the time since the last successful read of the log; -1 means none yet.
	LogAgeMs int64 `json:"log_age_ms"`
	// SchemaVersions are the record versions that this router reads.
	SchemaVersions []int `json:"schema_versions"`
	// UnreadableOffset is set when a record cannot be read.
	UnreadableOffset *uint64 `json:"unreadable_offset,omitempty"`
	Pools            int     `json:"pools"`
	Workspaces       int     `json:"workspaces"`
	Routes           int     `json:"routes"`
}

// VMList is the router's view of the platform's VM list.
type VMList struct {
	Version uint64 `json:"version"`
	// AgeMs is the time since the list was last read.
	AgeMs int64 `json:"age_ms"`
	// Routers is the number of routers in the list.
	Routers int `json:"routers"`
	// Suspected are listed routers that are suspected to have failed.
	Suspected []string `json:"suspected,omitempty"`
	// Leaving are VMs that get no new work.
	Leaving []string `json:"leaving,omitempty"`
	// Down are engines and backend servers that failed recently.
	Down []string `json:"down,omitempty"`
}

// Control describes the control traffic since the start in both directions.
type Control struct {
	Bytes          int64            `json:"bytes"`
	ByCategory     map[string]int64 `json:"by_category"`
	BytesPerSecond float64          `json:"bytes_per_second"`
	// LastMinute holds the rates of the last minute in bytes per second.
	LastMinute map[string]float64 `json:"last_minute"`
	// LastMinuteTotal is the sum of LastMinute.
	LastMinuteTotal float64 `json:"last_minute_bytes_per_second"`
	// Refused counts the messages that exceeded the budget.
	Refused map[string]int64 `json:"refused"`
}
