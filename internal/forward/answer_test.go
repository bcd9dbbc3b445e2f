package forward

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// Guards against a status that net/http chooses, and against an answer that is joined to
// another one.
func TestAnswerHasOneStatusThatTheRouterSets(t *testing.T) {
	for name, c := range map[string]struct {
		use     func(a *callerAnswer)
		allowed bool
	}{
		"write before the status":  {use: func(a *callerAnswer) { _, _ = a.Write([]byte("x")) }},
		"copy before the status":   {use: func(a *callerAnswer) { _, _ = a.ReadFrom(strings.NewReader("x")) }},
		"flush before the status":  {use: func(a *callerAnswer) { _ = http.NewResponseController(a).Flush() }},
		"second status":            {use: func(a *callerAnswer) { a.WriteHeader(http.StatusOK); a.WriteHeader(http.StatusBadGateway) }},
		"write and flush after it": {allowed: true, use: func(a *callerAnswer) { a.WriteHeader(http.StatusOK); _, _ = a.Write([]byte("x")); _ = a.FlushError() }},
	} {
		t.Run(name, func(t *testing.T) {
			w := httptest.NewRecorder()
			defer func() {
				if p := recover(); (p == nil) != c.allowed {
					t.Errorf("panic %v, allowed %v", p, c.allowed)
				}
				if !c.allowed && w.Body.Len() > 0 {
					t.Errorf("the caller got %q", w.Body)
				}
			}()
			c.use(&callerAnswer{ResponseWriter: w})
		})
	}
}
