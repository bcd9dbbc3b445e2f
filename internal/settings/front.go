package settings

import (
	"net/netip"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/findings"
)

// Front are the settings of a front router, which serves callers on the
// platform's VMs (package front).
type Front struct {
	VM         string
	DataCentre string
	Region     string
	// Regions maps each data centre to its region.
	Regions map[string]string

	ListenCallers   netip.AddrPort
	ListenReadiness netip.AddrPort
	ListenMetrics   netip.AddrPort
	// ListenPeers is the address to which other routers send their digests. All
	// routers use the same port.
	ListenPeers netip.AddrPort
	// Seeds are addresses of routers; an address may be stale and a router down.
	Seeds []netip.AddrPort
	// StoreAddress is the address of the platform's store.
	StoreAddress netip.AddrPort

	// FirstStart is set when the whole system starts for the first time.
	FirstStart bool

	// MemoryMB is the memory that the process may use.
	MemoryMB int
	// Cores is the number of processors available to the process.
	Cores int
	// CPUShare is the share of each that it may use.
	CPUShare float64

	Bounds  FrontBounds
	Logging Logging
}

// FrontBounds are the fleet's bounds that a router enforces.
type FrontBounds struct {
	// StopTimeout is the maximum time between the signal to stop and the end of the
	// process.
	StopTimeout time.Duration
	// LoadMultiple bounds a server's load as a multiple of its pool's mean.
	LoadMultiple float64
	// RetryRatio is the fleet's share of retries in RetryWindow, RetryExtra the
	// number allowed beyond it.
	RetryRatio  float64
	RetryWindow time.Duration
	RetryExtra  float64
	// ColdOverage and ColdExtra bound the requests that a cold server gets in a second, beyond the rate of its
	// pool: a factor and a number of requests.
	ColdOverage float64
	ColdExtra   float64
	// BackupRisk is the least probability that a running stream loses its engine at which its memory is copied to a second one; 1
	// for never.
	BackupRisk float64
	// GrantSlots is set when one router grants the slots of plain pools that have few of them for the routers.
	GrantSlots bool
	// DelayShare is set when routers send a share of their requests to plain pools whose servers take long, and reject the rest.
	DelayShare bool
	// Evacuate is the time in which an evacuation of a data centre takes effect.
	Evacuate time.Duration
}

const (
	maxSeeds    = 16
	minMemoryMB = 32
	maxMemoryMB = 1 << 20
)

// LoadFront reads and validates the settings file of a front router. The error
// is a *findings.Error with all problems.
func LoadFront(path string) (*Front, error) {
	list := findings.NewList(path)
	data, err := readFile(path)
	if err != nil {
		list.Add("$", findings.CodeInvalid, "cannot read the file: %v", err)
		return nil, list.Err()
	}
	return ParseFront(path, data)
}

// ParseFront decodes and validates the text of a front router's settings file.
// The file name is used in findings only. The error is a *findings.Error.
func ParseFront(file string, data []byte) (*Front, error) {
	list := findings.NewList(file)
	if !checkSyntax(list, data) {
		return nil, list.Err()
	}
	root := newObject(list, "$", data)
	f := &Front{
		VM:         parseName(root, "vm"),
		DataCentre: parseName(root, "data_centre"),
		Region:     parseName(root, "region"),
	}
	root.read("regions", "an object that maps data centres to regions", &f.Regions)
	f.FirstStart = root.boolean("first_start", false)
	parseFrontAddresses(root, f)
	limits := root.requiredChild("limits")
	f.MemoryMB = limits.integer("memory_mb", minMemoryMB, minMemoryMB, maxMemoryMB)
	f.Cores = limits.integer("cores", 1, 1, 1024)
	f.CPUShare = limits.number("cpu_share", 1, 0.001, 1)
	limits.reportUnknown()
	f.Bounds = parseFrontBounds(root.requiredChild("bounds"))
	f.Logging = parseLogging(root.child("logging"))
	root.reportUnknown()
	if err := list.Err(); err != nil {
		return nil, err
	}
	return f, nil
}

func parseFrontAddresses(root *object, f *Front) {
	listen := root.requiredChild("listen")
	f.ListenCallers = parseAddrPort(listen, "callers")
	f.ListenReadiness = parseAddrPort(listen, "readiness")
	f.ListenMetrics = parseAddrPort(listen, "metrics")
	f.ListenPeers = parseAddrPort(listen, "peers")
	listen.reportUnknown()
	store := root.requiredChild("store")
	f.StoreAddress = parseAddrPort(store, "address")
	store.reportUnknown()
	f.Seeds = parseSeeds(root)
}

// parseSeeds ignores seeds that are not addresses: seeds are hints that may be
// stale.
func parseSeeds(root *object) []netip.AddrPort {
	var texts []string
	if !root.has("seeds") || !root.read("seeds", "a list of addresses", &texts) {
		return nil
	}
	if len(texts) > maxSeeds {
		root.add("seeds", findings.CodeRange, "must have at most %d entries", maxSeeds)
		return nil
	}
	var seeds []netip.AddrPort
	for _, text := range texts {
		if addr, err := netip.ParseAddrPort(text); err == nil {
			seeds = append(seeds, addr)
		}
	}
	return seeds
}

func parseFrontBounds(o *object) FrontBounds {
	const day = 24 * time.Hour
	b := FrontBounds{
		StopTimeout:  o.duration("stop", 8*time.Second, time.Second, day),
		LoadMultiple: o.number("load_multiple", 2, 1, 100),
		RetryRatio:   o.number("retry_ratio", 0.1, 0, 10),
		RetryWindow:  o.duration("retry_window", 10*time.Second, time.Second, day),
		RetryExtra:   o.number("retry_extra", 10, 0, 1e6),
		ColdOverage:  o.number("cold_overage", 1, 1, 100),
		ColdExtra:    o.number("cold_slack", 0, 0, 1e6),
		GrantSlots:   o.boolean("grant_slots", false),
		DelayShare:   o.boolean("delay_share", false),
		BackupRisk:   o.number("backup_risk", 1, 0, 1),
		Evacuate:     o.duration("evacuate", 5*time.Second, 100*time.Millisecond, day),
	}
	o.reportUnknown()
	return b
}
