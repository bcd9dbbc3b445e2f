// Package configcheck checks a decoded configuration before it is sent: what routers would reject or apply differently, entries that
// no request can reach, limits that contradict each other, and differences from the version in force. It does no I/O and knows
// neither the names of the format nor API keys in its findings. All functions are safe for concurrent use.
package configcheck

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellwell/bluebellwell/internal/findings"
	"github.com/bluebellwell/bluebellwell/internal/routing"
)

// Section is a part of a configuration.
type Section uint8

// Sections of a configuration. Whole is the configuration itself.
const (
	Whole Section = iota
	Routes
	Pools
	Workspaces
	Limits
)

// Field is a value of an entry or of the limits.
type Field uint8

// Fields of the sections. Entry is the entry itself.
const (
	Entry Field = iota
	Version
	Name
	Host
	Prefix
	Timeout
	Objective
	GapObjective
	MaxAttempts
	Priority
	Target
	AllowedRegions
	Key
	ColdRate
	BodyBytes
	IdleTimeout
	HeaderTimeout
)

// Place is the place of a value in a configuration.
type Place struct {
	Section Section
	// Index is that of the entry in its section, -1 for an entry that the text does not have.
	Index int
	Field Field
	// Item is the index in a field that is a list: Target and Key.
	Item int
}

// Rules are the rules by which routers apply a configuration.
type Rules struct {
	// Regions returns the regions to which a request must keep, and false when the route and the workspace have none in common.
	Regions func(*routing.Route, *routing.Workspace) ([]string, bool)
	// SilenceLimit is how long a server may send nothing until a request goes to another one.
	SilenceLimit func(*routing.Route) time.Duration
	// Deadline bounds the time of a request on a route without a timeout.
	Deadline time.Duration
	// BodyBytes bounds a body where the configuration sets no limit.
	BodyBytes int64
	// LeastPriority is the least urgent priority, which is the highest number.
	LeastPriority int
}

// Input is a configuration as it was decoded.
type Input struct {
	// File names the configuration in findings.
	File   string
	Config routing.Config
	// Decoded is false when routers would reject the text; Config is not valid then.
	Decoded bool
	// Findings are those of the decoder.
	Findings []findings.Finding
	// Document has the places in the text; nil when it is not JSON.
	Document *Document
	// Path returns the path of a place in the text.
	Path func(Place) string
}

// Options are what the configuration is checked against.
type Options struct {
	Rules Rules
	// BodyMemory is how many bytes of bodies a router holds at the same time; 0 when it is unknown.
	BodyMemory int64
	// InForce is the version in force; nil when it is unknown or there is none.
	InForce *routing.Config
}

// Report is the result of a check, in the order of the places in the text.
type Report struct {
	// Findings are what is wrong. Differences are what a correct change changes.
	Findings    []findings.Finding `json:"findings"`
	Differences []findings.Finding `json:"differences"`
}

// Run checks a configuration.
func Run(in Input, o Options) Report {
	c := &check{in: in, options: o, config: &in.Config, problems: findings.NewList(in.File), differences: findings.NewList(in.File)}
	c.problems.Append(in.Findings)
	if in.Decoded {
		c.index = routing.NewIndex(in.Config.Routes)
		c.checkEntries()
		c.checkLimits()
		if o.InForce != nil {
			c.compare(o.InForce)
		}
	}
	return Report{Findings: c.located(c.problems), Differences: c.located(c.differences)}
}

// check is one run.
type check struct {
	in      Input
	options Options
	config  *routing.Config
	// index finds the route of a request, and pools has the index of each pool by name.
	index *routing.Index
	pools map[string]int

	problems, differences *findings.List
}

// add adds a finding.
func (c *check) add(at Place, code findings.Code, format string, args ...any) {
	c.problems.Add(c.in.Path(at), code, format, args...)
}

// located returns the findings with their lines, in the order of the text.
func (c *check) located(list *findings.List) []findings.Finding {
	items := append([]findings.Finding{}, list.Items()...)
	for i := range items {
		items[i].File = c.in.File
		if items[i].Line == 0 && c.in.Document != nil {
			items[i].Line = c.in.Document.Line(items[i].Path)
		}
	}
	slices.SortStableFunc(items, func(a, b findings.Finding) int { return cmp.Compare(a.Line, b.Line) })
	return items
}
