package entry

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/bluebellwell/bluebellwell/internal/dispatch"
	"github.com/bluebellwell/bluebellwell/internal/peerpb"
)

// Guards against an answer of the routing library: a redirect to a similar path, after which
// clients send a GET in place of a POST, or a failure that does not say whether the request
// has run.
func TestPathsWithoutARouteAreAnsweredWithAProblem(t *testing.T) {
	runner := &scriptedRunner{frames: []*peerpb.Frame{{Status: http.StatusOK}}, result: dispatch.Result{Outcome: peerpb.Outcome_OUTCOME_DONE}}
	api := testAPI(runner)
	for _, c := range []struct {
		method, path string
		status       int
	}{
		{http.MethodPost, "/v1/chat/completions/", http.StatusNotFound},
		{http.MethodPost, "/v1//chat/completions", http.StatusNotFound},
		{http.MethodPost, "//services/p/x", http.StatusNotFound},
		{http.MethodPost, "/services/p", http.StatusNotFound},
		{http.MethodGet, "/healthz/", http.StatusNotFound},
		{http.MethodGet, "/nothing", http.StatusNotFound},
		{http.MethodGet, "/v1/chat/completions", http.StatusMethodNotAllowed},
		{"REPORT", "/services/p/x", http.StatusNotFound},
		{http.MethodPost, "/services/p/x", http.StatusOK},
		{http.MethodPost, "/services/p/", http.StatusOK},
		{http.MethodPost, "/services/p/a/../b//c/", http.StatusOK},
	} {
		req := httptest.NewRequest(c.method, "http://h"+c.path, strings.NewReader(""))
		req.Header.Set(HeaderWorkspace, "w")
		w := httptest.NewRecorder()
		api.ServeHTTP(w, req)
		if w.Code != c.status || w.Header().Get("Location") != "" {
			t.Errorf("%s %s: status %d to %q, want %d", c.method, c.path, w.Code, w.Header().Get("Location"), c.status)
		}
		if c.status == http.StatusOK {
			continue
		}
		var p Problem
		if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil || p.Outcome != OutcomeNotRun || p.Status != c.status || w.Header().Get(HeaderOutcome) != OutcomeNotRun {
			t.Errorf("%s %s: body %q, headers %v; want a problem that states not_run", c.method, c.path, w.Body, w.Header())
		}
	}
}
