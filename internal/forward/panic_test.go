package forward

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/bluebellwell/bluebellwell/internal/event"
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
