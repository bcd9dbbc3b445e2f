package forward_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/bluebellwell/bluebellwell/internal/balance"
	"github.com/bluebellwell/bluebellwell/internal/edge"
	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/eventstream"
	"github.com/bluebellwell/bluebellwell/internal/forward"
	"github.com/bluebellwell/bluebellwell/internal/registry"
	"github.com/bluebellwell/bluebellwell/internal/retrybudget"
	"github.com/bluebellwell/bluebellwell/internal/routing"
	"github.com/bluebellwell/bluebellwell/internal/testport"
	"github.com/bluebellwell/bluebellwell/platform"
	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

// relayWait bounds the wait for an answer.
const relayWait = 20 * time.Second

// relayAnswer is an answer of a server.
type relayAnswer struct {
	body string
	// framing is 0 for a length, 1 for chunks and 2 for the end of the connection.
	framing int
	chunk   int
	// cut is the number of bytes that are sent, and reset is set when the connection then
	// ends with a reset.
	cut   int
	reset bool
	// pieces are the sizes of the writes, in turn. There is a pause after each.
	pieces []byte
}

// relayPieces bounds the writes of an answer, so that the pauses stay short.
const (
	relayPieces = 6
	relayPause  = 200 * time.Microsecond
)

func (a relayAnswer) wire(id, signature string) (wire []byte, headBytes int) {
	framing := [...]string{fmt.Sprintf("Content-Length: %d\r\n", len(a.body)), "Transfer-Encoding: chunked\r\n", ""}[a.framing]
	wire = fmt.Appendf(nil, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nConnection: close\r\n%s\r\n",
		platformtest.HeaderRequestID, id, platformtest.HeaderSignature, signature, framing)
	headBytes = len(wire)
	if a.framing != 1 {
		return append(wire, a.body...), headBytes
	}
	for rest := a.body; rest != ""; {
		n := min(max(a.chunk, 1), len(rest))
		wire = fmt.Appendf(wire, "%x\r\n%s\r\n", n, rest[:n])
		rest = rest[n:]
	}
	return append(wire, "0\r\n\r\n"...), headBytes
}

// end is what a server states about the end of its answer.
type end string

const (
	endBroken  end = "broken"
	endOpen    end = "open"
	endWhole   end = "whole"
	noHeaders  end = "no headers"
	insideItem end = "inside an event"
)

// statement returns the part of the body that the server sends, and its end.
func (a relayAnswer) statement(id string) (string, end) {
	wire, headBytes := a.wire(id, "s")
	wire = wire[:min(a.cut, len(wire))]
	if len(wire) < headBytes {
		return "", noHeaders
	}
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(wire)), nil)
	if err != nil {
		return "", noHeaders
	}
	body, err := io.ReadAll(resp.Body)
	sent := string(body)
	switch {
	case err != nil || a.framing == 2 && a.reset:
		return sent, endBroken
	case a.framing == 2 && sent == "":
		// Nothing tells an empty stream from one whose server has failed.
		return sent, endBroken
	case !boundaries(sent)[len(sent)]:
		return sent, insideItem
	case a.framing == 2:
		return sent, endOpen
	}
	return sent, endWhole
}

// boundaries returns the offsets of a stream between two events. The scanner is tested
// against a reference in its own package.
func boundaries(stream string) map[int]bool {
	found := map[int]bool{0: true}
	var s eventstream.Scanner
	for i := range len(stream) {
		s.Scan([]byte(stream[i : i+1]))
		found[i+1-s.Open()] = true
	}
	return found
}

// scanned returns a scanner that has read a stream.
func scanned(stream string) *eventstream.Scanner {
	s := &eventstream.Scanner{}
	s.Scan([]byte(stream))
	return s
}

// relayBed is a router before servers that give prepared answers.
type relayBed struct {
	addr string

	mu      sync.Mutex
	answers []relayAnswer
	// asked has the IDs of the last event that the attempts named.
	asked []string
}

