package rules

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

var (
	without = flag.String("rules.without", "", "packages, separated by commas, whose rules are taken out one at a time")
	only    = flag.String("rules.only", "", "regular expression of the names of the rules to take out")
	update  = flag.Bool("rules.update", false, "write the results to docs/rules.md")
	run     = flag.String("rules.run", "", "regular expression of the tests to run; all when it is empty")
	last    = flag.String("rules.last", "", "regular expression of slow tests, which run only when no other test fails")
	limit   = flag.Duration("rules.limit", time.Minute, "time for the tests of a package; without a rule that bounds a wait they may hang")
	jobs    = flag.Int("rules.jobs", 2, "rules that are taken out at the same time")
)

// page lists the rules and the tests that guard them.
var page = filepath.Join(root, "docs", "rules.md")

// Guards against a change after which a rule of a list is no longer taken out, and against
// a rule that the page does not list.
func TestRulesApply(t *testing.T) {
	list, err := packages()
	if err != nil || len(list) == 0 {
		t.Fatalf("no lists found: %v", err)
	}
	text, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	for _, pkg := range list {
		rules, err := load(pkg)
		if err != nil {
			t.Fatal(err)
		}
		names := make(map[string]bool)
		for _, r := range rules {
			if names[r.name] {
				t.Errorf("%s: two rules are named %s", pkg, r.name)
			}
			names[r.name] = true
			source, err := os.ReadFile(r.path())
			if err != nil {
				t.Fatal(err)
			}
			if _, _, err := r.edit(string(source)); err != nil {
				t.Errorf("%s: %s: %v", pkg, r.name, err)
			}
			if r.text == "" || !bytes.Contains(text, []byte("| "+r.text+" |")) {
				t.Errorf("%s: %s: docs/rules.md does not list %q", pkg, r.name, r.text)
			}
		}
	}
}

// Guards against a rule that no test of its own package holds. Takes out the rules of the
// packages of -rules.without, or of none.
func TestRulesAreGuarded(t *testing.T) {
	for pkg := range strings.SplitSeq(*without, ",") {
		if pkg == "" {
			continue
		}
		rules, err := load(pkg)
		if err != nil {
			t.Fatal(err)
		}
		rows := make([]string, len(rules))
		slots := make(chan struct{}, *jobs)
		var wait sync.WaitGroup
		for i, r := range rules {
			if !regexp.MustCompile(*only).MatchString(r.name) {
				continue
			}
			wait.Go(func() {
				slots <- struct{}{}
				defer func() { <-slots }()
				tests, place, err := r.takeOut(t.TempDir())
				switch {
				case err != nil:
					t.Errorf("%s: %s: %v", pkg, r.name, err)
				case len(tests) == 0:
					t.Errorf("%s: %s: no test of the package fails without it", pkg, r.name)
				default:
					t.Logf("%s: %s: %s: %s", pkg, r.name, place, strings.Join(tests, ", "))
				}
				rows[i] = fmt.Sprintf("| %s | `%s` | %s |", r.text, place, guards(tests))
			})
		}
		wait.Wait()
		if *update && *only == "" {
			if err := write(pkg, rows); err != nil {
				t.Error(err)
			}
		}
	}
}

var (
	failedTest  = regexp.MustCompile(`(?m)^--- FAIL: (\w+)`)
	runningTest = regexp.MustCompile(`(?m)^\t+(Test\w+|Fuzz\w+)[^ ]* \(\d`)
)

// takeOut runs the tests of the package without the rule and returns those that fail, and
// the function that holds the rule.
func (r rule) takeOut(dir string) (tests []string, place string, err error) {
	source, err := os.ReadFile(r.path())
	if err != nil {
		return nil, "", err
	}
	edited, place, err := r.edit(string(source))
	if err != nil {
		return nil, "", err
	}
	target, err := filepath.Abs(r.path())
	if err != nil {
		return nil, "", err
	}
	replaced := filepath.Join(dir, "source.go")
	overlay, err := json.Marshal(map[string]map[string]string{"Replace": {target: replaced}})
	if err != nil {
		return nil, "", err
	}
	if err := os.WriteFile(replaced, []byte(edited), 0o600); err != nil {
		return nil, "", err
	}
	overlayFile := filepath.Join(dir, "overlay.json")
	if err := os.WriteFile(overlayFile, overlay, 0o600); err != nil {
		return nil, "", err
	}
	out, err := r.test("-overlay", overlayFile, "-run", *run, "-skip", *last)
	if err == nil && *last != "" {
		out, err = r.test("-overlay", overlayFile, "-run", *last)
	}
	if err == nil {
		return nil, place, nil
	}
	if bytes.Contains(out, []byte("[build failed]")) || bytes.Contains(out, []byte("[setup failed]")) {
		return nil, place, fmt.Errorf("does not compile:\n%s", out)
	}
	found := make(map[string]bool)
	for _, pattern := range []*regexp.Regexp{failedTest, runningTest} {
		for _, m := range pattern.FindAllSubmatch(out, -1) {
			found[string(m[1])] = true
		}
	}
	if len(found) == 0 {
		return nil, place, fmt.Errorf("the tests fail without the name of one:\n%s", out)
	}
	return slices.Sorted(maps.Keys(found)), place, nil
}

// test runs tests of the rule's package.
func (r rule) test(args ...string) ([]byte, error) {
	args = append([]string{"test", "-vet=off", "-count=1", "-ldflags=-s -w", "-timeout=" + limit.String()}, args...)
	cmd := exec.Command("go", append(args, "./internal/"+r.pkg)...)
	cmd.Dir = root
	return cmd.CombinedOutput()
}

// maxGuards bounds the tests that the page names for a rule.
const maxGuards = 3

func guards(tests []string) string {
	if len(tests) == 0 {
		return "**none**"
	}
	more := ""
	if n := len(tests) - maxGuards; n > 0 {
		tests, more = tests[:maxGuards], fmt.Sprintf(" and %d more", n)
	}
	return "`" + strings.Join(tests, "`, `") + "`" + more
}

// write replaces the table of a package in the page.
func write(pkg string, rows []string) error {
	text, err := os.ReadFile(page)
	if err != nil {
		return err
	}
	heading := "## internal/" + pkg + "\n"
	start, rest, ok := strings.Cut(string(text), heading)
	if !ok {
		return fmt.Errorf("docs/rules.md has no heading for %s", pkg)
	}
	next := strings.Index(rest, "\n## ")
	if next < 0 {
		next = len(rest)
	}
	table := "\n| rule | function or constant | fails without it |\n|---|---|---|\n" + strings.Join(rows, "\n") + "\n"
	return os.WriteFile(page, []byte(start+heading+table+rest[next:]), 0o644)
}
