package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// bodyBytes is maxBodyBytes of the platform's configuration, which callers keep to.
	bodyBytes = 4 << 20
	// pieceBytes and uploadTime are the size of a chunk and the time of an upload.
	pieceBytes = 64 << 10
	uploadTime = 4 * time.Second
	// usualUploads is how many bodies of the tenant arrive at a router at the same time on a usual day, and hotFactor how many
	// times its usual the tenant sends while it is hot (hot_tenant, x = 7.5).
	usualUploads = 8
	hotFactor    = 7.5
	// hotTime is how long the tenant is hot (hot_tenant, for_s = 11).
	hotTime = 11 * time.Second
	// calmTime is more than stableWindowMs.
	calmTime = 4 * time.Second
	// keptCallers is the number of callers with a kept channel at each router, workTime how long one of their requests runs.
	keptCallers = 10
	workTime    = time.Second
	deadlineMs  = 15000
	// toleratedLost is the number of requests for which LOST allows a channel that closes without an answer.
	toleratedLost = 3
	memoryCheck   = 20 * time.Millisecond
)

func uploadsConfig() map[string]any {
	route := func(name, prefix string) map[string]any {
		return map[string]any{
			"name": name, "host": "h.example", "pathPrefix": prefix, "kind": "unsafe", "timeoutMs": deadlineMs, "latencyTargetMs": 4000,
			"priority": 1, "upstream": "api", "maxAttempts": 1, "public": false, "sticky": false, "resumable": false,
		}
	}
	return map[string]any{
		"version":   1,
		"routes":    []any{route("upload", "/upload/"), route("book", "/book/")},
		"upstreams": []any{map[string]any{"name": "api", "healthPath": "/healthz", "maxConns": 1000, "protocol": "h1", "tls": false}},
		"limits":    map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": bodyBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{
			map[string]any{"name": "hot", "apiKeys": []string{"key-hot"}},
			map[string]any{"name": "other", "apiKeys": []string{"key-other"}},
		},
	}
}

// runUploads plays callers of one tenant that send bodies in chunks, beside callers of another one with kept channels.
func runUploads(w *world) (broken bool, err error) {
	w.store.put("keyed.op", "config", uploadsConfig())
	for i := range 4 {
		if _, err := w.startServer(fmt.Sprintf("i-%d", i+1), "api", 128, func(*http.Request) time.Duration { return workTime }); err != nil {
			return false, err
		}
	}
	const routers = 3
	if err := w.startRouters(routers); err != nil {
		return false, err
	}
	time.Sleep(calmTime)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var lost, served, uploads, refused atomic.Int64
	var callers sync.WaitGroup
	for _, r := range w.routers {
		go w.limitMemory(ctx, r)
		for i := range keptCallers {
			c := &keptCaller{w: w, r: r, name: fmt.Sprintf("%s-c%d", r.name, i), lost: &lost, served: &served}
			callers.Go(func() { c.sendUntil(ctx) })
		}
	}
	time.Sleep(calmTime)
	n := usualUploads
	if w.trouble {
		n = int(hotFactor * usualUploads)
		w.record("hot_tenant: the tenant sends %d times its usual", n/usualUploads)
	}
	hot, end := context.WithTimeout(ctx, hotTime)
	defer end()
	var senders sync.WaitGroup
	for _, r := range w.routers {
		for i := range n {
			senders.Go(func() {
				for k := 0; hot.Err() == nil; k++ {
					w.upload(r, fmt.Sprintf("%s-u%d-%d", r.name, i, k), &uploads, &refused)
				}
			})
		}
	}
	senders.Wait()
	time.Sleep(calmTime)
	cancel()
	callers.Wait()
	ends := 0
	for _, r := range w.routers {
		ends += r.endCount()
	}
	w.record("kept channels: %d requests answered, %d passed on to a sound server and closed without an answer (bound %d)",
		served.Load(), lost.Load(), toleratedLost)
	w.record("uploads: %d answered with success, %d refused; processes that ended over their memory: %d", uploads.Load(), refused.Load(), ends)
	return lost.Load() > toleratedLost, nil
}

