package soak

import (
	"fmt"
	"net/http"
	"slices"
	"time"
)

// breaks returns a violation of an attempt, proved by its records and its request's.
func (a *attempt) breaks(r *request, format string, args ...any) violation {
	text := fmt.Sprintf("request %s at %s ", a.arrived.event.ID, a.arrived.event.Server) + fmt.Sprintf(format, args...)
	return violation{Request: a.arrived.event.ID, Text: text, Lines: append(a.lines(), r.sent.line)}
}

// eachAttempt returns a check of each attempt that ran, and of its request.
func eachAttempt(check func(*history, *attempt, *request) []violation) func(*history) []violation {
	return func(h *history) (list []violation) {
		h.eachRun(func(a *attempt, r *request) { list = append(list, check(h, a, r)...) })
		return list
	}
}

// eachRun calls check with each attempt that ran and its request.
func (h *history) eachRun(check func(a *attempt, r *request)) {
	for _, r := range h.requests {
		for _, a := range r.runs() {
			check(a, r)
		}
	}
}

// checkUnchanged: servers run only what callers sent, as they sent it, without headers
// that only the system sets.
func checkUnchanged(h *history) []violation {
	var list []violation
	for _, a := range h.attempts {
		if a.run.present() && h.byID[a.arrived.event.ID] == nil {
			text := fmt.Sprintf("%s ran request %q, which no caller sent", a.arrived.event.Server, a.arrived.event.ID)
			list = append(list, violation{Request: a.arrived.event.ID, Text: text, Lines: a.lines()})
		}
	}
	h.eachRun(func(a *attempt, r *request) {
		part := changedPart(r.sent.event, a.arrived.event)
		if a.arrived.event.Early && part == "" && a.body.present() && !r.sent.event.Body.same(a.body.event.Body) {
			part = "body"
		}
		if part != "" {
			list = append(list, a.breaks(r, "ran with another %s than its caller sent", part))
		}
	})
	return list
}

// changedPart names the part of a request that arrived changed; empty if none did.
func changedPart(sent requestSent, arrived requestArrived) string {
	switch {
	case sent.Method != arrived.Method:
		return "method"
	case sent.Target != arrived.Target:
		return "target"
	case !arrived.Early && !sent.Body.same(arrived.Body):
		return "body"
	case sent.Model != arrived.Model:
		return "model"
	case sent.Prompt != arrived.Prompt:
		return "prompt"
	case arrived.Forged != "":
		return arrived.Forged
	}
	return ""
}

// workspaceOf returns the workspace of a key in a configuration, and whether it has one.
func (c configConfirmed) workspaceOf(key string) (string, bool) {
	for _, w := range c.Workspaces {
		if slices.Contains(w.Keys, key) {
			return w.Name, true
		}
	}
	return "", false
}

func (c configConfirmed) route(name string) (routeRecord, bool) {
	i := slices.IndexFunc(c.Routes, func(r routeRecord) bool { return r.Name == name })
	if i < 0 {
		return routeRecord{}, false
	}
	return c.Routes[i], true
}

// allows reports whether a configuration allows a request.
func (c configConfirmed) allows(r *request) bool {
	route, found := c.route(r.sent.event.Route)
	_, known := c.workspaceOf(r.sent.event.Key)
	return found && (known || route.Public)
}

// allowsRun reports whether a configuration allows a request to run where it did.
func (c configConfirmed) allowsRun(r *request, a *attempt) bool {
	route, _ := c.route(r.sent.event.Route)
	return c.allows(r) && route.Pool == a.arrived.event.Pool
}

// checkWorkspace: a server gets the workspace of the key, and never the key.
func checkWorkspace(h *history, a *attempt, r *request) []violation {
	if a.arrived.event.KeySeen {
		return []violation{a.breaks(r, "got the caller's key")}
	}
	if slices.ContainsFunc(h.configs, func(c logged[configConfirmed]) bool {
		name, _ := c.event.workspaceOf(r.sent.event.Key)
		return name == a.arrived.event.Workspace
	}) {
		return nil
	}
	return []violation{a.breaks(r, "ran for the workspace %q, which does not hold its key", a.arrived.event.Workspace)}
}

