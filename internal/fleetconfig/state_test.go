package fleetconfig

import (
	"errors"
	"fmt"
	"reflect"
	"strings"
	"testing"
)

// workspaceRecord creates or changes one workspace.
func workspaceRecord(id, name, replaces string) []byte {
	return fmt.Appendf(nil, `{"schema_version":2,"id":%q,"author":"t","changes":[{"kind":"workspace","name":%q,"replaces":%q,"spec":{"weight":2}}]}`, id, name, replaces)
}

func deleteRecord(id, name, replaces string) []byte {
	return fmt.Appendf(nil, `{"schema_version":1,"id":%q,"author":"t","changes":[{"kind":"workspace","name":%q,"replaces":%q,"delete":true}]}`, id, name, replaces)
}

const (
	poolAndRoute = `{"schema_version":2,"id":"pr","author":"t","changes":[{"kind":"pool","name":"p","spec":{"type":"plain"}},
		{"kind":"route","name":"r","spec":{"pool":"p","path_prefix":"/"}}]}`
	deletePool        = `{"schema_version":2,"id":"dp","author":"t","changes":[{"kind":"pool","name":"p","replaces":"pr","delete":true}]}`
	partlyConflicting = `{"schema_version":2,"id":"hv","author":"t","changes":[{"kind":"workspace","name":"w9","spec":{}},{"kind":"workspace","name":"w1","spec":{}}]}`
	laterSchema       = `{"schema_version":3,"id":"later"}`
)

// Guards against a record whose outcome depends on anything but its place in the
// stream: conflicts, repeated ids, ids of other records, partial application,
// references and deletions.
func TestRecordOutcomes(t *testing.T) {
	steps := []struct {
		data []byte
		want Outcome
		path string
	}{
		{workspaceRecord("a", "w1", ""), OutcomeAccepted, ""},
		{workspaceRecord("b", "w1", ""), OutcomeRejected, "$.changes[0].replaces"},
		{workspaceRecord("c", "w1", "a"), OutcomeAccepted, ""},
		{workspaceRecord("a", "w1", ""), OutcomeDuplicate, ""},
		{workspaceRecord("a", "w1", "c"), OutcomeRejected, "$.id"},
		{[]byte(partlyConflicting), OutcomeRejected, "$.changes[1].replaces"},
		{deleteRecord("d", "w1", "c"), OutcomeAccepted, ""},
		// Both would be valid again now that the workspace is deleted.
		{workspaceRecord("a", "w1", ""), OutcomeDuplicate, ""},
		{workspaceRecord("b", "w1", ""), OutcomeDuplicate, ""},
		{[]byte(poolAndRoute), OutcomeAccepted, ""},
		{[]byte(deletePool), OutcomeRejected, "$.changes"},
		{[]byte(`{"checkpoint":{"format":99}}`), OutcomeCheckpoint, ""},
		{[]byte(`no JSON`), OutcomeRejected, "$"},
		{[]byte(laterSchema), OutcomeUnreadable, "$.schema_version"},
	}
	s := NewState()
	for i, step := range steps {
		v := s.Apply(uint64(i), step.data)
		if v.Outcome != step.want {
			t.Fatalf("record %d: got %+v, want %s", i, v, step.want)
		}
		if step.path != "" && (len(v.Findings) != 1 || v.Findings[0].Path != step.path) {
			t.Fatalf("record %d: got findings %v, want one at %s", i, v.Findings, step.path)
		}
	}
	last := uint64(len(steps) - 1)
	if v := s.Apply(last+1, workspaceRecord("e", "w2", "")); v.Outcome != OutcomeGap || s.Next() != last {
		t.Fatalf("the state passed an unreadable record: %+v, next %d", v, s.Next())
	}
	if v := s.Apply(0, workspaceRecord("f", "w3", "")); v.Outcome != OutcomeOld {
		t.Fatalf("the state applied an old offset: %+v", v)
	}
	if c := s.Config(); len(c.Workspaces) != 0 || len(c.Pools) != 1 || len(c.Routes) != 1 {
		t.Fatalf("got configuration %+v, want no workspace, one pool and one route", c)
	}
}

// Guards against changes to a configuration that Config has already returned.
func TestConfigIsImmutable(t *testing.T) {
	s := NewState()
	s.Apply(0, workspaceRecord("a", "w1", ""))
	before := s.Config()
	s.Apply(1, workspaceRecord("b", "w1", "a"))
	s.Apply(2, workspaceRecord("c", "w2", ""))
	if len(before.Workspaces) != 1 || before.Workspaces["w1"].Version != "a" {
		t.Fatalf("the earlier configuration changed: %+v", before.Workspaces["w1"])
	}
}

