package forward

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/bluebellwell/bluebellwell/internal/balance"
	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/registry"
	"github.com/bluebellwell/bluebellwell/internal/routing"
)

// panickingCodec panics when the key of a request is decided on.
type panickingCodec struct{ Codec }

func (panickingCodec) RequestHeaders(http.Header) RequestHeaders { return RequestHeaders{ID: "r1"} }

// Guards against a fault of the router that leaves no cause in the log: net/http reports a
// panic without the request, and at debug level.
func TestPanicIsLoggedWithItsRequest(t *testing.T) {
	var lines bytes.Buffer
	events := event.NewLogger(hclog.New(&hclog.LoggerOptions{Output: &lines, JSONFormat: true}))
	h := New(NewState(Limits{}), panickingCodec{}, events, NewMetrics(tally.NoopScope))
	defer func() {
		if p := recover(); p != http.ErrAbortHandler {
			t.Errorf("panic %v, want the connection to be closed", p)
		}
		for _, want := range []string{`"request":"r1"`, `"cause":"internal_error"`, "written before its status"} {
			if !strings.Contains(lines.String(), want) {
				t.Errorf("the log lacks %s: %s", want, lines.String())
			}
		}
	}()
	h.ServeHTTP(panickingWriter{httptest.NewRecorder()}, httptest.NewRequest(http.MethodGet, "/", nil))
}

// panickingWriter fails like an answer that is written before its status.
type panickingWriter struct{ http.ResponseWriter }

func (panickingWriter) WriteHeader(int) { (&callerAnswer{}).mustBeStarted() }

// Guards against a request that counts as in flight at its server for good, because the
// handler ended with a panic.
func TestPanicFreesThePlaceAtTheServer(t *testing.T) {
	state := NewState(Limits{BodyMemory: 1 << 20, Balance: balance.Limits{CapFactor: 2, CapExtra: 3}})
	state.SetServers([]*registry.Server{{ID: "i-1", Pool: "p", Addr: "127.0.0.1:1", Slots: 8}})
	state.SetTable(routing.Compile(routing.Config{
		Routes:     []routing.Route{{Name: "r", Host: "h", Prefix: "/r/", Targets: []routing.Target{{Pool: "p", Weight: 1}}, Timeout: time.Second}},
		Workspaces: []routing.Keyring{{Workspace: routing.Workspace{Name: "w"}, Keys: []string{"k1"}}},
	}))
	// keyCodec has no StripRequest, which each attempt calls.
	h := New(state, keyCodec{}, event.NewLogger(hclog.NewNullLogger()), NewMetrics(tally.NoopScope))
	r := httptest.NewRequest(http.MethodGet, "http://h/r/x", nil)
	r.RequestURI = "/r/x"
	r.Header.Set("Key", "k1")
	func() {
		defer func() {
			if p := recover(); p != http.ErrAbortHandler {
				t.Errorf("panic %v, want the connection to be closed", p)
			}
		}()
		h.ServeHTTP(httptest.NewRecorder(), r)
	}()
	if own := state.Status(time.Now())[0].Servers[0].Own; own != 0 {
		t.Errorf("%d requests in flight at the server, want none", own)
	}
}
