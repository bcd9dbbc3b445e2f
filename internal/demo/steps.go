package demo

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/entry"
	"github.com/bluebellwell/bluebellwell/internal/testbed"
)

// Run executes all steps and returns the summary.
func (d *Demo) Run(ctx context.Context) (Summary, error) {
	stop := d.sampleSkew()
	for _, step := range []struct {
		name string
		run  func(context.Context) error
	}{
		{"new chats through every router", d.newChats},
		{"the same chats return through another router", d.returningChats},
		{"a booking that is sent twice, at two routers", d.bookTwice},
		{"an engine leaves while chats arrive", d.engineLeaves},
		{"a router stops gracefully under long answers", d.routerStops},
	} {
		d.say("step: %s", step.name)
		stepCtx, cancel := context.WithTimeout(ctx, stepTimeout)
		err := step.run(stepCtx)
		cancel()
		if err != nil {
			stop()
			return d.summary, err
		}
	}
	stop()
	d.conclude()
	return d.summary, nil
}

// chat returns the n-th chat in a given turn; the prompt grows with each turn.
func (d *Demo) chat(n, turn int) testbed.Chat {
	p := d.bed.Profile
	prompt := fmt.Sprintf("chat %d: ", n) + strings.Repeat("please check the booking for my shop and tell me the state. ", 4*(turn+1))
	return testbed.Chat{
		Workspace: p.Workspaces[n%len(p.Workspaces)],
		ChatID:    fmt.Sprintf("chat-%d", n),
		Model:     p.Model,
		Prompt:    prompt,
		MaxTokens: chatTokens,
	}
}

// send runs a chat and records what became of it.
func (d *Demo) send(ctx context.Context, addr string, chat testbed.Chat, returning bool) testbed.Reply {
	r, err := d.caller.Send(ctx, addr, chat)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.summary.Requests++
	switch {
	case err == nil && r.Whole && r.Text == chat.Answer():
		d.summary.WholeAnswers++
	case err == nil && r.Outcome == entry.OutcomeNotRun:
		d.summary.NotRun++
	case err == nil && r.Outcome == entry.OutcomeUnknown:
		d.summary.Unknown++
	default:
		d.summary.Lost++
	}
	if returning {
		d.prompt += r.Usage.PromptTokens
		d.cached += r.Usage.PromptTokensDetails.CachedTokens
	}
	return r
}

// wave sends all chats of a turn at once, each through a router shifted by turn.
func (d *Demo) wave(ctx context.Context, turn int) {
	routers := d.routers()
	var wg sync.WaitGroup
	for n := range newChats {
		wg.Add(1)
		go func() {
			defer wg.Done()
			d.send(ctx, routers[(n+turn)%len(routers)].Addr(), d.chat(n, turn), turn > 0)
		}()
	}
	wg.Wait()
}

func (d *Demo) newChats(ctx context.Context) error {
	d.wave(ctx, 0)
	return nil
}

func (d *Demo) returningChats(ctx context.Context) error {
	d.wave(ctx, 1)
	return nil
}

func (d *Demo) bookTwice(ctx context.Context) error {
	p := d.bed.Profile
	call := testbed.Call{
		Workspace: p.Workspaces[0], Pool: p.PlainPool, Method: http.MethodPost, Path: p.Booking,
		Body: `{"item":"demo"}`, Key: "demo-booking-1", Issued: time.Now(),
	}
	routers := d.routers()
	var wg sync.WaitGroup
	for i := range 2 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			d.book(ctx, routers[i].Addr(), call)
		}()
	}
	wg.Wait()
	// The duplicate may have met the running request; a later one gets the
	// stored answer.
	d.book(ctx, routers[2].Addr(), call)
	if n := len(d.bed.Calls.ExecutedKey(call.Key)); n != 1 {
		d.broke("the booking ran %d times", n)
	}
	return nil
}

func (d *Demo) book(ctx context.Context, addr string, call testbed.Call) {
	r, err := d.caller.Do(ctx, addr, call)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.summary.Requests++
	switch {
	case err != nil:
		d.summary.Lost++
	case r.Whole:
		d.summary.WholeAnswers++
	case r.Outcome == entry.OutcomeNotRun:
		d.summary.NotRun++
	default:
		d.summary.Unknown++
	}
}

// leaveLimit is the longest time in which a leaving engine may get new work.
const leaveLimit = 3 * time.Second

func (d *Demo) engineLeaves(ctx context.Context) error {
	name := testbed.Sorted(d.bed.Engines())[0].Name()
	d.say("  engine %s is leaving", name)
	d.bed.LeaveServer(name)
	left := time.Now()
	for time.Since(left) < leaveLimit {
		d.wave(ctx, 2)
	}
	d.wave(ctx, 2)
	for _, rec := range d.bed.Pool.Records() {
		if rec.Engine == name && rec.Accepted.Sub(left) > leaveLimit {
			d.broke("engine %s got new work %s after it was listed as leaving", name, rec.Accepted.Sub(left))
		}
	}
	return nil
}

func (d *Demo) routerStops(ctx context.Context) error {
	routers := d.routers()
	target := routers[0]
	d.say("  router %s stops; %d long answers run through each router", target.VM(), longStreams)
	var wg sync.WaitGroup
	for i := range longStreams * len(routers) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			chat := d.chat(i, 0)
			chat.ChatID = fmt.Sprintf("long-%d", i)
			chat.MaxTokens = longTokens
			if r := d.send(ctx, routers[i%len(routers)].Addr(), chat, false); !r.Whole {
				d.broke("a long answer was cut during a graceful stop")
			}
		}()
	}
	if err := d.bed.Pool.Await(ctx, len(d.bed.Pool.Records())+1); err != nil {
		return err
	}
	if err := d.bed.StopRouter(ctx, target.VM()); err != nil {
		return err
	}
	wg.Wait()
	return nil
}

// sampleSkew samples the load of the engines until the returned function is
// called.
func (d *Demo) sampleSkew() (stop func()) {
	done := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(skewInterval)
		defer ticker.Stop()
		for {
			select {
			case <-done:
				return
			case <-ticker.C:
				d.addSkew()
			}
		}
	}()
	return func() {
		close(done)
		<-ended
	}
}

func (d *Demo) addSkew() {
	skew, mean := d.bed.Pool.Skew()
	if mean < 1 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.summary.Skew = max(d.summary.Skew, skew)
}

// conclude computes the figures that come from the ledgers and the routers.
func (d *Demo) conclude() {
	s := &d.summary
	s.Duplicates = len(d.bed.Calls.RepeatedKeys()) + len(d.bed.Pool.RepeatedKeys())
	if d.prompt > 0 {
		s.CacheHitRatio = float64(d.cached) / float64(d.prompt)
	}
	for _, r := range d.routers() {
		s.ControlBytesPerSecond = max(s.ControlBytesPerSecond, r.Status().Control.BytesPerSecond)
	}
	if s.Lost > 0 {
		d.broke("%d requests were lost", s.Lost)
	}
	if s.Duplicates > 0 {
		d.broke("%d non-repeatable requests ran more than once", s.Duplicates)
	}
}
