package soak

import (
	"bytes"
	"cmp"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
	"time"
)

// judgeCase is a short run that breaks a rule and the nearest one that does not. Both
// begin with common.
type judgeCase struct {
	rule   string
	about  string
	common []record
	breaks []record
	keeps  []record
}

// Records of the cases. Times are in milliseconds; the router f1 and the store have been
// undisturbed for ten seconds at 0.

func at(ms int, e event) record { return record{At: time.Duration(ms) * time.Millisecond, Event: e} }

func sent(ms int, id, route string) record {
	return at(ms, requestSent{ID: id, Conn: "c1", Router: "f1", Route: route, Method: "POST", Target: "/" + route + "/x", Key: "k1",
		Body: contentOf("ask"), Deadline: 3 * time.Second, Prompt: "aa:5"})
}

func arrived(ms int, attempt, id, pool string) record {
	return at(ms, requestArrived{Attempt: attempt, Server: "s" + attempt[:1], Pool: pool, ID: id, Method: "POST", Target: "/" + routeOf(pool) + "/x",
		Body: contentOf("ask"), Workspace: "w1", Deadline: 3 * time.Second, Prompt: "aa:5"})
}

// changed returns a record with its event changed.
func changed[E event](r record, change func(*E)) record {
	e := r.Event.(E)
	change(&e)
	return record{At: r.At, Event: e}
}

// routeOf returns the route that the cases use with a pool.
func routeOf(pool string) string {
	if pool == "engines" {
		return "stream"
	}
	return "unsafe"
}

func run(ms int, attempt string) record { return at(ms, requestRun{Attempt: attempt}) }

func refused(ms int, attempt string) record {
	return at(ms, requestRefused{Attempt: attempt, Status: 503})
}

func given(ms int, attempt, body string) record {
	return at(ms, answerGiven{Attempt: attempt, Status: 200, Signature: "seal-" + attempt, Body: contentOf(body), Framing: framingLength})
}

func broken(ms int, attempt, body string) record {
	return changed(given(ms, attempt, body), func(a *answerGiven) { a.Broken = true })
}

func cancelled(ms int, attempt string) record { return at(ms, attemptCancelled{Attempt: attempt}) }

func headers(ms int, id string, status int, signature string) record {
	return at(ms, answerStarted{ID: id, Status: status, Signature: signature, AnswerID: id})
}

func body(ms int, id, text string) record {
	return at(ms, answerEnded{ID: id, Body: contentOf(text), Framing: framingLength})
}

func openBody(ms int, id, text string) record {
	return at(ms, answerEnded{ID: id, Body: contentOf(text), Framing: framingClose})
}

func cut(ms int, id, text string) record {
	return at(ms, answerEnded{ID: id, Body: contentOf(text), Error: "unexpected EOF", Stage: stageBody})
}

func noAnswer(ms int, id string) record {
	return at(ms, answerEnded{ID: id, Error: "EOF", Stage: stageHeaders})
}

func left(ms int, id string) record { return at(ms, callerLeft{ID: id}) }

func machine(ms int, change routerChange) record {
	return at(ms, routerChanged{Router: "f1", Change: change})
}

func fails(from int, disrupt subject, target string) record {
	return at(from, faultStarted{Number: from, Kind: "fault", Target: target, Disrupt: disrupt})
}

func works(to, from int) record { return at(to, faultEnded{Number: from}) }

func entry(ms int, server string, state entryState) record {
	return at(ms, entryConfirmed{Server: server, Pool: "plain", State: state})
}

func config(ms, version int, key, pool string) record {
	route := func(name, kind, pool string, attempts int) routeRecord {
		return routeRecord{Name: name, Kind: kind, Pool: pool, Attempts: attempts, Resumable: name == "resume", Timeout: 4 * time.Second}
	}
	return at(ms, configConfirmed{Version: version, Workspaces: []workspaceOfRecord{{Name: "w1", Keys: []string{key, "steady"}}},
		Routes: []routeRecord{route("safe", "safe", pool, 2), route("unsafe", "unsafe", pool, 1), route("stream", "stream", "engines", 1), route("resume", "stream", "engines", 2)}})
}

