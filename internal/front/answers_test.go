package front_test

import (
	"flag"
	"fmt"
	"github.com/bluebellwell/bluebellwell/platform/platformtest"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/bluebellwell/bluebellwell/internal/testseed"
)

var (
	everyByte   = flag.Bool("front.everybyte", false, "cut the answers also at every byte of their headers")
	randomCases = flag.Int("front.random", 120, "number of random series of requests")
)

// answersBed is a router before servers that send prepared answers.
type answersBed struct {
	*testBed
	servers *rawServers
}

func newAnswersBed(t testing.TB, servers int) *answersBed {
	a := &answersBed{}
	a.testBed = newAnswersBedWith(t.(*testing.T), func(b *testBed) { a.servers = startRawServers(t.(*testing.T), b, servers) })
	return a
}

// newAnswersBedWith starts a router before the servers that register adds as pool "raw".
func newAnswersBedWith(t *testing.T, register func(b *testBed)) *testBed {
	b := newTestBedWith(t, 0)
	c := config(1)
	for name, kind := range map[string]string{"rawsafe": "safe", "rawunsafe": "unsafe", "rawstream": "stream", "rawresume": "stream"} {
		r := platformtest.Route{
			Name: name, Kind: kind, Pool: "raw", Attempts: 1, Timeout: waitTimeout, Objective: 400 * time.Millisecond, Gap: 300 * time.Millisecond,
		}
		if name == "rawsafe" || name == "rawresume" {
			r.Attempts = 2
		}
		r.Resumable = name == "rawresume"
		c.Routes = append(c.Routes, r)
	}
	c.Pools = append(c.Pools, "raw")
	c.BodyBytes = 4 << 20
	b.publish(c)
	register(b)
	b.startReady()
	b.allowRetries()
	return b
}

const (
	// bufferedBytes is the size up to which the router waits for the end of a plain
	// answer, and heldBytes the size of an event up to which it waits for its end.
	bufferedBytes = 128 << 10
	heldBytes     = 256 << 10
)

// exchange is a request, the answers of the servers to its attempts, and the answer
// that reached the caller.
type exchange struct {
	method, kind, callerVersion string
	id                          string
	first                       rawAnswer
	got                         reply
	runs                        int
	// mayCross is set when an attempt may have crossed bytes that belong to no answer.
	mayCross bool
}

func (x exchange) String() string {
	wire, _ := x.first.wire(x.id, x.method == http.MethodHead)
	cut := len(wire)
	if x.first.cut >= 0 {
		cut = min(x.first.cut, cut)
	}
	return fmt.Sprintf("%s %s by %s; server sent %d of %d bytes %.300q, ending %d; caller got status %d, framed %v, error %v, %d bytes %.200q; %d runs",
		x.method, x.kind, x.callerVersion, cut, len(wire), wire[:cut], x.first.ending, x.got.status, x.got.framed, x.got.err, len(x.got.body), x.got.body, x.runs)
}

// run sends one request whose first attempt is answered by x.first, and a second one
// by a whole answer with a length.
func (b *answersBed) run(caller *rawCaller, x exchange) exchange {
	x.id = fmt.Sprintf("raw%d", requests.Add(1))
	x.first = x.first.withID(x.id)
	if x.first.ending == closes || x.first.ending == resets {
		x.first.extra = ""
	}
	b.servers.prepare(x.id,
		func(*http.Request) rawAnswer { return x.first },
		func(r *http.Request) rawAnswer { return secondAnswer(x, r) },
	)
	x.mayCross = b.servers.mayCross()
	// Each is a request of its own: one that servers break off again and again is refused.
	x.got = caller.do(x.method, "/"+x.kind+"/"+x.id, x.id)
	x.runs = b.servers.runsOf(x.id)
	return x
}

