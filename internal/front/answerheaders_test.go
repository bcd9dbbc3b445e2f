package front_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

// answerCase is a server's answer, byte for byte with @ for the id of its request, and
// what its caller must get.
type answerCase struct {
	name, text string
	// status is that of the server's answer when it must be relayed unchanged with its
	// signature and body, or a status of the router otherwise.
	status  int
	relayed bool
	body    string
	// header must be in the answer, each value once; an empty value means absent.
	header map[string]string
}

// lost is the status of an answer that can't be relayed: the request may have run.
const lost = http.StatusBadGateway

const (
	ownID   = platformtest.HeaderRequestID + ": @\r\n"
	otherID = platformtest.HeaderRequestID + ": other\r\n"
	signed  = platformtest.HeaderSignature + ": s\r\n"
	notRun  = platformtest.HeaderNotRun + ": 1\r\n"
	// closing announces the close, so that no request crosses it.
	closing = "Connection: close\r\n"
	// content is a body and an event.
	content = "data: ok\n\n"
	body    = "Content-Length: 10\r\n\r\n" + content
	rest    = closing + body
)

// checkAnswers sends one request for each case on a route whose requests may not be
// repeated, and checks the answer.
func checkAnswers(t *testing.T, kind string, cases []answerCase) {
	t.Helper()
	b := newAnswersBed(t, 2)
	for _, c := range cases {
		id := fmt.Sprintf("raw%d", requests.Add(1))
		answer := rawAnswer{extra: strings.ReplaceAll(c.text, "@", id), ending: closes}
		b.servers.prepare(id, func(*http.Request) rawAnswer { return answer }, func(*http.Request) rawAnswer { return answer })
		caller := &rawCaller{addr: strings.TrimPrefix(b.baseURL, "http://"), version: "HTTP/1.1"}
		got := caller.do(http.MethodPost, "/"+kind+"/x", id)
		caller.close()
		x := exchange{got: got}
		if got.err != nil || got.status != c.status || x.signed() != c.relayed || c.relayed && got.body != c.body {
			t.Errorf("%s: status %d, signed %v, body %.80q, error %v; want %d, signed %v, %q", c.name, got.status, x.signed(), got.body, got.err, c.status, c.relayed, c.body)
		}
		if runs := b.servers.runsOf(id); runs != 1 {
			t.Errorf("%s: sent to %d servers, want 1", c.name, runs)
		}
		for name, value := range c.header {
			if joined := strings.Join(got.header.Values(name), "; "); joined != value {
				t.Errorf("%s: header %s is %q, want %q", c.name, name, joined, value)
			}
		}
	}
	b.waitFor("no request is counted at a server any more", func() bool {
		for _, pool := range b.front.Status().Pools {
			for _, s := range pool.Servers {
				if s.Own > 0 {
					return false
				}
			}
		}
		return true
	})
}

// Guards against a success that is not the server's final answer: an interim or undefined
// status that is relayed, or a status of net/http's own in its place.
func TestOnlyFinalStatusesAreRelayed(t *testing.T) {
	own := ownID + signed + rest
	cases := []answerCase{
		{name: "switched protocols", text: "HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n" + own, status: lost},
		{name: "101 without a protocol", text: "HTTP/1.1 101 X\r\n" + own, status: lost},
		{name: "interim answers before the final one", text: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX-Hint: 1\r\n" + ownID + signed + "\r\nHTTP/1.1 200 OK\r\n" + own,
			status: 200, relayed: true, body: content, header: map[string]string{"X-Hint": "", platformtest.HeaderSignature: "s"}},
		{name: "only an interim answer", text: "HTTP/1.1 103 Early Hints\r\n" + ownID + signed + "\r\n", status: lost},
		{name: "status 000", text: "HTTP/1.1 000 X\r\n" + own, status: lost},
		{name: "status 099", text: "HTTP/1.1 099 X\r\n" + own, status: lost},
		{name: "status 600", text: "HTTP/1.1 600 X\r\n" + own, status: lost},
		{name: "status 999", text: "HTTP/1.1 999 X\r\n" + own, status: lost},
		{name: "status of two digits", text: "HTTP/1.1 20 X\r\n" + own, status: lost},
		{name: "no HTTP", text: "200 OK\r\n" + own, status: lost},
		{name: "another protocol version", text: "HTTP/2.0 200 OK\r\n" + own, status: lost},
		{name: "two blanks before the status", text: "HTTP/1.1  200 OK\r\n" + own, status: lost},
		{name: "205 with a body", text: "HTTP/1.1 205 Reset Content\r\n" + own, status: 205, relayed: true, body: content},
		{name: "204 with a length", text: "HTTP/1.1 204 No Content\r\n" + own, status: 204, relayed: true},
		{name: "304 with a length", text: "HTTP/1.1 304 Not Modified\r\n" + own, status: 304, relayed: true},
		{name: "redirection", text: "HTTP/1.1 302 Found\r\nLocation: /other\r\n" + own, status: 302, relayed: true, body: content, header: map[string]string{"Location": "/other"}},
	}
	for _, kind := range []string{"rawunsafe", "rawstream"} {
		checkAnswers(t, kind, cases)
	}
}

