package fleetconfig

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"testing"
)

var update = flag.Bool("update", false, "write the stored checkpoint of the tests again")

const storedCheckpoint = "testdata/checkpoint.json"

// Guards against a changed stored form: a checkpoint that an earlier program has
// written must be readable, with every field in its place. A renamed field of a
// record changed the form unnoticed.
func TestStoredCheckpointIsReadable(t *testing.T) {
	s := exampleState(t)
	if *update {
		if err := os.WriteFile(storedCheckpoint, encode(t, s), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	data, err := os.ReadFile(storedCheckpoint)
	if err != nil {
		t.Fatal(err)
	}
	stored, err := FromCheckpoint(data)
	if err != nil {
		t.Fatal(err)
	}
	got, want := stored.Config(), s.Config()
	a, errA := json.Marshal(got)
	b, errB := json.Marshal(want)
	if errA != nil || errB != nil || !bytes.Equal(a, b) {
		t.Errorf("configuration of the stored checkpoint:\n%s\nwant\n%s", a, b)
	}
	if stored.Next() != s.Next() {
		t.Errorf("next offset %d, want %d", stored.Next(), s.Next())
	}
}

// exampleState returns the state after the example records of a deployment.
func exampleState(t *testing.T) *State {
	t.Helper()
	data, err := os.ReadFile("../../examples/thekkady/records.json")
	if err != nil {
		t.Fatal(err)
	}
	s := NewState()
	dec := json.NewDecoder(bytes.NewReader(data))
	var records []json.RawMessage
	if err := dec.Decode(&records); err != nil {
		t.Fatal(err)
	}
	for _, r := range records {
		if v := s.Apply(s.Next(), r); v.Outcome != OutcomeAccepted {
			t.Fatal(v)
		}
	}
	return s
}