// secondAnswer returns the whole answer of another server, or the rest of a stream.
func secondAnswer(x exchange, r *http.Request) rawAnswer {
	after, _ := strconv.Atoi(r.Header.Get(platformtest.HeaderLastEvent))
	body := strings.Join(eventsOf(x.secondBody())[after:], "")
	return rawAnswer{version: "HTTP/1.1", status: http.StatusOK, framing: byChunks, chunk: 7, cut: -1, body: body}
}

// secondBody returns the answer that another server gives to the whole request.
func (x exchange) secondBody() string {
	if x.kind == "rawresume" && x.first.status == http.StatusOK {
		return x.first.body
	}
	return eventStream(1, "\n", "second "+x.id)
}

// eventsOf splits a stream whose events have IDs from 1 on.
func eventsOf(stream string) []string {
	var events []string
	for rest := stream; rest != ""; {
		next := strings.Index(rest[1:], "id: ")
		if next < 0 {
			return append(events, rest)
		}
		events = append(events, rest[:next+1])
		rest = rest[next+1:]
	}
	return events
}

// eventStream returns a stream of n events that end in blank lines of the given kind.
func eventStream(n int, lineEnd, data string) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		fmt.Fprintf(&b, "id: %d%[2]sdata: %[3]s%[2]s%[2]s", i, lineEnd, data)
	}
	return b.String()
}

// endsInsideEvent reports whether a part of a stream of eventStream ends inside an event.
func endsInsideEvent(part, lineEnd string) bool {
	return part != "" && !strings.HasSuffix(part, lineEnd+lineEnd)
}

// check returns what is wrong with an exchange: the answer to a caller claims to be
// complete only where a server said so, leaves open what the server left open, and
// joins nothing wrongly; and nothing that must not be repeated runs twice.
func (x exchange) check(lineEnd string) string {
	if x.mayCross && x.lostAnAnswer() {
		return ""
	}
	head := x.method == http.MethodHead
	server, sent := x.first.statement(x.id, head)
	stream := x.kind == "rawstream" || x.kind == "rawresume"
	events := stream && x.first.status == http.StatusOK && !head
	if events && (server == open || server == complete) && (endsInsideEvent(sent, lineEnd) || server == open && sent == "") {
		server = broken
	}
	repeatable := x.kind == "rawsafe" || x.kind == "rawresume"
	if !repeatable && x.runs != 1 || x.runs > 2 {
		return "wrong number of runs"
	}
	failed := server == noHeaders || server == broken || x.first.status >= 500
	// The start of a large answer has reached the caller before it breaks off.
	started := server == broken && !events && len(sent) > bufferedBytes && (x.first.status < 500 || !repeatable)
	switch {
	case started:
		return x.wantBroken(sent)
	case x.kind == "rawresume" && server == broken && len(sent) > heldBytes && x.runs == 1:
		return x.wantBroken(sent)
	case repeatable && failed:
		return x.checkSecond()
	case server == noHeaders:
		return x.wantStatus(http.StatusBadGateway)
	case server == broken && (!events || x.got.status == http.StatusBadGateway):
		if events && len(sent) > 0 && x.got.status != http.StatusBadGateway {
			return "broken stream"
		}
		return x.wantStatus(http.StatusBadGateway)
	case server == broken:
		return x.wantBroken(sent)
	case server == open:
		return x.wantOpen(sent)
	}
	return x.wantComplete(sent)
}

// lostAnAnswer reports whether the exchange is one of which an attempt crossed bytes that
// belong to no answer: its outcome is unknown, unless another server serves the request or
// has failed it before.
func (x exchange) lostAnAnswer() bool {
	if x.wantStatus(http.StatusBadGateway) == "" {
		return true
	}
	if x.kind != "rawsafe" && x.kind != "rawresume" {
		return false
	}
	_, sent := x.first.statement(x.id, x.method == http.MethodHead)
	failed := x.first.status >= http.StatusInternalServerError && x.wantComplete(sent) == ""
	return failed || x.servedBySecond()
}

