package soak

import (
	"flag"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"
)

var (
	olderFlag  = flag.String("soak.older", "", "every second router runs this binary of an earlier version")
	excuseFlag = flag.Bool("soak.excuseolder", false, "what routers of the earlier version break is logged and does not fail the test")
)

// runsOlder reports whether a router, numbered from 0, runs the older binary.
func runsOlder(router int) bool { return *olderFlag != "" && router%2 == 1 }

func (f *fleet) binaryOf(r *router) string {
	if r.older {
		return *olderFlag
	}
	return f.binary
}

// fleetRules concern all routers together, so that they are judged with all requests.
var fleetRules = []string{"retry budget", "load"}

// countingProblems returns the problems and the violations that count, described. If
// older routers are excused, their own do not count: today's routers are judged by their
// requests, and rules over many requests by the records without those of older routers.
func (f *fleet) countingProblems(problems []string, records []record, violations []violation) []string {
	older := map[string]bool{}
	for _, r := range f.routers {
		if r.older && *excuseFlag {
			older[r.name] = true
		}
	}
	counting, excused := splitProblems(problems, older)
	v, x := splitViolations(records, violations, older)
	for _, p := range append(excused, x...) {
		f.t.Logf("of the older version, not counted: %s", p)
	}
	return append(counting, v...)
}

// splitProblems separates the problems of excused routers. A problem begins with the name
// of its router.
func splitProblems(problems []string, older map[string]bool) (counting, excused []string) {
	for _, p := range problems {
		name, _, _ := strings.Cut(p, " ")
		if older[name] {
			excused = append(excused, p)
		} else {
			counting = append(counting, p)
		}
	}
	return counting, excused
}

// splitViolations describes the violations and separates those of excused routers.
func splitViolations(records []record, violations []violation, older map[string]bool) (counting, excused []string) {
	routers := routersOfRequests(records)
	rest := withoutRouters(records, older)
	var ofRest []violation
	if len(older) > 0 {
		ofRest = judge(rest)
	}
	ofMany := func(v violation) bool { return v.Request == "" && !slices.Contains(fleetRules, v.Rule) }
	for _, v := range ofRest {
		if ofMany(v) {
			counting = append(counting, v.describe(rest))
		}
	}
	for _, v := range violations {
		switch {
		case len(older) == 0, !ofMany(v) && !older[routers[v.Request]]:
			counting = append(counting, v.describe(records))
		case !slices.ContainsFunc(ofRest, func(o violation) bool { return o.Rule == v.Rule && o.Text == v.Text }):
			excused = append(excused, v.describe(records))
		}
	}
	return counting, excused
}

// routersOfRequests returns the router to which each request was sent.
func routersOfRequests(records []record) map[string]string {
	routers := map[string]string{}
	for _, r := range records {
		if e, ok := r.Event.(requestSent); ok {
			routers[e.ID] = e.Router
		}
	}
	return routers
}

// nameIn returns the name that a field of an event has; empty without the field.
func nameIn(e event, field string) string {
	v := reflect.ValueOf(e).FieldByName(field)
	if !v.IsValid() {
		return ""
	}
	return v.String()
}

// withoutRouters returns the records without those of some routers: their processes, and
// the requests that were sent to them with all that followed.
func withoutRouters(records []record, excluded map[string]bool) []record {
	routers, attempts := routersOfRequests(records), map[string]bool{}
	for _, r := range records {
		if e, ok := r.Event.(requestArrived); ok {
			attempts[e.Attempt] = excluded[routers[e.ID]]
		}
	}
	drop := func(r record) bool {
		if router := nameIn(r.Event, "Router"); router != "" {
			return excluded[router]
		}
		return attempts[nameIn(r.Event, "Attempt")] || excluded[routers[nameIn(r.Event, "ID")]]
	}
	return slices.DeleteFunc(slices.Clone(records), drop)
}

// Guards against a fault of today's routers that is excused beside older ones, and against
// a fault of an older one that is blamed on them.
func TestOnlyOlderRoutersAreExcused(t *testing.T) {
	var records []record
	add := func(e event) {
		records = append(records, record{At: time.Duration(len(records)) * time.Millisecond, Event: e})
	}
	add(runStarted{Bounds: standardBounds()})
	for _, router := range []string{"front-1", "front-2"} {
		add(routerChanged{Router: router, Change: routerStarted})
		add(requestSent{ID: "to " + router, Router: router, Route: "safe"})
		add(answerStarted{ID: "to " + router, Status: 200})
		add(answerEnded{ID: "to " + router})
		add(routerChanged{Router: router, Change: routerExited})
	}
	violations := judge(records)
	for name, c := range map[string]struct {
		older             map[string]bool
		counting, excused int
	}{
		// Each router gives an unsigned success and ends by itself.
		"none is older": {nil, 4, 0},
		"one is older":  {map[string]bool{"front-2": true}, 2, 2},
		"all are older": {map[string]bool{"front-1": true, "front-2": true}, 0, 4},
	} {
		counting, excused := splitViolations(records, violations, c.older)
		if len(counting) != c.counting || len(excused) != c.excused {
			t.Errorf("%s: counting %q, excused %q; want %d and %d", name, counting, excused, c.counting, c.excused)
		}
	}
	counting, excused := splitProblems([]string{"front-1 is late", "front-2 is late", "front-20 is late"}, map[string]bool{"front-2": true})
	if len(counting) != 2 || len(excused) != 1 {
		t.Errorf("counting %q, excused %q; want those of front-1 and front-20, and of front-2", counting, excused)
	}
}
