package configcheck_test

import (
	"encoding/json"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellwell/bluebellwell/internal/configcheck"
	"github.com/bluebellwell/bluebellwell/internal/findings"
	"github.com/bluebellwell/bluebellwell/internal/forward"
	"github.com/bluebellwell/bluebellwell/internal/routing"
	"github.com/bluebellwell/bluebellwell/platform"
	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

const (
	examples = "../../examples"
	// bodyMemory is that of the router against which the cases are checked.
	bodyMemory = 100_000_000
)

func check(text []byte, inForce *routing.Config) configcheck.Report {
	o := configcheck.Options{Rules: forward.ConfigRules(), BodyMemory: bodyMemory, InForce: inForce}
	return configcheck.Run(platform.InspectConfig("config.json", text), o)
}

// testCase is a change of the example and what the check has to say of it.
type testCase struct {
	name string
	text string
	want []string
}

// loadCases applies the cases of a file to the example.
func loadCases(t *testing.T, file, example string) []testCase {
	t.Helper()
	data, err := os.ReadFile(filepath.Join("testdata", file))
	if err != nil {
		t.Fatal(err)
	}
	var cases []testCase
	for _, block := range strings.Split(string(data), "\ncase ")[1:] {
		name, rest, _ := strings.Cut(block, "\n")
		c := testCase{name: name, text: example}
		edits, wants, _ := strings.Cut("\n"+rest, "\n=")
		for _, edit := range strings.Split(edits, "\n- ")[1:] {
			before, after, found := strings.Cut(edit, "\n+")
			if !found || strings.Count(c.text, before) != 1 {
				t.Fatalf("case %s: %q does not occur once", name, before)
			}
			c.text = strings.Replace(c.text, before, strings.TrimSpace(after), 1)
		}
		for _, want := range strings.Split(wants, "\n=") {
			if want = strings.TrimSpace(want); want != "" {
				c.want = append(c.want, want)
			}
		}
		cases = append(cases, c)
	}
	return cases
}

func readExample(t testing.TB) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(examples, "platform", "config.json"))
	if err != nil {
		t.Fatal(err)
	}
	return string(data)
}

// expect compares findings with lines of path, code and a part of the message.
func expect(t *testing.T, got []findings.Finding, want []string) {
	t.Helper()
	matches := func(f findings.Finding, want string) bool {
		place := fmt.Sprintf("%s %s ", f.Path, f.Code)
		part, ok := strings.CutPrefix(want, place)
		return ok && strings.Contains(f.Message, part)
	}
	if !slices.EqualFunc(got, want, matches) {
		t.Errorf("got\n%v\nwant\n%s", &findings.Error{Findings: got}, strings.Join(want, "\n"))
	}
}

// Guards against each kind of error, entry that never matches and contradiction that is not reported, reported at
// another place, or reported of a value that is just within the bound; and against API keys in findings.
func TestFindings(t *testing.T) {
	for _, c := range loadCases(t, "findings.txt", readExample(t)) {
		t.Run(c.name, func(t *testing.T) {
			report := check([]byte(c.text), nil)
			expect(t, report.Findings, c.want)
			if len(report.Differences) > 0 {
				t.Errorf("differences %v without a version in force", report.Differences)
			}
			checkNoKeys(t, report)
			checkLines(t, c.text, report.Findings)
		})
	}
}

// Guards against a difference from the version in force that is not reported or has another effect than reported, and against
// API keys in differences.
func TestDifferences(t *testing.T) {
	example := readExample(t)
	inForce, err := platform.DecodeConfig([]byte(example))
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range loadCases(t, "differences.txt", example) {
		t.Run(c.name, func(t *testing.T) {
			report := check([]byte(c.text), &inForce)
			expect(t, slices.Concat(report.Differences, report.Findings), c.want)
			checkNoKeys(t, report)
		})
	}
}

