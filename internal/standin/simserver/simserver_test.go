package simserver

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
)

// Guards against a refusing stand-in that still serves idle connections, and
// against one that reopens on another address.
func TestRefuseAndReopen(t *testing.T) {
	var s Server
	addr, err := s.Start("127.0.0.1:0", http.NotFoundHandler())
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	br := bufio.NewReader(c)
	resp, err := http.ReadResponse(br, nil)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	s.Refuse()
	if _, err := br.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("idle connection: %v, want it closed", err)
	}
	if _, err := net.Dial("tcp", addr); err == nil {
		t.Error("a new connection was not refused")
	}
	if err := s.Reopen(); err != nil || s.Addr() != addr {
		t.Fatalf("reopened on %s, %v; want the same address", s.Addr(), err)
	}
	again, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	_ = again.Close()
}
