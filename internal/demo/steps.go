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
		{"new chats through every router", d.sendNewChats},
		{"the same chats return through another router", d.sendReturningChats},
		{"a booking that is sent twice, at two routers", d.sendBookingTwice},
		{"an engine leaves while chats arrive", d.drainEngine},
		{"a router stops gracefully while long answers run", d.stopRouter},
	} {
		d.logf("step: %s", step.name)
		stepCtx, cancel := context.WithTimeout(ctx, stepTimeout)
		err := step.run(stepCtx)
		cancel()
		if err != nil {
			stop()
			return d.summary, err
		}
	}
	stop()
	d.finalizeSummary()
	return d.summary, nil
}

// chat returns the n-th chat's request of a turn; each turn extends the prompt.
func (d *Demo) chat(n, turn int) testbed.Chat {
	p := d.bed.Profile
	prompt := fmt.Sprintf("chat %d: ", n) + strings.Repeat("please check the booking for my shop and tell me the state. ", 4*(turn+1))
	return testbed.Chat{
		Workspace: p.Workspaces[n%len(p.Workspaces)],
		ChatID:    fmt.Sprintf("chat-%d", n),
		Model:     p.Model,
		Prompt:    prompt,
		MaxTokens: answerTokens,
	}
}

// sendChat sends a chat and counts its result.
func (d *Demo) sendChat(ctx context.Context, addr string, chat testbed.Chat, returning bool) testbed.Reply {
	r, err := d.caller.Send(ctx, addr, chat)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.summary.Requests++
	switch {
	case err == nil && r.Complete && r.Text == chat.ExpectedAnswer():
		d.summary.WholeAnswers++
	case err == nil && r.Outcome == entry.OutcomeNotRun:
		d.summary.NotRun++
	case err == nil && r.Outcome == entry.OutcomeUnknown:
		d.summary.Unknown++
	default:
		d.summary.Lost++
	}
	if returning {
		d.promptTokens += r.Usage.PromptTokens
		d.cachedTokens += r.Usage.PromptTokensDetails.CachedTokens
	}
	return r
}

// sendAllChats sends all chats of a turn concurrently. Each turn sends a chat
// through the next router.
func (d *Demo) sendAllChats(ctx context.Context, turn int) {
	routers := d.routers()
	var wg sync.WaitGroup
	for n := range chatCount {
		wg.Add(1)
		go func() {
			defer wg.Done()
			d.sendChat(ctx, routers[(n+turn)%len(routers)].Addr(), d.chat(n, turn), turn > 0)
		}()
	}
	wg.Wait()
}

func (d *Demo) sendNewChats(ctx context.Context) error {
	d.sendAllChats(ctx, 0)
	return nil
}

func (d *Demo) sendReturningChats(ctx context.Context) error {
	d.sendAllChats(ctx, 1)
	return nil
}

func (d *Demo) sendBookingTwice(ctx context.Context) error {
	p := d.bed.Profile
	call := testbed.Call{
		Workspace: p.Workspaces[0], Pool: p.PlainPool, Method: http.MethodPost, Path: p.BookingPath,
		Body: `{"item":"demo"}`, Key: "demo-booking-1", Issued: time.Now(),
	}
	routers := d.routers()
	var wg sync.WaitGroup
	for i := range 2 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			d.sendBooking(ctx, routers[i].Addr(), call)
		}()
	}
	wg.Wait()
	// One of the two requests may have been answered while the other was still
	// running; a later one receives the stored answer.
	d.sendBooking(ctx, routers[2].Addr(), call)
	if n := len(d.bed.BackendLedger.ExecutedKey(call.Key)); n != 1 {
		d.recordBroken("the booking ran %d times", n)
	}
	return nil
}

func (d *Demo) sendBooking(ctx context.Context, addr string, call testbed.Call) {
	r, err := d.caller.Do(ctx, addr, call)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.summary.Requests++
	switch {
	case err != nil:
		d.summary.Lost++
	case r.Complete:
		d.summary.WholeAnswers++
	case r.Outcome == entry.OutcomeNotRun:
		d.summary.NotRun++
	default:
		d.summary.Unknown++
	}
}

// maxLeaveTime is how long an engine may receive new requests after it was listed
// as leaving.
const maxLeaveTime = 3 * time.Second

func (d *Demo) drainEngine(ctx context.Context) error {
	name := testbed.SortedByKey(d.bed.Engines())[0].Name()
	d.logf("  engine %s is leaving", name)
	d.bed.MarkLeaving(name)
	listedAt := time.Now()
	for time.Since(listedAt) < maxLeaveTime {
		d.sendAllChats(ctx, 2)
	}
	d.sendAllChats(ctx, 2)
	for _, rec := range d.bed.EngineLedger.Records() {
		if rec.Engine == name && rec.Accepted.Sub(listedAt) > maxLeaveTime {
			d.recordBroken("engine %s got new work %s after it was listed as leaving", name, rec.Accepted.Sub(listedAt))
		}
	}
	return nil
}

func (d *Demo) stopRouter(ctx context.Context) error {
	routers := d.routers()
	target := routers[0]
	d.logf("  router %s stops; %d long answers run through each router", target.VM(), longAnswersPerRouter)
	var wg sync.WaitGroup
	for i := range longAnswersPerRouter * len(routers) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			chat := d.chat(i, 0)
			chat.ChatID = fmt.Sprintf("long-%d", i)
			chat.MaxTokens = longAnswerTokens
			if r := d.sendChat(ctx, routers[i%len(routers)].Addr(), chat, false); !r.Complete {
				d.recordBroken("a long answer was cut during a graceful stop")
			}
		}()
	}
	if err := d.bed.EngineLedger.Await(ctx, len(d.bed.EngineLedger.Records())+1); err != nil {
		return err
	}
	if err := d.bed.StopRouter(ctx, target.VM()); err != nil {
		return err
	}
	wg.Wait()
	return nil
}

// sampleSkew samples the skew of the engines' load until the returned function
// is called.
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
	skew, mean := d.bed.EngineLedger.Skew()
	if mean < 1 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.summary.Skew = max(d.summary.Skew, skew)
}

// finalizeSummary adds the figures from the ledgers and the routers and checks the
// guarantees on them.
func (d *Demo) finalizeSummary() {
	s := &d.summary
	s.Duplicates = len(d.bed.BackendLedger.RepeatedKeys()) + len(d.bed.EngineLedger.RepeatedKeys())
	if d.promptTokens > 0 {
		s.CacheHitRatio = float64(d.cachedTokens) / float64(d.promptTokens)
	}
	for _, r := range d.routers() {
		s.ControlBytesPerSecond = max(s.ControlBytesPerSecond, r.Status().Control.BytesPerSecond)
	}
	if s.Lost > 0 {
		d.recordBroken("%d requests were lost", s.Lost)
	}
	if s.Duplicates > 0 {
		d.recordBroken("%d non-repeatable requests ran more than once", s.Duplicates)
	}
}
