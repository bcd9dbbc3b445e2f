package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// memoryMB is limits.memoryMb of the small sites.
	memoryMB = 284
	// readyWait bounds the start of the routers.
	readyWait = 20 * time.Second
	// restartDelay is the pause between the end of a process and its restart.
	restartDelay = 500 * time.Millisecond
)

// world holds the processes and stand-ins of a case.
type world struct {
	binary  string
	dir     string
	trouble bool
	// length makes callers send bodies with a length in place of chunks.
	length  bool
	store   *store
	addr    string
	started time.Time
	routers []*router

	mu     sync.Mutex
	out    *os.File
	closed bool
	// runs has the requests that servers have begun to run.
	runs map[string]bool
}

// router is one process of the fleet, which is restarted whenever it ends.
type router struct {
	w       *world
	name    string
	host    string
	port    [4]int
	process *exec.Cmd
	// ends counts the ends of its processes.
	ends int
	mu   sync.Mutex
}

func newWorld(binary, recordFile string, trouble bool) (*world, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	out, err := os.Create(recordFile)
	if err != nil {
		return nil, err
	}
	w := &world{binary: binary, dir: dir, trouble: trouble, store: newStore(), started: time.Now(), out: out, runs: make(map[string]bool)}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w.addr = l.Addr().String()
	go func() { _ = http.Serve(l, w.store.handler()) }()
	return w, nil
}

// record adds a line to the record.
func (w *world) record(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.out, "%9.3f s  %s\n", time.Since(w.started).Seconds(), fmt.Sprintf(format, args...))
}

// close ends all processes that the case has started.
func (w *world) close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	for _, r := range w.routers {
		r.mu.Lock()
		if r.process != nil {
			_ = r.process.Process.Kill()
		}
		r.mu.Unlock()
	}
	time.Sleep(100 * time.Millisecond)
	_ = os.RemoveAll(w.dir)
	_ = w.out.Close()
}

func (w *world) isClosed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closed
}

// freePorts returns free ports of an address.
func freePorts(host string, n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", host+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// startRouters starts n routers and waits until they are ready.
func (w *world) startRouters(n int) error {
	ports, err := freePorts("127.0.0.1", 4)
	if err != nil {
		return err
	}
	for i := range n {
		r := &router{w: w, name: fmt.Sprintf("front-hall-a-%d", i+1), host: fmt.Sprintf("127.0.61.%d", i+1), port: [4]int(ports)}
		w.routers = append(w.routers, r)
		if err := r.start(true); err != nil {
			return err
		}
	}
	end := time.Now().Add(readyWait)
	for _, r := range w.routers {
		for !r.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", r.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.record("%d routers are ready", n)
	return nil
}

// settings returns what deploy/settings.json.template makes of the settings of a small site.
func (r *router) settings(first bool) map[string]any {
	at := func(i int) string { return net.JoinHostPort(r.host, strconv.Itoa(r.port[i])) }
	return map[string]any{
		"vm": r.name, "data_centre": "hall-a", "region": "south", "regions": map[string]string{"hall-a": "south"},
		"first_start": first,
		"listen":      map[string]string{"callers": at(0), "readiness": at(1), "peers": at(2), "metrics": at(3)},
		"seeds":       []string{fmt.Sprintf("127.0.61.1:%d", r.port[2]), fmt.Sprintf("127.0.61.2:%d", r.port[2])},
		"store":       map[string]string{"address": r.w.addr},
		"limits":      map[string]any{"memory_mb": memoryMB, "cores": 1, "cpu_share": 0.4},
		"bounds":      map[string]any{"stop": "8s", "load_multiple": 2, "retry_ratio": 0.2, "retry_window": "10s", "retry_extra": 54},
		"logging":     map[string]string{"level": "info", "format": "json"},
	}
}

// start starts the process and restarts it when it ends.
func (r *router) start(first bool) error {
	text, err := json.Marshal(r.settings(first))
	if err != nil {
		return err
	}
	file := filepath.Join(r.w.dir, r.name+".json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(r.w.dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	process := exec.Command(r.w.binary, "front", "-settings", file)
	process.Stdout, process.Stderr = log, log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	r.mu.Lock()
	r.process = process
	r.mu.Unlock()
	go r.await(process)
	return nil
}

// await waits for the end of a process and starts the next one.
func (r *router) await(process *exec.Cmd) {
	_ = process.Wait()
	if r.w.isClosed() {
		return
	}
	r.mu.Lock()
	r.ends++
	r.mu.Unlock()
	r.w.record("%s: the process has ended: %s", r.name, process.ProcessState)
	time.Sleep(restartDelay)
	if !r.w.isClosed() {
		_ = r.start(false)
	}
}

func (r *router) pid() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.process.Process.Pid
}

func (r *router) endCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ends
}

func (r *router) callersAddr() string { return net.JoinHostPort(r.host, strconv.Itoa(r.port[0])) }

// ready asks the router whether it takes callers.
func (r *router) ready() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + net.JoinHostPort(r.host, strconv.Itoa(r.port[1])) + "/bluebellwell/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// memory returns the memory of the process that no file backs, in MB.
func (r *router) memory() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", r.pid()))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kB, _ := strconv.Atoi(strings.Fields(value)[0])
			return kB >> 10
		}
	}
	return 0
}

// begin records that a server begins to run a request.
func (w *world) begin(server, id string) {
	w.mu.Lock()
	w.runs[id] = true
	w.mu.Unlock()
	w.record("server %s runs %s", server, id)
}

// ran reports whether a server has begun to run a request.
func (w *world) ran(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[id]
}
