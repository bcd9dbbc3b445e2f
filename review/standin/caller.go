//go:build review

package main

import (
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// request is one attempt of a caller.
type request struct {
	id, key  string
	router   *router
	sentAt   time.Time
	status   int
	seal     string
	answered time.Time
}

var requestNumber atomic.Int64

// caller sends requests to one router over channels that it keeps.
type caller struct {
	rec    *record
	router *router
	client *http.Client
}

func newCaller(rec *record, r *router) *caller {
	return &caller{rec: rec, router: r, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}, Timeout: 3 * time.Second}}
}

// send sends one request and waits for its answer.
func (c *caller) send(method, path, key string) request {
	q := request{id: strconv.FormatInt(0x1c41d07b00000000+requestNumber.Add(1), 16), key: key, router: c.router}
	var body io.Reader
	if method == http.MethodPost {
		body = strings.NewReader(strings.Repeat("x", 300))
	}
	r, _ := http.NewRequest(method, "http://"+c.router.callers+path, body)
	r.Host = callerHost
	r.Header.Set("X-Request-Id", q.id)
	r.Header.Set("X-Deadline-Ms", "1500")
	r.Header.Set("Authorization", "Token "+key)
	q.sentAt = time.Now()
	c.rec.add("sent %s to %s key %s %s %s", q.id, c.router.name, key, method, path)
	resp, err := c.client.Do(r)
	q.answered = time.Now()
	if err != nil {
		c.rec.add("answer %s none: %v", q.id, err)
		return q
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, resp.Body)
	q.status, q.seal = resp.StatusCode, resp.Header.Get("X-Seal")
	c.rec.add("answer %s status %d seal %q", q.id, q.status, q.seal)
	return q
}
