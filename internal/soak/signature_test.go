package soak

import (
	"math/rand/v2"
	"testing"

	"github.com/bluebellwell/bluebellwell/platform/platformtest"
)

// Guards against a success that no server gave, for each way in which a server may begin,
// break off or repeat an answer: the router must not let net/http choose the status. Also
// guards against an answer in pieces that is not served whole.
func TestSuccessesAreSigned(t *testing.T) {
	cases := []struct {
		name  string
		fault platformtest.Fault
		piece int
	}{
		{"pieces", platformtest.None, 3},
		{"first event cut", platformtest.CutFirst, 0},
		{"first event reset", platformtest.ResetFirst, 0},
		{"second answer", platformtest.AnswerTwice, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := startFleet(t, 1, "")
			for _, s := range f.servers {
				s.SetDefaultFault(c.fault)
				s.SetPieces(c.piece, piecePause)
			}
			served := f.sendOfEachKind()
			if c.fault == platformtest.None && served != requestsOfEachKind*len(routesOfCallers) {
				t.Errorf("%d requests were served", served)
			}
			f.checkRecords()
		})
	}
}

// requestsOfEachKind is the number of requests of each kind, enough to reuse connections.
const requestsOfEachKind = 20

// sendOfEachKind sends requests of all kinds in turn and returns how many were served.
func (f *fleet) sendOfEachKind() int {
	c := newCaller(f, "c", rand.New(rand.NewPCG(1, 1)))
	defer c.close()
	served := 0
	for range requestsOfEachKind {
		for _, route := range routesOfCallers {
			if c.send(f.routers[0], route, steadyKey, answerTimeout) {
				served++
			}
		}
	}
	return served
}

// checkRecords fails the test for each rule that is broken, and if no request ran. It keeps the logs
// of a test that fails.
func (f *fleet) checkRecords() {
	f.t.Helper()
	records, violations := f.judge()
	for _, v := range violations {
		f.t.Error(v.describe(records))
	}
	if len(newHistory(records).attempts) == 0 {
		f.t.Error("no request ran")
	}
	if f.t.Failed() {
		f.saveLogs()
	}
}