// checkNoKeys fails when a report has a key of the example or the number that stands for one in a case.
func checkNoKeys(t *testing.T, report configcheck.Report) {
	t.Helper()
	text, err := json.Marshal(report)
	if err != nil {
		t.Fatal(err)
	}
	for _, key := range []string{"example-key", "90210"} {
		if strings.Contains(string(text), key) {
			t.Errorf("the report has a key: %s", text)
		}
	}
}

// checkLines fails when the line of a finding does not have the last name of its path, where the text has that name at all.
func checkLines(t *testing.T, text string, list []findings.Finding) {
	t.Helper()
	lines := strings.Split(text, "\n")
	for _, f := range list {
		name := `"` + f.Path[strings.LastIndexByte(f.Path, '.')+1:] + `"`
		if f.Line < 1 || f.Line > len(lines) {
			t.Errorf("%v: line %d of %d", f, f.Line, len(lines))
		} else if strings.Contains(text, name) && f.Code != findings.CodeMissing && !strings.Contains(lines[f.Line-1], name) {
			t.Errorf("%v: line %d has no %s: %s", f, f.Line, name, lines[f.Line-1])
		}
	}
}

// Guards against findings of correct configurations: every one among the examples.
func TestExamplesHaveNoFindings(t *testing.T) {
	checked := 0
	err := filepath.WalkDir(examples, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || filepath.Ext(path) != ".json" {
			return err
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		// Other files are settings, VM lists and records of our own log.
		var fields struct{ Routes, Upstreams json.RawMessage }
		if json.Unmarshal(data, &fields) != nil || fields.Routes == nil || fields.Upstreams == nil {
			return nil
		}
		checked++
		expect(t, check(data, nil).Findings, nil)
		return nil
	})
	if err != nil || checked == 0 {
		t.Fatalf("%d configurations checked: %v", checked, err)
	}
}

// drawConfig draws a configuration without faults.
func drawConfig(t *rapid.T) platformtest.Config {
	c := platformtest.Config{Version: rapid.IntRange(1, 1e6).Draw(t, "version"), BodyBytes: rapid.IntRange(0, bodyMemory).Draw(t, "body")}
	c.HeaderTimeout = time.Duration(rapid.IntRange(0, 15_000).Draw(t, "header")) * time.Millisecond
	c.ColdStart = time.Duration(rapid.IntRange(0, 100).Draw(t, "cold")) * time.Second
	c.ColdPerSecond = rapid.SampledFrom([]float64{0, 1, 9.2}).Draw(t, "rate")
	if rapid.Bool().Draw(t, "engines") {
		c.Engines = &platformtest.EngineOffer{Slots: 64, KVTokens: 483671, KVTokenBytes: 18432, LinkMbps: 280000, HandleS: 5, Moves: true}
	}
	pools := rapid.IntRange(1, 6).Draw(t, "pools")
	for i := range pools {
		c.Pools = append(c.Pools, fmt.Sprintf("pool-%d", i))
	}
	for i := range pools + rapid.IntRange(0, 20).Draw(t, "routes") {
		c.Routes = append(c.Routes, drawRoute(t, i, c.Pools[i%pools]))
	}
	for i := range rapid.IntRange(0, 5).Draw(t, "workspaces") {
		w := platformtest.Workspace{Name: fmt.Sprintf("workspace-%d", i), Keys: []string{fmt.Sprintf("key-%d", i)}}
		if rapid.Bool().Draw(t, "bound to regions") {
			w.Regions = []string{"south", fmt.Sprintf("region-%d", i)}
		}
		c.Workspaces = append(c.Workspaces, w)
	}
	return c
}

