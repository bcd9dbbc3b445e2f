package overload

import "time"

// minRouteAnswers is the number of answers from which the times of a route are its own, not those of the pool.
const minRouteAnswers = 8

// routeTime is a moving average of the time to the first byte without a wait, in seconds.
type routeTime struct {
	firstByte float64
	n         int
}

// routeTimes has the time of each route. A pool may serve routes whose requests take far longer than those of others.
type routeTimes map[string]*routeTime

func (t routeTimes) record(route string, withoutWait float64) {
	r := t[route]
	if r == nil {
		if len(t) >= maxRoutes {
			clear(t)
		}
		r = &routeTime{}
		t[route] = r
	}
	r.n++
	r.firstByte += max(1/float64(r.n), answerWeight) * (withoutWait - r.firstByte)
}

// firstByte returns the time of a route, that of the pool while little is known of the route.
func (t routeTimes) firstByte(route string, pool time.Duration) time.Duration {
	if r := t[route]; r != nil && r.n >= minRouteAnswers {
		return time.Duration(r.firstByte * float64(time.Second))
	}
	return pool
}
