package overload

import (
	"time"

	"github.com/bluebellwell/bluebellwell/internal/decay"
)

// guaranteedShare is the share of the admitted requests up to which a route keeps its own bound, so that none is
// refused for good by a route that accepts less wait.
const guaranteedShare = 0.25

// waitingClass is a priority that a pool receives, with the shortest wait for a slot that its requests accept.
type waitingClass struct {
	shortest time.Duration
	at       time.Time
}

// waitingClasses limits the wait of requests to what others accept. Servers queue in order: requests that may wait for
// long would fill the queue up to their own bound, and all that accept less, urgent ones too, would be refused.
type waitingClasses struct {
	classes [maxPriority + 1]waitingClass
	// admitted counts the admitted requests of all routes and of each.
	admitted decay.Count
	routes   map[string]*decay.Count
}

func newWaitingClasses() waitingClasses {
	return waitingClasses{routes: make(map[string]*decay.Count)}
}

// record records the wait that requests of a priority accept.
func (c *waitingClasses) record(now time.Time, priority int, wait time.Duration) {
	w := &c.classes[min(max(priority, 0), maxPriority)]
	if w.at.IsZero() || wait <= w.shortest || now.Sub(w.at) > priorityWindow {
		*w = waitingClass{shortest: wait, at: now}
	}
}

// limit returns the wait of a request, shortened to what requests of its priority and of more urgent ones accept. Less
// urgent ones leave a part of that for the more urgent.
func (c *waitingClasses) limit(now time.Time, req *Request, wait time.Duration) time.Duration {
	if c.within(now, req.Route) {
		return wait
	}
	own := min(max(req.Priority, 0), maxPriority)
	for q := range own + 1 {
		w := &c.classes[q]
		if w.at.IsZero() || now.Sub(w.at) > priorityWindow {
			continue
		}
		shortest := w.shortest
		if q < own {
			shortest = time.Duration(priorityFactor * float64(shortest))
		}
		wait = min(wait, shortest)
	}
	return wait
}

// within reports whether a route has less than its guaranteed share of the admitted requests.
func (c *waitingClasses) within(now time.Time, route string) bool {
	r := c.routes[route]
	return r == nil || r.At(now, recentHalfLife) < guaranteedShare*c.admitted.At(now, recentHalfLife)
}

// admit counts an admitted request.
func (c *waitingClasses) admit(now time.Time, route string) {
	r := c.routes[route]
	if r == nil {
		if len(c.routes) >= maxRoutes {
			clear(c.routes)
		}
		r = &decay.Count{}
		c.routes[route] = r
	}
	r.Add(now, recentHalfLife, 1)
	c.admitted.Add(now, recentHalfLife, 1)
}