func drawRoute(t *rapid.T, i int, pool string) platformtest.Route {
	// A silent server is given up after three objectives, or a second in a stream.
	r := platformtest.Route{Name: fmt.Sprintf("route-%d", i), Pool: pool, Attempts: 1, Objective: time.Duration(rapid.IntRange(0, 900).Draw(t, "objective")) * time.Millisecond}
	r.Kind = rapid.SampledFrom([]string{"safe", "unsafe", "stream", "keyed"}).Draw(t, "kind")
	r.Timeout = time.Duration(rapid.IntRange(2701, 60_000).Draw(t, "timeout")) * time.Millisecond
	r.Public = rapid.Bool().Draw(t, "public")
	if r.Kind == "stream" {
		r.Resumable = rapid.Bool().Draw(t, "resumable")
		r.Gap = r.Objective
	}
	if r.Kind == "safe" || r.Resumable {
		r.Attempts = rapid.IntRange(1, 5).Draw(t, "attempts")
	}
	if rapid.Bool().Draw(t, "bound to regions") {
		r.Regions = []string{"north", "south"}
	}
	return r
}

// Guards against findings of correct configurations, and against differences between a configuration and itself.
func TestGeneratedConfigurationsHaveNoFindings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawConfig(t)
		inForce, err := platform.DecodeConfig(c.Encode())
		if err != nil {
			t.Fatal(err)
		}
		c.Version++
		if report := check(c.Encode(), &inForce); len(report.Findings)+len(report.Differences) > 0 {
			t.Fatalf("%s: %+v", c.Encode(), report)
		}
	})
}

// largeConfig has n routes on one host with as many prefixes, half of them within others.
func largeConfig(n int) []byte {
	c := platformtest.Config{Version: 1}
	for i := range 20 {
		c.Pools = append(c.Pools, fmt.Sprintf("pool-%d", i))
		c.Workspaces = append(c.Workspaces, platformtest.Workspace{Name: fmt.Sprintf("w-%d", i), Keys: []string{fmt.Sprintf("key-%d", i)}, Regions: []string{"south", fmt.Sprint(i % 4)}})
	}
	for i := range n {
		name := fmt.Sprintf("service-%d", i)
		if i%2 == 1 {
			name = fmt.Sprintf("service-%d/part", i-1)
		}
		c.Routes = append(c.Routes, platformtest.Route{Name: name, Kind: "safe", Pool: c.Pools[i%20], Attempts: 2, Timeout: 2 * time.Second,
			Objective: 150 * time.Millisecond, Regions: []string{"south", fmt.Sprint(i % 5)}})
	}
	return c.Encode()
}

// Guards against work that grows with the square of the number of routes. Of the steps for a pair of entries, the comparison of regions is the
// only one: it is made for each pair of different lists of regions, here 5 and 4. Routes find the one that hides them by a look-up for each
// length of a prefix (routing.Index), and names, pools and keys by a look-up each.
func TestWorkGrowsWithTheNumberOfRoutes(t *testing.T) {
	const routes = 2000
	comparisons, silences := 0, 0
	rules := forward.ConfigRules()
	counted := rules
	counted.Regions = func(r *routing.Route, w *routing.Workspace) ([]string, bool) {
		comparisons++
		return rules.Regions(r, w)
	}
	counted.SilenceLimit = func(r *routing.Route) time.Duration {
		silences++
		return rules.SilenceLimit(r)
	}
	in := platform.InspectConfig("config.json", largeConfig(routes))
	paths, pathOf := 0, in.Path
	in.Path = func(p configcheck.Place) string {
		paths++
		return pathOf(p)
	}
	inForce := in.Config
	inForce.Version--
	inForce.Routes = nil
	report := configcheck.Run(in, configcheck.Options{Rules: counted, InForce: &inForce})
	if len(report.Findings) != 0 || len(report.Differences) != routes {
		t.Fatalf("%d findings, %d differences, want none and one for each route", len(report.Findings), len(report.Differences))
	}
	if comparisons != 20 || silences != routes || paths != routes {
		t.Errorf("%d comparisons of regions, %d of silence and %d paths, want 20, %d and %d", comparisons, silences, paths, routes, routes)
	}
}

func BenchmarkCheck2000Routes(b *testing.B) {
	text := largeConfig(2000)
	inForce, err := platform.DecodeConfig(text)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		check(text, &inForce)
	}
}
