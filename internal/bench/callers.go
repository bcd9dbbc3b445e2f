package bench

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
	"unicode/utf8"

	"github.com/bluebellwell/bluebellwell/internal/dispatch"
	"github.com/bluebellwell/bluebellwell/internal/entry"
	"github.com/bluebellwell/bluebellwell/internal/router"
	"github.com/bluebellwell/bluebellwell/internal/standin/enginesim"
	"github.com/bluebellwell/bluebellwell/internal/testbed"
)

const (
	// chatDeadline is the deadline that callers send with each chat request.
	chatDeadline = 30 * time.Second
	// maxSends limits how often a caller sends a request whose connection ended
	// before any part of an answer.
	maxSends = 4
	// maxResumeTime limits how long a caller tries to resume an answer after a
	// lost connection. It is longer than a killed router stays listed plus the
	// poll interval of the VM list.
	maxResumeTime = 8 * time.Second
	// maxCallTime limits how long a caller retries a plain call.
	maxCallTime = 8 * time.Second
	retryDelay  = 300 * time.Millisecond
	// retryOverrun is how long after the planned end of the run callers still
	// retry.
	retryOverrun = 500 * time.Millisecond
	// maxRefusedConnections limits how often a caller retries immediately
	// after a refused connection.
	maxRefusedConnections = 24
)

// outcomeLost marks a request without any final answer.
const outcomeLost = "lost"

// connectionLoss is a connection that ended before the answer was complete.
type connectionLoss struct {
	router string
	at     time.Time
}

// chatResult is the result of one turn as its caller received it.
type chatResult struct {
	chat *Chat
	turn int
	// requestIDs are the request ids that routers assigned; a turn that was sent
	// again may have several.
	requestIDs       []string
	sent             time.Time
	ended            time.Time
	ttft             time.Duration
	outcome          string
	code             string
	text             string
	connectionLosses []connectionLoss
	// lastResume describes the result of the last attempt to resume.
	lastResume string
}

// callResult is one call to the plain service.
type callResult struct {
	key         string
	path        string
	sent, ended time.Time
	outcome     string
	code        string
	text        string
	// abandoned marks a call whose connection ended before the end of the answer.
	abandoned bool
}

// results collects the results of all callers.
type results struct {
	mu    sync.Mutex
	chats []*chatResult
	calls []*callResult
	// lostCalls holds the idempotency keys of plain calls without a final answer,
	// or the paths of those without a key.
	lostCalls []string
	resent    int
	resumed   int
}

func (s *results) addChat(c *chatResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.chats = append(s.chats, c)
}

func (s *results) addCall(c *callResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, c)
}

func (s *results) increment(n *int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	*n++
}

func (s *results) addLostCall(call testbed.Call) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := call.Key
	if name == "" {
		name = call.Path
	}
	s.lostCalls = append(s.lostCalls, name)
}

// sendAll sends the workload and returns after the last answer.
func (r *run) sendAll(ctx context.Context) {
	var callers sync.WaitGroup
	for i := range r.plan.Chats {
		callers.Go(func() { r.runChat(ctx, &r.plan.Chats[i]) })
	}
	for i := range r.plan.Calls {
		callers.Go(func() { r.runCall(ctx, &r.plan.Calls[i]) })
	}
	callers.Wait()
}

// runChat sends the turns of a chat one after the other.
func (r *run) runChat(ctx context.Context, c *Chat) {
	placement := ""
	for turn := range c.Turns {
		if !r.waitUntil(ctx, c.Turns[turn].At) || time.Since(r.startTime) > r.plan.Duration {
			return
		}
		req := r.plan.Request(c, turn)
		req.Placement = placement
		req.Deadline = chatDeadline
		res := &chatResult{chat: c, turn: turn, sent: time.Now()}
		reply := r.sendTurn(ctx, req, c.Turns[turn].RouterRandom, res)
		res.ended = time.Now()
		if reply.Placement != "" {
			placement = reply.Placement
		}
		r.results.addChat(res)
	}
}