// limitMemory is the platform, which kills a process that exceeds its memory.
func (w *world) limitMemory(ctx context.Context, r *router) {
	most := 0
	defer func() { w.record("%s: %d MB at most", r.name, most) }()
	tick := time.NewTicker(memoryCheck)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		used := r.memory()
		most = max(most, used)
		if used > memoryMB {
			w.record("platform: %s uses %d MB of %d and is killed", r.name, used, memoryMB)
			_ = syscall.Kill(r.pid(), syscall.SIGKILL)
			time.Sleep(restartDelay)
		}
	}
}

// upload sends a body in chunks and reads the answer.
func (w *world) upload(r *router, id string, uploads, refused *atomic.Int64) {
	conn, err := net.DialTimeout("tcp", r.callersAddr(), time.Second)
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(deadlineMs * time.Millisecond))
	framing := "Transfer-Encoding: chunked"
	if w.length {
		framing = fmt.Sprintf("Content-Length: %d", bodyBytes)
	}
	fmt.Fprintf(conn, "POST /upload/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Token key-hot\r\n%s\r\n\r\n", id, deadlineMs, framing)
	status := make(chan int, 1)
	go func() {
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			status <- 0
			return
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		status <- resp.StatusCode
	}()
	piece := make([]byte, pieceBytes)
	pause := uploadTime / (bodyBytes / pieceBytes)
	for sent := 0; sent < bodyBytes; sent += pieceBytes {
		text := piece
		if !w.length {
			text = fmt.Appendf(nil, "%x\r\n%s\r\n", pieceBytes, piece)
		}
		if _, err := conn.Write(text); err != nil {
			break
		}
		time.Sleep(pause)
	}
	if !w.length {
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
	code := <-status
	w.record("upload %s: %d", id, code)
	switch code {
	case http.StatusOK:
		uploads.Add(1)
	case http.StatusServiceUnavailable:
		refused.Add(1)
		time.Sleep(time.Second)
	case 0:
		time.Sleep(100 * time.Millisecond)
	}
}

// keptCaller sends one request after the other on a channel that it keeps.
type keptCaller struct {
	w            *world
	r            *router
	name         string
	conn         net.Conn
	reader       *bufio.Reader
	lost, served *atomic.Int64
}

func (c *keptCaller) sendUntil(ctx context.Context) {
	defer func() {
		if c.conn != nil {
			_ = c.conn.Close()
		}
	}()
	for k := 0; ctx.Err() == nil; k++ {
		if c.conn == nil {
			conn, err := net.DialTimeout("tcp", c.r.callersAddr(), time.Second)
			if err != nil {
				time.Sleep(100 * time.Millisecond)
				continue
			}
			c.conn, c.reader = conn, bufio.NewReader(conn)
		}
		c.send(fmt.Sprintf("%s-%d", c.name, k))
	}
}

// send sends a request and reads its answer. A channel that ends without one, in a time in which the server runs the request, has
// lost it.
func (c *keptCaller) send(id string) {
	_ = c.conn.SetDeadline(time.Now().Add(deadlineMs * time.Millisecond))
	_, err := fmt.Fprintf(c.conn, "POST /book/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Token key-other\r\nContent-Length: 4\r\n\r\nbook", id, deadlineMs)
	c.w.record("caller sends %s to %s", id, c.r.name)
	var resp *http.Response
	if err == nil {
		resp, err = http.ReadResponse(c.reader, nil)
	}
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	if err != nil {
		c.w.record("caller: %s ends without an answer: %v", id, err)
		if !errors.Is(err, context.Canceled) && c.w.ran(id) {
			c.lost.Add(1)
		}
		_ = c.conn.Close()
		c.conn = nil
		return
	}
	c.w.record("caller: %s is answered with %d", id, resp.StatusCode)
	c.served.Add(1)
	if resp.Close {
		_ = c.conn.Close()
		c.conn = nil
	}
}
