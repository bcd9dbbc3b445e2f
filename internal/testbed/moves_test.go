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
// with moves enabled it is cached on another engine. Without moves none of it is
// cached, which shows that the moves are the cause.
func TestLeavingEngineMovesCachedPrefixes(t *testing.T) {
	t.Parallel()
	for _, moves := range []bool{true, false} {
		cached, prompt, chats := cachedTokensAfterLeave(t, moves)
		t.Logf("moves %v: for %d chats of the leaving engine, %d of %d prompt tokens were cached", moves, chats, cached, prompt)
		if moves && cached < prompt || !moves && cached > 0 {
			t.Errorf("moves %v: %d of %d prompt tokens were cached, want all with moves and none without", moves, cached, prompt)
		}
	}
}

// cachedTokensAfterLeave marks an engine as leaving and sends the chats that it
// served again. It returns their cached and total prompt tokens and their number.
func cachedTokensAfterLeave(t *testing.T, moves bool) (cached, prompt, chats int) {
	p := Profiles()["lam-dong"]
	records, err := p.Records()
	if err != nil {
		t.Fatal(err)
	}
	if !moves {
		setting := regexp.MustCompile(`"kv_moves_per_minute": \d+`)
		if !setting.Match(records[0]) {
			t.Fatal("the example record does not set kv_moves_per_minute")
		}
		records[0] = setting.ReplaceAll(records[0], []byte(`"kv_moves_per_minute": 0`))
	}
	b, ctx := startBedWith(t, Options{Profile: p, Routers: 3, Engines: 4, Backends: 1, Engine: fastEngine}, records)
	c := NewCaller()
	defer c.Close()
	var all []result
	for i := range 40 {
		chat := longChat(b, i)
		chat.Prompt, chat.MaxTokens = strings.Repeat(fmt.Sprintf("question %d of the farm ", i), 40), 4
		all = append(all, sendChat(ctx, t, b, c, chat, i))
	}
	leaving := SortedByKey(b.Engines())[0]
	served := slices.DeleteFunc(all, func(r result) bool { return !hasCachedPrefix(leaving, r) })
	if len(served) < 3 {
		t.Fatalf("the leaving engine has the prefixes of %d chats, want at least 3", len(served))
	}
	b.MarkLeaving(leaving.Name())
	waitForLeaving(ctx, t, b, leaving, served, moves)
	for i, r := range served {
		r.chat.Placement = r.reply.Placement
		usage := sendChat(ctx, t, b, c, r.chat, i).reply.Usage
		cached += usage.PromptTokensDetails.CachedTokens
		prompt += usage.PromptTokens
	}
	return cached, prompt, len(served)
}

// sendChat sends a chat through one of the routers and checks its answer.
func sendChat(ctx context.Context, t *testing.T, b *Bed, c *Caller, chat Chat, i int) result {
	t.Helper()
	reply, err := c.Send(ctx, SortedByKey(b.Routers())[i%3].Addr(), chat)
	r := result{chat: chat, reply: reply, err: err}
	requireComplete(t, []result{r})
	return r
}

func hasCachedPrefix(e *enginesim.Engine, r result) bool {
	return e.CachedTokens(r.chat.Workspace+"/"+r.chat.ChatID, r.chat.Workspace, r.reply.Usage.PromptTokens) > 0
}

// waitForLeaving waits until the pool's owner lists the engine as leaving and,
// with moves, until other engines have the prefixes of all chats that it served.
func waitForLeaving(ctx context.Context, t *testing.T, b *Bed, leaving *enginesim.Engine, served []result, moves bool) {
	t.Helper()
	owner, _ := poolOwner(b)
	err := b.Wait(ctx, func() bool {
		listed, moved := false, 0
		for _, pool := range owner.Status().Pools {
			listed = listed || slices.ContainsFunc(pool.Engines, func(e admission.EngineStats) bool {
				return e.Name == leaving.Name() && e.State == "leaving"
			})
		}
		for _, r := range served {
			if slices.ContainsFunc(SortedByKey(b.Engines()), func(e *enginesim.Engine) bool { return e != leaving && hasCachedPrefix(e, r) }) {
				moved++
			}
		}
		return listed && (!moves || moved == len(served))
	})
	if err != nil {
		t.Fatal(err)
	}
}
