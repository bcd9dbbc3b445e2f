package soak

import (
	"fmt"
	"time"
)

func runCases() []judgeCase {
	ran := []record{sent(0, "a", "unsafe"), run(1, "1a"), given(2, "1a", "text"), headers(3, "a", 200, "seal-1a"), body(4, "a", "text")}
	arrival := arrived(1, "1a", "a", "plain")
	arrivalThat := func(change func(*requestArrived)) []record { return []record{changed(arrival, change)} }
	plain := []record{arrival}
	late := joined([]record{config(0, 2, "k2", "other")}, []record{given(3000, "1a", "text"), run(2900, "1a"), headers(3001, "a", 200, "seal-1a"), body(3002, "a", "text")})
	saidLeaving := []record{sent(0, "a", "unsafe"), arrival, run(1, "1a"), changed(given(2, "1a", "text"), func(a *answerGiven) { a.Leaving = true }), headers(3, "a", 200, "seal-1a"), body(4, "a", "text")}
	refusedForASecond := []record{sent(0, "a", "unsafe"), arrival, refused(1, "1a"), changed(given(2, "1a", ""), func(a *answerGiven) { a.Status, a.RetryAfter = 503, time.Second }), headers(3, "a", 503, ""), body(4, "a", "")}
	return []judgeCase{
		{rule: "once", about: "two runs", common: []record{sent(0, "a", "unsafe"), arrival, arrived(3, "2a", "a", "plain"), run(3, "2a"), given(4, "2a", "text"), headers(5, "a", 200, "seal-2a"), body(6, "a", "text")},
			breaks: []record{run(1, "1a")},
			keeps:  []record{refused(1, "1a")}},
		{rule: "once", about: "a run that goes on at another server", common: []record{sent(0, "a", "unsafe"), arrival, run(1, "1a"), given(2, "1a", ""), run(3, "2a"), given(4, "2a", "text"), headers(5, "a", 200, "seal-2a"), body(6, "a", "text")},
			breaks: []record{arrived(3, "2a", "a", "plain")},
			keeps:  []record{continues(arrived(3, "2a", "a", "plain"))}},
		{rule: "one server at a time", about: "the server before works on", common: []record{sent(0, "a", "unsafe"), arrival, run(1, "1a"), continues(arrived(3, "2a", "a", "plain")), run(3, "2a"), given(4, "2a", "text"), headers(5, "a", 200, "seal-2a"), body(6, "a", "text")},
			breaks: []record{given(450, "1a", "")},
			keeps:  []record{given(350, "1a", "")}},
		{rule: "one server at a time", about: "no server before", common: []record{sent(0, "a", "unsafe"), given(2, "1a", "text"), run(1, "1a"), headers(5, "a", 200, "seal-1a"), body(6, "a", "text")},
			breaks: []record{continues(arrival)},
			keeps:  plain},
		{rule: "true refusals", about: "a refusal after a run", common: []record{sent(0, "a", "unsafe"), arrival, headers(3, "a", 503, ""), body(4, "a", "")},
			breaks: []record{run(1, "1a")},
			keeps:  []record{refused(1, "1a")}},
		{rule: "true refusals", about: "a run after the refusal", common: []record{sent(0, "a", "unsafe"), arrived(90, "1a", "a", "plain"), run(90, "1a"), body(4, "a", "")},
			breaks: []record{headers(3, "a", 429, "")},
			keeps:  []record{headers(3, "a", 502, "")}},
		{rule: "unchanged requests", about: "an id that no caller sent", common: served(0, "a", "plain"),
			breaks: []record{arrived(5, "1b", "b", "plain"), run(5, "1b")},
			keeps:  []record{arrived(5, "1b", "b", "plain"), refused(5, "1b")}},
		{rule: "unchanged requests", about: "another method", common: ran, breaks: arrivalThat(func(a *requestArrived) { a.Method = "PUT" }), keeps: plain},
		{rule: "unchanged requests", about: "another target", common: ran, breaks: arrivalThat(func(a *requestArrived) { a.Target += "?q" }), keeps: plain},
		{rule: "unchanged requests", about: "another body", common: ran, breaks: arrivalThat(func(a *requestArrived) { a.Body = contentOf("as") }), keeps: plain},
		{rule: "unchanged requests", about: "another body after an early answer", common: joined(ran, arrivalThat(func(a *requestArrived) { a.Early, a.Body = true, content{} })),
			breaks: []record{at(5, bodyArrived{Attempt: "1a", Body: contentOf("asHTTP")})},
			keeps:  []record{at(5, bodyArrived{Attempt: "1a", Body: contentOf("ask")})}},
		{rule: "unchanged requests", about: "another prompt", common: ran, breaks: arrivalThat(func(a *requestArrived) { a.Prompt = "" }), keeps: plain},
		{rule: "unchanged requests", about: "a header of the system", common: ran, breaks: arrivalThat(func(a *requestArrived) { a.Forged = "hold" }), keeps: plain},
		{rule: "workspace and key", about: "another workspace", common: ran, breaks: arrivalThat(func(a *requestArrived) { a.Workspace = "w2" }), keeps: plain},
		{rule: "workspace and key", about: "the key", common: ran, breaks: arrivalThat(func(a *requestArrived) { a.KeySeen = true }), keeps: plain},
		{rule: "attempts", about: "a third server", common: []record{sent(0, "a", "safe"), changed(arrived(1, "1a", "a", "plain"), toSafe), run(1, "1a"), changed(arrived(2, "2a", "a", "plain"), toSafe), run(2, "2a"),
			changed(arrived(3, "3a", "a", "plain"), toSafe), run(3, "3a"), given(4, "3a", "text"), headers(5, "a", 200, "seal-3a"), body(6, "a", "text")},
			breaks: []record{fails(2, subjectServer, "s9")},
			keeps:  []record{fails(2, subjectServer, "s2")}},
		{rule: "denials", about: "a key that all configurations hold", common: []record{changed(sent(0, "a", "unsafe"), steady), machine(-20, routerPaused), machine(-10, routerResumed), body(4, "a", "")},
			breaks: []record{headers(3, "a", 401, "")},
			keeps:  []record{headers(3, "a", 503, "")}},
		{rule: "denials", about: "a key that must be in force", common: []record{config(0, 2, "k2", "plain"), body(2204, "a", ""), headers(2203, "a", 401, "")},
			breaks: []record{changed(sent(2200, "a", "unsafe"), func(s *requestSent) { s.Key = "k2" })},
			keeps:  []record{changed(sent(1900, "a", "unsafe"), func(s *requestSent) { s.Key = "k2" })}},
		{rule: "denials", about: "a body that a paused router missed", common: []record{sent(0, "a", "unsafe"), at(40, requestWhole{ID: "a"}), body(2000, "a", ""), machine(30, routerPaused), machine(1990, routerResumed)},
			breaks: []record{headers(2000, "a", 401, "")},
			keeps:  []record{headers(2000, "a", 400, "")}},
		{rule: "denials", about: "a request that its caller did not send whole", common: []record{sent(0, "a", "unsafe"), headers(1000, "a", 400, ""), body(1000, "a", "")},
			breaks: []record{at(40, requestWhole{ID: "a"})},
			keeps:  []record{at(40, callerStopped{ID: "a"})}},
		{rule: "route", about: "a pool that no configuration names", common: ran, breaks: arrivalThat(func(a *requestArrived) { a.Pool = "engines" }), keeps: plain},
		{rule: "route", about: "a key that no configuration held", common: plain,
			breaks: joined([]record{changed(sent(0, "a", "unsafe"), func(s *requestSent) { s.Key = "k0" })}, ran[1:]),
			keeps:  ran},
		{rule: "configuration", about: "an old route", common: joined(late, []record{arrived(2900, "1a", "a", "plain")}),
			breaks: []record{changed(sent(2100, "a", "unsafe"), steady)},
			keeps:  []record{changed(sent(1900, "a", "unsafe"), steady)}},
		{rule: "configuration", about: "an old route while the store is disturbed", common: joined(late, []record{arrived(2900, "1a", "a", "plain"), changed(sent(2100, "a", "unsafe"), steady)}),
			breaks: []record{fails(-5000, subjectStore, ""), works(-4000, -5000)},
			keeps:  []record{fails(500, subjectStore, ""), works(600, 500)}},
		{rule: "configuration", about: "a revoked key", common: joined([]record{config(0, 2, "k2", "plain")}, []record{arrived(2900, "1a", "a", "plain")}, late[1:]),
			breaks: []record{sent(2100, "a", "unsafe")},
			keeps:  []record{sent(1900, "a", "unsafe")}},
		{rule: "regress", about: "the old pool after the new one", common: []record{config(0, 2, "k2", "other"), changed(sent(500, "b", "unsafe"), steady), arrived(501, "1b", "b", "other"), run(501, "1b"), given(502, "1b", "text"), headers(503, "b", 200, "seal-1b"), body(504, "b", "text"),
			arrived(1001, "2a", "a", "plain"), run(1001, "2a"), given(1002, "2a", "text"), headers(1003, "a", 200, "seal-2a"), body(1004, "a", "text")},
			breaks: []record{changed(sent(1000, "a", "unsafe"), steady)},
			keeps:  []record{changed(sent(700, "a", "unsafe"), steady)}},
		{rule: "later routes", about: "served seldom", common: joined([]record{changed(config(0, 2, "k1", "plain"), addRoute)}, many(20, 3000, 10, func(ms int, id string) []record { return served(ms, "f"+id, "plain") })),
			breaks: joined(many(4, 3000, 10, onLaterRoute), many(16, 4000, 10, func(ms int, id string) []record { return refusedLater(ms, "r"+id) })),
			keeps:  joined(many(5, 3000, 10, onLaterRoute), many(15, 4000, 10, func(ms int, id string) []record { return refusedLater(ms, "r"+id) }))},
		{rule: "leaving servers", about: "a late arrival", common: []record{entry(0, "s1", entryLeaving), sent(2000, "a", "unsafe"), run(2101, "1a"), given(2102, "1a", "text"), headers(2103, "a", 200, "seal-1a"), body(2104, "a", "text")},
			breaks: []record{arrived(2101, "1a", "a", "plain")},
			keeps:  []record{arrived(2000, "1a", "a", "plain")}},
		{rule: "leaving servers", about: "an entry that is written again", common: joined(served(4100, "a", "plain"), []record{entry(0, "s1", entryGone)}),
			breaks: []record{entry(2000, "s1", entryLeaving)},
			keeps:  []record{entry(2000, "s1", entryReady)}},
		{rule: "leaving servers", about: "a link that held it up", common: joined(served(2100, "a", "plain"), []record{entry(0, "s1", entryLeaving)}),
			breaks: []record{fails(-2000, subjectServer, "s1"), works(-1500, -2000)},
			keeps:  []record{fails(-2000, subjectServer, "s1"), works(-500, -2000)}},
		{rule: "regions", about: "a server elsewhere", common: joined(servedBound(100, "a"), []record{changed(config(-9000, 2, "k1", "plain"), addBound)}),
			breaks: []record{changed(entry(-9500, "s1", entryReady), func(e *entryConfirmed) { e.Region = "south" })},
			keeps:  []record{changed(entry(-9500, "s1", entryReady), func(e *entryConfirmed) { e.Region = "north" })}},
		{rule: "cold servers", about: "one more in a second", common: []record{entry(-5000, "s1", entryReady), changed(entry(0, "s1", entryReady), func(e *entryConfirmed) { e.Start = 1 })},
			breaks: many(3, 2500, 400, toPlain),
			keeps:  many(2, 2500, 400, toPlain)},
		{rule: "cold servers", about: "an entry that is written again", common: joined([]record{entry(-5000, "s1", entryReady)}, many(3, 2500, 400, toPlain)),
			breaks: []record{changed(entry(0, "s1", entryReady), func(e *entryConfirmed) { e.Start = 1 })},
			keeps:  []record{entry(0, "s1", entryReady)}},
		{rule: "servers that say they leave", about: "a late request", common: saidLeaving,
			breaks: served(2010, "b", "plain"),
			keeps:  served(1990, "b", "plain")},
		{rule: "servers that say they leave", about: "another incarnation", common: joined(saidLeaving, served(2010, "b", "plain")),
			breaks: []record{entry(1000, "s1", entryReady)},
			keeps:  []record{changed(entry(2, "s1", entryReady), func(e *entryConfirmed) { e.Start = 1 })}},
		{rule: "servers that want no requests", about: "three more", common: refusedForASecond,
			breaks: many(3, 600, 100, toPlain),
			keeps:  many(2, 600, 100, toPlain)},
		{rule: "servers that want no requests", about: "a router that was paused", common: joined(refusedForASecond, many(3, 600, 100, toPlain)),
			breaks: []record{machine(1200, routerPaused)},
			keeps:  []record{machine(500, routerPaused), machine(550, routerResumed)}},
	}
}

