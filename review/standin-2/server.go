package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// server is a plain server. It runs each request for a time and then answers.
type server struct {
	w     *world
	id    string
	addr  string
	slots int
	// work returns how long a request runs.
	work func(r *http.Request) time.Duration
	// running counts the requests that run.
	running atomic.Int64
}

// startServer starts a server and writes its entry. The heartbeats of the platform's servers change nothing in their entries.
func (w *world) startServer(id, pool string, slots int, work func(r *http.Request) time.Duration) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{w: w, id: id, addr: l.Addr().String(), slots: slots, work: work}
	go func() { _ = http.Serve(l, s) }()
	w.store.put("keyed.servers", id, map[string]any{
		"upstream": pool, "addr": s.addr, "zone": "hall-a", "version": "v1", "slots": slots, "state": "ready", "coldLeftMs": 0, "seq": 1,
	})
	return s, nil
}

// ServeHTTP runs a request. One that names another instance, or that finds the queue full, is rejected.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	h := w.Header()
	h.Set("X-Request-Id", id)
	h.Set("X-Instance", s.id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	running := s.running.Add(1)
	defer s.running.Add(-1)
	h.Set("X-Load", fmt.Sprintf("%d,%d,%d", min(running, int64(s.slots)), max(running-int64(s.slots), 0), s.slots))
	s.w.begin(s.id, id)
	select {
	case <-time.After(s.work(r)):
	case <-r.Context().Done():
		s.w.record("server %s: the channel of %s is closed", s.id, id)
		return
	}
	h.Set("X-Seal", s.id+"."+id)
	_, _ = io.WriteString(w, "answer to "+id)
	s.w.record("server %s has answered %s", s.id, id)
}