func newRelayBed(f *testing.F) *relayBed {
	b := &relayBed{}
	state := forward.NewState(forward.Limits{
		BodyMemory: 1 << 20, Balance: balance.Limits{CapFactor: 100, CapExtra: 1000},
		Retry: retrybudget.Limits{Ratio: 10, Window: 10 * time.Second, Extra: 1e9},
	})
	var servers []*registry.Server
	for i := range 2 {
		l, err := net.Listen("tcp", testport.ServerHost()+":0")
		if err != nil {
			f.Fatal(err)
		}
		f.Cleanup(func() { _ = l.Close() })
		go b.accept(l)
		servers = append(servers, &registry.Server{ID: strconv.Itoa(i), Pool: "p", Addr: l.Addr().String(), Slots: 64})
	}
	state.SetServers(servers)
	route := func(name string, resumable bool) routing.Route {
		return routing.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Kind: routing.Stream, Resumable: resumable, MaxAttempts: 2,
			Targets: []routing.Target{{Pool: "p", Weight: 1}}, Timeout: 10 * time.Second, Objective: 5 * time.Second, GapObjective: 5 * time.Second,
		}
	}
	state.SetTable(routing.Compile(routing.Config{
		Routes:     []routing.Route{route("stream", false), route("resume", true)},
		Workspaces: []routing.Keyring{{Workspace: routing.Workspace{Name: "w"}, Keys: []string{"k1"}}},
	}))
	h := forward.New(state, platform.Codec{}, event.NewLogger(hclog.NewNullLogger()), forward.NewMetrics(tally.NoopScope))
	s, err := edge.Listen(testport.Host()+":0", h, hclog.NewNullLogger())
	if err != nil {
		f.Fatal(err)
	}
	done := make(chan error, 1)
	go func() { done <- s.Serve() }()
	f.Cleanup(func() {
		if err := errors.Join(s.Close(), <-done); err != nil {
			f.Error(err)
		}
	})
	b.addr = s.Addr()
	return b
}

func (b *relayBed) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go b.serve(conn.(*net.TCPConn))
	}
}

// serve answers one request with the next prepared answer.
func (b *relayBed) serve(conn *net.TCPConn) {
	defer conn.Close()
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	// A connection that is closed with unread bytes ends with a reset.
	_, _ = io.Copy(io.Discard, r.Body)
	b.mu.Lock()
	n := len(b.asked)
	b.asked = append(b.asked, r.Header.Get(platformtest.HeaderLastEvent))
	answers := b.answers
	b.mu.Unlock()
	if n >= len(answers) {
		return
	}
	a := answers[n]
	wire, _ := a.wire(r.Header.Get(platformtest.HeaderRequestID), strconv.Itoa(n))
	wire = wire[:min(a.cut, len(wire))]
	for i := 0; i < min(len(a.pieces), relayPieces) && len(wire) > 0; i++ {
		size := min(int(a.pieces[i]), len(wire))
		_, _ = conn.Write(wire[:size])
		wire = wire[size:]
		time.Sleep(relayPause)
	}
	_, _ = conn.Write(wire)
	if a.reset {
		_ = conn.SetLinger(0)
	}
}

// relayed is the answer that the caller got.
type relayed struct {
	status    int
	signature string
	body      string
	// framed is set when a length or chunks mark the end.
	framed bool
	err    error
}

// call sends a request that the servers answer in the given way, and returns the answer
// and the IDs of the last event that the attempts named.
func (b *relayBed) call(path, version string, answers ...relayAnswer) (relayed, []string) {
	b.mu.Lock()
	b.answers, b.asked = answers, nil
	b.mu.Unlock()
	got := b.send(path, version)
	b.mu.Lock()
	defer b.mu.Unlock()
	return got, b.asked
}

const relayID = "r1"

