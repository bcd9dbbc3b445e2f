package front_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

// uploadBytes is the size of a body that a server can't take without reading it.
const uploadBytes = 3 << 20

// resetUploads is how many uploads each server resets: the read of an answer and the write of its request both wait for the
// reset, and either may be told of it.
const resetUploads = 40

// resetDuringUpload is an answer without a length of which a part is sent before the request's body is read. The
// connection is then reset.
func resetDuringUpload(body string) rawAnswer {
	return rawAnswer{version: "HTTP/1.1", status: http.StatusOK, framing: byClose, body: body, cut: -1, ending: resets, early: true}
}

// checkResetUploads sends uploads on routes that allow one attempt and checks that no caller gets a complete success.
func checkResetUploads(t *testing.T, b *testBed, servers *rawServers, routes ...string) {
	t.Helper()
	upload := strings.Repeat("x", uploadBytes)
	arrived := 0
	for _, route := range routes {
		for i := range resetUploads {
			id := fmt.Sprintf("upload-%s-%d", strings.Trim(route, "/"), i)
			servers.prepare(id, func(*http.Request) rawAnswer { return resetDuringUpload(eventStream(2, "\n", "x")) })
			got := b.do(b.request(http.MethodPost, route, upload, platformtest.HeaderRequestID, id))
			if got.err == nil && got.status == http.StatusOK {
				t.Fatalf("%s: status 200, body %q without an error; want the answer broken off or a failure", id, got.body)
			}
			if servers.runsOf(id) > 0 {
				arrived++
			}
		}
	}
	if arrived == 0 {
		t.Error("no upload arrived at the server")
	}
}

// Guards against the part of an answer that a caller takes for whole: the server answers an upload at once without a length
// and resets the connection while the upload is written.
func TestResetDuringAnUploadEndsNoAnswer(t *testing.T) {
	t.Parallel()
	b := newAnswersBed(t, 2)
	checkResetUploads(t, b.testBed, b.servers, "/rawunsafe/x", "/rawstream/x")
}

// Guards against the same behind another router, which sees the reset in place of the one that has the caller.
func TestResetDuringAnUploadBehindAnotherRouter(t *testing.T) {
	t.Parallel()
	cut, servers := startBehindAnotherRouter(t, uploadBytes)
	checkResetUploads(t, cut, servers, "/unsafe/x", "/stream/x")
}