// checkAttempts: a request runs on no more servers than its route allows. Servers that
// were disturbed beside it do not count.
func checkAttempts(h *history, r *request) []violation {
	route, found := h.route(r.sent.event.Route)
	if !found {
		return nil
	}
	var servers []string
	for _, a := range r.begun() {
		server := a.arrived.event.Server
		if !slices.Contains(servers, server) && !h.disturbed(subjectServer, server, r.sent.at-h.bounds.Margin, h.endOf(r)+h.bounds.Margin) {
			servers = append(servers, server)
		}
	}
	if len(servers) > route.Attempts {
		return []violation{r.breaks("ran on %d servers; its route allows %d", len(servers), route.Attempts)}
	}
	return nil
}

// inForce returns the configurations that may be in force at a router for a request:
// the newest that has been confirmed for long enough, and all later ones.
func (h *history) inForce(r *request) []logged[configConfirmed] {
	bound := h.bounds.ConfigApply
	if h.storeDisturbed(r.sent.event.Router, r.sent.at-h.bounds.Stable, r.sent.at) {
		bound += h.bounds.Skew
	}
	first, newest := 0, 0
	for i, c := range h.configs {
		if c.at <= r.sent.at-bound && c.event.Version >= newest {
			first, newest = i, c.event.Version
		}
	}
	var list []logged[configConfirmed]
	for _, c := range h.configs[first:] {
		if c.at <= h.endOf(r) && c.event.Version >= newest {
			list = append(list, c)
		}
	}
	return list
}

func linesOf(configs []logged[configConfirmed]) []int {
	var list []int
	for _, c := range configs {
		list = append(list, c.line)
	}
	return list
}

// isLookup reports whether a status denies a route or a key.
func isLookup(status int) bool {
	return status == http.StatusUnauthorized || status == http.StatusForbidden || status == http.StatusNotFound
}

// checkDenial: no request that the configurations allow is denied with a status of the
// router's own. A 401, 403 or 404 for what all configurations allow counts from any router,
// as the platform has it; the rest counts from routers in touch, since a router that was
// paused may miss the body of a request. The platform tolerates a few; none is known to be
// necessary. A request that its caller has not sent whole is not proper.
func checkDenial(h *history, r *request) []violation {
	status := r.status()
	if status < 300 || status > 499 || isPromise(status) || r.stopped.present() || r.started.event.Signature != "" {
		return nil
	}
	allow := func(c logged[configConfirmed]) bool { return c.event.allows(r) }
	deny := func(c logged[configConfirmed]) bool { return !c.event.allows(r) }
	configs, router := h.inForce(r), r.sent.event.Router
	always := isLookup(status) && len(h.configs) > 0 && !slices.ContainsFunc(h.configs, deny)
	inTouch := h.inTouch(router, r.sent.at) && h.inTouch(router, r.started.at)
	if always || inTouch && slices.ContainsFunc(configs, allow) && !slices.ContainsFunc(configs, deny) {
		v := r.breaks("was denied with %d, though each configuration that may be in force allows it", status)
		v.Lines = append(v.Lines, linesOf(configs)...)
		return []violation{v}
	}
	return nil
}

// checkRoute: a request runs only where some configuration allows it to go, with a key
// that some configuration held. Nothing excuses it.
func checkRoute(h *history, a *attempt, r *request) []violation {
	if allowRun(h.configs, r, a) {
		return nil
	}
	return []violation{a.breaks(r, "ran in the pool %s, which no configuration allows", a.arrived.event.Pool)}
}

// allowRun reports whether one of the configurations allows a request to run where it did.
func allowRun(configs []logged[configConfirmed], r *request, a *attempt) bool {
	return slices.ContainsFunc(configs, func(c logged[configConfirmed]) bool { return c.event.allowsRun(r, a) })
}

// checkConfiguration: a request that is sent after a configuration must be in force is
// not run as only an older one allows, by routers in touch. Denials have a rule of their own.
func checkConfiguration(h *history, a *attempt, r *request) []violation {
	router, configs := r.sent.event.Router, h.inForce(r)
	older := allowRun(h.configs, r, a) && !allowRun(configs, r, a)
	if !older || !h.undisturbed(router, r.sent.at) || h.storeDisturbed(router, r.sent.at-h.bounds.Stable, r.sent.at) {
		return nil
	}
	v := a.breaks(r, "ran as only a configuration allows that is no longer in force")
	v.Lines = append(v.Lines, linesOf(configs)...)
	return []violation{v}
}

