package bench

import (
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/standin/enginesim"
	"github.com/bluebellwell/bluebellwell/internal/testbed"
)

func newTestPlan(t *testing.T, profile string, seed uint64) *Plan {
	t.Helper()
	p, err := NewPlan(testbed.Profiles()[profile], seed, 25*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// Guards against policies that are compared with different workloads.
func TestPlanDependsOnSeedOnly(t *testing.T) {
	a, b := newTestPlan(t, "thekkady", 7), newTestPlan(t, "thekkady", 7)
	if !reflect.DeepEqual(a, b) {
		t.Fatal("the same seed resulted in different workloads")
	}
	if other := newTestPlan(t, "thekkady", 8); reflect.DeepEqual(a.Chats, other.Chats) || reflect.DeepEqual(a.Calls, other.Calls) {
		t.Fatal("different seeds resulted in the same workload")
	}
}

// Guards against a planned load, surge or distribution of workspace sizes under
// which the targets are not tested.
func TestPlanLoad(t *testing.T) {
	for name, profile := range testbed.Profiles() {
		p := newTestPlan(t, name, 1)
		var busy, surge time.Duration
		turns := map[string]int{}
		returning := 0
		for _, c := range p.Chats {
			before := 0
			for i, turn := range c.Turns {
				service := serviceTime(turn.PromptTokens-before, turn.AnswerTokens)
				before = turn.PromptTokens
				busy += service
				if p.InSurge(turn.At) {
					surge += service
				}
				turns[c.Workspace]++
				if i > 0 {
					returning++
				}
				if turn.At < 0 || turn.At >= p.Duration-drainTime {
					t.Errorf("%s: turn at %s is outside of the run", name, turn.At)
				}
			}
		}
		engines := float64(profile.Engines)
		mean := busy.Seconds() / (p.Duration - drainTime).Seconds() / engines
		if mean < 12 || mean > 17 {
			t.Errorf("%s: planned mean load is %.1f per engine, want 12 to 17", name, mean)
		}
		if peak := surge.Seconds() / (p.SurgeTo - p.SurgeFrom).Seconds() / engines; peak < 1.2*mean {
			t.Errorf("%s: planned load in the surge is %.1f, want at least 1.2 times the mean of %.1f", name, peak, mean)
		}
		if first, last := turns[profile.Workspaces[0]], turns[profile.Workspaces[9]]; first < 3*last || len(turns) != 10 {
			t.Errorf("%s: %d and %d turns of the largest and smallest of %d workspaces, want at least 3 times as many for the largest, and 10 workspaces", name, first, last, len(turns))
		}
		if returning < p.RequestCount()/3 {
			t.Errorf("%s: %d of %d requests are of returning chats, want at least a third", name, returning, p.RequestCount())
		}
	}
}

// Guards against prompts whose length differs from the plan, that do not start
// with the prompt of the previous turn, or that two chats have in common.
func TestPromptsGrow(t *testing.T) {
	p := newTestPlan(t, "lam-dong", 3)
	seen := map[string]string{}
	for i := range p.Chats {
		c := &p.Chats[i]
		before := ""
		for turn := range c.Turns {
			req := p.Request(c, turn)
			if !strings.HasPrefix(req.Prompt, before) {
				t.Fatalf("%s: the prompt of turn %d does not start with that of the previous turn", c.ID, turn)
			}
			before = req.Prompt
			want := max(c.Turns[turn].PromptTokens, minPromptTokens)
			if got := enginesim.EstimateTokens(req.Prompt + "\n"); got != want {
				t.Fatalf("%s: turn %d has %d tokens, want %d", c.ID, turn, got, want)
			}
			if owner := seen[req.Prompt]; owner != "" && owner != c.ID {
				t.Fatalf("%s and %s have the same prompt", owner, c.ID)
			}
			seen[req.Prompt] = c.ID
		}
	}
}

// Guards against a workload that lacks one of the ways in which callers repeat a
// booking.
func TestCallsRepeatBookings(t *testing.T) {
	kinds := map[Repeat]int{}
	keys := map[string]bool{}
	for _, c := range newTestPlan(t, "thekkady", 1).Calls {
		if c.Key == "" {
			continue
		}
		kinds[c.Repeat]++
		if keys[c.Key] {
			t.Errorf("key %s is planned twice", c.Key)
		}
		keys[c.Key] = true
	}
	if len(kinds) != 4 {
		t.Errorf("got the ways to repeat %v, want all 4", kinds)
	}
}
