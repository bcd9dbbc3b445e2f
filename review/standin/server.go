//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// workTime is how long a server works on a request.
	workTime = 15 * time.Millisecond
	// heartbeat is the time between two entries of a server in the store.
	heartbeat = 1200 * time.Millisecond
)

// server is a stand-in for a plain server of a service.
type server struct {
	id, pool, zone string
	slots          int
	rec            *record
	store          *store
	listener       net.Listener
	seq            atomic.Int64
	ran            func(run)

	mu    sync.Mutex
	state string
	// written is the state in the newest record of the entry.
	written string
	done    chan struct{}
}

// run is a request that a server has begun to work on.
type run struct {
	id, server, tenant string
	at                 time.Time
}

func startServer(id, pool, zone string, slots int, rec *record, st *store, ran func(run)) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{id: id, pool: pool, zone: zone, slots: slots, rec: rec, store: st, listener: l, ran: ran, state: "ready", done: make(chan struct{})}
	go http.Serve(l, s)
	go s.beat()
	return s, nil
}

// beat writes the server's entry again and again.
func (s *server) beat() {
	for {
		s.write()
		select {
		case <-s.done:
			return
		case <-time.After(heartbeat):
		}
	}
}

func (s *server) write() time.Time {
	s.mu.Lock()
	state, same := s.state, s.state == s.written
	s.written = state
	s.mu.Unlock()
	if same && !s.store.beatsAreRecords {
		return time.Now()
	}
	value, _ := json.Marshal(map[string]any{
		"upstream": s.pool, "addr": s.listener.Addr().String(), "zone": s.zone, "version": "v1", "slots": s.slots,
		"state": state, "coldLeftMs": 0, "seq": s.seq.Add(1),
	})
	return s.store.put("keyed.servers", s.id, value)
}

// drain makes the server report that it leaves, and returns when the store has confirmed that.
func (s *server) drain() time.Time {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	return s.write()
}

// leave ends the server: its entry goes, and it takes no more connections.
func (s *server) leave() {
	s.unregister()
	s.listener.Close()
}

// unregister makes the server's entry go, while it serves on, and returns when the store has
// confirmed that.
func (s *server) unregister() time.Time {
	close(s.done)
	time.Sleep(2 * appendTime)
	return s.store.put("keyed.servers", s.id, nil)
}

// ServeHTTP runs a request that is meant for this server.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance", s.id)
		return
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.Header().Set("X-Instance", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		w.Header().Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, _ := io.ReadAll(r.Body)
	tenant := r.Header.Get("X-Tenant")
	s.ran(run{id, s.id, tenant, time.Now()})
	s.rec.add("run %s server %s tenant %s %s %s", id, s.id, tenant, r.Method, r.RequestURI)
	time.Sleep(workTime)
	w.Header().Set("X-Seal", fmt.Sprintf("%s.%s", s.id, id))
	w.Header().Set("Content-Type", "text/plain")
	fmt.Fprintf(w, "%s ran %s: %d bytes", s.id, id, len(body))
}