// minLaterRequests is the number of requests on later routes from which these are judged,
// and laterShare the factor by which they may be served less often than those on the first
// routes, as the platform has them.
const (
	minLaterRequests = 20
	laterShare       = 4
)

// checkLaterRoutes: in steady state, requests on routes that were added later are served a
// quarter as often as those on the first routes at least.
func checkLaterRoutes(h *history) []violation {
	if len(h.configs) == 0 {
		return nil
	}
	var sent, served [2]int
	var failed []int
	for _, r := range h.requests {
		deny := func(c logged[configConfirmed]) bool { return !c.event.allows(r) }
		if r.left.present() || r.stopped.present() || slices.ContainsFunc(h.inForce(r), deny) || !h.inTouch(r.sent.event.Router, r.sent.at) {
			continue
		}
		later := 0
		if _, first := h.configs[0].event.route(r.sent.event.Route); !first {
			later = 1
		}
		sent[later]++
		if r.success() && r.complete() {
			served[later]++
		} else if later == 1 {
			failed = append(failed, r.lines()...)
		}
	}
	// served[1]/sent[1] < served[0]/sent[0]/laterShare, without divisions.
	if sent[1] < minLaterRequests || laterShare*served[1]*sent[0] >= served[0]*sent[1] {
		return nil
	}
	text := fmt.Sprintf("%d of %d requests on later routes were served, and %d of %d on the first ones", served[1], sent[1], served[0], sent[0])
	return []violation{{Text: text, Lines: append(failed, h.configs[0].line)}}
}

// effect is the handling of a request that tells which configurations were in force.
type effect struct {
	at     time.Duration
	lowest int
	by     *attempt
}

// checkRegress: once a process has put a configuration in force, it does not go back to
// an older one.
func checkRegress(h *history) []violation {
	var list []violation
	newest := map[string]effect{}
	for _, a := range h.attempts {
		r := h.byID[a.arrived.event.ID]
		if r == nil || !a.run.present() {
			continue
		}
		lowest, highest := h.versionsOf(r, a)
		process := h.processOf(r.sent.event.Router, r.sent.at)
		before, seen := newest[process]
		if seen && highest < before.lowest && r.sent.at > before.at+h.bounds.Regress {
			v := a.breaks(r, "ran as version %d allows, after version %d was in force", highest, before.lowest)
			v.Lines = append(v.Lines, before.by.lines()...)
			list = append(list, v)
		}
		if !seen || lowest > before.lowest {
			newest[process] = effect{at: a.arrived.at, lowest: lowest, by: a}
		}
	}
	return list
}

// versionsOf returns the lowest and the highest version that allow a run.
func (h *history) versionsOf(r *request, a *attempt) (lowest, highest int) {
	for _, c := range h.configs {
		if c.event.allowsRun(r, a) {
			if lowest == 0 {
				lowest = c.event.Version
			}
			lowest, highest = min(lowest, c.event.Version), max(highest, c.event.Version)
		}
	}
	return lowest, highest
}

// processOf names the process of a router at a moment.
func (h *history) processOf(router string, at time.Duration) string {
	starts := 0
	for _, m := range h.machines {
		if m.at <= at && m.event.Router == router && m.event.Change == routerStarted {
			starts++
		}
	}
	return fmt.Sprintf("%s#%d", router, starts)
}

// checkDrain: no request reaches a server for longer than the drain time after the
// store has confirmed that it leaves, sent by a router in touch over a sound link.
func checkDrain(h *history) []violation {
	var list []violation
	for _, a := range h.attempts {
		r := h.byID[a.arrived.event.ID]
		if r == nil || a.refused.event.Status == 421 {
			continue
		}
		entry := h.entryAt(a.arrived.event.Server, a.arrived.at)
		late := entry.present() && entry.event.State != entryReady && a.arrived.at > entry.at+h.bounds.Drain
		if !late || h.heldUp(a) || !h.inTouch(r.sent.event.Router, a.arrived.at) {
			continue
		}
		v := a.breaks(r, "arrived %v after the store confirmed that the server is %s", a.arrived.at-entry.at, entry.event.State)
		v.Lines = append(v.Lines, entry.line)
		list = append(list, v)
	}
	return list
}

