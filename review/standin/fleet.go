//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// zones are the data centres of a small deployment with the number of its routers in each.
var zones = []struct {
	name    string
	routers int
}{{"dalat-hall", 2}, {"baoloc-hall", 3}, {"ducrong-hall", 2}, {"lamha-hall", 2}}

// router is a process of the deploy file's role.
type router struct {
	name, zone         string
	callers, readiness string
	peers              netip.AddrPort
	settings           string
	// values is what the settings file has.
	values map[string]any
	cmd    *exec.Cmd
}

// fleet is all routers, in the order of their addresses.
type fleet struct {
	rec     *record
	binary  string
	dir     string
	routers []*router
}

// freePort returns a port that is free at an address, for TCP and UDP.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return 0, err
	}
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// newFleet writes the settings of all routers. store returns the address of the store for a router.
func newFleet(rec *record, binary, dir string, store func(router int) string) (*fleet, error) {
	f := &fleet{rec: rec, binary: binary, dir: dir}
	ports := make(map[string]int)
	for _, use := range []string{"callers", "readiness", "peers", "metrics"} {
		port, err := freePort("127.0.0.1")
		if err != nil {
			return nil, err
		}
		ports[use] = port
	}
	var seeds []string
	for z, zone := range zones {
		for i := range zone.routers {
			ip := fmt.Sprintf("127.%d.0.%d", 101+z, 10*(i+1))
			at := func(use string) string { return fmt.Sprintf("%s:%d", ip, ports[use]) }
			r := &router{
				name: fmt.Sprintf("front-%s-%d", zone.name, i+1), zone: zone.name,
				callers: at("callers"), readiness: at("readiness"), peers: netip.MustParseAddrPort(at("peers")),
			}
			r.settings = filepath.Join(dir, r.name+".json")
			f.routers = append(f.routers, r)
			if i == 0 && len(seeds) < 3 {
				seeds = append(seeds, at("peers"))
			}
		}
	}
	for i, r := range f.routers {
		if err := r.write(ports["metrics"], seeds, store(i)); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// write writes the settings file, with the values of the platform's sheet in the form of the template.
func (r *router) write(metrics int, seeds []string, store string) error {
	r.values = map[string]any{
		"vm": r.name, "data_centre": r.zone, "region": "highlands", "first_start": true,
		"listen": map[string]string{
			"callers": r.callers, "readiness": r.readiness, "peers": r.peers.String(),
			"metrics": fmt.Sprintf("%s:%d", r.peers.Addr(), metrics),
		},
		"seeds": seeds, "store": map[string]string{"address": store},
		"limits":  map[string]int{"memory_mb": 284, "cores": 1},
		"bounds":  map[string]any{"stop": "8s", "load_multiple": 2, "retry_ratio": 0.2, "retry_window": "10s", "retry_extra": 58},
		"logging": map[string]string{"level": "info", "format": "json"},
	}
	return r.save()
}

// save writes the settings file as values has it.
func (r *router) save() error {
	text, err := json.MarshalIndent(r.values, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(r.settings, text, 0o644)
}

// start starts the process of a router.
func (f *fleet) start(r *router) error {
	out, err := os.OpenFile(filepath.Join(f.dir, r.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer out.Close()
	r.cmd = exec.Command(f.binary, "front", "-settings", r.settings)
	r.cmd.Stdout, r.cmd.Stderr = out, out
	r.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.dir, "LANG=C.UTF-8", "BLUEBELLWELL_SETTINGS=" + r.settings}
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	f.rec.add("start %s at %s", r.name, r.callers)
	return r.cmd.Start()
}

func (f *fleet) startAll() error {
	for _, r := range f.routers {
		if err := f.start(r); err != nil {
			return err
		}
	}
	return nil
}

// awaitReady waits until all routers say that they are ready.
func (f *fleet) awaitReady(limit time.Duration) error {
	client := &http.Client{Timeout: time.Second}
	end := time.Now().Add(limit)
	for _, r := range f.routers {
		for {
			resp, err := client.Get("http://" + r.readiness + "/bluebellwell/ready")
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready", r.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// restart starts the process of a router that was killed. The system as a whole does not start for the
// first time then.
func (f *fleet) restart(r *router) error {
	r.values["first_start"] = false
	if err := r.save(); err != nil {
		return err
	}
	return f.start(r)
}

// kill ends the process of a router with SIGKILL.
func (f *fleet) kill(r *router) error {
	if err := r.cmd.Process.Kill(); err != nil {
		return err
	}
	f.rec.add("kill %s", r.name)
	// The error tells of the signal.
	_ = r.cmd.Wait()
	r.cmd = nil
	return nil
}

// stopAll ends the processes that were started.
func (f *fleet) stopAll() {
	for _, r := range f.routers {
		if r.cmd != nil && r.cmd.Process != nil {
			r.cmd.Process.Kill()
			r.cmd.Wait()
			r.cmd = nil
		}
	}
}
