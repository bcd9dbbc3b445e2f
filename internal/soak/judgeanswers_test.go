package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// rule is a rule that records can break.
type rule struct {
	name  string
	check func(*history) []violation
}

// rules are all rules that the judge knows. docs/soak.md explains them.
var rules = []rule{
	{"signature", eachRequest(checkSigned)},
	{"own answer", eachRequest(checkOwnAnswer)},
	{"status", eachRequest(checkStatus)},
	{"whole body", eachRequest(checkWholeBody)},
	{"stream order", eachRequest(checkStreamOrder)},
	{"no other bytes", checkOtherBytes},
	{"once", eachRequest(checkOnce)},
	{"one server at a time", eachRequest(checkContinued)},
	{"true refusals", eachRequest(checkRefusal)},
	{"unchanged requests", checkUnchanged},
	{"workspace and key", eachAttempt(checkWorkspace)},
	{"attempts", eachRequest(checkAttempts)},
	{"denials", eachRequest(checkDenial)},
	{"route", eachAttempt(checkRoute)},
	{"configuration", eachAttempt(checkConfiguration)},
	{"regress", checkRegress},
	{"later routes", checkLaterRoutes},
	{"leaving servers", checkDrain},
	{ruleRegions, eachAttempt(checkRegions)},
	{ruleCold, checkCold},
	{ruleEvacuated, checkEvacuated},
	{"servers that say they leave", eachRequest(checkSaidLeaving)},
	{"servers that want no requests", eachRequest(checkUnwanted)},
	{"failures", eachRequest(checkFailure)},
	{"late events", checkLateEvents},
	{"stopped callers", eachRequest(checkStopped)},
	{"cut answers", eachRequest(checkCut)},
	{"unanswered", eachRequest(checkUnanswered)},
	{"stop", checkStop},
	{"closes announced", eachRequest(checkCloseAnnounced)},
	{"ended by itself", checkExits},
	{"deadlines", checkDeadlines},
	{"timeouts", checkTimeouts},
	{"departed callers", checkDeparted},
	{"retry budget", checkRetryBudget},
	{"load", checkLoad},
	{"recovery", checkRecovery},
}

// givenBy returns the answers of servers to a request that bear a signature.
func (r *request) givenBy(signature string) []logged[answerGiven] {
	var list []logged[answerGiven]
	for _, a := range r.attempts {
		if a.answered.present() && a.answered.event.Signature == signature {
			list = append(list, a.answered)
		}
	}
	return list
}

// checkSigned: a success has the signature of a server that answered the request,
// and no encoding of its own. Nothing excuses it.
func checkSigned(_ *history, r *request) []violation {
	signature := r.started.event.Signature
	switch {
	case r.success() && signature == "":
		return []violation{r.breaks("got status %d without a server's signature", r.status())}
	case r.success() && r.started.event.Encoding != "":
		return []violation{r.breaks("got status %d with the encoding %q", r.status(), r.started.event.Encoding)}
	case signature != "" && len(r.givenBy(signature)) == 0:
		return []violation{r.breaks("got status %d with the signature %q, which no server gave it", r.status(), signature)}
	}
	return nil
}

// checkOwnAnswer: no answer belongs to another request.
func checkOwnAnswer(_ *history, r *request) []violation {
	if named := r.started.event.AnswerID; named != "" && named != r.id() {
		return []violation{r.breaks("got the answer of request %s", named)}
	}
	return nil
}

// checkStatus: an answer with a server's signature has the status that the server gave.
func checkStatus(_ *history, r *request) []violation {
	signature := r.started.event.Signature
	given := r.givenBy(signature)
	if signature == "" || len(given) == 0 {
		return nil
	}
	if slices.ContainsFunc(given, func(g logged[answerGiven]) bool { return g.event.Status == r.status() }) {
		return nil
	}
	return []violation{r.breaks("got status %d where the server answered %d", r.status(), given[0].event.Status)}
}

// checkWholeBody: a success that looks complete has the whole body of a server. Where
// only the end of the connection marks the end, a fault of the server, or a server that
// broke off, explains missing bytes at the end, but no other bytes. A router that ends
// must reset such a connection.
func checkWholeBody(h *history, r *request) []violation {
	if !r.success() || !r.complete() {
		return nil
	}
	body, given := r.ended.event.Body, r.givenBy(r.started.event.Signature)
	if len(given) == 0 {
		// A success without the signature of its server breaks another rule.
		return nil
	}
	if h.isStream(r) && !endsBetweenEvents(body.Text) {
		return []violation{r.breaks("got a stream that looks complete and ends inside an event")}
	}
	whole := slices.ContainsFunc(given, func(g logged[answerGiven]) bool { return !g.event.Broken && g.event.Body.same(body) })
	if whole || h.isStream(r) && r.joinedWhole() {
		return nil
	}
	if r.ended.event.Framing == framingClose && r.startOfAnswer() && (h.serverFaultBeside(r) || r.brokenOff()) {
		return nil
	}
	return []violation{r.breaks("got a body of %d bytes that looks complete and is no server's whole body", body.Bytes)}
}

// startOfAnswer reports whether the body is the start of a server's body. The start of
// a resumed stream is checked by its events.
func (r *request) startOfAnswer() bool {
	if len(r.attempts) > 1 {
		return true
	}
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool {
		return strings.HasPrefix(a.answered.event.Body.Text, r.ended.event.Body.Text)
	})
}

