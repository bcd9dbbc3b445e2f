package testbed

import (
	"context"
	"fmt"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/bluebellwell/bluebellwell/internal/admission"
	"github.com/bluebellwell/bluebellwell/internal/standin/enginesim"
)

// Guards against chats that lose their cached prefix when their engine leaves:
// with moves they find it on another engine. Without moves nothing is cached,
// which shows that the moves make the difference.
func TestLeavingEngineHandsItsChatsOver(t *testing.T) {
	t.Parallel()
	for _, moves := range []bool{true, false} {
		cached, prompt, chats := cachedAfterLeave(t, moves)
		t.Logf("moves %v: %d chats of the leaving engine found %d of %d prompt tokens", moves, chats, cached, prompt)
		if moves && cached < prompt || !moves && cached > 0 {
			t.Errorf("moves %v: %d of %d prompt tokens were cached", moves, cached, prompt)
		}
	}
}

// cachedAfterLeave makes an engine leave and sends the chats that it served
// again. It returns their cached and all prompt tokens.
func cachedAfterLeave(t *testing.T, moves bool) (cached, prompt, chats int) {
	p := Profiles()["lam-dong"]
	records, err := p.Records()
	if err != nil {
		t.Fatal(err)
	}
	if !moves {
		setting := regexp.MustCompile(`"kv_moves_per_minute": \d+`)
		if !setting.Match(records[0]) {
			t.Fatal("the example record does not set the moves")
		}
		records[0] = setting.ReplaceAll(records[0], []byte(`"kv_moves_per_minute": 0`))
	}
	b, ctx := startBedWith(t, Options{Profile: p, Routers: 3, Engines: 4, Backends: 1, Engine: fast}, records)
	c := NewCaller()
	defer c.Close()
	var all []result
	for i := range 40 {
		chat := longChat(b, i)
		chat.Prompt, chat.MaxTokens = strings.Repeat(fmt.Sprintf("question %d of the farm ", i), 40), 4
		all = append(all, send(ctx, t, b, c, chat, i))
	}
	leaving := Sorted(b.Engines())[0]
	theirs := slices.DeleteFunc(all, func(r result) bool { return !holds(leaving, r) })
	if len(theirs) < 3 {
		t.Fatalf("the leaving engine holds only %d chats", len(theirs))
	}
	b.LeaveServer(leaving.Name())
	awaitLeft(ctx, t, b, leaving, theirs, moves)
	for i, r := range theirs {
		r.chat.Placement = r.reply.Placement
		usage := send(ctx, t, b, c, r.chat, i).reply.Usage
		cached += usage.PromptTokensDetails.CachedTokens
		prompt += usage.PromptTokens
	}
	return cached, prompt, len(theirs)
}

// send sends a chat through one of the routers and checks its answer.
func send(ctx context.Context, t *testing.T, b *Bed, c *Caller, chat Chat, i int) result {
	t.Helper()
	reply, err := c.Send(ctx, Sorted(b.Routers())[i%3].Addr(), chat)
	r := result{chat: chat, reply: reply, err: err}
	mustBeWhole(t, []result{r})
	return r
}

func holds(e *enginesim.Engine, r result) bool {
	return e.CachedTokens(r.chat.Workspace+"/"+r.chat.ChatID, r.chat.Workspace, r.reply.Usage.PromptTokens) > 0
}

// awaitLeft waits until the pool's owner knows that the engine leaves and, with
// moves, until other engines hold its chats.
func awaitLeft(ctx context.Context, t *testing.T, b *Bed, leaving *enginesim.Engine, theirs []result, moves bool) {
	t.Helper()
	own, _ := owner(b)
	err := b.Wait(ctx, func() bool {
		known, held := false, 0
		for _, pool := range own.Status().Pools {
			known = known || slices.ContainsFunc(pool.Engines, func(e admission.EngineStats) bool {
				return e.Name == leaving.Name() && e.State == "leaving"
			})
		}
		for _, r := range theirs {
			if slices.ContainsFunc(Sorted(b.Engines()), func(e *enginesim.Engine) bool { return e != leaving && holds(e, r) }) {
				held++
			}
		}
		return known && (!moves || held == len(theirs))
	})
	if err != nil {
		t.Fatal(err)
	}
}
