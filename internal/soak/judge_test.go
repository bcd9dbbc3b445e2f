package soak

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// bounds are the times and numbers of the rules. Those of the platform's pages that
// vary by site have the values of its example site.
type bounds struct {
	// Stable is how long a router and the store must have been undisturbed before rules
	// with a time bound hold.
	Stable time.Duration `json:"stable"`
	// ConfigApply is the time from the confirmation of a configuration until it must be in
	// force; Skew is added while the store is disturbed.
	ConfigApply time.Duration `json:"config_apply"`
	Skew        time.Duration `json:"skew"`
	// Regress is the time after which a router must not handle a request as an older
	// configuration allows once it has put a newer one in force.
	Regress time.Duration `json:"regress"`
	// Drain is the time from the confirmation that a server leaves until it must get no
	// more requests.
	Drain time.Duration `json:"drain"`
	// Loss is the time after which a request that has been sent whole must be answered.
	Loss time.Duration `json:"loss"`
	// Late is the slack of deadlines, timeouts and departures of callers.
	Late time.Duration `json:"late"`
	// Unready is the time after a SIGTERM until the router must not count as ready.
	Unready time.Duration `json:"unready"`
	// Takeover is the time after which a server must not work on a run that another one continues.
	Takeover time.Duration `json:"takeover"`
	// RetryRatio and RetryExtra bound the repeats of a pool in each RetryWindow.
	RetryRatio  float64       `json:"retry_ratio"`
	RetryExtra  int           `json:"retry_extra"`
	RetryWindow time.Duration `json:"retry_window"`
	// LoadMultiple bounds the requests at a server: LoadMultiple times the mean of its
	// pool, and 3. Calm is how long no server was disturbed before it holds.
	LoadMultiple float64       `json:"load_multiple"`
	Calm         time.Duration `json:"calm"`
	// ColdMost bounds the requests that arrive in a second at a server that is cold, from ColdKnown after the
	// confirmation of its new incarnation until ColdStart after it.
	ColdMost  int           `json:"cold_most"`
	ColdKnown time.Duration `json:"cold_known"`
	ColdStart time.Duration `json:"cold_start"`
	// Recovery is the time after the last fault from which requests must be served.
	Recovery time.Duration `json:"recovery"`
	// HeaderMargin is what a router may add to the limit for headers.
	HeaderMargin time.Duration `json:"header_margin"`
	// Margin allows for requests in progress when a fault begins or ends.
	Margin time.Duration `json:"margin"`
}

func standardBounds() bounds {
	return bounds{
		Stable: 3 * time.Second, ConfigApply: 2 * time.Second, Skew: 5 * time.Second, Regress: 250 * time.Millisecond,
		Drain: drainGrace, Loss: 200 * time.Millisecond, Late: 500 * time.Millisecond, Unready: 4 * time.Second, Takeover: 400 * time.Millisecond,
		RetryRatio: 0.2, RetryExtra: 240, RetryWindow: 10 * time.Second, LoadMultiple: 2, Calm: 5 * time.Second,
		ColdMost: int(math.Floor(coldBound)), ColdKnown: coldKnown, ColdStart: coldStart,
		Recovery: recoveryTime, HeaderMargin: time.Second, Margin: faultMargin,
	}
}

// violation is a broken rule, with the request and the records that prove it.
type violation struct {
	Rule    string
	Request string
	Text    string
	// Lines are the numbers of records, from 1.
	Lines []int
}

// maxDescribed bounds the records that a description quotes.
const maxDescribed = 20

// describe returns the violation and the records that prove it.
func (v violation) describe(records []record) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s: %s", v.Rule, v.Text)
	for _, n := range v.Lines[:min(len(v.Lines), maxDescribed)] {
		fmt.Fprintf(&b, "\n    %d: %s", n, records[n-1])
	}
	if n := len(v.Lines) - maxDescribed; n > 0 {
		fmt.Fprintf(&b, "\n    and %d further records", n)
	}
	return b.String()
}

