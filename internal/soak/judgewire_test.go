package soak

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// isFinal reports whether a status is one of a final answer (RFC 9110, section 15).
func isFinal(status int) bool { return status >= http.StatusOK && status < 600 }

// isFailure reports whether an attempt got a whole failure answer that callers are to get
// if no other server succeeds. A promise is none: the request has run.
func (a *attempt) isFailure() bool {
	given := a.answered.event
	return a.run.present() && a.answered.present() && !given.Broken && !a.cancelled.present() && given.AnswerID == a.arrived.event.ID &&
		given.Status >= http.StatusInternalServerError && isFinal(given.Status) && !isPromise(given.Status)
}

// checkFailure: a request that only failed at servers gets a failure of one of them, and
// not one of the router's own. Faults beside it explain others.
func checkFailure(h *history, r *request) []violation {
	own := r.complete() && r.status() >= http.StatusInternalServerError && r.started.event.Signature == ""
	if !own || len(r.attempts) == 0 || h.faultBeside(r) {
		return nil
	}
	for _, a := range r.attempts {
		if !a.refused.present() && !a.isFailure() {
			return nil
		}
	}
	if len(r.runs()) == 0 {
		return nil
	}
	return []violation{r.breaks("got the router's own %d in place of its server's failure", r.status())}
}

// checkLateEvents: the first event of a stream reaches its caller soon after its server has
// sent it, at routers in touch. Of the streams that last longer a quarter may be late, and
// any below minLate.
func checkLateEvents(h *history) []violation {
	all, late := 0, []int{}
	for _, r := range h.requests {
		if !h.isStream(r) || !r.success() || len(r.runs()) != 1 || r.sent.event.Manner == readingLate.String() || r.sent.event.Behind != "" {
			continue
		}
		a := r.runs()[0]
		end, ended := a.end()
		if !ended || end <= a.run.at+h.bounds.Late || h.heldUp(a) || !h.inTouch(r.sent.event.Router, r.started.at) {
			continue
		}
		all++
		if r.started.at > a.run.at+h.bounds.Late {
			late = append(late, r.started.line, a.run.line)
		}
	}
	n := len(late) / 2
	if n < minLate || 4*n <= all {
		return nil
	}
	return []violation{{Text: fmt.Sprintf("the first events of %d of %d streams reached their callers %v late", n, all, h.bounds.Late), Lines: late}}
}

// checkStopped: a router in touch ends the connection of a caller that stops in its headers
// after the limit of the configuration, and answers one that stops in its body if no
// configuration allows the request.
func checkStopped(h *history, r *request) []violation {
	if !r.stopped.present() || !r.left.present() || r.started.present() || !h.inTouch(r.sent.event.Router, r.left.at) {
		return nil
	}
	limit := h.bounds.Late
	switch r.sent.event.Manner {
	case stoppingInHeaders.String():
		limit += h.bounds.HeaderMargin + h.longestHeaders()
	case stoppingInBody.String():
		if h.allowedByAny(r) {
			return nil
		}
	}
	if waited := r.left.at - r.stopped.at; waited > limit {
		return []violation{r.breaks("at %s whose caller stopped sending was neither answered nor ended in %v", r.sent.event.Router, waited)}
	}
	return nil
}

// longestHeaders returns the longest limit for headers of the configurations.
func (h *history) longestHeaders() time.Duration {
	longest := time.Duration(0)
	for _, c := range h.configs {
		longest = max(longest, c.event.HeaderTimeout)
	}
	return longest
}

// allowedByAny reports whether some configuration allows a request.
func (h *history) allowedByAny(r *request) bool {
	for _, c := range h.configs {
		if c.event.allows(r) {
			return true
		}
	}
	return false
}