// events returns the events of a stream with the numbers from first to last.
func events(first, last int) string {
	text := ""
	for i := first; i <= last; i++ {
		text += fmt.Sprintf("id: %d\ndata: word%d\n\n", i, i)
	}
	return text
}

// served returns a request that ran at one server and got its answer.
func served(ms int, id, pool string) []record {
	attempt := "1" + id
	return []record{sent(ms, id, routeOf(pool)), arrived(ms+1, attempt, id, pool), run(ms+1, attempt), given(ms+2, attempt, "text"),
		headers(ms+3, id, 200, "seal-"+attempt), body(ms+4, id, "text")}
}

func joined(lists ...[]record) []record { return slices.Concat(lists...) }

// many returns the records of n requests, one a step of milliseconds.
func many(n, from, step int, records func(ms int, id string) []record) []record {
	var list []record
	for i := range n {
		list = append(list, records(from+i*step, fmt.Sprintf("m%d", i))...)
	}
	return list
}

// preamble is the beginning of each case.
func preamble() []record {
	return []record{at(-10000, runStarted{Bounds: standardBounds()}), config(-10000, 1, "k1", "plain"), machine(-10000, routerStarted), machine(-9900, routerReady)}
}

// Guards against a judge that passes over a broken rule, or that accuses a run which
// keeps it.
func TestJudgeKnowsEachRule(t *testing.T) {
	judged := map[string]bool{}
	for _, c := range slices.Concat(answerCases(), runCases(), timeCases(), stopCases(), wireCases(), evacuationCases()) {
		judged[c.rule] = true
		t.Run(c.rule+"/"+c.about, func(t *testing.T) {
			checkJudgeCase(t, c)
		})
	}
	for _, r := range rules {
		if !judged[r.name] {
			t.Errorf("no case breaks the rule %q", r.name)
		}
	}
}

func checkJudgeCase(t *testing.T, c judgeCase) {
	records := caseRecords(c.common, c.breaks)
	found := judge(records)
	if !slices.ContainsFunc(found, func(v violation) bool { return v.Rule == c.rule }) {
		t.Errorf("the rule is not broken; found %v", found)
	}
	for _, v := range found {
		if len(v.Lines) == 0 || v.Lines[0] < 1 || v.Lines[len(v.Lines)-1] > len(records) {
			t.Errorf("%s is proved by the lines %v of %d", v.Text, v.Lines, len(records))
		}
	}
	records = caseRecords(c.common, c.keeps)
	for _, v := range judge(records) {
		t.Errorf("the nearest run is accused: %s", v.describe(records))
	}
}

// caseRecords returns the records of a case in the order of their times.
func caseRecords(common, further []record) []record {
	list := joined(preamble(), common, further)
	slices.SortStableFunc(list, func(a, b record) int { return cmp.Compare(a.At, b.At) })
	return list
}

