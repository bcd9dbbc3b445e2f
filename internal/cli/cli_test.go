package cli

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/bluebellwell/bluebellwell/internal/findings"
	"github.com/bluebellwell/bluebellwell/internal/settings"
)

const exampleSettings = "../../examples/thekkady/router-kochi-a-1.json"

// Guards against changed exit codes and messages, on which scripts rely, and
// against help texts on the wrong stream.
func TestMainExitCodes(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.json")
	if err := os.WriteFile(bad, []byte(`{"vm":"A","extra":1}`), 0o600); err != nil {
		t.Fatal(err)
	}
	cases := []struct {
		args           string
		code           int
		stdout, stderr string
	}{
		{"", ExitUsage, "", "usage: bluebellwell <command>"},
		{"help", ExitOK, "run a router daemon or check its settings", ""},
		{"-h", ExitOK, "version    print the version", ""},
		{"help router", ExitOK, "-settings FILE", ""},
		{"help nothing", ExitUsage, "", `unknown command "nothing"`},
		{"nothing", ExitUsage, "", `unknown command "nothing"`},
		{"version", ExitOK, "bluebellwell dev (go", ""},
		{"version extra", ExitUsage, "", `unexpected argument "extra"`},
		{"router -h", ExitOK, "3  a file or a record is invalid", ""},
		{"router -nothing", ExitUsage, "", "flag provided but not defined: -nothing"},
		{"router -settings " + bad, ExitInvalid, "", "$.extra: is not a known field (unknown_field)"},
		{"router -check", ExitUsage, "", "flag -settings is required"},
		{"router -check -settings " + exampleSettings, ExitOK, "valid settings of router-kochi-a-1 in kochi-hall-a", ""},
		{"router -check -settings " + bad, ExitInvalid, "", "$.extra: is not a known field (unknown_field)"},
		{"router -check -settings " + bad + ".none", ExitInvalid, "", "cannot read the file"},
	}
	for _, c := range cases {
		var stdout, stderr bytes.Buffer
		code := Main(strings.Fields(c.args), &stdout, &stderr)
		if code != c.code || !strings.Contains(stdout.String(), c.stdout) || !strings.Contains(stderr.String(), c.stderr) {
			t.Errorf("%q: code %d, stdout %q, stderr %q", c.args, code, stdout.String(), stderr.String())
		}
		if (c.stdout == "") != (stdout.Len() == 0) || (c.stderr == "") != (stderr.Len() == 0) {
			t.Errorf("%q: wrong stream, stdout %q, stderr %q", c.args, stdout.String(), stderr.String())
		}
	}
}

// Guards against a command without help, examples or exit codes.
func TestCommandTableIsComplete(t *testing.T) {
	for _, c := range append(commands(), standinKinds()...) {
		if c.Summary == "" || strings.Contains(c.Summary, "\n") || c.Description == "" || len(c.Examples) == 0 || len(c.ExitCodes) == 0 {
			t.Errorf("command %s is not described", c.Name)
		}
		for _, code := range c.ExitCodes {
			if exitTexts[code] == "" {
				t.Errorf("command %s: exit code %d has no text", c.Name, code)
			}
		}
		for _, e := range c.Examples {
			if !strings.HasPrefix(e, c.Name) {
				t.Errorf("command %s: example %q belongs to another command", c.Name, e)
			}
		}
	}
}

// Guards against an error that gives a wrong exit code.
func TestExitCode(t *testing.T) {
	invalid := &findings.Error{}
	cases := map[int]error{
		ExitOK:       WithCode(ExitBroken, nil),
		ExitFailure:  errors.New("x"),
		ExitUsage:    UsageErrorf("x"),
		ExitInvalid:  errors.Join(errors.New("x"), invalid),
		ExitConflict: WithCode(ExitConflict, invalid),
	}
	for want, err := range cases {
		if got := ExitCode(err); got != want {
			t.Errorf("%v: got %d, want %d", err, got, want)
		}
	}
}

// Guards against a daemon that starts with -check or gets other settings than
// those of the file.
func TestRouterStartsDaemon(t *testing.T) {
	var started []string
	daemon := func(_ context.Context, s *settings.Settings, _ Env) error {
		started = append(started, s.VM)
		return errors.New("address in use")
	}
	table := []*Command{routerCommand(daemon)}
	var stdout, stderr bytes.Buffer
	if code := run(t.Context(), table, []string{"router", "-settings", exampleSettings, "-check"}, &stdout, &stderr); code != ExitOK {
		t.Fatalf("check: code %d, stderr %s", code, &stderr)
	}
	code := run(t.Context(), table, []string{"router", "-settings", exampleSettings}, &stdout, &stderr)
	if code != ExitFailure || len(started) != 1 || started[0] != "router-kochi-a-1" {
		t.Fatalf("code %d, started %v", code, started)
	}
	if got := stderr.String(); got != "bluebellwell router: address in use\n" {
		t.Fatalf("stderr %q", got)
	}
}

// Guards against argument counts that are not checked.
func TestArgumentBounds(t *testing.T) {
	cmd := &Command{Name: "x", MinArgs: 1, MaxArgs: -1, Setup: func(*flag.FlagSet) RunFunc {
		return func(context.Context, Env) error { return nil }
	}}
	for args, want := range map[string]int{"x": ExitUsage, "x a b c": ExitOK} {
		var out bytes.Buffer
		if got := run(t.Context(), []*Command{cmd}, strings.Fields(args), &out, &out); got != want {
			t.Errorf("%s: got %d, want %d", args, got, want)
		}
	}
}
