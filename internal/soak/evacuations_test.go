package soak

import (
	"fmt"
	"slices"
	"time"

	"github.com/bluebellwell/bluebellwell/platform"
	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

// kindEvacuated is planned work of the operators, which excuses nothing.
const kindEvacuated = "operators evacuate a data centre"

const (
	// dataCentres is the number of data centres of the servers. The last one is never evacuated, so that each pool keeps servers.
	dataCentres = 3
	// evacuateBound is the time from the store's confirmation in which an evacuation takes effect at every router, and
	// evacuateInTouch that at a router in touch.
	evacuateBound   = 5 * time.Second
	evacuateInTouch = 1500 * time.Millisecond
)

// plannedEvacuation is the data centre that is evacuated while nothing is disturbed. No server of it leaves then.
var plannedEvacuation = dataCentreOf(1)

// dataCentreOf returns the data centre of the i-th server.
func dataCentreOf(i int) string { return fmt.Sprintf("hall-%d", i%dataCentres) }

// evacuate evacuates a data centre for a while. Evacuations may overlap; the last one to end lifts it. Half of them are
// long enough for the bound of routers that are not in touch.
func evacuate(f *fleet, selector int, duration time.Duration) {
	dataCentre := dataCentreOf(selector % (dataCentres - 1))
	f.setEvacuated(dataCentre, 1)
	time.Sleep(duration + evacuateInTouch + time.Duration(selector%2)*evacuateBound)
	f.setEvacuated(dataCentre, -1)
}

// setEvacuated counts an evacuation of a data centre up or down, and writes it.
func (f *fleet) setEvacuated(dataCentre string, change int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.evacuations[dataCentre] += change
	f.writeEvacuation(dataCentre)
}

// writeEvacuation writes whether a data centre is evacuated. The caller holds f.mu.
func (f *fleet) writeEvacuation(dataCentre string) {
	var value []byte
	if f.evacuations[dataCentre] > 0 {
		value = []byte("{}")
	}
	f.store.Put(platform.TopicConfig, platformtest.EvacuationKey(dataCentre), value)
	f.records.add(evacuationConfirmed{DataCentre: dataCentre, Evacuated: value != nil})
}

// writeEvacuations writes all evacuations, and the end of those that were lifted, again. The caller holds f.mu.
func (f *fleet) writeEvacuations() {
	for dataCentre := range f.evacuations {
		f.writeEvacuation(dataCentre)
	}
}

// checkEvacuated: no request reaches a server of an evacuated data centre later than the bound after the store's confirmation,
// whichever router sends it, and none of a router in touch after a shorter time.
func checkEvacuated(h *history) []violation {
	var list []violation
	for _, a := range h.attempts {
		r := h.byID[a.arrived.event.ID]
		if r == nil || h.predatesRule(r, ruleEvacuated) || h.heldUp(a) {
			continue
		}
		since := h.evacuatedSince(a.arrived.event.Server, a.arrived.at)
		if !since.present() {
			continue
		}
		router := r.sent.event.Router
		bound := evacuateBound
		switch {
		case h.inTouch(router, a.arrived.at) && !h.storeDisturbed(router, since.at-h.bounds.Stable, a.arrived.at):
			bound = evacuateInTouch
		case h.storeDisturbed(router, since.at-h.bounds.Stable, a.arrived.at):
			bound += h.bounds.Skew
		}
		if a.arrived.at <= since.at+bound {
			continue
		}
		v := a.breaks(r, "arrived %v after the store confirmed that %s is evacuated", a.arrived.at-since.at, since.event.DataCentre)
		v.Lines = append(v.Lines, since.line)
		list = append(list, v)
	}
	return list
}

// evacuatedSince returns the record since which the data centre of a server is evacuated at a moment.
func (h *history) evacuatedSince(server string, at time.Duration) logged[evacuationConfirmed] {
	dataCentre := ""
	for _, e := range h.entries {
		if e.event.Server == server && e.at <= at {
			dataCentre = e.event.DataCentre
		}
	}
	var since logged[evacuationConfirmed]
	for _, e := range h.evacuations {
		switch {
		case e.event.DataCentre != dataCentre || e.at > at:
		case !e.event.Evacuated:
			since = logged[evacuationConfirmed]{}
		case !since.present():
			since = e
		}
	}
	return since
}

func evacuationCases() []judgeCase {
	inHall := func(ms int) record {
		return changed(entry(ms, "s1", entryReady), func(e *entryConfirmed) { e.DataCentre = "hall" })
	}
	evacuation := func(ms int, evacuated bool) record {
		return at(ms, evacuationConfirmed{DataCentre: "hall", Evacuated: evacuated})
	}
	common := []record{inHall(-9000), evacuation(0, true)}
	return []judgeCase{
		{rule: "evacuated data centres", about: "a router in touch", common: common,
			breaks: served(1600, "a", "plain"),
			keeps:  served(1400, "a", "plain")},
		{rule: "evacuated data centres", about: "one written again", common: slices.Concat(common, served(3000, "a", "plain")),
			breaks: []record{evacuation(2000, true)},
			keeps:  []record{evacuation(1000, false), evacuation(2000, true)}},
		{rule: "evacuated data centres", about: "a router that was paused", common: slices.Concat(common, []record{machine(500, routerPaused), machine(4700, routerResumed)}),
			breaks: served(5100, "a", "plain"),
			keeps:  served(4900, "a", "plain")},
		{rule: "evacuated data centres", about: "lifted", common: slices.Concat(common, served(3000, "a", "plain")),
			breaks: []record{evacuation(3500, false)},
			keeps:  []record{evacuation(1000, false)}},
		{rule: "evacuated data centres", about: "another data centre", common: slices.Concat([]record{evacuation(0, true)}, served(3000, "a", "plain")),
			breaks: []record{inHall(-9000)},
			keeps:  []record{entry(-9000, "s1", entryReady)}},
	}
}

// evacuatedStill returns the routers that still take a data centre for evacuated some time after all evacuations were lifted.
func (f *fleet) evacuatedStill() []string {
	var problems []string
	deadline := time.Now().Add(evacuateInTouch)
	for _, r := range f.allRouters() {
		status, err := r.status()
		for err == nil && len(status.Evacuations) > 0 && time.Now().Before(deadline) {
			time.Sleep(viewInterval)
			status, err = r.status()
		}
		if err == nil && len(status.Evacuations) > 0 {
			problems = append(problems, fmt.Sprintf("%s has the evacuations %+v, which were lifted", r.name, status.Evacuations))
		}
	}
	return problems
}
