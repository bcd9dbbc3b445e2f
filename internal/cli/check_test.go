package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/bluebellwell/bluebellwell/internal/configcheck"
	"github.com/bluebellwell/bluebellwell/platform"
	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

// enterPage changes to a directory in which the examples of docs/check.md can be run, and returns the page.
func enterPage(t *testing.T) string {
	t.Helper()
	page, err := os.ReadFile(filepath.Join(repoRoot, "docs", "check.md"))
	if err != nil {
		t.Fatal(err)
	}
	examples, err := filepath.Abs(filepath.Join(repoRoot, "examples"))
	if err != nil {
		t.Fatal(err)
	}
	t.Chdir(t.TempDir())
	if err := os.Symlink(examples, "examples"); err != nil {
		t.Fatal(err)
	}
	text := regexp.MustCompile("(?s)```json\n(.*?)```").FindStringSubmatch(string(page))
	if err := os.WriteFile("new.json", []byte(text[1]), 0o600); err != nil {
		t.Fatal(err)
	}
	return string(page)
}

// Guards against a page whose commands do not print what it shows, or end with another exit code.
func TestExamplesOfThePage(t *testing.T) {
	page := enterPage(t)
	examples := regexp.MustCompile("(?s)```sh\n\\./bluebellwell ([^\n]*); echo \"exit code \\$\\?\"\n```\n\n```\n(.*?)```").FindAllStringSubmatch(page, -1)
	if len(examples) != strings.Count(page, "```sh") || len(examples) == 0 {
		t.Fatalf("%d examples in %d blocks", len(examples), strings.Count(page, "```sh"))
	}
	for _, e := range examples {
		var out, errOut bytes.Buffer
		code := Main(strings.Fields(e[1]), &out, &errOut)
		if got := fmt.Sprintf("%s%sexit code %d\n", &out, &errOut, code); got != e[2] {
			t.Errorf("%s:\n%s\nwant\n%s", e[1], got, e[2])
		}
	}
}

// Guards against a JSON report that lacks findings of the text, or a place of one.
func TestCheckPrintsJSON(t *testing.T) {
	enterPage(t)
	var out, errOut bytes.Buffer
	if code := Main([]string{"check", "-json", "-in-force", "examples/platform/config.json", "new.json"}, &out, &errOut); code != ExitInvalid {
		t.Fatalf("code %d: %s", code, &errOut)
	}
	var report configcheck.Report
	if err := json.Unmarshal(out.Bytes(), &report); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(errOut.String(), "\n"); n != len(report.Findings) || n == 0 || len(report.Differences) == 0 {
		t.Errorf("%d findings and %d differences, %d lines", len(report.Findings), len(report.Differences), n)
	}
	for _, f := range append(report.Findings, report.Differences...) {
		if f.File != "new.json" || f.Line == 0 || f.Path == "" || f.Code == "" || f.Message == "" {
			t.Errorf("finding %+v", f)
		}
	}
}

// Guards against a check that compares with something else than the version in force, one that writes to the store, one that takes a
// store that does not answer for an empty one, and a body limit that is not compared with the memory of the settings.
func TestCheckReadsTheVersionInForce(t *testing.T) {
	enterPage(t)
	store := platformtest.NewStore()
	defer store.Close()
	example, err := os.ReadFile("examples/platform/config.json")
	if err != nil {
		t.Fatal(err)
	}
	settings, err := os.ReadFile("examples/platform/front.json")
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile("front.json", bytes.Replace(settings, []byte("127.0.0.1:8223"), []byte(store.Addr()), 1), 0o600); err != nil {
		t.Fatal(err)
	}
	checkFile := func(file, stdin string) (code int, text string) {
		var out bytes.Buffer
		env := Env{Args: []string{file}, Stdout: &out, Stderr: &out}
		err := runCheck(t.Context(), checkFlags{settings: "front.json"}, env, strings.NewReader(stdin))
		return ExitCode(err), fmt.Sprint(&out, err)
	}
	if code, text := checkFile("examples/platform/config.json", ""); code != ExitOK || !strings.Contains(text, "0 differences") {
		t.Errorf("nothing in force: code %d, %s", code, text)
	}
	store.Put(platform.TopicConfig, "other", []byte(`{}`))
	store.Put(platform.TopicConfig, platform.ConfigKey, []byte(`{"version":3}`))
	store.Put(platform.TopicConfig, platform.ConfigKey, example)
	end := store.End(platform.TopicConfig)
	if code, text := checkFile("-", string(example)); code != ExitInvalid || !strings.Contains(text, "stdin:2: $.version: version 8 is not higher than 8") {
		t.Errorf("the version in force: code %d, %s", code, text)
	}
	larger := strings.NewReplacer(`"version": 8`, `"version": 9`, "4194304", "299000000").Replace(string(example))
	if code, text := checkFile("-", larger); code != ExitInvalid || !strings.Contains(text, "that a router holds") || !strings.Contains(text, "1 finding, 1 difference") {
		t.Errorf("large bodies: code %d, %s", code, text)
	}
	if store.End(platform.TopicConfig) != end {
		t.Error("the check has written to the store")
	}
	store.Put(platform.TopicConfig, platform.ConfigKey, []byte(`{"version":"example-key"}`))
	if code, text := checkFile("-", larger); code != ExitFailure || strings.Contains(text, "example-key") {
		t.Errorf("a version in force that cannot be decoded: code %d, %s", code, text)
	}
	store.SetErrorStatus(503)
	if code, text := checkFile("-", larger); code != ExitFailure {
		t.Errorf("store that fails: code %d, %s", code, text)
	}
}

// Guards against an exit code of findings for what cannot be read, and against text that is no JSON which counts as unreadable.
func TestCheckExitCodes(t *testing.T) {
	enterPage(t)
	for args, want := range map[string]int{
		"check examples/platform/config.json": ExitOK,
		"check absent.json":                   ExitFailure,
		"check examples":                      ExitFailure,
		"check -settings absent.json examples/platform/config.json":        ExitFailure,
		"check -settings new.json examples/platform/config.json":           ExitFailure,
		"check -in-force absent.json examples/platform/config.json":        ExitFailure,
		"check -in-force examples/README.md examples/platform/config.json": ExitFailure,
		"check":                    ExitUsage,
		"check -unknown new.json":  ExitUsage,
		"check new.json new.json":  ExitUsage,
		"check examples/README.md": ExitInvalid,
		"check new.json":           ExitInvalid,
	} {
		var out bytes.Buffer
		if got := run(context.Background(), commands(), strings.Fields(args), &out, &out); got != want {
			t.Errorf("%s: code %d, want %d: %s", args, got, want, &out)
		}
	}
}
