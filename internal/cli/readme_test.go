package cli

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const repoRoot = "../.."

// readmeCommands returns the arguments of every command line of the program in
// the shell blocks of the README.
func readmeCommands(t *testing.T) [][]string {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(repoRoot, "README.md"))
	if err != nil {
		t.Fatal(err)
	}
	var found [][]string
	for _, block := range regexp.MustCompile("(?s)```sh\n(.*?)```").FindAllStringSubmatch(string(text), -1) {
		for _, line := range strings.Split(block[1], "\n") {
			for _, start := range []string{"./bluebellwell ", "go run ./cmd/bluebellwell "} {
				if rest, ok := strings.CutPrefix(line, start); ok {
					rest, _, _ = strings.Cut(rest, " | ")
					found = append(found, strings.Fields(rest))
				}
			}
		}
	}
	return found
}

// Guards against a README whose commands, flags or files do not exist.
func TestReadmeCommandsExist(t *testing.T) {
	used := map[string]bool{}
	for _, args := range readmeCommands(t) {
		used[args[0]] = true
		table := commands()
		if args[0] == "standin" {
			table, args = standinKinds(), append([]string{"standin " + args[1]}, args[2:]...)
		}
		cmd := findCommand(table, args[0])
		if cmd == nil {
			t.Errorf("%v: no such command", args)
			continue
		}
		fs, _ := cmd.flags()
		if err := fs.Parse(args[1:]); err != nil {
			t.Errorf("%v: %v", args, err)
		}
		if err := cmd.checkArgs(fs.Args()); err != nil {
			t.Errorf("%v: %v", args, err)
		}
		for _, arg := range args {
			if !strings.HasPrefix(arg, "examples/") {
				continue
			}
			if _, err := os.Stat(filepath.Join(repoRoot, arg)); err != nil {
				t.Errorf("%v: %v", args, err)
			}
		}
	}
	for _, name := range []string{"demo", "validate", "publish", "get", "status", "history", "standin", "router"} {
		if !used[name] {
			t.Errorf("the README does not show the command %s", name)
		}
	}
}

// Guards against broken links in the README.
func TestReadmeLinksExist(t *testing.T) {
	text, err := os.ReadFile(filepath.Join(repoRoot, "README.md"))
	if err != nil {
		t.Fatal(err)
	}
	for _, link := range regexp.MustCompile(`\]\(([^)]+)\)`).FindAllStringSubmatch(string(text), -1) {
		if _, err := os.Stat(filepath.Join(repoRoot, link[1])); err != nil {
			t.Error(err)
		}
	}
}