// sendTurn sends a chat request until it has a final answer. A caller whose
// connection ends before any part of an answer sends the request again, because
// chats are repeatable.
func (r *run) sendTurn(ctx context.Context, req testbed.Chat, random uint64, res *chatResult) testbed.Reply {
	res.outcome = outcomeLost
	refused := 0
	for send := 0; send < maxSends && ctx.Err() == nil; {
		target := r.pickRouter(random)
		random = rand.Uint64()
		if target == nil {
			sleep(ctx, retryDelay)
			send++
			continue
		}
		since := time.Since(res.sent)
		reply, err := r.caller.Send(ctx, target.Addr(), req)
		if reply.RequestID != "" {
			res.requestIDs = append(res.requestIDs, reply.RequestID)
		}
		if reply.FirstToken > 0 && res.ttft == 0 {
			res.ttft = since + reply.FirstToken
		}
		if err == nil {
			res.finish(reply)
			return reply
		}
		if err != nil && errors.Is(err, syscall.ECONNREFUSED) && refused < maxRefusedConnections {
			refused++
			continue
		}
		if err != nil {
			res.connectionLosses = append(res.connectionLosses, connectionLoss{router: target.VM(), at: time.Now()})
		}
		if reply.RequestID != "" {
			return r.resume(ctx, req, reply, res)
		}
		r.results.increment(&r.results.resent)
		send++
	}
	return testbed.Reply{}
}

func (c *chatResult) finish(reply testbed.Reply) {
	c.outcome = reply.Outcome
	c.code = reply.Code
	c.text = reply.Text
	if c.code == "" && c.outcome != entry.OutcomeDone {
		c.code = c.outcome
	}
}

// resume reads the rest of an answer through any ready router after the
// connection was lost.
func (r *run) resume(ctx context.Context, req testbed.Chat, reply testbed.Reply, res *chatResult) testbed.Reply {
	res.text = reply.Text
	retryDeadline := r.retryDeadline(maxResumeTime)
	for ctx.Err() == nil && time.Now().Before(retryDeadline) {
		target := r.pickRouter(rand.Uint64())
		if target == nil {
			sleep(ctx, retryDelay)
			continue
		}
		rest, err := r.caller.Resume(ctx, target.Addr(), req.Workspace, reply.RequestID, utf8.RuneCountInString(res.text))
		res.text += rest.Text
		res.lastResume = fmt.Sprintf("%s %s %v", rest.Outcome, rest.Code, err)
		if err == nil && rest.Complete {
			res.outcome = entry.OutcomeDone
			r.results.increment(&r.results.resumed)
			return reply
		}
		res.recordFailedResume(rest, err)
		sleep(ctx, retryDelay)
	}
	return reply
}

// recordFailedResume records the last failed attempt to resume. If the router
// reports that the answer is incomplete or not found, this is a final answer;
// whether it counts as lost depends on whether the engine terminated.
func (c *chatResult) recordFailedResume(rest testbed.Reply, err error) {
	c.outcome, c.code = outcomeLost, ""
	if err == nil && (rest.Outcome == entry.OutcomeIncomplete || rest.Code == dispatch.CodeAttemptNotFound) {
		c.outcome, c.code = entry.OutcomeIncomplete, entry.OutcomeIncomplete
	}
}