func wireCases() []judgeCase {
	fails500 := func(ms int, attempt string) record {
		return changed(given(ms, attempt, "failed"), func(a *answerGiven) { a.Status, a.AnswerID = 500, attempt[1:] })
	}
	ran := []record{sent(0, "a", "unsafe"), arrived(1, "1a", "a", "plain"), run(1, "1a")}
	unframed := joined(ran, []record{given(2, "1a", "text"), headers(3, "a", 200, "seal-1a"), openBody(4, "a", "tex")})
	resumed := []record{sent(0, "a", "resume"), changed(arrived(1, "1a", "a", "engines"), toResume), run(1, "1a"), headers(2, "a", 200, "seal-1a"),
		changed(arrived(3, "2a", "a", "engines"), toResume), run(3, "2a"), given(4, "2a", events(3, 5))}
	withManner := func(m manner, key string) record {
		return changed(sent(0, "a", "unsafe"), func(s *requestSent) { s.Manner, s.Key = m.String(), key })
	}
	stopped := at(1, callerStopped{ID: "a"})
	return []judgeCase{
		{rule: "failures", about: "one of the router's own", common: joined(ran, []record{fails500(2, "1a"), body(4, "a", "failed")}),
			breaks: []record{headers(3, "a", 502, "")},
			keeps:  []record{headers(3, "a", 500, "seal-1a")}},
		{rule: "failures", about: "beside a fault of another server", common: joined(ran, []record{fails500(2, "1a"), headers(3, "a", 502, ""), body(4, "a", "")}),
			breaks: []record{fails(1, subjectServer, "s2")},
			keeps:  []record{fails(1, subjectServer, "s1")}},
		{rule: "failures", about: "where a server gave none", common: joined(ran, []record{headers(3, "a", 502, ""), body(4, "a", "")}),
			breaks: []record{fails500(2, "1a")},
			keeps:  []record{changed(fails500(2, "1a"), func(a *answerGiven) { a.Broken = true })}},
		{rule: "no other bytes", about: "a status that is not final", common: joined(ran, []record{body(4, "a", "")}),
			breaks: []record{changed(given(2, "1a", ""), func(a *answerGiven) { a.Status = 600 }), headers(3, "a", 600, "seal-1a")},
			keeps:  []record{changed(given(2, "1a", ""), func(a *answerGiven) { a.Status = 599 }), headers(3, "a", 599, "seal-1a")}},
		{rule: "whole body", about: "an end without a mark, beside a fault of the router", common: unframed,
			breaks: []record{fails(1, subjectRouter, "f1")},
			keeps:  []record{fails(1, subjectServer, "s1")}},
		{rule: "stream order", about: "a line end of two bytes that was cut", common: resumed,
			breaks: []record{broken(2, "1a", withLineEnds(events(1, 2))), body(5, "a", withLineEnds(events(1, 1))+"id: 2\r\ndata: word2\r\n\r"+events(3, 5))},
			keeps:  []record{broken(2, "1a", withLineEnds(events(1, 2))), body(5, "a", withLineEnds(events(1, 2))+events(3, 5))}},
		{rule: "late events", about: "at the end of their streams",
			breaks: many(10, 0, 10, func(ms int, id string) []record { return streamed(ms, id, 600) }),
			keeps:  many(10, 0, 10, func(ms int, id string) []record { return streamed(ms, id, 400) })},
		{rule: "stopped callers", about: "in the headers", common: []record{config(-9000, 2, "k1", "plain"), withManner(stoppingInHeaders, "k1"), stopped},
			breaks: []record{left(2200, "a")},
			keeps:  []record{noAnswer(1600, "a")}},
		{rule: "stopped callers", about: "in the body", common: []record{stopped, left(2200, "a")},
			breaks: []record{withManner(stoppingInBody, "k0")},
			keeps:  []record{withManner(stoppingInBody, "k1")}},
		{rule: "deadlines", about: "the caller's at servers that got the request late",
			breaks: many(4, 0, 10, func(ms int, id string) []record { return servedLate(ms, id, 2600*time.Millisecond) }),
			keeps:  many(4, 0, 10, func(ms int, id string) []record { return servedLate(ms, id, 2400*time.Millisecond) })},
	}
}

// streamed returns a stream whose first event reaches its caller after some milliseconds.
func streamed(ms int, id string, late int) []record {
	attempt := "1" + id
	return []record{sent(ms, id, "stream"), arrived(ms, attempt, id, "engines"), run(ms, attempt), given(ms+700, attempt, events(1, 5)),
		headers(ms+late, id, 200, "seal-"+attempt), body(ms+701, id, events(1, 5))}
}

// servedLate returns a request that its server got 1 s late, with a deadline.
func servedLate(ms int, id string, deadline time.Duration) []record {
	list := served(ms+1000, id, "plain")
	list[0] = sent(ms, id, "unsafe")
	list[1] = changed(list[1], func(a *requestArrived) { a.Deadline = deadline })
	return list
}

// withLineEnds returns a stream with line ends of two bytes.
func withLineEnds(text string) string {
	return strings.ReplaceAll(text, "\n", "\r\n")
}
