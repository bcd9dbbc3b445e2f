package kvmove

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/bluebellwell/bluebellwell/internal/admission"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards the limits of the planner under any order of calls: moves in any
// minute and at the same time, last used chat first, and no move of a chat
// that returned or whose engine was withdrawn.
func TestPlannerLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{PerMinute: rapid.IntRange(0, 5).Draw(t, "per minute"), Concurrent: rapid.IntRange(1, 3).Draw(t, "concurrent")}
		p := NewPlanner(limits)
		now := start
		waiting := map[Chat]Move{}
		var starts []time.Time
		var running []Move
		full := false
		targets := func(uint64, string) (admission.MoveTarget, admission.MoveVerdict) {
			if full {
				return admission.MoveTarget{}, admission.MoveLater
			}
			return admission.MoveTarget{}, admission.MoveNow
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				source := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "source")
				if p.givenUp[source] {
					return
				}
				now = now.Add(time.Nanosecond)
				c := Chat{Workspace: "w", Name: fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "chat"))}
				p.Offer(source, []Used{{Chat: c, At: now}})
				waiting[c] = Move{Used: Used{Chat: c, At: now}, Source: source}
			},
			"return": func(t *rapid.T) {
				c := Chat{Workspace: "w", Name: fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "chat"))}
				p.Returned(c.Key())
				delete(waiting, c)
			},
			"withdraw": func(t *rapid.T) {
				p.Withdraw("a")
				dropSource(waiting, "a")
			},
			"pass time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
				full = rapid.Bool().Draw(t, "full")
			},
			"done": func(t *rapid.T) {
				if len(running) == 0 {
					return
				}
				m := running[0]
				running = running[1:]
				if p.Done(m, Result(rapid.IntRange(0, int(numResults)-1).Draw(t, "result"))) {
					dropSource(waiting, m.Source)
				}
			},
			"next": func(t *rapid.T) {
				m, ok, again := p.Next(now, targets)
				if !ok {
					if !again.IsZero() && !again.After(now) {
						t.Fatalf("next look at %s is not after %s", again, now)
					}
					return
				}
				if want, known := waiting[m.Chat]; !known || want.Source != m.Source {
					t.Fatalf("move of %v, which does not wait", m.Chat)
				}
				for _, w := range waiting {
					if w.At.After(m.At) {
						t.Fatalf("%v moved before %v, which was used later", m.Chat, w.Chat)
					}
				}
				delete(waiting, m.Chat)
				running = append(running, m)
				starts = append(starts, now)
				checkLimits(t, limits, now, starts, len(running), full)
			},
		})
	})
}

func dropSource(waiting map[Chat]Move, source string) {
	for c, m := range waiting {
		if m.Source == source {
			delete(waiting, c)
		}
	}
}

func checkLimits(t *rapid.T, l Limits, now time.Time, starts []time.Time, running int, full bool) {
	recent := 0
	for _, s := range starts {
		if now.Sub(s) < time.Minute {
			recent++
		}
	}
	if recent > l.PerMinute || running > l.Concurrent || full {
		t.Fatalf("%d moves in a minute and %d at the same time under %+v; full %v", recent, running, l, full)
	}
}