// toPlain returns a served request on the pool plain.
func toPlain(ms int, id string) []record { return served(ms, id, "plain") }

// addBound adds a workspace that keeps to a region.
func addBound(c *configConfirmed) {
	c.Workspaces = append(c.Workspaces, workspaceOfRecord{Name: "w2", Keys: []string{"k2"}, Regions: []string{"north"}})
}

// servedBound returns a served request of that workspace.
func servedBound(ms int, id string) []record {
	list := served(ms, id, "plain")
	list[0] = changed(list[0], func(s *requestSent) { s.Key = "k2" })
	list[1] = changed(list[1], func(a *requestArrived) { a.Workspace = "w2" })
	return list
}

// addRoute adds the route later.
func addRoute(c *configConfirmed) {
	c.Routes = append(c.Routes, routeRecord{Name: "later", Kind: "unsafe", Pool: "plain", Attempts: 1, Timeout: 4 * time.Second})
}

// onLaterRoute returns a served request on the route later.
func onLaterRoute(ms int, id string) []record {
	list := served(ms, id, "plain")
	list[0] = sent(ms, id, "later")
	list[1] = changed(list[1], func(a *requestArrived) { a.Target = "/later/x" })
	return list
}

// refusedLater returns a refused request on the route later.
func refusedLater(ms int, id string) []record {
	return []record{sent(ms, id, "later"), headers(ms+1, id, 503, ""), body(ms+2, id, "")}
}