// checkSecond checks a request whose first attempt failed and which another server
// may serve.
func (x exchange) checkSecond() string {
	if x.runs != 2 {
		return "not repeated"
	}
	if !x.servedBySecond() {
		return fmt.Sprintf("not served by the second server, want %q", x.secondBody())
	}
	return ""
}

// servedBySecond reports whether the caller has the whole answer of the second server.
func (x exchange) servedBySecond() bool {
	want := x.secondBody()
	if x.method == http.MethodHead {
		want = ""
	}
	return x.got.err == nil && x.got.status == http.StatusOK && x.got.body == want && x.signed()
}

// signed reports whether the answer has the headers of the server.
func (x exchange) signed() bool { return x.got.header.Get(platformtest.HeaderSignature) == "s" }

func (x exchange) wantStatus(status int) string {
	if x.got.err != nil || x.got.status != status || !x.got.framed || x.signed() {
		return fmt.Sprintf("want a status %d of the router", status)
	}
	return ""
}

func (x exchange) wantBroken(sent string) string {
	if x.got.err == nil || x.got.status != x.first.status || !strings.HasPrefix(sent, x.got.body) || !x.signed() {
		return "want the start of the answer, broken off"
	}
	return ""
}

func (x exchange) wantOpen(sent string) string {
	if x.got.err != nil || x.got.framed || x.got.status != x.first.status || x.got.body != sent || !x.signed() {
		return "want the bytes of the server without a marked end"
	}
	return ""
}

func (x exchange) wantComplete(sent string) string {
	marked := x.got.framed || x.callerVersion == "HTTP/1.0"
	if x.got.err != nil || !marked || x.got.status != x.first.status || x.got.body != sent || !x.signed() {
		return "want the whole answer"
	}
	return ""
}

// Guards against an answer that reaches its caller with another end than the server
// gave it, for each framing, cut at every byte, by an orderly close and by a reset.
func TestAnswersCutAtEveryByte(t *testing.T) {
	b := newAnswersBed(t, 2)
	caller := &rawCaller{addr: strings.TrimPrefix(b.baseURL, "http://"), version: "HTTP/1.1"}
	cases, problems := 0, 0
	for _, kind := range []string{"rawunsafe", "rawsafe", "rawstream", "rawresume"} {
		for _, framing := range []framingKind{byLength, byChunks, byClose} {
			for _, lineEnd := range []string{"\n", "\r\n", "\r"} {
				for _, end := range []ending{closes, resets} {
					body := eventStream(2, lineEnd, "@")
					if kind == "rawunsafe" || kind == "rawsafe" {
						body = "answer to @"
						if lineEnd != "\n" {
							continue
						}
					}
					a := rawAnswer{version: "HTTP/1.1", status: http.StatusOK, framing: framing, body: body, chunk: 9, ending: end}
					wire, headBytes := a.withID("raw12345").wire("raw12345", false)
					for cut := range len(wire) + 1 {
						if cut < headBytes-2 && cut%23 != 0 && !*everyByte {
							continue
						}
						a.cut = cut
						x := b.run(caller, exchange{method: http.MethodPost, kind: kind, callerVersion: caller.version, first: a})
						cases++
						if problem := x.check(lineEnd); problem != "" && problems < 20 {
							problems++
							t.Errorf("%s: %s", problem, x)
						}
					}
				}
			}
		}
	}
	t.Logf("%d cases", cases)
}

// Guards against the same for random answers: sizes around each buffer of the router,
// other methods, statuses and versions, callers of HTTP/1.0, connections that are used
// again, and bytes that belong to no answer. Since the router does not reuse connections
// to a server after such bytes, they have a series of their own.
func TestRandomAnswers(t *testing.T) {
	t.Run("servers that send nothing else", func(t *testing.T) { checkRandomAnswers(t, false) })
	t.Run("servers that send unasked bytes", func(t *testing.T) { checkRandomAnswers(t, true) })
}

