package entry

import (
	"net/http"

	"github.com/uptrace/bunrouter"
)

// unrouted is the answer to a request that no route has accepted yet. bunrouter redirects
// such a request to a similar path, with a status after which clients send a GET in place
// of a POST; a problem replaces the redirect.
type unrouted struct {
	http.ResponseWriter
	api      *API
	req      *http.Request
	answered bool
}

// WriteHeader sends the problem.
func (u *unrouted) WriteHeader(int) {
	if u.answered {
		return
	}
	u.answered = true
	u.Header().Del("Location")
	// A write error means that the caller has disconnected.
	_ = u.api.writeProblem(u.ResponseWriter, u.req.Context(), unknownPathProblem())
}

// Write drops the body of the redirect.
func (u *unrouted) Write(b []byte) (int, error) {
	u.WriteHeader(http.StatusNotFound)
	return len(b), nil
}

// accept is the middleware of all handlers, which answer the caller themselves.
func accept(next bunrouter.HandlerFunc) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, req bunrouter.Request) error {
		if u, ok := w.(*unrouted); ok {
			w = u.ResponseWriter
		}
		return next(w, req)
	}
}

// refuseWith returns a handler that answers with a problem.
func (a *API) refuseWith(p Problem) bunrouter.HandlerFunc {
	return func(w http.ResponseWriter, req bunrouter.Request) error {
		return a.writeProblem(w, req.Context(), p)
	}
}

func unknownPathProblem() Problem { return newProblem("not_found", "no such path") }

func wrongMethodProblem() Problem {
	return newProblem("method_not_allowed", "the path does not allow the method")
}