func steady(s *requestSent) { s.Key = "steady" }

// toSafe makes an arrival one of the route safe.
func toSafe(a *requestArrived) { a.Target = "/safe/x" }

func timeCases() []judgeCase {
	ran := []record{sent(0, "a", "unsafe"), arrived(1, "1a", "a", "plain"), run(1, "1a"), given(9, "1a", "text")}
	return []judgeCase{
		{rule: "cut answers", about: "beside planned work", common: joined(ran, []record{headers(3, "a", 200, "seal-1a"), cut(4, "a", "te")}),
			breaks: []record{machine(2, routerStop), fails(2, subjectNone, "f1")},
			keeps:  []record{machine(2, routerKilled), fails(2, subjectRouter, "f1")}},
		{rule: "cut answers", about: "beside a fault of the store", common: joined(ran, []record{noAnswer(4, "a")}),
			breaks: []record{fails(2, subjectStore, "")},
			keeps:  []record{fails(2, subjectServer, "s1")}},
		{rule: "cut answers", about: "before the deadline", common: joined(ran, []record{headers(3, "a", 200, "seal-1a")}),
			breaks: []record{cut(2900, "a", "te")},
			keeps:  []record{cut(3000, "a", "te")}},
		{rule: "cut answers", about: "before the timeout", common: joined(ran, []record{headers(3, "a", 200, "seal-1a"), cut(2000, "a", "te")}),
			breaks: []record{changed(config(-100, 2, "k1", "plain"), func(c *configConfirmed) { c.Routes[1].Timeout = 2100 * time.Millisecond })},
			keeps:  []record{changed(config(-100, 2, "k1", "plain"), func(c *configConfirmed) { c.Routes[1].Timeout = 2 * time.Second })}},
		{rule: "unanswered", about: "a closed connection after a while", common: []record{sent(0, "a", "unsafe"), machine(50, routerStop)},
			breaks: []record{noAnswer(250, "a")},
			keeps:  []record{noAnswer(150, "a")}},
		{rule: "unanswered", about: "a request that came slowly", common: []record{sent(0, "a", "unsafe"), machine(50, routerStop), noAnswer(250, "a")},
			breaks: []record{at(40, requestWhole{ID: "a"})},
			keeps:  []record{at(60, requestWhole{ID: "a"})}},
		{rule: "unanswered", about: "a request that its caller did not send whole", common: []record{sent(0, "a", "unsafe"), noAnswer(250, "a")},
			breaks: []record{at(40, requestWhole{ID: "a"})},
			keeps:  []record{at(40, callerStopped{ID: "a"})}},
		{rule: "unanswered", about: "a request behind another", common: joined(held(0, "a", "1", 100), []record{noAnswer(250, "b")}),
			breaks: []record{sent(0, "b", "unsafe")},
			keeps:  []record{changed(sent(0, "b", "unsafe"), func(s *requestSent) { s.Behind = "a" })}},
		{rule: "stop", about: "ready after SIGTERM", common: []record{machine(0, routerStop), machine(6000, routerExited)},
			breaks: []record{machine(4500, routerUnready)},
			keeps:  []record{machine(2000, routerUnready)}},
		{rule: "ended by itself", about: "without a signal", common: []record{machine(2, routerExited)},
			breaks: []record{machine(3, routerStop)},
			keeps:  []record{machine(1, routerStop)}},
		{rule: "deadlines", about: "more than the caller has", common: []record{sent(0, "a", "unsafe"), run(1, "1a"), given(2, "1a", "text"), headers(3, "a", 200, "seal-1a"), body(4, "a", "text")},
			breaks: []record{changed(arrived(1, "1a", "a", "plain"), func(a *requestArrived) { a.Deadline = 3600 * time.Millisecond })},
			keeps:  []record{changed(arrived(1, "1a", "a", "plain"), func(a *requestArrived) { a.Deadline = 3400 * time.Millisecond })}},
		{rule: "deadlines", about: "none", common: []record{sent(0, "a", "unsafe"), run(1, "1a"), given(2, "1a", "text"), headers(3, "a", 200, "seal-1a"), body(4, "a", "text")},
			breaks: []record{changed(arrived(1, "1a", "a", "plain"), func(a *requestArrived) { a.Deadline = 0 })},
			keeps:  []record{changed(arrived(1, "1a", "a", "plain"), func(a *requestArrived) { a.Deadline = 1 })}},
		{rule: "deadlines", about: "the same once more", common: []record{sent(0, "a", "unsafe"), arrived(1, "1a", "a", "plain"), refused(1, "1a"), run(701, "2a"), given(702, "2a", "text"), headers(703, "a", 200, "seal-2a"), body(704, "a", "text")},
			breaks: []record{arrived(701, "2a", "a", "plain")},
			keeps:  []record{changed(arrived(701, "2a", "a", "plain"), func(a *requestArrived) { a.Deadline = 2300 * time.Millisecond })}},
		{rule: "timeouts", about: "late answers", common: []record{sent(0, "a", "unsafe"), headers(4100, "a", 504, "")},
			breaks: []record{body(4600, "a", "")},
			keeps:  []record{body(4400, "a", "")}},
		{rule: "departed callers", about: "a server that works on", common: []record{sent(0, "a", "stream"), arrived(1, "1a", "a", "engines"), run(1, "1a"), left(100, "a"), given(900, "1a", events(1, 5))},
			breaks: []record{cancelled(700, "1a")},
			keeps:  []record{cancelled(500, "1a")}},
		{rule: "departed callers", about: "one of four long ones", common: joined([]record{changed(sent(-5000, "b", "stream"), steady), arrived(-4999, "1b", "b", "engines"), run(-4999, "1b"), given(-3000, "1b", events(1, 5)), headers(-4000, "b", 200, "seal-1b"), body(-3000, "b", events(1, 5))},
			many(3, 0, 10, func(ms int, id string) []record {
				return []record{sent(ms, id, "stream"), arrived(ms+1, "1"+id, id, "engines"), run(ms+1, "1"+id), left(ms+100, id), cancelled(ms+200, "1"+id)}
			}), []record{sent(0, "a", "stream"), arrived(1, "1a", "a", "engines"), run(1, "1a"), left(100, "a"), cancelled(700, "1a")}),
			breaks: []record{sent(0, "c", "stream"), arrived(1, "1c", "c", "engines"), run(1, "1c"), left(100, "c"), cancelled(700, "1c")},
			keeps:  []record{sent(0, "c", "stream"), arrived(1, "1c", "c", "engines"), run(1, "1c"), left(100, "c"), cancelled(500, "1c")}},
		{rule: "departed callers", about: "late arrivals",
			breaks: many(4, 0, 10, func(ms int, id string) []record {
				return []record{sent(ms, id, "unsafe"), left(ms+100, id), arrived(ms+700, "1"+id, id, "plain"), run(ms+700, "1"+id)}
			}),
			keeps: many(4, 0, 10, func(ms int, id string) []record {
				return []record{sent(ms, id, "unsafe"), left(ms+100, id), arrived(ms+500, "1"+id, id, "plain"), run(ms+500, "1"+id)}
			})},
		{rule: "retry budget", about: "more repeats than a fifth of the requests and 240",
			breaks: many(301, 0, 10, retried),
			keeps:  many(299, 0, 10, retried)},
		{rule: "load", about: "one server gets everything", common: []record{entry(-5000, "s1", entryReady), entry(-5000, "s2", entryReady), entry(-5000, "s3", entryReady)},
			breaks: many(60, 0, 50, func(ms int, id string) []record { return held(ms, id, "1", 1000) }),
			keeps:  many(60, 0, 50, func(ms int, id string) []record { return held(ms, id, fmt.Sprint(1+ms/50%3), 1000) })},
		{rule: "recovery", about: "nothing is served after the last fault", common: []record{fails(0, subjectNone, ""), works(100, 0), sent(3200, "a", "unsafe"), body(3204, "a", ""), at(4000, callersStopped{})},
			breaks: []record{headers(3203, "a", 503, "")},
			keeps:  []record{arrived(3201, "1a", "a", "plain"), run(3201, "1a"), given(3202, "1a", ""), headers(3203, "a", 200, "seal-1a")}},
		{rule: "recovery", about: "what is not owed", common: []record{fails(0, subjectNone, ""), works(100, 0), headers(3203, "a", 401, ""), body(3204, "a", ""), at(4000, callersStopped{})},
			breaks: joined([]record{sent(3200, "a", "unsafe")}, served(3300, "b", "plain")),
			keeps:  joined([]record{changed(sent(3200, "a", "unsafe"), func(s *requestSent) { s.Key = "k0" })}, served(3300, "b", "plain"))},
		{rule: "recovery", about: "nothing is sent after the last fault", common: joined(served(3200, "a", "plain"), []record{at(4000, callersStopped{})}),
			breaks: []record{fails(0, subjectNone, ""), works(3900, 0)},
			keeps:  []record{fails(0, subjectNone, ""), works(100, 0)}},
	}
}

// retried returns a request that is refused once and runs elsewhere.
func retried(ms int, id string) []record {
	return []record{sent(ms, id, "unsafe"), arrived(ms, "1"+id, id, "plain"), refused(ms, "1"+id), arrived(ms+1, "2"+id, id, "plain"), run(ms+1, "2"+id),
		given(ms+2, "2"+id, "text"), headers(ms+3, id, 200, "seal-2"+id), body(ms+4, id, "text")}
}

// held returns a request that a server holds for some milliseconds.
func held(ms int, id, server string, length int) []record {
	attempt := server + id
	return []record{sent(ms, id, "unsafe"), arrived(ms, attempt, id, "plain"), run(ms, attempt), given(ms+length, attempt, "text"),
		headers(ms+length, id, 200, "seal-"+attempt), body(ms+length, id, "text")}
}

// continues returns an arrival that continues the run of another server.
func continues(r record) record {
	return changed(r, func(a *requestArrived) { a.Continues = true })
}
