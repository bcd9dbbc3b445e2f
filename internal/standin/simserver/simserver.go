// Package simserver provides the loopback HTTP server of the stand-ins, which can
// refuse connections, close them and reopen on the same address.
package simserver

import (
	"errors"
	"net"
	"net/http"
	"sync"
)

// Server serves one handler. The zero value is ready to use; it is safe for
// concurrent use.
type Server struct {
	mu      sync.Mutex
	handler http.Handler
	addr    string
	ln      net.Listener
	servers []*http.Server
}

// Start serves h on a loopback address such as 127.0.0.1:0 and returns the
// address in use.
func (s *Server) Start(addr string, h http.Handler) (string, error) {
	s.mu.Lock()
	s.handler = h
	s.addr = addr
	s.mu.Unlock()
	if err := s.Reopen(); err != nil {
		return "", err
	}
	return s.Addr(), nil
}

// Addr returns the address in use, or an empty string.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Reopen listens on the address unless the server is already listening. A server
// that was never started stays closed.
func (s *Server) Reopen() error {
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
	s.servers = append(s.servers, srv)
	go serve(srv, ln)
	return nil
}

// serve returns when the listener is closed.
func serve(srv *http.Server, ln net.Listener) {
	err := srv.Serve(ln)
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
		panic(err)
	}
}

// Refuse makes the operating system refuse new connections until Reopen. Idle
// connections are closed; requests in progress continue.
func (s *Server) Refuse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeListener()
	for _, srv := range s.servers {
		srv.SetKeepAlivesEnabled(false)
	}
}

func (s *Server) closeListener() {
	if s.ln != nil {
		_ = s.ln.Close()
		s.ln = nil
	}
}

// Close refuses new connections and cuts the open ones.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closeListener()
	for _, srv := range s.servers {
		_ = srv.Close()
	}
	s.servers = nil
}
