package enginesim

import (
	"errors"
	"net"
	"net/http"
	"sync"
)

// server is the loopback listener of an engine. It is safe for concurrent use.
type server struct {
	mu      sync.Mutex
	handler http.Handler
	addr    string
	ln      net.Listener
	running []*http.Server
}

// Start serves the engine on a loopback address such as 127.0.0.1:0 and
// returns the address in use.
func (e *Engine) Start(addr string) (string, error) {
	e.server.mu.Lock()
	e.server.handler = e
	e.server.addr = addr
	e.server.mu.Unlock()
	if err := e.server.reopen(); err != nil {
		return "", err
	}
	return e.Addr(), nil
}

// Addr returns the address in use, or an empty string.
func (e *Engine) Addr() string {
	e.server.mu.Lock()
	defer e.server.mu.Unlock()
	return e.server.addr
}

// SetRefuse makes the operating system refuse new connections, or ends that.
// Idle connections are closed; running streams go on.
func (e *Engine) SetRefuse(refuse bool) error {
	if !refuse {
		return e.server.reopen()
	}
	e.server.refuse()
	return nil
}

// reopen listens on the address unless the server does so already. An engine
// that was never started stays without a server.
func (s *server) reopen() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.handler == nil || s.ln != nil {
		return nil
	}
	ln, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	s.ln = ln
	s.addr = ln.Addr().String()
	srv := &http.Server{Handler: s.handler}
	s.running = append(s.running, srv)
	go serve(srv, ln)
	return nil
}

// serve ends when the listener is closed.
func serve(srv *http.Server, ln net.Listener) {
	err := srv.Serve(ln)
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		panic(err)
	}
}

func (s *server) refuse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeListener()
	for _, srv := range s.running {
		srv.SetKeepAlivesEnabled(false)
	}
}

func (s *server) closeListener() {
	if s.ln != nil {
		_ = s.ln.Close()
		s.ln = nil
	}
}

// close refuses new connections and cuts the open ones.
func (s *server) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeListener()
	for _, srv := range s.running {
		_ = srv.Close()
	}
	s.running = nil
}