func (b *relayBed) send(path, version string) relayed {
	conn, err := net.Dial("tcp", b.addr)
	if err != nil {
		return relayed{err: err}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(relayWait))
	_, err = fmt.Fprintf(conn, "POST %s %s\r\nHost: h\r\nConnection: close\r\nContent-Length: 0\r\n%s: %s\r\n%s: %s\r\n\r\n",
		path, version, platformtest.HeaderRequestID, relayID, platformtest.HeaderAuthorization, platformtest.Key("k1"))
	if err != nil {
		return relayed{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return relayed{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	return relayed{status: resp.StatusCode, signature: resp.Header.Get(platformtest.HeaderSignature), body: string(body), framed: framed, err: err}
}

// checkPlain returns what is wrong with the answer to a request of which only one attempt
// counts: its bytes are the server's, it looks complete only where the server said so, and
// it is whole where the server's is.
func checkPlain(got relayed, a relayAnswer) string {
	sent, state := a.statement(relayID)
	broken := state != endOpen && state != endWhole
	if got.status == http.StatusBadGateway && broken {
		return wantOwnFailure(got)
	}
	switch {
	case got.status == 0 && broken && state != noHeaders:
		// The start of the answer was destroyed by the reset that breaks it off.
		return ""
	case got.status != http.StatusOK || got.signature != "0":
		return "status or signature is not the server's"
	case !strings.HasPrefix(sent, got.body):
		return "the bytes are not the server's"
	case got.err != nil && !broken && !a.reset:
		return "a good stream is broken off"
	case got.err == nil && broken:
		return "a stream that broke off looks complete"
	case got.err == nil && got.body != sent:
		return "a part of the stream looks complete"
	case got.err == nil && got.framed && state != endWhole:
		return "the end is marked although the server did not mark it"
	}
	return ""
}

func wantOwnFailure(got relayed) string {
	if got.signature != "" || got.err != nil || !got.framed {
		return "a failure of the router's own is signed or has no marked end"
	}
	return ""
}

// checkResumed returns what is wrong with the answer to a request whose stream a second
// server was asked to continue after an event: it consists of whole events of the first
// answer up to that one, and of whole events of the second answer.
func checkResumed(got relayed, first, second relayAnswer, after string) string {
	sent1, _ := first.statement(relayID)
	sent2, state2 := second.statement(relayID)
	broken := state2 != endOpen && state2 != endWhole
	switch {
	case got.status == http.StatusBadGateway && after == "":
		return wantOwnFailure(got)
	case got.status == 0 && got.err != nil:
		return ""
	case got.status != http.StatusOK || got.signature != "0" && after != "":
		return "status or signature is not the first server's"
	case got.err == nil && broken:
		return "a stream that broke off looks complete"
	case got.err == nil && got.framed && state2 != endWhole:
		return "the end is marked although the second server did not mark it"
	}
	ends2 := boundaries(sent2)
	for cut := range boundaries(sent1) {
		if after == "" && cut > 0 || cut > len(got.body) || got.body[:cut] != sent1[:cut] {
			continue
		}
		// The start of a comment settles whether the blank line before has ended.
		start := scanned(sent1[:cut] + ":")
		if textproto.TrimString(start.LastEventID()) != after || after != "" && !start.Resumable() {
			continue
		}
		rest := got.body[cut:]
		if !strings.HasPrefix(sent2, rest) || !ends2[len(rest)] || got.err == nil && rest != sent2 || repeatsEvent(after, rest) {
			continue
		}
		return ""
	}
	return "want whole events of the first answer up to the last ID, and then whole events of the second"
}

// repeatsEvent reports whether a continuation begins with an event that the caller has.
func repeatsEvent(after, rest string) bool {
	first := scanned(rest).FirstEventID()
	if after == "" || first == "" {
		return false
	}
	last, err := strconv.ParseUint(after, 10, 64)
	next, nextErr := strconv.ParseUint(first, 10, 64)
	if err != nil || nextErr != nil {
		return first == after
	}
	return next <= last
}

// Guards against streams that reach their caller with a part missing, with a part of an
// event, with a joint inside an event, or with another end, status or signature than their
// servers gave them, for any bytes, pieces, framings and ends. The bits of how choose the
// route, the version of the caller, framings and ends.
func FuzzRelayOfStreams(f *testing.F) {
	const whole = 1 << 15
	type seed struct {
		first, second string
		how           uint16
		cut           int
	}
	for _, s := range []seed{
		{"id: 1\ndata: x\n\nid: 2\ndata: y\n\n", "id: 2\ndata: y\n\n", 0, whole},
		{"id: 1\ndata: x\n\nid: 2\nda", "id: 2\ndata: y\n\n", 1, whole},
		{"id: 1\r\ndata: x\r\n\r\nid: 2\r\nda", "id: 2\r\ndata: y\r\n\r\n", 1 | 1<<2, whole},
		{"id: 1\rdata: x\r\rid: 2\rda", "id: 1\rdata: x\r\rid: 2\r\r", 1 | 2<<2 | 2<<4, whole},
		{"id: 1\n\ndata: x\n\nid", "id: 2\n\n", 1 | 1<<6, whole},
		{": c\r\n\r\nid: 1\r\n\r\n", "\n\nid: 2\n\n", 1 | 1<<7, 170},
		// The event before the break ends with a carriage return after a line that ended with
		// both, which is known only with the next byte.
		{"id: 1\ndata: x\r\n\rid: 2\r\nda", "id: 2\n\n", 1, whole},
		{"data: x\n\n", "", 1 | 2<<2, 120},
		{"", "id: 1\n\n", 1 | 2<<2 | 2<<4, whole},
		// A header does not carry the space after the ID.
		{"id:1 \r\r0", "id:0\r\r", 1 | 2<<2 | 2<<4, whole},
		{"id:1\x01\r\r0", "id:2\r\r", 1 | 2<<2 | 2<<4, whole},
	} {
		f.Add([]byte(s.first), []byte(s.second), s.how, s.cut, []byte(nil))
		_, headBytes := relayAnswer{body: s.first}.wire(relayID, "0")
		for split := range len(s.first) {
			f.Add([]byte(s.first), []byte(s.second), s.how, s.cut, []byte{byte(headBytes + split), 1, 3})
		}
	}
	b := newRelayBed(f)
	f.Fuzz(func(t *testing.T, firstBody, secondBody []byte, how uint16, cut int, pieces []byte) {
		if len(firstBody) > whole || len(secondBody) > whole {
			return
		}
		path, version := "/stream/x", "HTTP/1.1"
		if how&1 != 0 {
			path = "/resume/x"
		}
		if how&2 != 0 {
			version = "HTTP/1.0"
		}
		first := relayAnswer{body: string(firstBody), framing: int(how>>2&3) % 3, chunk: int(how >> 8), cut: max(cut, 0), reset: how&(1<<6) != 0, pieces: pieces}
		second := relayAnswer{body: string(secondBody), framing: int(how>>4&3) % 3, chunk: 7, cut: 2 * whole, reset: how&(1<<7) != 0, pieces: pieces}
		got, asked := b.call(path, version, first, second)
		var problem string
		switch {
		case len(asked) > 2 || len(asked) > 1 && how&1 == 0:
			problem = "too many attempts"
		case len(asked) == 2:
			problem = checkResumed(got, first, second, asked[1])
		default:
			problem = checkPlain(got, first)
			sent, _ := first.statement(relayID)
			if how&1 != 0 && problem == "" && got.status == http.StatusOK && !boundaries(sent)[len(got.body)] {
				problem = "the stream ends inside an event"
			}
		}
		if problem != "" {
			sent1, state1 := first.statement(relayID)
			sent2, state2 := second.statement(relayID)
			t.Fatalf("%s: %s %s, first server %q, %s; second server %q, %s, asked after %q; caller got status %d, signature %q, framed %v, error %v, %q",
				problem, path, version, sent1, state1, sent2, state2, asked, got.status, got.signature, got.framed, got.err, got.body)
		}
	})
}
