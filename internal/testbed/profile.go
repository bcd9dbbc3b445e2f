// Package testbed runs stand-ins of the platform and real routers in one
// process on loopback. The demo, the bench and integration tests use it.
package testbed

import (
	"encoding/json"
	"fmt"

	"github.com/rotisserie/eris"

	"github.com/bluebellwell/bluebellwell/examples"
)

// Profile describes a deployment.
type Profile struct {
	Name        string
	Region      string
	DataCentres []string
	// EnginePool and Model name the pool of model engines.
	EnginePool string
	Model      string
	Engines    int
	// PlainPool names the pool of plain backend servers.
	PlainPool string
	Backends  int
	Routers   int
	// LoadMultiple is the load multiple of the engine pool.
	LoadMultiple float64
	// BookingPath is the path of a non-repeatable call, LookupPath that of a read.
	BookingPath string
	LookupPath  string
	// Workspaces are the names in the example records, the large ones first.
	Workspaces []string
}

// Profiles returns the example deployments by name.
func Profiles() map[string]Profile {
	return map[string]Profile{
		"thekkady": {
			Name:         "thekkady",
			Region:       "kerala-south",
			DataCentres:  []string{"kochi-hall-a", "kochi-hall-b", "tvm-hall"},
			EnginePool:   "malli-llm",
			Model:        "malli-chat",
			Engines:      18,
			PlainPool:    "registry-api",
			Backends:     3,
			Routers:      7,
			LoadMultiple: 1.25,
			BookingPath:  "/renewals",
			LookupPath:   "/registrants/shop-1",
			Workspaces: []string{
				"registrar-desk", "bulk-renewals", "registrant-lookup", "dispute-review", "status-batch",
				"reseller-kumily", "reseller-munnar", "reseller-idukki", "abuse-desk", "billing",
			},
		},
		"lam-dong": {
			Name:         "lam-dong",
			Region:       "highlands",
			DataCentres:  []string{"dalat-hall", "baoloc-hall", "ducrong-hall", "lamha-hall"},
			EnginePool:   "assistant-llm",
			Model:        "assistant-chat",
			Engines:      9,
			PlainPool:    "gang-dispatch",
			Backends:     4,
			Routers:      8,
			LoadMultiple: 1.5,
			BookingPath:  "/bookings",
			LookupPath:   "/availability/da-lat",
			Workspaces: []string{
				"booking-assistant", "gang-schedule", "da-lat", "bao-loc", "duc-trong",
				"lam-ha", "di-linh", "don-duong", "wool-office", "accounts",
			},
		},
	}
}

// Records returns the example records of the deployment, in order.
func (p Profile) Records() ([][]byte, error) {
	data, err := examples.Files.ReadFile(p.Name + "/records.json")
	if err != nil {
		return nil, eris.Wrapf(err, "read the example records of %s", p.Name)
	}
	var list []json.RawMessage
	if err := json.Unmarshal(data, &list); err != nil {
		return nil, eris.Wrapf(err, "decode the example records of %s", p.Name)
	}
	records := make([][]byte, len(list))
	for i, r := range list {
		records[i] = r
	}
	return records, nil
}

// RouterName returns the name of the i-th router VM.
func (p Profile) RouterName(i int) string {
	return fmt.Sprintf("%s-router-%d", p.Name, i+1)
}

// DataCentre returns the data centre of the i-th VM; VMs are assigned round-robin.
func (p Profile) DataCentre(i int) string {
	return p.DataCentres[i%len(p.DataCentres)]
}
