package soak

import (
	"errors"
	"flag"
	"os/exec"
	"path/filepath"
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

// Rules that an earlier build may predate.
const (
	ruleRegions   = "regions"
	ruleCold      = "cold servers"
	ruleEvacuated = "evacuated data centres"
)

// settledRules are those rules, each with settings that came with it and that builds before it reject.
var settledRules = []struct {
	name     string
	settings func(settings, bounds map[string]any)
}{
	{ruleRegions, func(settings, _ map[string]any) { settings["regions"] = regions() }},
	{ruleCold, func(_, bounds map[string]any) {
		bounds["cold_overage"], bounds["cold_slack"] = coldOverage, coldSlack
	}},
	{ruleEvacuated, func(_, bounds map[string]any) { bounds["evacuate"] = evacuateBound.String() }},
}

// findPredatedRules finds the rules that the older binary predates: it rejects their settings and accepts those that all
// builds know.
func (f *fleet) findPredatedRules() {
	f.t.Helper()
	if *olderFlag == "" {
		return
	}
	if !f.olderAccepts(func(_, _ map[string]any) {}) {
		f.t.Fatal("the older binary rejects the settings that all builds know")
	}
	for _, rule := range settledRules {
		if !f.olderAccepts(rule.settings) {
			f.predated = append(f.predated, rule.name)
		}
	}
	f.t.Logf("rules that the older binary predates: %q", f.predated)
}

// exitInvalid is the exit code of a binary that rejects its settings.
const exitInvalid = 3

// olderAccepts reports whether the older binary accepts the settings that all builds know with an addition.
func (f *fleet) olderAccepts(add func(settings, bounds map[string]any)) bool {
	f.t.Helper()
	// Nothing listens or connects while settings are checked, so any address of a store will do.
	settings, bounds := (&router{name: "front-1", host: proxyHost, ports: [4]int{1, 2, 3, 4}, store: f.servers[0].proxy}).settings()
	add(settings, bounds)
	file := filepath.Join(f.dir, "older.json")
	if err := writeJSON(file, settings); err != nil {
		f.t.Fatal(err)
	}
	out, err := exec.Command(*olderFlag, "front", "-settings", file, "-check").CombinedOutput()
	var exit *exec.ExitError
	if err != nil && (!errors.As(err, &exit) || exit.ExitCode() != exitInvalid) {
		f.t.Fatalf("the older binary does not check settings: %v\n%s", err, out)
	}
	return err == nil
}

// predatesRule reports whether a request was sent to a router whose build predates a rule. Nothing that is changed today
// makes such a router keep it, so its requests do not count for the rule; those of other routers in the same run do.
func (h *history) predatesRule(r *request, rule string) bool {
	return r != nil && slices.Contains(h.predates[r.sent.event.Router], rule)
}

// maxLoggedPredated bounds the uncounted violations of a rule that are logged.
const maxLoggedPredated = 5

// logPredated logs the violations that do not count because a router's build predates their rule.
func (f *fleet) logPredated(records []record, counting []violation) {
	for _, rule := range f.predated {
		list := predatedViolations(records, counting, rule)
		f.t.Logf("%s: %d violations do not count with routers whose build predates the rule", rule, len(list))
		for _, v := range list[:min(len(list), maxLoggedPredated)] {
			f.t.Logf("not counted: %s: %s", v.Rule, v.Text)
		}
	}
}

// predatedViolations returns the violations of a rule that would count if every router's build knew it.
func predatedViolations(records []record, counting []violation, rule string) []violation {
	all := judge(slices.DeleteFunc(slices.Clone(records), func(r record) bool {
		_, ok := r.Event.(routerPredates)
		return ok
	}))
	return slices.DeleteFunc(all, func(v violation) bool {
		counts := func(c violation) bool { return c.Rule == v.Rule && c.Text == v.Text }
		return v.Rule != rule || slices.ContainsFunc(counting, counts)
	})
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

// sentTo returns records with their requests sent to another router.
func sentTo(router string, records []record) []record {
	list := slices.Clone(records)
	for i, r := range list {
		if _, ok := r.Event.(requestSent); ok {
			list[i] = changed(r, func(s *requestSent) { s.Router = router })
		}
	}
	return list
}

// Guards against a fault of a router of today's build that does not count beside routers of an earlier build, against one of
// theirs that fails a run although their build predates the rule, and against an exemption from any other rule.
func TestEarlierBuildsAreExemptOnlyFromRulesThatTheyPredate(t *testing.T) {
	inNorth := func(e *entryConfirmed) { e.Region = "north" }
	inHall := func(e *entryConfirmed) { e.DataCentre = "hall" }
	startedAgain := func(e *entryConfirmed) { e.Start = 1 }
	toSouth := func(c *configConfirmed) {
		addBound(c)
		c.Workspaces[1].Regions = []string{"south"}
	}
	cases := []struct {
		rule   string
		common []record
		// fault returns the requests of a router that breaks the rule, with ids that begin with a letter.
		fault func(letter string) []record
		// keeps are requests of a router that keeps it.
		keeps []record
		// both and bothUncounted are the violations of a fault of both builds, by what would count with any build and by what does
		// not with an earlier one. The requests at a cold server break the rule together.
		both, bothUncounted string
	}{
		{ruleRegions, []record{changed(entry(-9500, "s1", entryReady), inNorth), changed(config(-9000, 2, "k1", "plain"), toSouth)},
			func(letter string) []record { return servedBound(100, letter) }, nil, "ot", "o"},
		{ruleCold, []record{entry(-5000, "s1", entryReady), changed(entry(0, "s1", entryReady), startedAgain)},
			func(letter string) []record {
				return many(3, 2500, 400, func(ms int, id string) []record { return served(ms, letter+id, "plain") })
			}, many(2, 2600, 400, func(ms int, id string) []record { return served(ms, "k"+id, "plain") }), "t", "t"},
		{ruleEvacuated, []record{changed(entry(-9000, "s1", entryReady), inHall), at(0, evacuationConfirmed{DataCentre: "hall", Evacuated: true})},
			func(letter string) []record { return served(2000, letter, "plain") }, served(1000, "k", "plain"), "ot", "o"},
	}
	all := []string{ruleRegions, ruleCold, ruleEvacuated}
	for _, c := range cases {
		t.Run(c.rule, func(t *testing.T) {
			others := slices.DeleteFunc(slices.Clone(all), func(rule string) bool { return rule == c.rule })
			today, older := c.fault("t"), sentTo("f2", c.fault("o"))
			for _, run := range []struct {
				about    string
				predates []string
				requests []record
				// counts and uncounted are the first letters of the requests whose violations count and of those whose do not.
				counts, uncounted string
			}{
				{"a fault of the earlier build", all, joined(older, c.keeps), "", "o"},
				{"a fault of today's build", all, today, "t", ""},
				{"a fault of both", all, joined(today, older), "t", c.bothUncounted},
				{"a fault of an earlier build that knows the rule", others, older, "o", ""},
				{"a fault of both, where the earlier build knows the rule", others, joined(today, older), c.both, ""},
			} {
				records := caseRecords(c.common, joined(run.requests, []record{
					at(-10000, routerPredates{Router: "f2", Rules: run.predates}), at(-10000, routerChanged{Router: "f2", Change: routerStarted}),
				}))
				violations := judge(records)
				if got := lettersOf(c.rule, violations); got != run.counts {
					t.Errorf("%s: violations of %q count, want %q", run.about, got, run.counts)
				}
				if got := lettersOf(c.rule, predatedViolations(records, violations, c.rule)); got != run.uncounted {
					t.Errorf("%s: violations of %q do not count, want %q", run.about, got, run.uncounted)
				}
			}
		})
	}
	twice := []record{sent(0, "o", "unsafe"), arrived(1, "1o", "o", "plain"), run(1, "1o"), arrived(3, "2o", "o", "plain"), run(3, "2o"),
		given(4, "2o", "text"), headers(5, "o", 200, "seal-2o"), body(6, "o", "text")}
	records := caseRecords(sentTo("f2", twice), []record{at(-10000, routerPredates{Router: "f2", Rules: all})})
	if lettersOf("once", judge(records)) != "o" {
		t.Error("a request that an earlier build has run twice does not count")
	}
}

// lettersOf returns the first letters of the requests that break a rule, each once, in order.
func lettersOf(rule string, violations []violation) string {
	var letters []string
	for _, v := range violations {
		if v.Rule == rule {
			letters = append(letters, v.Request[:1])
		}
	}
	slices.Sort(letters)
	return strings.Join(slices.Compact(letters), "")
}
