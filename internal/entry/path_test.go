package entry

import (
	"context"
	"net/http"
	"testing"

	"github.com/bluebellwell/bluebellwell/internal/dispatch"
	"github.com/bluebellwell/bluebellwell/internal/peerpb"
)

// pathRecorder records the path of the last request.
type pathRecorder struct {
	scriptedRunner
	path string
}

func (r *pathRecorder) Run(ctx context.Context, req *peerpb.Relay, sink dispatch.Sink) dispatch.Result {
	r.path = req.Path
	return r.scriptedRunner.Run(ctx, req, sink)
}

// Guards against a plain service that gets another path or query than the caller sent:
// net/http decodes the path, and an escaped question mark then begins a query.
func TestServiceGetsThePathAsSent(t *testing.T) {
	for _, path := range []string{"/a", "/a%2Fb", "/a%3Fb", "/a%20b", "/a%25b", "/a%23b", "/a//b", "/a/", "/a?x=%26", "/a%3Fb?x=1"} {
		run := &pathRecorder{scriptedRunner: scriptedRunner{
			frames: []*peerpb.Frame{{Status: http.StatusOK}}, result: dispatch.Result{Outcome: peerpb.Outcome_OUTCOME_DONE},
		}}
		post(testAPI(run), "/services/p"+path, "", nil)
		if run.path != path {
			t.Errorf("the service gets %q, want %q", run.path, path)
		}
	}
}