// ends returns when what a server has said to a router no longer binds it: the router starts or is
// paused, or the server has another incarnation than the one that the request had reached.
func (h *history) ends(router, server string, reached, said time.Duration) time.Duration {
	end := h.end
	for _, m := range h.machines {
		if m.event.Router == router && m.at > said && (m.event.Change == routerStarted || m.event.Change == routerPaused) {
			end = min(end, m.at)
		}
	}
	start := int64(0)
	for _, e := range h.entries {
		switch {
		case e.event.Server != server || e.event.Start == start:
		case e.at <= reached:
			start = e.event.Start
		default:
			end = min(end, e.at)
		}
	}
	return end
}

// arrivalsAfter returns the arrivals from a router at the server to which one of its requests went, until
// what the server has said then no longer binds it.
func (h *history) arrivalsAfter(a *attempt, r *request, said time.Duration, counts func(*attempt, *request) bool) []*attempt {
	server, router := a.arrived.event.Server, r.sent.event.Router
	end := h.ends(router, server, a.arrived.at, said)
	return slices.DeleteFunc(slices.Clone(h.attempts), func(a *attempt) bool {
		r := h.byID[a.arrived.event.ID]
		return r == nil || a.arrived.event.Server != server || r.sent.event.Router != router || a.arrived.at >= end || !counts(a, r)
	})
}

// checkSaidLeaving: a request that is sent some time after a router has passed on an answer whose
// server says that it leaves does not reach that server from that router.
func checkSaidLeaving(h *history, r *request) []violation {
	if len(r.attempts) == 0 || !r.started.present() {
		return nil
	}
	a := r.attempts[len(r.attempts)-1]
	if !a.answered.event.Leaving {
		return nil
	}
	var list []violation
	for _, late := range h.arrivalsAfter(a, r, r.started.at, func(_ *attempt, later *request) bool { return later.sent.at > r.started.at+h.bounds.Drain }) {
		v := late.breaks(h.byID[late.arrived.event.ID], "arrived although the server had said %v before that it leaves", late.arrived.at-r.started.at)
		v.Lines = append(v.Lines, a.answered.line)
		list = append(list, v)
	}
	return list
}

// maxUnwanted is how many requests may reach a server that has refused one for a time.
const maxUnwanted = 2

// checkUnwanted: a server that has refused a request and named a time gets few requests from that
// router until then.
func checkUnwanted(h *history, r *request) []violation {
	var list []violation
	for _, a := range r.attempts {
		said, wait := a.answered.at, a.answered.event.RetryAfter
		if !a.refused.present() || wait == 0 {
			continue
		}
		unwanted := h.arrivalsAfter(a, r, said, func(a *attempt, _ *request) bool {
			return a.arrived.at > said+h.bounds.Late && a.arrived.at < said+wait && !h.heldUp(a)
		})
		if len(unwanted) <= maxUnwanted {
			continue
		}
		v := a.breaks(r, "was refused for %v, and %d more reached the server meanwhile", wait, len(unwanted))
		for _, u := range unwanted {
			v.Lines = append(v.Lines, u.arrived.line)
		}
		list = append(list, v)
	}
	return list
}

// heldUp reports whether a fault of the link to the server may have delayed an attempt.
func (h *history) heldUp(a *attempt) bool {
	return h.disturbed(subjectServer, a.arrived.event.Server, a.arrived.at-h.bounds.Stable, a.arrived.at)
}

// entryAt returns the record since which the entry of a server has had its state.
func (h *history) entryAt(server string, at time.Duration) logged[entryConfirmed] {
	var found logged[entryConfirmed]
	for _, e := range h.entries {
		if e.at > at {
			break
		}
		if e.event.Server == server && (!found.present() || (e.event.State == entryReady) != (found.event.State == entryReady)) {
			found = e
		}
	}
	return found
}
