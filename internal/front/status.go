package front

import (
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/uptrace/bunrouter"

	"github.com/bluebellwell/bluebellwell/internal/evacuation"
	"github.com/bluebellwell/bluebellwell/internal/forward"
)

// StatusPath is the path of a router's status at its metrics address.
const StatusPath = "/status"

// Status is a router's view of itself and of the servers, for operators.
type Status struct {
	VM         string `json:"vm"`
	DataCentre string `json:"data_centre"`
	Ready      bool   `json:"ready"`
	Stopping   bool   `json:"stopping"`
	// ConfigVersion is the version in force; 0 before the first one.
	ConfigVersion int64 `json:"config_version"`
	// ConfigSource is where it comes from, store or router, and ConfigHash the beginning of the hash of its text.
	ConfigSource string `json:"config_source"`
	ConfigHash   string `json:"config_hash"`
	// StoreEra counts how often the store has come back from an older copy.
	StoreEra int64 `json:"store_era"`
	// ReportedEra is the highest one that another router has reported. A router that is
	// no reader may be in an earlier era until its next own read.
	ReportedEra int64 `json:"reported_era"`
	// StoreFailing lists the topics that cannot be read now.
	StoreFailing []string `json:"store_failing"`
	// Reader is set while this router reads the store for others.
	Reader bool `json:"reader"`
	// Routers is the number of other routers whose digests arrive.
	Routers int `json:"routers"`
	// Running is the number of requests in progress.
	Running int64 `json:"running"`
	// Evacuations are the evacuated data centres, and EvacuationsAsOf the position in the store, as era/offset, up to which they
	// are known.
	Evacuations     []EvacuationStatus `json:"evacuations"`
	EvacuationsAsOf string             `json:"evacuations_as_of"`
	// SendsPaused is why the router sends no requests until it knows the evacuations again: frozen or isolated; absent otherwise.
	SendsPaused evacuation.Pause `json:"sends_paused,omitempty"`
	// QuarantinedParts are the parts of prompts that crash engines; requests with them are refused.
	QuarantinedParts []string `json:"quarantined_parts"`
	// QuarantinedRequests are the fingerprints of requests that crash servers and are refused.
	QuarantinedRequests []string             `json:"quarantined_requests"`
	Pools               []forward.PoolStatus `json:"pools"`
}

// EvacuationStatus is an evacuated data centre, for operators.
type EvacuationStatus struct {
	DataCentre string `json:"data_centre"`
	// AgeMs is how long this router has known of it, and Source from where: store or router.
	AgeMs  int64             `json:"age_ms"`
	Source evacuation.Source `json:"source"`
	// Position is that of the record in the store, as era/offset.
	Position string `json:"position"`
	// LostForMs is how long the evacuation stays in force although the store has come back from a copy without it; absent for one
	// that the store has.
	LostForMs int64 `json:"lost_for_ms,omitempty"`
}

// Status returns the current status of the router.
func (f *Front) Status() Status {
	s := Status{
		VM:           f.settings.VM,
		DataCentre:   f.settings.DataCentre,
		Ready:        f.tracker.ready(),
		Stopping:     f.tracker.stopping.Load(),
		StoreEra:     f.tracker.eras.Current(),
		ReportedEra:  f.exchange.NewestEra(),
		StoreFailing: f.tracker.progress.failingTopics(),
		Reader:       f.exchange.Reading(),
		Routers:      f.exchange.LivePeerCount(),
		Running:      f.handler.Running(),
		Pools:        f.state.Status(time.Now()),
		SendsPaused:  f.tracker.evacuations.current(),
	}
	s.Evacuations, s.EvacuationsAsOf = f.tracker.evacuations.status(time.Now())
	for _, e := range f.state.PartEntries() {
		list := &s.QuarantinedParts
		if e.Request {
			list = &s.QuarantinedRequests
		}
		*list = append(*list, strconv.FormatUint(e.Part, 16))
	}
	if t := f.state.Table(); t != nil {
		s.ConfigVersion = t.Version()
		source, hash := f.tracker.differences.status()
		s.ConfigSource, s.ConfigHash = string(source), hex.EncodeToString(hash[:4])
	}
	return s
}

func (f *Front) serveStatus(w http.ResponseWriter, _ bunrouter.Request) error {
	data, err := json.Marshal(f.Status())
	if err != nil {
		// bunrouter drops the error, and net/http would send an empty 200.
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	_, err = w.Write(append(data, '\n'))
	return err
}

// serveMetrics serves the metrics page. bunrouter.HTTPHandler would recover from a panic,
// and net/http would then send an empty 200.
func (f *Front) serveMetrics(w http.ResponseWriter, r bunrouter.Request) error {
	f.metrics.Handler().ServeHTTP(w, r.Request)
	return nil
}
