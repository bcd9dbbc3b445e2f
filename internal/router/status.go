package router

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/record"
	"github.com/bluebellwell/bluebellwell/internal/status"
)

// Status returns the status document for operators.
func (r *Router) Status() status.Router {
	s := r.state()
	now := r.clock.Now()
	doc := status.Router{
		VM:            r.settings.VM,
		DataCentre:    r.settings.DataCentre,
		Region:        r.settings.Region,
		Lifecycle:     string(s.lifecycle),
		Ready:         s.entry.Ready,
		Reason:        s.entry.Reason,
		BootID:        strconv.FormatUint(r.bootID, 16),
		Started:       r.startedAt,
		Config:        r.configStatus(s),
		VMList:        s.vmList,
		Owners:        map[string]string{},
		Pools:         r.poolOwner.Stats(),
		Callers:       r.outcomes.snapshot(),
		Relayed:       r.dispatch.InFlight().Count(),
		Running:       r.poolOwner.Running(),
		DroppedFrames: r.dispatch.DroppedFrames(),
		Control: status.Control{
			Bytes:      r.meter.Total(),
			ByCategory: r.meter.Totals(),
			LastMinute: r.sampler.Rates(time.Minute),
			Refused:    r.meter.RefusedByCategory(),
		},
	}
	doc.Orders = r.orders.status(r.settings.VM)
	for _, rate := range doc.Control.LastMinute {
		doc.Control.LastMinuteTotal += rate
	}
	if uptime := now.Sub(r.startedAt).Seconds(); uptime > 0 {
		doc.Control.BytesPerSecond = float64(doc.Control.Bytes) / uptime
	}
	for pool, owner := range s.owners {
		doc.Owners[pool] = owner.VM
	}
	return doc
}

func (r *Router) configStatus(s *state) status.Configuration {
	snap := r.config.Snapshot()
	c := status.Configuration{
		NextOffset:     s.nextOffset,
		Head:           snap.Log.Head,
		LogAgeMs:       -1,
		SchemaVersions: record.ReadableVersions(),
	}
	if age := logAge(r.clock.Now(), snap.Log.HeadReadAt); age != logAgeUnknown {
		c.LogAgeMs = int64(age)
	}
	if snap.Unreadable != nil {
		offset := snap.Unreadable.Offset
		c.UnreadableOffset = &offset
	}
	if snap.Config != nil {
		c.Pools = len(snap.Config.Pools)
		c.Workspaces = len(snap.Config.Workspaces)
		c.Routes = len(snap.Config.Routes)
	}
	return c
}

func (r *Router) statusJSON() []byte {
	data, err := json.Marshal(r.Status())
	if err != nil {
		return nil
	}
	return data
}

func (r *Router) serveStatus(w http.ResponseWriter, _ *http.Request) {
	data := r.statusJSON()
	if data == nil {
		http.Error(w, "the status cannot be encoded", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data)
}
