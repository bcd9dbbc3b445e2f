package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

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
			f := startFleet(t, 1)
			for _, s := range f.servers {
				s.SetDefaultFault(c.fault)
				s.SetPieces(c.piece, piecePause)
			}
			results := f.sendOfEachKind()
			f.checkSignatures(results)
			if c.fault == platformtest.None {
				f.checkServed(results)
			}
			if t.Failed() {
				f.saveLogs()
			}
		})
	}
}

// requestsOfEachKind is the number of requests of each kind, enough to reuse connections.
const requestsOfEachKind = 20

// sendOfEachKind sends requests of all kinds in turn.
func (f *fleet) sendOfEachKind() []result {
	client := &http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	random := rand.New(rand.NewPCG(1, 1))
	var results []result
	for n := range requestsOfEachKind {
		for _, kind := range []string{"safe", "unsafe", "stream", "resume"} {
			res := result{id: fmt.Sprintf("%s-%d", kind, n), kind: kind, router: f.routers[0], sent: time.Now()}
			send(client, &res, random)
			res.ended = time.Now()
			results = append(results, res)
		}
	}
	return results
}

// checkSignatures fails the test for each success that is not signed by a server that ran
// the request, and if no request ran.
func (f *fleet) checkSignatures(results []result) {
	f.t.Helper()
	serversOf := map[string][]string{}
	for _, s := range f.servers {
		for _, req := range s.Requests() {
			serversOf[req.ID] = append(serversOf[req.ID], s.ID)
		}
	}
	if len(serversOf) == 0 {
		f.t.Error("no request ran")
	}
	for _, res := range results {
		checkSignature(f.t.Errorf, res, serversOf[res.id])
	}
}

// checkServed fails the test for each request that is not served with a whole answer.
func (f *fleet) checkServed(results []result) {
	f.t.Helper()
	whole := wholeStream()
	for _, res := range results {
		if res.status != http.StatusOK || res.err != nil {
			f.t.Errorf("%s request %s got status %d, error %v", res.kind, res.id, res.status, res.err)
			continue
		}
		checkBody(f.t.Errorf, res, whole)
	}
}