// Guards against records that change when they are written and read again.
func TestRecordsSurviveTheirFile(t *testing.T) {
	var want []record
	for _, c := range slices.Concat(answerCases(), runCases(), timeCases(), stopCases(), wireCases(), evacuationCases()) {
		want = append(want, caseRecords(c.common, c.breaks)...)
	}
	var b bytes.Buffer
	for _, r := range want {
		b.WriteString(r.String() + "\n")
	}
	path := filepath.Join(t.TempDir(), recordsFile)
	if err := os.WriteFile(path, b.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
	got, err := readRecords(path)
	if err != nil {
		t.Fatal(err)
	}
	for i := range want {
		if got[i].String() != want[i].String() {
			t.Fatalf("line %d: got %s, want %s", i+1, got[i], want[i])
		}
	}
	if len(got) != len(want) {
		t.Errorf("got %d records, want %d", len(got), len(want))
	}
}

func answerCases() []judgeCase {
	ran := []record{sent(0, "a", "unsafe"), arrived(1, "1a", "a", "plain"), run(1, "1a")}
	streamed := []record{sent(0, "a", "stream"), arrived(1, "1a", "a", "engines"), run(1, "1a")}
	resumed := []record{sent(0, "a", "resume"), changed(arrived(1, "1a", "a", "engines"), toResume), run(1, "1a"), broken(2, "1a", events(1, 2)),
		changed(arrived(3, "2a", "a", "engines"), toResume), run(3, "2a"), headers(2, "a", 200, "seal-1a")}
	return []judgeCase{
		{rule: "signature", about: "a success without one", common: ran,
			breaks: []record{given(2, "1a", "text"), headers(3, "a", 200, ""), body(4, "a", "text")},
			keeps:  []record{given(2, "1a", "text"), headers(3, "a", 200, "seal-1a"), body(4, "a", "text")}},
		{rule: "signature", about: "a success without one, beside faults of its router and its server", common: joined(ran, []record{fails(0, subjectRouter, "f1"), fails(1, subjectServer, "s1")}),
			breaks: []record{headers(3, "a", 200, ""), body(4, "a", "")},
			keeps:  []record{headers(3, "a", 502, ""), body(4, "a", "")}},
		{rule: "signature", about: "one that no server gave", common: ran,
			breaks: []record{given(2, "1a", "text"), headers(3, "a", 200, "seal-other"), body(4, "a", "text")},
			keeps:  []record{given(2, "1a", "text"), headers(3, "a", 200, "seal-1a"), body(4, "a", "text")}},
		{rule: "signature", about: "a success with an encoding", common: joined(ran, []record{given(2, "1a", "text"), body(4, "a", "text")}),
			breaks: []record{changed(headers(3, "a", 200, "seal-1a"), func(s *answerStarted) { s.Encoding = "gzip" })},
			keeps:  []record{headers(3, "a", 200, "seal-1a")}},
		{rule: "own answer", about: "an answer to another request", common: joined(ran, []record{given(2, "1a", "text"), body(4, "a", "text")}),
			breaks: []record{changed(headers(3, "a", 200, "seal-1a"), func(s *answerStarted) { s.AnswerID = "b" })},
			keeps:  []record{headers(3, "a", 200, "seal-1a")}},
		{rule: "status", about: "a success where the server failed", common: joined(ran, []record{changed(given(2, "1a", "text"), func(a *answerGiven) { a.Status = 500 }), body(4, "a", "text")}),
			breaks: []record{headers(3, "a", 200, "seal-1a")},
			keeps:  []record{headers(3, "a", 500, "seal-1a")}},
		{rule: "status", about: "another failure with the server's signature", common: joined(ran, []record{changed(given(2, "1a", "text"), func(a *answerGiven) { a.Status = 500 }), body(4, "a", "text")}),
			breaks: []record{headers(3, "a", 502, "seal-1a")},
			keeps:  []record{headers(3, "a", 502, "")}},
		{rule: "whole body", about: "a marked end before the end", common: joined(ran, []record{given(2, "1a", "text"), headers(3, "a", 200, "seal-1a")}),
			breaks: []record{body(4, "a", "tex")},
			keeps:  []record{body(4, "a", "text")}},
		{rule: "whole body", about: "a marked end where the server broke off", common: joined(ran, []record{broken(2, "1a", "tex"), headers(3, "a", 200, "seal-1a")}),
			breaks: []record{body(4, "a", "tex")},
			keeps:  []record{cut(4, "a", "tex")}},
		{rule: "whole body", about: "an end without a mark, beside no fault", common: joined(ran, []record{given(2, "1a", "text"), headers(3, "a", 200, "seal-1a"), openBody(4, "a", "tex")}),
			breaks: []record{fails(1, subjectServer, "s2")},
			keeps:  []record{fails(1, subjectServer, "s1")}},
		{rule: "whole body", about: "an end without a mark, with other bytes", common: joined(ran, []record{given(2, "1a", "text"), headers(3, "a", 200, "seal-1a"), fails(1, subjectServer, "s1")}),
			breaks: []record{openBody(4, "a", "tax")},
			keeps:  []record{openBody(4, "a", "tex")}},
		{rule: "whole body", about: "a stream whose server ends inside an event", common: joined(streamed, []record{given(2, "1a", events(1, 2)+"id: 3\nda"), headers(3, "a", 200, "seal-1a")}),
			breaks: []record{body(4, "a", events(1, 2)+"id: 3\nda")},
			keeps:  []record{cut(4, "a", events(1, 2)+"id: 3\nda"), fails(1, subjectServer, "s1")}},
		{rule: "whole body", about: "a resumed stream without its last event", common: joined(resumed, []record{given(4, "2a", events(3, 5))}),
			breaks: []record{body(5, "a", events(1, 4))},
			keeps:  []record{body(5, "a", events(1, 5))}},
		{rule: "stream order", about: "an event twice", common: joined(resumed, []record{given(4, "2a", events(2, 5))}),
			breaks: []record{body(5, "a", events(1, 2)+events(2, 5))},
			keeps:  []record{body(5, "a", events(1, 5))}},
		{rule: "stream order", about: "the start of a stream that its caller resumes", common: []record{changed(sent(0, "a", "resume"), func(s *requestSent) { s.LastEvent = 2 }), changed(arrived(1, "1a", "a", "engines"), toResume), run(1, "1a"), headers(2, "a", 200, "seal-1a")},
			breaks: []record{given(4, "1a", events(1, 5)), body(5, "a", events(1, 5))},
			keeps:  []record{given(4, "1a", events(3, 5)), body(5, "a", events(3, 5))}},
		{rule: "stream order", about: "an event missing in a broken answer", common: joined(streamed, []record{broken(2, "1a", events(1, 3)), headers(3, "a", 200, "seal-1a")}),
			breaks: []record{cut(4, "a", events(1, 1)+events(3, 3))},
			keeps:  []record{cut(4, "a", events(1, 2))}},
		{rule: "stream order", about: "two runs joined where none may be resumed", common: []record{sent(0, "a", "stream"), arrived(1, "1a", "a", "engines"),
			arrived(3, "2a", "a", "engines"), run(3, "2a"), given(4, "2a", events(3, 5)), headers(4, "a", 200, "seal-1a")},
			breaks: []record{run(1, "1a"), broken(2, "1a", events(1, 2)), body(5, "a", events(1, 5))},
			keeps:  []record{refused(1, "1a"), broken(2, "1a", events(1, 2)), cut(5, "a", events(1, 2))}},
		{rule: "no other bytes", about: "bytes after an answer", common: joined(ran, []record{given(2, "1a", "text"), headers(3, "a", 200, "seal-1a")}),
			breaks: []record{changed(body(4, "a", "text"), func(e *answerEnded) { e.Extra = "HTTP/1.1 200 OK" })},
			keeps:  []record{body(4, "a", "text")}},
		{rule: "no other bytes", about: "an answer with no request waiting", common: served(0, "a", "plain"),
			breaks: []record{at(9, strayBytes{Conn: "c1", Router: "f1", Text: "HTTP/1.1 200 OK"})}},
		{rule: "no other bytes", about: "bytes that are no answer", common: joined(ran, []record{at(4, answerEnded{ID: "a", Error: "malformed HTTP response", Stage: stageParse})}),
			breaks: []record{given(2, "1a", "text")},
			keeps:  []record{broken(2, "1a", "text")}},
	}
}

// toResume makes an arrival one of the route resume.
func toResume(a *requestArrived) { a.Target = "/resume/x" }
