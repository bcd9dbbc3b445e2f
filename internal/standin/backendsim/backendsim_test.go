package backendsim

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// Guards against a crashed server that still executes a request.
func TestCrashedServerRunsNothing(t *testing.T) {
	s := New(Config{})
	book := func() (cut bool) {
		defer func() { cut = recover() != nil }()
		s.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/bookings", nil))
		return false
	}
	s.Crash()
	if !book() || len(s.Ledger().Executions()) != 0 {
		t.Error("the crashed server ran a request")
	}
	if err := s.Restart(); err != nil || book() || len(s.Ledger().Executions()) != 1 {
		t.Errorf("the restarted server did not run a request: %v", err)
	}
}