// retryDeadline returns the time until which a caller that starts now retries.
func (r *run) retryDeadline(limit time.Duration) time.Time {
	retryDeadline := time.Now().Add(limit)
	if end := r.startTime.Add(r.plan.Duration + retryOverrun); retryDeadline.After(end) {
		return end
	}
	return retryDeadline
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// runCall sends a plain call and the repeats of a booking.
func (r *run) runCall(ctx context.Context, c *Call) {
	if !r.waitUntil(ctx, c.At) {
		return
	}
	call := testbed.Call{
		Workspace: c.Workspace, Pool: r.plan.Profile.PlainPool, Method: http.MethodGet,
		Path: fmt.Sprintf("%s?call=%d", r.plan.Profile.LookupPath, c.ID),
	}
	if c.Key != "" {
		call.Method = http.MethodPost
		call.Path = r.plan.Profile.BookingPath
		call.Key = c.Key
		call.Issued = time.Now()
		call.Body = `{"item":"` + c.Key + `"}`
	}
	switch c.Repeat {
	case RepeatNever:
		r.callUntilFinal(ctx, call, c.RouterRandom)
	case RepeatConcurrently:
		var wg sync.WaitGroup
		wg.Go(func() { r.callUntilFinal(ctx, call, c.RouterRandom) })
		wg.Go(func() { r.callUntilFinal(ctx, call, c.RouterRandom+1) })
		wg.Wait()
	case RepeatAfterAnswer:
		r.callUntilFinal(ctx, call, c.RouterRandom)
		r.callUntilFinal(ctx, call, c.RouterRandom+1)
	case RepeatAfterDisconnect:
		r.sendAndDisconnect(ctx, call, c)
		r.callUntilFinal(ctx, call, c.RouterRandom+1)
	}
}

// sendAndDisconnect sends a call and closes the connection after DisconnectAfter.
func (r *run) sendAndDisconnect(ctx context.Context, call testbed.Call, c *Call) {
	ctx, cancel := context.WithTimeout(ctx, c.DisconnectAfter)
	defer cancel()
	if target := r.pickRouter(c.RouterRandom); target != nil {
		r.callOnce(ctx, target, call)
	}
}

// callUntilFinal sends a call until it has a final answer. A broken connection
// and the code key_in_progress are not final.
func (r *run) callUntilFinal(ctx context.Context, call testbed.Call, random uint64) {
	retryDeadline := r.retryDeadline(maxCallTime)
	for ctx.Err() == nil && time.Now().Before(retryDeadline) {
		target := r.pickRouter(random)
		random = rand.Uint64()
		if target != nil {
			res := r.callOnce(ctx, target, call)
			if res.outcome != outcomeLost && res.code != "key_in_progress" {
				return
			}
		}
		sleep(ctx, retryDelay)
	}
	r.results.addLostCall(call)
}

// callOnce sends a call once and records the result.
func (r *run) callOnce(ctx context.Context, target *router.Router, call testbed.Call) *callResult {
	res := &callResult{key: call.Key, path: call.Path, sent: time.Now(), outcome: outcomeLost}
	reply, err := r.caller.Do(ctx, target.Addr(), call)
	res.ended = time.Now()
	res.abandoned = err != nil
	if err == nil {
		res.outcome = reply.Outcome
		res.code = reply.Code
		res.text = reply.Text
	}
	r.results.addCall(res)
	return res
}

// answerMatches reports whether the text of a complete plain answer belongs to
// the call: the servers echo the body of a booking and the query of a lookup.
func (c *callResult) answerMatches() bool {
	if c.key != "" {
		return strings.Contains(c.text, c.key+`\"`)
	}
	_, query, _ := strings.Cut(c.path, "?")
	return strings.Contains(c.text, `"`+query+`"`)
}

// maxLostLogged limits the lost requests of each kind that logLost describes.
const maxLostLogged = 5

// logLost logs details of the first lost requests, so that their cause can be
// found.
func (r *run) logLost(chats []*chatResult, byRequest map[string][]enginesim.Record) {
	for _, c := range chats[:min(len(chats), maxLostLogged)] {
		last := "no attempt"
		for _, id := range c.requestIDs {
			for _, rec := range byRequest[id] {
				last = rec.Engine + " " + rec.EndState
			}
		}
		r.logf("%s: lost: %s turn %d, sent at %.1f s, ended at %.1f s with %s, %d request ids, %d lost connections, "+
			"%d of %d characters; %s; last attempt to resume: %s", r.policy, c.chat.ID, c.turn, c.sent.Sub(r.startTime).Seconds(),
			c.ended.Sub(r.startTime).Seconds(), c.outcome, len(c.requestIDs), len(c.connectionLosses), utf8.RuneCountInString(c.text),
			c.chat.Turns[c.turn].AnswerTokens*charactersPerAnswerToken, last, c.lastResume)
	}
	calls := r.results.lostCalls
	for _, name := range calls[:min(len(calls), maxLostLogged)] {
		r.logf("%s: no final answer: %s: %s", r.policy, name, r.results.callHistory(r, name))
	}
}

// charactersPerAnswerToken is the typical length of a generated token.
const charactersPerAnswerToken = 7

// maxHistoryCalls limits the calls that callHistory lists.
const maxHistoryCalls = 6

// callHistory lists the times and results of the first calls with a key.
func (s *results) callHistory(r *run, key string) string {
	var list []string
	for _, c := range s.calls {
		if c.key != key || len(list) == maxHistoryCalls {
			continue
		}
		result := c.outcome + " " + c.code
		if c.abandoned {
			result = "connection ended"
		}
		list = append(list, fmt.Sprintf("%.2f-%.2f s %s", c.sent.Sub(r.startTime).Seconds(), c.ended.Sub(r.startTime).Seconds(), result))
	}
	return strings.Join(list, ", ")
}