// judge returns the rules that the records break. It uses nothing but the records.
func judge(records []record) []violation {
	h := newHistory(records)
	var list []violation
	for _, r := range rules {
		for _, v := range r.check(h) {
			v.Rule = r.name
			slices.Sort(v.Lines)
			v.Lines = slices.Compact(v.Lines)
			list = append(list, v)
		}
	}
	return list
}

// logged is an event with the time and the number of its record; line 0 means that
// there is none.
type logged[E event] struct {
	at    time.Duration
	line  int
	event E
}

func (l logged[E]) present() bool { return l.line > 0 }

// request is a request of a caller with all that happened to it.
type request struct {
	sent    logged[requestSent]
	whole   logged[requestWhole]
	stopped logged[callerStopped]
	started logged[answerStarted]
	ended   logged[answerEnded]
	left    logged[callerLeft]
	// attempts are its arrivals at servers, in order.
	attempts []*attempt
}

// attempt is the arrival of a request at a server.
type attempt struct {
	arrived   logged[requestArrived]
	body      logged[bodyArrived]
	run       logged[requestRun]
	refused   logged[requestRefused]
	answered  logged[answerGiven]
	cancelled logged[attemptCancelled]
}

// end returns when the server stopped working on an attempt.
func (a *attempt) end() (time.Duration, bool) {
	switch {
	case a.answered.present() && a.cancelled.present():
		return min(a.answered.at, a.cancelled.at), true
	case a.answered.present():
		return a.answered.at, true
	case a.cancelled.present():
		return a.cancelled.at, true
	}
	return 0, false
}

// span is the period of a fault.
type span struct {
	fault    logged[faultStarted]
	from, to time.Duration
}

// history is an index of the records.
type history struct {
	bounds   bounds
	requests []*request
	byID     map[string]*request
	attempts []*attempt
	stray    []logged[strayBytes]
	configs  []logged[configConfirmed]
	entries  []logged[entryConfirmed]
	eras     []logged[storeRestored]
	// evacuations are the records of evacuated data centres and of the ends of evacuations.
	evacuations []logged[evacuationConfirmed]
	machines    []logged[routerChanged]
	// predates has the rules that the build of a router predates.
	predates map[string][]string
	faults   []span
	stopped  logged[callersStopped]
	end      time.Duration
}

func newHistory(records []record) *history {
	h := &history{bounds: standardBounds(), byID: map[string]*request{}, predates: map[string][]string{}}
	attempts, open := map[string]*attempt{}, map[int]int{}
	for i, r := range records {
		h.end = r.At
		h.addEvent(r, i+1, attempts, open)
	}
	for _, i := range open {
		h.faults[i].to = h.end
	}
	return h
}

// addEvent adds the event of a line. Attempts and open faults are kept by their names.
func (h *history) addEvent(r record, line int, attempts map[string]*attempt, open map[int]int) {
	switch e := r.Event.(type) {
	case runStarted:
		h.bounds = e.Bounds
	case callersStopped:
		h.stopped = logged[callersStopped]{r.At, line, e}
	case requestSent:
		req := &request{sent: logged[requestSent]{r.At, line, e}}
		h.requests = append(h.requests, req)
		h.byID[e.ID] = req
	case requestWhole:
		h.of(e.ID).whole = logged[requestWhole]{r.At, line, e}
	case callerStopped:
		h.of(e.ID).stopped = logged[callerStopped]{r.At, line, e}
	case answerStarted:
		h.of(e.ID).started = logged[answerStarted]{r.At, line, e}
	case answerEnded:
		h.of(e.ID).ended = logged[answerEnded]{r.At, line, e}
	case callerLeft:
		h.of(e.ID).left = logged[callerLeft]{r.At, line, e}
	case strayBytes:
		h.stray = append(h.stray, logged[strayBytes]{r.At, line, e})
	case configConfirmed:
		h.configs = append(h.configs, logged[configConfirmed]{r.At, line, e})
	case entryConfirmed:
		h.entries = append(h.entries, logged[entryConfirmed]{r.At, line, e})
	case evacuationConfirmed:
		h.evacuations = append(h.evacuations, logged[evacuationConfirmed]{r.At, line, e})
	case storeRestored:
		h.eras = append(h.eras, logged[storeRestored]{r.At, line, e})
	case routerPredates:
		h.predates[e.Router] = e.Rules
	case routerChanged:
		h.machines = append(h.machines, logged[routerChanged]{r.At, line, e})
	case faultStarted:
		open[e.Number] = len(h.faults)
		h.faults = append(h.faults, span{fault: logged[faultStarted]{r.At, line, e}, from: r.At})
	case faultEnded:
		if i, ok := open[e.Number]; ok {
			h.faults[i].to = r.At
			delete(open, e.Number)
		}
	default:
		h.addAttemptEvent(r, line, attempts)
	}
}

