package soak

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// mode is how a proxy treats its connections.
type mode int

const (
	// pass forwards the data.
	pass mode = iota
	// slow delays each chunk.
	slow
	// silent forwards nothing and keeps the connections open.
	silent
	// reset resets open and new connections.
	reset
	// pieces forwards answers in pieces of pieceOfWire bytes, headers as well. Requests pass
	// at once: a slow way to the server would let its deadline come late.
	pieces
	// torn breaks answers off: half of the first chunk comes, and a reset.
	torn
)

const (
	// slowDelay is the delay of each chunk in the mode slow.
	slowDelay = 40 * time.Millisecond
	// pieceOfWire and pauseOfWire are the size of a piece in the mode pieces and the pause
	// after it. The headers of an answer take about 20 ms.
	pieceOfWire = 23
	pauseOfWire = 1 * time.Millisecond
)

// proxy is a TCP proxy on loopback whose mode can be switched.
type proxy struct {
	listener net.Listener

	mu          sync.Mutex
	target      string
	mode        mode
	modeChanged chan struct{}
	conns       map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", proxyHost+":0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, modeChanged: make(chan struct{}), conns: map[net.Conn]bool{}}
	go p.run()
	return p, nil
}

func (p *proxy) addr() string { return p.listener.Addr().String() }

// setMode switches the mode; reset also resets the open connections.
func (p *proxy) setMode(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	close(p.modeChanged)
	p.modeChanged = make(chan struct{})
	if m == reset {
		for c := range p.conns {
			resetConn(c)
		}
	}
}

// setTarget connects new connections to another address.
func (p *proxy) setTarget(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.target = addr
}

func resetConn(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) currentMode() (mode, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode, p.modeChanged
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.setMode(reset)
}

func (p *proxy) run() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(c net.Conn) {
	if m, _ := p.currentMode(); m == reset {
		resetConn(c)
		return
	}
	p.mu.Lock()
	target := p.target
	p.mu.Unlock()
	out, err := net.Dial("tcp", target)
	if err != nil {
		resetConn(c)
		return
	}
	p.mu.Lock()
	p.conns[c], p.conns[out] = true, true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(out, c, false) })
	wg.Go(func() { p.copy(c, out, true) })
	wg.Wait()
	p.mu.Lock()
	delete(p.conns, c)
	delete(p.conns, out)
	p.mu.Unlock()
}

// copy forwards one direction, that of answers or of requests, until it ends, then closes or
// resets the other side.
func (p *proxy) copy(to, from net.Conn, answers bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if !p.waitForMode() {
			resetConn(to)
			return
		}
		if m, _ := p.currentMode(); m == torn && answers && n > 0 {
			_, _ = to.Write(buffer[:n/2])
			resetConn(from)
			resetConn(to)
			return
		}
		if n > 0 {
			if werr := p.write(to, buffer[:n], answers); werr != nil {
				resetConn(from)
				return
			}
		}
		if errors.Is(err, syscall.ECONNRESET) {
			resetConn(to)
			return
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// write forwards a chunk, that of an answer in pieces if the mode has them.
func (p *proxy) write(to net.Conn, data []byte, answers bool) error {
	for {
		n := len(data)
		if m, _ := p.currentMode(); m == pieces && answers {
			n = min(n, pieceOfWire)
		}
		if _, err := to.Write(data[:n]); err != nil {
			return err
		}
		if data = data[n:]; len(data) == 0 {
			return nil
		}
		time.Sleep(pauseOfWire)
	}
}

// waitForMode delays a chunk as the mode requires. It reports false if the
// connection is to be reset.
func (p *proxy) waitForMode() bool {
	for {
		m, changed := p.currentMode()
		switch m {
		case pass, pieces, torn:
			return true
		case slow:
			time.Sleep(slowDelay)
			return true
		case reset:
			return false
		}
		<-changed
	}
}