// Guards against an answer of another request, and against a false statement that the
// request has not run: an answer whose request is not certain is taken for this one.
func TestAnswerMustNameItsRequest(t *testing.T) {
	refusal := "HTTP/1.1 503 Full\r\n" + notRun
	misdirected := "HTTP/1.1 421 Misdirected Request\r\n"
	success := "HTTP/1.1 200 OK\r\n" + signed
	checkAnswers(t, "rawunsafe", []answerCase{
		{name: "success without an id", text: success + rest, status: lost},
		{name: "success with two ids", text: success + ownID + otherID + rest, status: lost},
		{name: "success with another id first", text: success + otherID + ownID + rest, status: lost},
		{name: "refusal without an id", text: refusal + rest, status: lost},
		{name: "refusal of a request without an id", text: "HTTP/1.1 400 No id\r\n" + notRun + rest, status: lost},
		{name: "refusal with another id", text: refusal + otherID + rest, status: lost},
		{name: "refusal with two ids", text: refusal + ownID + otherID + rest, status: lost},
		{name: "late refusal without an id before the answer", text: refusal + body + success + ownID + rest, status: lost},
		{name: "late refusal of another request before the answer", text: refusal + otherID + body + success + ownID + rest, status: lost},
		{name: "421 without an id", text: misdirected + rest, status: lost},
		{name: "421 with another id", text: misdirected + otherID + rest, status: lost},
		{name: "own answer", text: success + ownID + rest, status: 200, relayed: true, body: content},
		{name: "a second answer after the own one", text: success + ownID + rest + success + ownID + rest, status: 200, relayed: true, body: content},
	})
}

// Guards against the start of a second answer that is joined with the answer after it: the
// status of the first one and the id of the other would make a refusal of a request that ran.
func TestTornAnswerIsNotJoinedWithTheNext(t *testing.T) {
	success := "HTTP/1.1 200 OK\r\n" + signed + ownID + rest
	checkAnswers(t, "rawunsafe", []answerCase{
		{name: "refusal torn in its status line", text: "HTTP/1.1 421 Mis" + success, status: lost},
		{name: "refusal torn in the header that states it", text: "HTTP/1.1 503 Full\r\n" + strings.TrimSuffix(notRun, "\r\n") + success, status: lost},
		{name: "refusal torn in another header", text: "HTTP/1.1 503 Full\r\n" + notRun + "Date: " + success, status: lost},
		{name: "failure torn in a header", text: "HTTP/1.1 500 Failed\r\nX-T: 1" + success, status: lost},
		{name: "success torn in a header", text: "HTTP/1.1 201 Created\r\nX-T: 1" + success, status: lost},
		{name: "denial torn in its status line", text: "HTTP/1.1 404 Not F" + success, status: lost},
		{name: "header that names a protocol", text: "HTTP/1.1 200 OK\r\nVia: HTTP/1.1 cache\r\n" + signed + ownID + rest, status: 200, relayed: true, body: content},
	})
}

// Guards against a success whose signature the caller does not get, or whose body is not
// the server's.
func TestSignatureAndBodyAreTheServers(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + ownID + closing
	checkAnswers(t, "rawunsafe", []answerCase{
		{name: "signature in a trailer only", text: head + "Trailer: " + platformtest.HeaderSignature + "\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n" + signed + "\r\n", status: lost},
		{name: "signature in the headers and a trailer", text: head + signed + "Trailer: X-T, " + platformtest.HeaderSignature + "\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-T: 1\r\n" + platformtest.HeaderSignature + ": t\r\n\r\n",
			status: 200, relayed: true, body: "ok", header: map[string]string{platformtest.HeaderSignature: "s", "X-T": "", "Trailer": ""}},
		{name: "empty signature", text: head + platformtest.HeaderSignature + ":\r\n" + rest, status: lost},
		{name: "two signatures", text: head + signed + platformtest.HeaderSignature + ": t\r\n" + rest, status: 200, relayed: true, body: content, header: map[string]string{platformtest.HeaderSignature: "s; t"}},
		{name: "encoded body", text: head + signed + "Content-Encoding: gzip\r\n" + rest, status: lost},
		{name: "length and chunks", text: head + signed + "Content-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", status: 200, relayed: true, body: "ok"},
		{name: "two lengths", text: head + signed + "Content-Length: 1\r\n" + rest, status: lost},
		{name: "the same length twice", text: head + signed + "Content-Length: 10\r\n" + rest, status: 200, relayed: true, body: content},
		{name: "negative length", text: head + signed + "Content-Length: -2\r\n\r\nok", status: lost},
		{name: "unknown transfer encoding", text: head + signed + "Transfer-Encoding: gzip\r\n\r\nok", status: lost},
		{name: "chunks that are not", text: head + signed + "Transfer-Encoding: chunked\r\n\r\nzz\r\nok\r\n0\r\n\r\n", status: lost},
		{name: "folded header", text: head + platformtest.HeaderSignature + ":\r\n s\r\n" + rest, status: 200, relayed: true, body: content, header: map[string]string{platformtest.HeaderSignature: "s"}},
		{name: "headers above the limit", text: head + signed + "X-Large: " + strings.Repeat("x", 80<<10) + "\r\n" + rest, status: lost},
		{name: "headers below the limit", text: head + signed + "X-Large: " + strings.Repeat("x", 60<<10) + "\r\n" + rest, status: 200, relayed: true, body: content},
		{name: "signature for one connection only", text: "HTTP/1.1 200 OK\r\n" + ownID + signed + "Connection: " + platformtest.HeaderSignature + "\r\n" + body, status: lost},
	})
}

