// Package vmlist reads the platform's list of live and leaving VMs. The list may
// be out of date, and routers may read different versions of it.
package vmlist

import (
	"encoding/json"
	"net/netip"
	"unicode/utf8"

	"github.com/rotisserie/eris"
)

// Role names what runs on a VM.
type Role string

// Roles of VMs.
const (
	RoleRouter  Role = "router"
	RoleEngine  Role = "engine"
	RoleBackend Role = "backend"
)

// State is the platform's view of a VM.
type State string

// States of VMs.
const (
	StateLive    State = "live"
	StateLeaving State = "leaving"
)

// VM is one entry of the list.
type VM struct {
	Name string `json:"name"`
	Role Role   `json:"role"`
	// Pool is the pool of an engine or backend server; empty for routers.
	Pool       string `json:"pool,omitempty"`
	DataCentre string `json:"data_centre"`
	// Addr is the IP address and port for requests.
	Addr string `json:"addr"`
	// PeerAddr is the address at which a router accepts connections of other routers.
	PeerAddr string `json:"peer_addr,omitempty"`
	State    State  `json:"state"`
}

// List is one version of the VM list. It is immutable once published.
type List struct {
	Version uint64 `json:"version"`
	VMs     []VM   `json:"vms"`
}

const (
	// maxVMs bounds the list; the target fleet has 340 routers and 1,400 engines.
	maxVMs = 20_000
	// maxNameBytes bounds names and addresses.
	maxNameBytes = 128
)

// ErrInvalid means that the list service sent a list that cannot be used.
var ErrInvalid = eris.New("VM list is not valid")

// Decode parses and checks a list.
func Decode(data []byte) (*List, error) {
	if !utf8.Valid(data) {
		return nil, eris.Wrap(ErrInvalid, "text is not UTF-8")
	}
	var l List
	if err := json.Unmarshal(data, &l); err != nil {
		return nil, eris.Wrapf(ErrInvalid, "decode: %v", err)
	}
	if len(l.VMs) > maxVMs {
		return nil, eris.Wrapf(ErrInvalid, "%d VMs exceed the limit of %d", len(l.VMs), maxVMs)
	}
	seen := make(map[string]bool, len(l.VMs))
	for i := range l.VMs {
		if err := l.VMs[i].check(); err != nil {
			return nil, err
		}
		if seen[l.VMs[i].Name] {
			return nil, eris.Wrapf(ErrInvalid, "VM %q is listed twice", l.VMs[i].Name)
		}
		seen[l.VMs[i].Name] = true
	}
	return &l, nil
}

func (v *VM) check() error {
	if v.Name == "" || len(v.Name) > maxNameBytes || len(v.Pool) > maxNameBytes || len(v.DataCentre) > maxNameBytes {
		return eris.Wrapf(ErrInvalid, "VM %.32q: a name is missing or too long", v.Name)
	}
	if v.State != StateLive && v.State != StateLeaving {
		return eris.Wrapf(ErrInvalid, "VM %q: unknown state %.32q", v.Name, v.State)
	}
	switch v.Role {
	case RoleRouter:
		return v.checkAddr(v.PeerAddr)
	case RoleEngine, RoleBackend:
		if v.Pool == "" {
			return eris.Wrapf(ErrInvalid, "VM %q: pool is missing", v.Name)
		}
		return v.checkAddr(v.Addr)
	default:
		return eris.Wrapf(ErrInvalid, "VM %q: unknown role %.32q", v.Name, v.Role)
	}
}

func (v *VM) checkAddr(addr string) error {
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return eris.Wrapf(ErrInvalid, "VM %q: address %.64q is not IP and port", v.Name, addr)
	}
	return nil
}
