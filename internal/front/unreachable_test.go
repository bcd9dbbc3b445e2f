package front_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// Guards against a request that is refused although a server answers, because it meets one
// after the other those that went down together and whose entries have not lapsed yet.
func TestRequestsReachTheServerThatAnswers(t *testing.T) {
	for _, route := range []string{"/safe/x", "/unsafe/x", "/stream/x", "/resume/x"} {
		t.Run(route, func(t *testing.T) {
			t.Parallel()
			b := newTestBedWith(t, 12).run()
			for _, e := range b.engines[1:] {
				e.Close()
			}
			b.waitFor("a request is served", func() bool { return b.prompted(route, commonPart).status == http.StatusOK })
			served := time.Now()
			for i := 0; time.Since(served) < 3*time.Second; i++ {
				got := b.prompted(route, fmt.Sprintf("60%x", i%7), fmt.Sprintf("70%x", i))
				if got.status != http.StatusOK {
					t.Errorf("request %d: status %d, want 200", i, got.status)
				}
				time.Sleep(20 * time.Millisecond)
			}
			if n := len(b.engines[0].Requests()); n == 0 {
				t.Error("no request reached the server that answers")
			}
		})
	}
}