// Guards against an answer whose head has a line that is no field: net/http keeps a name with a blank as it is, so that the line is
// passed on, or a length or encoding is missed and the body ends elsewhere than the server's.
func TestFieldNamesOfAnswersAreTokens(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + ownID + signed + closing
	chunks := "\r\n2\r\nok\r\n0\r\n\r\n"
	cases := []answerCase{
		{name: "blank before the colon", text: head + "X-T : 1\r\n" + body, status: lost},
		{name: "blank inside a name", text: head + "X T: 1\r\n" + body, status: lost},
		{name: "blank before the colon of a length", text: head + "Content-Length : 4\r\n\r\n" + content, status: lost},
		{name: "blank inside the name of a length", text: head + "Content- Length: 4\r\n\r\n" + content, status: lost},
		{name: "blank before the colon of an encoding", text: head + "Transfer-Encoding : chunked\r\n" + chunks, status: lost},
		{name: "length that begins with a blank", text: head + " ontent-Length: 4\r\n\r\n" + content, status: lost},
		{name: "encoding that begins with a tab", text: head + "\tTransfer-Encoding: chunked\r\n" + chunks, status: lost},
		{name: "tab before the colon", text: head + "X-T\t: 1\r\n" + body, status: lost},
		{name: "control byte in a name", text: head + "X-\x01T: 1\r\n" + body, status: lost},
		{name: "NUL in the name of a length", text: head + "Content\x00Length: 4\r\n\r\n" + content, status: lost},
		{name: "delete in a name", text: head + "X-\x7fT: 1\r\n" + body, status: lost},
		{name: "carriage return in a name", text: head + "X-\rT: 1\r\n" + body, status: lost},
		{name: "no name", text: head + ": 1\r\n" + body, status: lost},
		{name: "no colon", text: head + "X-T\r\n" + body, status: lost},
		{name: "blank in a name after an interim answer", text: "HTTP/1.1 103 Early Hints\r\nX-Hint: 1\r\n\r\n" + head + "X T: 1\r\n" + body, status: lost},
		{name: "blank in a name of an interim answer", text: "HTTP/1.1 103 Early Hints\r\nX Hint: 1\r\n\r\n" + head + body, status: lost},
		{name: "folded header with a colon in its value", text: head + "X-T: a\r\n b c: d\r\n" + body, status: 200, relayed: true, body: content, header: map[string]string{"X-T": "a b c: d"}},
		{name: "every character of a token", text: head + "!#$%&'*+-.^_`|~09aZ: 1\r\n" + body, status: 200, relayed: true, body: content},
		{name: "body like a head", text: head + "Content-Length: 12\r\n\r\nX T: 1\r\n\r\n!!", status: 200, relayed: true, body: "X T: 1\r\n\r\n!!"},
	}
	for _, kind := range []string{"rawunsafe", "rawstream"} {
		if kind == "rawstream" {
			// The last one is no stream of events.
			cases = cases[:len(cases)-1]
		}
		checkAnswers(t, kind, cases)
	}
}

// Guards against a failure that has the signature of a server and a status that the server
// did not give, and against a status by which a request that ran counts as not run.
func TestSignedFailureKeepsItsStatus(t *testing.T) {
	cases := []answerCase{}
	for status, want := range map[int]int{
		400: 400, 404: 404, 409: 409, 425: 425, 499: 499, 500: 500, 501: 501, 502: 502, 504: 504, 599: 599,
		408: lost, 429: lost, 503: lost,
	} {
		text := fmt.Sprintf("HTTP/1.1 %d X\r\n", status) + ownID + signed + rest
		cases = append(cases, answerCase{name: fmt.Sprint(status), text: text, status: want, relayed: status == want, body: content})
	}
	for _, kind := range []string{"rawunsafe", "rawstream"} {
		checkAnswers(t, kind, cases)
	}
}
