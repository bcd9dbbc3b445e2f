// Package vmlist reads the platform's VM list over HTTP.
package vmlist

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/rotisserie/eris"

	"github.com/bluebellwell/bluebellwell/internal/meter"
)

const (
	// MaxBodyBytes bounds the encoded list; 20,000 VMs fit.
	MaxBodyBytes = 4 << 20
	// MaxVMs bounds the entries of a list.
	MaxVMs = 20000

	maxNameBytes   = 128
	requestTimeout = 2 * time.Second
)

// Roles of a VM.
const (
	RoleRouter  = "router"
	RoleEngine  = "engine"
	RoleBackend = "backend"
)

// States of a VM.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// Errors of the client.
var (
	ErrInvalid  = errors.New("VM list is not valid")
	ErrTooLarge = errors.New("VM list exceeds the size limit")
	ErrStatus   = errors.New("VM list answered with an unexpected status")
)

// VM is one entry of the list.
type VM struct {
	Name       string `json:"name"`
	Role       string `json:"role"`
	Pool       string `json:"pool"`
	DataCentre string `json:"data_centre"`
	// Addr takes requests of callers or routers.
	Addr string `json:"addr"`
	// PeerAddr takes connections of other routers; set for routers only.
	PeerAddr string `json:"peer_addr"`
	State    string `json:"state"`
}

// List is one version of the list. It is not modified after decoding.
type List struct {
	Version uint64 `json:"version"`
	VMs     []VM   `json:"vms"`
}

// Client polls the list. It is safe for concurrent use.
type Client struct {
	url   string
	http  *http.Client
	meter *meter.Meter

	mu   sync.Mutex
	etag string
	last *List
}

// NewClient returns a client for the service at base, for example
// "http://10.0.0.1:7000". hc may be nil.
func NewClient(base string, hc *http.Client, m *meter.Meter) *Client {
	if hc == nil {
		hc = &http.Client{Timeout: requestTimeout}
	}
	return &Client{url: strings.TrimSuffix(base, "/") + "/vms", http: hc, meter: m}
}

// Fetch returns the current list. changed is false when the list is the one
// that an earlier Fetch returned. On an error the earlier list stays known.
func (c *Client) Fetch(ctx context.Context) (list *List, changed bool, err error) {
	etag, last := c.known()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, false, eris.Wrap(err, "VM list request")
	}
	if last != nil && etag != "" {
		req.Header.Set("If-None-Match", etag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, false, eris.Wrap(err, "VM list")
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, MaxBodyBytes+1))
	c.meter.Add(meter.VMList, meter.HTTPExchangeBytes(requestBytes(req)+responseBytes(resp)+len(body)))
	if err != nil {
		return nil, false, eris.Wrap(err, "VM list body")
	}
	if resp.StatusCode == http.StatusNotModified && last != nil {
		return last, false, nil
	}
	if resp.StatusCode != http.StatusOK {
		return nil, false, eris.Wrapf(ErrStatus, "status %d", resp.StatusCode)
	}
	list, err = Decode(body)
	if err != nil {
		return nil, false, err
	}
	c.remember(resp.Header.Get("ETag"), list)
	return list, true, nil
}

func (c *Client) known() (string, *List) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.etag, c.last
}

func (c *Client) remember(etag string, list *List) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.etag, c.last = etag, list
}

// requestBytes returns the bytes of the request line and headers, with the
// headers that net/http adds.
func requestBytes(req *http.Request) int {
	n := len("GET  HTTP/1.1\r\nHost: \r\nUser-Agent: Go-http-client/1.1\r\nAccept-Encoding: gzip\r\n\r\n")
	return n + len(req.URL.RequestURI()) + len(req.URL.Host) + headerBytes(req.Header)
}

func responseBytes(resp *http.Response) int {
	return len("HTTP/1.1 \r\n\r\n") + len(resp.Status) + headerBytes(resp.Header)
}

func headerBytes(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// Decode parses and checks a list. Unknown fields, repeated names and values
// outside their range are errors that match ErrInvalid.
func Decode(body []byte) (*List, error) {
	if len(body) > MaxBodyBytes {
		return nil, ErrTooLarge
	}
	if !utf8.Valid(body) {
		return nil, eris.Wrap(ErrInvalid, "not UTF-8")
	}
	dec := json.NewDecoder(bytes.NewReader(body))
	dec.DisallowUnknownFields()
	var list List
	if err := dec.Decode(&list); err != nil {
		return nil, eris.Wrap(ErrInvalid, err.Error())
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return nil, eris.Wrap(ErrInvalid, "data after the list")
	}
	return &list, check(&list)
}

func check(list *List) error {
	if len(list.VMs) > MaxVMs {
		return ErrTooLarge
	}
	seen := make(map[string]bool, len(list.VMs))
	for i, vm := range list.VMs {
		if err := checkVM(vm); err != nil {
			return eris.Wrapf(ErrInvalid, "vms[%d]: %v", i, err)
		}
		if seen[vm.Name] {
			return eris.Wrapf(ErrInvalid, "vms[%d]: name used twice", i)
		}
		seen[vm.Name] = true
	}
	return nil
}

func checkVM(vm VM) error {
	if vm.Name == "" || len(vm.Name) > maxNameBytes || len(vm.Pool) > maxNameBytes || len(vm.DataCentre) > maxNameBytes {
		return errors.New("name, pool or data_centre empty or too long")
	}
	if vm.State != StateLive && vm.State != StateLeaving {
		return fmt.Errorf("state %q", vm.State)
	}
	if _, err := netip.ParseAddrPort(vm.Addr); err != nil {
		return errors.New("addr is no IP address with port")
	}
	switch vm.Role {
	case RoleRouter:
		if _, err := netip.ParseAddrPort(vm.PeerAddr); err != nil {
			return errors.New("peer_addr is no IP address with port")
		}
	case RoleEngine, RoleBackend:
		if vm.Pool == "" {
			return errors.New("pool is empty")
		}
	default:
		return fmt.Errorf("role %q", vm.Role)
	}
	return nil
}