// brokenOff reports whether a server broke off its answer to a request.
func (r *request) brokenOff() bool {
	return slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.answered.event.Broken })
}

// streamEvent is an event of a stream.
type streamEvent struct{ id, text string }

const eventEnd = "\n\n"

// withLineFeeds returns a stream whose lines end with line feeds. Servers may end them with
// CR LF; a carriage return alone ends no line for many callers.
func withLineFeeds(body string) string { return strings.ReplaceAll(body, "\r\n", "\n") }

func endsBetweenEvents(body string) bool {
	return body == "" || strings.HasSuffix(withLineFeeds(body), eventEnd)
}

// eventsOf returns the whole events of a stream. What follows the last one is left out.
func eventsOf(body string) []streamEvent {
	var list []streamEvent
	body = withLineFeeds(body)
	for {
		text, rest, found := strings.Cut(body, eventEnd)
		if !found {
			return list
		}
		id, _, _ := strings.Cut(strings.TrimPrefix(text, "id: "), "\n")
		list = append(list, streamEvent{id: id, text: text})
		body = rest
	}
}

// joinedWhole reports whether the events of a resumed stream end with the last event
// of a server's whole answer. Their order is checked by another rule.
func (r *request) joinedWhole() bool {
	got := eventsOf(r.ended.event.Body.Text)
	return len(got) > 0 && slices.ContainsFunc(r.attempts, func(a *attempt) bool {
		given := eventsOf(a.answered.event.Body.Text)
		whole := a.answered.present() && !a.answered.event.Broken && endsBetweenEvents(a.answered.event.Body.Text)
		return whole && len(given) > 0 && given[len(given)-1] == got[len(got)-1]
	})
}

// checkStreamOrder: the events of a stream are those of one server, or of several where
// the stream may be resumed, each once and in order. Broken answers count too.
func checkStreamOrder(h *history, r *request) []violation {
	if !h.isStream(r) || !r.success() || !r.ended.present() {
		return nil
	}
	got := eventsOf(r.ended.event.Body.Text)
	for i, e := range got {
		if due := r.sent.event.LastEvent + i + 1; e.id != fmt.Sprint(due) {
			return []violation{r.breaks("got event %q where event %d was due", e.id, due)}
		}
	}
	if h.once(r) && !r.continued() {
		return checkOneStream(r, got)
	}
	for _, e := range got {
		if !slices.ContainsFunc(r.attempts, func(a *attempt) bool { return slices.Contains(eventsOf(a.answered.event.Body.Text), e) }) {
			return []violation{r.breaks("got event %s as no server sent it", e.id)}
		}
	}
	return nil
}

// checkOneStream: all events are of one server.
func checkOneStream(r *request, got []streamEvent) []violation {
	ofOne := slices.ContainsFunc(r.attempts, func(a *attempt) bool {
		given := eventsOf(a.answered.event.Body.Text)
		return len(given) >= len(got) && slices.Equal(given[:len(got)], got)
	})
	if ofOne || len(got) == 0 {
		return nil
	}
	return []violation{r.breaks("got events that no single server sent")}
}

// checkOtherBytes: a connection carries answers to waiting requests and nothing else. A
// server that broke off explains bytes that are no answer.
func checkOtherBytes(h *history) []violation {
	var list []violation
	for _, s := range h.stray {
		text := fmt.Sprintf("connection %s of %s carried %q with no request waiting", s.event.Conn, s.event.Router, s.event.Text)
		list = append(list, violation{Text: text, Lines: []int{s.line}})
	}
	for _, r := range h.requests {
		switch {
		case r.status() != 0 && !isFinal(r.status()):
			list = append(list, r.breaks("was answered with status %d, which is no final one", r.status()))
		case r.ended.event.Extra != "":
			list = append(list, r.breaks("was answered with further bytes: %q", r.ended.event.Extra))
		case r.ended.event.Stage == stageParse && !r.brokenOff():
			list = append(list, r.breaks("was answered with bytes that are no answer: %s", r.ended.event.Error))
		}
	}
	return list
}

// isPromise reports whether a status promises that the request has not run.
func isPromise(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	}
	return false
}

// checkContinued: a run that goes on at another server with a copy of its memory had a server before, which does not
// work on it for longer than the bound after that.
func checkContinued(h *history, r *request) []violation {
	var list []violation
	runs := r.runs()
	for i, a := range runs {
		switch {
		case !a.arrived.event.Continues:
			continue
		case i == 0:
			list = append(list, a.breaks(r, "continued a run that no server had begun"))
			continue
		}
		before := runs[i-1]
		end, ended := before.end()
		if (!ended || end > a.arrived.at+h.bounds.Takeover) && !h.heldUp(before) {
			v := a.breaks(r, "continued a run on which %s still worked %v later", before.arrived.event.Server, h.bounds.Takeover)
			v.Lines = append(v.Lines, before.lines()...)
			list = append(list, v)
		}
	}
	return list
}

// checkOnce: a request that must not be repeated runs once at most. A server that continues a run with a copy of its
// memory does not run it again.
func checkOnce(h *history, r *request) []violation {
	if n := len(r.begun()); h.once(r) && n > 1 {
		return []violation{r.breaks("ran %d times", n)}
	}
	return nil
}

// checkRefusal: a request that was refused has not run and does not run later.
func checkRefusal(h *history, r *request) []violation {
	if h.once(r) && isPromise(r.status()) && len(r.runs()) > 0 {
		return []violation{r.breaks("was refused with %d and ran", r.status())}
	}
	return nil
}