func (h *history) addAttemptEvent(r record, line int, attempts map[string]*attempt) {
	of := func(name string) *attempt {
		if attempts[name] == nil {
			attempts[name] = &attempt{}
		}
		return attempts[name]
	}
	switch e := r.Event.(type) {
	case requestArrived:
		a := of(e.Attempt)
		a.arrived = logged[requestArrived]{r.At, line, e}
		h.attempts = append(h.attempts, a)
		if req := h.byID[e.ID]; req != nil {
			req.attempts = append(req.attempts, a)
		}
	case bodyArrived:
		of(e.Attempt).body = logged[bodyArrived]{r.At, line, e}
	case requestRun:
		of(e.Attempt).run = logged[requestRun]{r.At, line, e}
	case requestRefused:
		of(e.Attempt).refused = logged[requestRefused]{r.At, line, e}
	case answerGiven:
		of(e.Attempt).answered = logged[answerGiven]{r.At, line, e}
	case attemptCancelled:
		of(e.Attempt).cancelled = logged[attemptCancelled]{r.At, line, e}
	}
}

// of returns the request of an id. Callers record a request before its answer.
func (h *history) of(id string) *request {
	if req := h.byID[id]; req != nil {
		return req
	}
	return &request{}
}

// runs returns the attempts that ran.
func (r *request) runs() []*attempt {
	var list []*attempt
	for _, a := range r.attempts {
		if a.run.present() {
			list = append(list, a)
		}
	}
	return list
}

// begun returns the attempts that ran and did not continue the run of another server.
func (r *request) begun() []*attempt {
	return slices.DeleteFunc(r.runs(), func(a *attempt) bool { return a.arrived.event.Continues })
}

// continued reports whether a server has continued the run of another one.
func (r *request) continued() bool { return len(r.begun()) < len(r.runs()) }

func (r *request) id() string { return r.sent.event.ID }

// status returns the status that the caller got; 0 without an answer.
func (r *request) status() int { return r.started.event.Status }

func (r *request) success() bool { return r.status() >= 200 && r.status() < 300 }

// complete reports whether the answer looked complete to the caller.
func (r *request) complete() bool {
	return r.started.present() && r.ended.present() && r.ended.event.Error == ""
}

// lines returns the numbers of all records of a request.
func (r *request) lines() []int {
	list := present(r.sent.line, r.whole.line, r.stopped.line, r.started.line, r.ended.line, r.left.line)
	for _, a := range r.attempts {
		list = append(list, a.lines()...)
	}
	return list
}

func (a *attempt) lines() []int {
	return present(a.arrived.line, a.body.line, a.run.line, a.refused.line, a.answered.line, a.cancelled.line)
}

// present returns the lines without those of absent records.
func present(lines ...int) []int {
	return slices.DeleteFunc(lines, func(n int) bool { return n == 0 })
}

// breaks returns a violation of a request, proved by its records.
func (r *request) breaks(format string, args ...any) violation {
	text := fmt.Sprintf("%s request %s ", r.sent.event.Route, r.id()) + fmt.Sprintf(format, args...)
	return violation{Request: r.id(), Text: text, Lines: r.lines()}
}

// eachRequest runs a check of single requests.
func eachRequest(check func(h *history, r *request) []violation) func(*history) []violation {
	return func(h *history) []violation {
		var list []violation
		for _, r := range h.requests {
			list = append(list, check(h, r)...)
		}
		return list
	}
}