func checkRandomAnswers(t *testing.T, extras bool) {
	b := newAnswersBed(t, 2)
	callers := map[string]*rawCaller{}
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		callers[version] = &rawCaller{addr: strings.TrimPrefix(b.baseURL, "http://"), version: version}
	}
	cases := 0
	draw := func(t *rapid.T) {
		for range 10 {
			lineEnd := rapid.SampledFrom([]string{"\n", "\r\n", "\r"}).Draw(t, "line end")
			x := drawExchange(t, lineEnd, extras)
			cases++
			if x = b.run(callers[x.callerVersion], x); x.check(lineEnd) != "" {
				t.Fatalf("%s: %s", x.check(lineEnd), x)
			}
		}
	}
	if err := flag.Set("rapid.checks", strconv.Itoa(*randomCases)); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = flag.Set("rapid.checks", "100") }()
	rapid.Check(t, draw)
	t.Logf("%d cases", cases)
}

func drawExchange(t *rapid.T, lineEnd string, extras bool) exchange {
	x := exchange{
		method:        rapid.SampledFrom([]string{http.MethodPost, http.MethodGet, http.MethodHead}).Draw(t, "method"),
		kind:          rapid.SampledFrom([]string{"rawunsafe", "rawsafe", "rawstream", "rawresume"}).Draw(t, "kind"),
		callerVersion: rapid.SampledFrom([]string{"HTTP/1.0", "HTTP/1.1"}).Draw(t, "caller"),
	}
	stream := x.kind == "rawstream" || x.kind == "rawresume"
	if stream {
		x.method = http.MethodPost
	}
	around := rapid.SampledFrom([]int{0, 1, 100, 4 << 10, 16 << 10, 128 << 10, 256 << 10}).Draw(t, "size")
	size := max(around+rapid.IntRange(-2, 2).Draw(t, "beside"), 0)
	x.first = rawAnswer{
		version: rapid.SampledFrom([]string{"HTTP/1.1", "HTTP/1.0"}).Draw(t, "version"),
		status:  rapid.SampledFrom([]int{200, 200, 200, 204, 304, 404, 500}).Draw(t, "status"),
		framing: rapid.SampledFrom([]framingKind{byLength, byChunks, byClose}).Draw(t, "framing"),
		chunk:   rapid.SampledFrom([]int{1, 100, 4 << 10, 1 << 20}).Draw(t, "chunk"),
		cut:     -1,
		body:    "@" + strings.Repeat("x", size),
	}
	a := &x.first
	if size > 200 {
		a.chunk = max(a.chunk, 100)
	}
	if a.version == "HTTP/1.0" && a.framing == byChunks {
		a.framing = byClose
	}
	if stream && a.status == 200 {
		n := rapid.IntRange(1, 3).Draw(t, "events")
		a.body = eventStream(n, lineEnd, "@"+strings.Repeat("x", size))
	}
	wire, _ := a.wire("raw12345", false)
	if rapid.Bool().Draw(t, "is cut") {
		a.cut = rapid.IntRange(0, len(wire)+20).Draw(t, "cut")
	}
	a.split = rapid.IntRange(0, len(wire)).Draw(t, "split")
	a.ending = rapid.SampledFrom([]ending{closes, resets}).Draw(t, "ending")
	if len(wire) > 32<<10 {
		// A reset discards what the server's kernel has not sent yet.
		a.ending = closes
	}
	whole := a.cut < 0 && a.framing != byClose && a.version == "HTTP/1.1" && x.method != http.MethodHead
	if whole && rapid.Bool().Draw(t, "kept") {
		a.ending = keeps
		if !extras {
			return x
		}
		other := rawAnswer{version: "HTTP/1.1", status: http.StatusOK, body: "x"}
		otherWire, _ := other.wire("another", false)
		refusal := "HTTP/1.1 503 Full\r\n" + notRun + "Content-Length: 0\r\n\r\n"
		a.extra = rapid.SampledFrom([]string{"", "x", string(otherWire), refusal}).Draw(t, "extra")
	}
	return x
}
