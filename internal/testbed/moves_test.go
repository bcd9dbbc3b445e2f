package testbed

import (
	"context"
	"fmt"
	"regexp"
	"strings"
	"testing"

	"github.com/bluebellwell/bluebellwell/internal/standin/enginesim"
)

// returning is a chat of the test with its first answer.
type returning struct {
	chat  Chat
	reply Reply
}

func (r returning) prefixKey() string {
	return r.chat.Workspace + "/" + r.chat.ChatID
}

// Guards against chats that lose their cached prefix when their engine leaves:
// with moves they find it on another engine. Without moves nothing is cached,
// which shows that the moves make the difference.
func TestLeavingEngineHandsItsChatsOver(t *testing.T) {
	for _, c := range []struct {
		name  string
		moves bool
	}{{"with moves", true}, {"without moves", false}} {
		t.Run(c.name, func(t *testing.T) {
			cached, prompt, chats := cachedAfterLeave(t, c.moves)
			t.Logf("%d chats of the leaving engine found %d of %d prompt tokens", chats, cached, prompt)
			if c.moves && cached < prompt || !c.moves && cached > 0 {
				t.Errorf("%d of %d prompt tokens were cached", cached, prompt)
			}
		})
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
	all := make([]returning, 40)
	for i := range all {
		all[i] = firstTurn(ctx, t, b, c, i)
	}
	leaving := Sorted(b.Engines())[0]
	var theirs []returning
	for _, r := range all {
		if r.heldBy(leaving) {
			theirs = append(theirs, r)
		}
	}
	if len(theirs) < 3 {
		t.Fatalf("the leaving engine holds only %d chats", len(theirs))
	}
	b.LeaveServer(leaving.Name())
	awaitLeft(ctx, t, b, leaving, theirs, moves)
	for i, r := range theirs {
		r.chat.Placement = r.reply.Placement
		again, err := c.Send(ctx, Sorted(b.Routers())[i%3].Addr(), r.chat)
		if err != nil || !again.Whole || again.Text != r.chat.Answer() {
			t.Fatalf("returning chat %s: %+v, %v", r.chat.ChatID, again, err)
		}
		cached += again.Usage.PromptTokensDetails.CachedTokens
		prompt += again.Usage.PromptTokens
	}
	return cached, prompt, len(theirs)
}

func firstTurn(ctx context.Context, t *testing.T, b *Bed, c *Caller, i int) returning {
	t.Helper()
	chat := longChat(b, i)
	chat.Prompt = strings.Repeat(fmt.Sprintf("question %d of the farm ", i), 40)
	chat.MaxTokens = 4
	reply, err := c.Send(ctx, Sorted(b.Routers())[i%3].Addr(), chat)
	if err != nil || !reply.Whole {
		t.Fatalf("chat %d: %+v, %v", i, reply, err)
	}
	return returning{chat: chat, reply: reply}
}

func (r returning) heldBy(e *enginesim.Engine) bool {
	return e.CachedTokens(r.prefixKey(), r.chat.Workspace, r.reply.Usage.PromptTokens) > 0
}

// awaitLeft waits until the pool's owner knows that the engine leaves and, with
// moves, until other engines hold its chats.
func awaitLeft(ctx context.Context, t *testing.T, b *Bed, leaving *enginesim.Engine, theirs []returning, moves bool) {
	t.Helper()
	own, _ := owner(b)
	err := b.Wait(ctx, func() bool {
		for _, pool := range own.Status().Pools {
			for _, e := range pool.Engines {
				if e.Name == leaving.Name() && e.State != "leaving" {
					return false
				}
			}
		}
		for _, r := range theirs {
			held := false
			for _, e := range b.Engines() {
				held = held || e != leaving && r.heldBy(e)
			}
			if moves && !held {
				return false
			}
		}
		return true
	})
	if err != nil {
		t.Fatal(err)
	}
}