// Guards against results that depend on whether a state came from a checkpoint
// or from the whole stream, and against ids that are dropped too early or at
// different records.
func TestStateFromCheckpointGivesSameResults(t *testing.T) {
	// The length limit of the finding falls within a character of two bytes.
	longField := `{"schema_version":1,"x` + strings.Repeat("é", historyTextBytes) + `":1}`
	empty := NewState()
	// The list is empty but not nil after the last id has left the window.
	empty.idOrder = []ProcessedRecord{}
	if a, b := encode(t, empty), encode(t, roundTrip(t, empty)); string(a) != string(b) {
		t.Fatal("equal empty states give different checkpoints")
	}
	full := NewState()
	full.Apply(0, workspaceRecord("first", "w", ""))
	full.Apply(1, deleteRecord("second", "w", "first"))
	full.Apply(2, []byte(poolAndRoute))
	// The id at offset 0 is kept for the idWindow records after it.
	for full.Next() < idWindow-2 {
		full.Apply(full.Next(), []byte("no JSON"))
	}
	full.Apply(full.Next(), []byte(longField))
	resumed := roundTrip(t, full)
	for _, want := range []Outcome{OutcomeDuplicate, OutcomeDuplicate, OutcomeAccepted} {
		data := workspaceRecord("first", "w", "")
		a, b := full.Apply(full.Next(), data), resumed.Apply(resumed.Next(), data)
		if a.Outcome != want || !reflect.DeepEqual(a, b) {
			t.Fatalf("got results %+v and %+v, want %s", a, b, want)
		}
	}
	if a, b := encode(t, full), encode(t, resumed); string(a) != string(b) {
		t.Fatal("equal states give different checkpoints")
	}
	if !reflect.DeepEqual(full.Config(), resumed.Config()) {
		t.Fatalf("got configurations %+v and %+v, want equal ones", full.Config(), resumed.Config())
	}
}

// Guards against a damaged or incompatible checkpoint that is used as the state.
func TestUnusableCheckpoints(t *testing.T) {
	s := NewState()
	s.Apply(0, workspaceRecord("a", "w1", ""))
	good := string(encode(t, s))
	s.maxSchema++
	later := string(encode(t, s))
	cases := map[string]string{
		"record":          string(workspaceRecord("a", "w1", "")),
		"cut":             good[:len(good)-3],
		"other as_of":     strings.Replace(good, `"as_of":1`, `"as_of":2`, 1),
		"later schema":    later,
		"later format":    strings.Replace(good, `"format":1`, `"format":2`, 1),
		"state not gzip":  `{"checkpoint":{"format":1,"state":"AAAA"}}`,
		"other digest":    strings.Replace(good, `"digest":"`, `"digest":"0`, 1),
		"no state at all": `{"checkpoint":{"format":1}}`,
	}
	for name, data := range cases {
		if _, err := FromCheckpoint([]byte(data)); !errors.Is(err, ErrCheckpoint) {
			t.Errorf("%s: got error %v, want ErrCheckpoint", name, err)
		}
	}
}

func encode(t testing.TB, s *State) []byte {
	data, err := s.Checkpoint()
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func roundTrip(t testing.TB, s *State) *State {
	resumed, err := FromCheckpoint(encode(t, s))
	if err != nil {
		t.Fatal(err)
	}
	return resumed
}

// stateWithWorkspaces returns a state with n workspaces.
func stateWithWorkspaces(tb testing.TB, n int) *State {
	s := NewState()
	for i := range n {
		if v := s.Apply(s.Next(), workspaceRecord(fmt.Sprintf("start-%d", i), fmt.Sprintf("w%d", i), "")); v.Outcome != OutcomeAccepted {
			tb.Fatal(v)
		}
	}
	return s
}

var workspaceCounts = []int{100, 5000, 38000}

// BenchmarkApply applies one change of one workspace and copies the
// configuration.
func BenchmarkApply(b *testing.B) {
	for _, size := range workspaceCounts {
		b.Run(fmt.Sprintf("workspaces=%d", size), func(b *testing.B) {
			s := stateWithWorkspaces(b, size)
			version := "start-0"
			b.ReportAllocs()
			for b.Loop() {
				id := fmt.Sprintf("r%d", s.Next())
				if v := s.Apply(s.Next(), workspaceRecord(id, "w0", version)); v.Outcome != OutcomeAccepted {
					b.Fatal(v)
				}
				version = id
				s.Config()
			}
		})
	}
}

// BenchmarkCheckpoint encodes and decodes a state.
func BenchmarkCheckpoint(b *testing.B) {
	for _, size := range workspaceCounts {
		b.Run(fmt.Sprintf("workspaces=%d", size), func(b *testing.B) {
			s := stateWithWorkspaces(b, size)
			b.ReportAllocs()
			for b.Loop() {
				roundTrip(b, s)
			}
			b.ReportMetric(float64(len(encode(b, s))), "B/checkpoint")
		})
	}
}
