package soak

import (
	"os/exec"
	"path/filepath"
	"testing"
)

// Guards against patches of faults.sh that a change of the code has made useless: the
// fault is then no longer put back, and nobody notices that the soak may be blind to it.
func TestFaultPatchesApply(t *testing.T) {
	patches, err := filepath.Glob("testdata/faults/*.patch")
	if err != nil || len(patches) == 0 {
		t.Fatalf("no patches found: %v", err)
	}
	for _, patch := range patches {
		file, err := filepath.Abs(patch)
		if err != nil {
			t.Fatal(err)
		}
		check := exec.Command("git", "apply", "--check", file)
		// git leaves out files above its directory.
		check.Dir = filepath.Join("..", "..")
		if out, err := check.CombinedOutput(); err != nil {
			t.Errorf("%s does not apply: %v\n%s", filepath.Base(patch), err, out)
		}
	}
}