// route returns the newest definition of a request's route, and false if no
// configuration has had it.
func (h *history) route(name string) (routeRecord, bool) {
	for _, c := range slices.Backward(h.configs) {
		for _, r := range c.event.Routes {
			if r.Name == name {
				return r, true
			}
		}
	}
	return routeRecord{}, false
}

// once reports whether a request must not run twice. Requests of unknown routes must not.
func (h *history) once(r *request) bool {
	route, _ := h.route(r.sent.event.Route)
	return route.Kind != "safe" && !(route.Kind == "stream" && route.Resumable)
}

func (h *history) isStream(r *request) bool {
	route, _ := h.route(r.sent.event.Route)
	return route.Kind == "stream"
}

// inTouch reports whether rules with a time bound hold for a router at a moment: its
// process ran undisturbed for the stable time, and so did the store.
func (h *history) inTouch(router string, at time.Duration) bool {
	return h.undisturbed(router, at) && !h.storeDisturbed(router, at-h.bounds.Stable, at)
}

// undisturbed reports whether the process of a router ran for the stable time before a
// moment. A process that ends by itself counts as running.
func (h *history) undisturbed(router string, at time.Duration) bool {
	running, since := false, time.Duration(0)
	for _, m := range h.machines {
		if m.at > at {
			break
		}
		if m.event.Router != router {
			continue
		}
		switch m.event.Change {
		case routerStarted, routerResumed:
			running, since = true, m.at
		case routerStop, routerKilled, routerPaused:
			running = false
		}
	}
	return running && at-since >= h.bounds.Stable
}

// storeDisturbed reports whether a fault of the store, or of a router's way to it, or a
// return from a copy overlaps a period.
func (h *history) storeDisturbed(router string, from, to time.Duration) bool {
	for _, s := range h.faults {
		affected := s.fault.event.Disrupt == subjectStore && (s.fault.event.Target == "" || s.fault.event.Target == router)
		if affected && s.from <= to && s.to >= from {
			return true
		}
	}
	return slices.ContainsFunc(h.eras, func(e logged[storeRestored]) bool { return e.at >= from && e.at <= to })
}

// disturbed reports whether a fault of a subject, by its name, overlaps a period.
func (h *history) disturbed(of subject, name string, from, to time.Duration) bool {
	return slices.ContainsFunc(h.faults, func(s span) bool {
		return s.fault.event.Disrupt == of && s.fault.event.Target == name && s.from <= to && s.to >= from
	})
}

// faultBeside reports whether a fault of a request's router, or of a server that got it,
// overlaps the request with the margin. Planned work and faults of the store are none.
func (h *history) faultBeside(r *request) bool {
	from, to := r.sent.at-h.bounds.Margin, h.endOf(r)+h.bounds.Margin
	if h.disturbed(subjectRouter, r.sent.event.Router, from, to) {
		return true
	}
	return h.serverFaultBeside(r)
}

// serverFaultBeside is faultBeside for the servers alone.
func (h *history) serverFaultBeside(r *request) bool {
	from, to := r.sent.at-h.bounds.Margin, h.endOf(r)+h.bounds.Margin
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool {
		return h.disturbed(subjectServer, a.arrived.event.Server, from, to)
	})
}

// endOf returns when the caller had its answer, or had left; the end of the records if
// neither is known.
func (h *history) endOf(r *request) time.Duration {
	switch {
	case r.ended.present():
		return r.ended.at
	case r.left.present():
		return r.left.at
	}
	return h.end
}

// turnOf returns when a router had all of a request and could begin with it: after its last
// byte, and after the answer to the request before on the connection.
func (h *history) turnOf(r *request) time.Duration {
	turn := max(r.sent.at, r.whole.at)
	if before := h.byID[r.sent.event.Behind]; before != nil {
		turn = max(turn, h.endOf(before))
	}
	return turn
}

// lastFault returns when the last fault or planned work ended.
func (h *history) lastFault() time.Duration {
	last := time.Duration(0)
	for _, s := range h.faults {
		last = max(last, s.to)
	}
	return last
}
