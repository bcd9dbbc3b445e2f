package kvmove

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/bluebellwell/bluebellwell/internal/testseed" // fixed seed

	"github.com/bluebellwell/bluebellwell/internal/admission"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against a planner that, under some order of calls, exceeds the limit on
// moves per minute or on concurrent moves, does not start with the most recently
// used chat, or moves a chat that has a new request or whose engine was removed.
func TestPlannerLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{MovesPerMinute: rapid.IntRange(0, 5).Draw(t, "per minute"), Concurrent: rapid.IntRange(1, 3).Draw(t, "concurrent")}
		p := NewPlanner(limits)
		now := start
		waiting := map[Chat]Move{}
		var starts []time.Time
		var running []Move
		full := false
		targets := func(uint64, string) (admission.MoveTarget, admission.MoveDecision) {
			if full {
				return admission.MoveTarget{}, admission.MoveLater
			}
			return admission.MoveTarget{}, admission.MoveNow
		}
		chat := rapid.Custom(func(t *rapid.T) Chat {
			return Chat{Workspace: "w", Name: fmt.Sprint(rapid.IntRange(0, 9).Draw(t, "chat"))}
		})
		t.Repeat(map[string]func(*rapid.T){
			"offer": func(t *rapid.T) {
				m := Move{UsedChat: UsedChat{Chat: chat.Draw(t, "chat"), UsedAt: now}, Source: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "source")}
				now = now.Add(time.Nanosecond)
				p.Offer(m.Source, []UsedChat{m.UsedChat})
				if !p.abandoned[m.Source] {
					waiting[m.Chat] = m
				}
			},
			"request": func(t *rapid.T) {
				c := chat.Draw(t, "chat")
				p.RecordRequest(c.Key())
				delete(waiting, c)
			},
			"source removed": func(t *rapid.T) {
				p.RemoveSource("a")
				dropSource(waiting, "a")
			},
			"pass time": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
				full = rapid.Bool().Draw(t, "full")
			},
			"done": func(t *rapid.T) {
				if len(running) > 0 && p.RecordResult(running[0], Result(rapid.IntRange(0, int(numResults)-1).Draw(t, "result"))) {
					dropSource(waiting, running[0].Source)
				}
				running = running[min(1, len(running)):]
			},
			"next": func(t *rapid.T) {
				m, ok, nextStart := p.Next(now, targets)
				if !ok {
					if !nextStart.IsZero() && !nextStart.After(now) {
						t.Fatalf("next start at %s is not after %s", nextStart, now)
					}
					return
				}
				if want, found := waiting[m.Chat]; !found || want.Source != m.Source {
					t.Fatalf("move of %v, which was not waiting", m.Chat)
				}
				for _, w := range waiting {
					if w.UsedAt.After(m.UsedAt) {
						t.Fatalf("%v moved before %v, which was used later", m.Chat, w.Chat)
					}
				}
				delete(waiting, m.Chat)
				running = append(running, m)
				starts = append(slices.DeleteFunc(starts, func(s time.Time) bool { return now.Sub(s) >= time.Minute }), now)
				if len(starts) > limits.MovesPerMinute || len(running) > limits.Concurrent || full {
					t.Fatalf("%d moves in a minute and %d concurrent moves under %+v; full %v", len(starts), len(running), limits, full)
				}
			},
		})
	})
}

func dropSource(waiting map[Chat]Move, source string) {
	maps.DeleteFunc(waiting, func(_ Chat, m Move) bool { return m.Source == source })
}
