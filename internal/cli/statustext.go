package cli

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/bluebellwell/bluebellwell/internal/meter"
	"github.com/bluebellwell/bluebellwell/internal/vmlist"
)

// write prints the report as text.
func (f *fleetReport) write(w io.Writer) error {
	fmt.Fprintf(w, "VM list version %d: %s, %s, %s\n", f.VMListVersion,
		formatCount(f.Listed[vmlist.RoleRouter], "router"),
		formatCount(f.Listed[vmlist.RoleEngine], "engine"),
		formatCount(f.Listed[vmlist.RoleBackend], "backend server"))
	fmt.Fprintf(w, "leaving: %s\ndown: %s\n", joinOrNone(f.Leaving), joinOrNone(f.Down))
	fmt.Fprintf(w, "answers to callers with an outcome: %s\n\n", formatCounters(f.Callers))
	if err := f.writeRouters(w); err != nil {
		return err
	}
	for i := range f.Pools {
		if err := f.Pools[i].write(w); err != nil {
			return err
		}
	}
	if err := f.writeOrders(w); err != nil {
		return err
	}
	return f.writeControl(w)
}

func (f *fleetReport) writeOrders(w io.Writer) error {
	if len(f.Orders) == 0 {
		return nil
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "\nORDER TO\tMODEL\tVERSION\tROLE\tSTATE\tFENCING\tHOLDER")
	for _, o := range f.Orders {
		version := o.Version
		if o.Unload {
			version = "unload"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d\t%s\n", o.Engine, o.Model, dashIfEmpty(version), dashIfEmpty(o.Role), o.State, o.Fencing, o.Holder)
	}
	return t.Flush()
}

func joinOrNone(list []string) string {
	if len(list) == 0 {
		return "none"
	}
	return strings.Join(list, ", ")
}

// formatCounters formats the counters that are not 0, sorted by name.
func formatCounters[K ~string](m map[K]int64) string {
	var parts []string
	for _, name := range slices.Sorted(maps.Keys(m)) {
		if m[name] != 0 {
			parts = append(parts, fmt.Sprintf("%s %d", name, m[name]))
		}
	}
	return joinOrNone(parts)
}

func (f *fleetReport) writeRouters(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "ROUTER\tDATA CENTRE\tLISTED\tREADY\tLIFE\tREASON\tNEXT OFFSET\tRELAYED\tRUNNING\tSUSPECTS")
	for _, r := range f.Routers {
		if r.Status == nil {
			fmt.Fprintf(t, "%s\t%s\t%s\t-\t-\tdoes not answer\t-\t-\t-\t-\n", r.VM.Name, r.VM.DataCentre, r.VM.State)
			continue
		}
		s := r.Status
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%s\n", r.VM.Name, r.VM.DataCentre, r.VM.State,
			formatYesNo(s.Ready), s.Lifecycle, dashIfEmpty(s.Reason), f.formatOffset(&r), s.Relayed, s.Running, joinOrNone(s.VMList.Suspected))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, r := range f.Routers {
		if r.Error != "" {
			fmt.Fprintf(w, "%s: %s\n", r.VM.Name, r.Error)
		}
	}
	return nil
}

// formatOffset formats the next offset of a router, with a note if the router is
// behind or cannot read a record.
func (f *fleetReport) formatOffset(r *routerView) string {
	c := r.Status.Config
	text := strconv.FormatUint(c.NextOffset, 10)
	switch {
	case c.UnreadableOffset != nil:
		return fmt.Sprintf("%s (cannot read %d)", text, *c.UnreadableOffset)
	case c.NextOffset < f.NextOffset:
		return text + " (behind)"
	}
	return text
}

func formatYesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

func (p *poolReport) write(w io.Writer) error {
	if p.ReportedBy == "" {
		_, err := fmt.Fprintf(w, "\npool %s, owner %s, not reported\n", p.Pool, joinOrNone(p.Owners))
		return err
	}
	fmt.Fprintf(w, "\npool %s, owner %s, reported by %s\n", p.Pool, joinOrNone(p.Owners), p.ReportedBy)
	reuse := "-"
	if p.CacheReuse != nil {
		reuse = fmt.Sprintf("%.1f%%", *p.CacheReuse*100)
	}
	fmt.Fprintf(w, "  in flight %d, mean %.2f, skew %.2f, queued %d, cache reuse %s, refused: %s\n",
		p.Slots, p.Mean, p.Skew, p.Queued, reuse, formatCounters(p.Refused))
	if p.Closed != "" {
		fmt.Fprintf(w, "  closed: %s\n", p.Closed)
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "  SERVER\tSTATE\tLOAD\tLIMIT\tWAITING")
	for _, e := range p.Engines {
		fmt.Fprintf(t, "  %s\t%s\t%d\t%d\t%d\n", e.Name, e.State, e.Load, e.Limit, e.Waiting)
	}
	return t.Flush()
}

// writeControl prints the control bytes per second, as means since the start,
// in the categories that any router has used.
func (f *fleetReport) writeControl(w io.Writer) error {
	used := map[string]bool{}
	for _, r := range f.Routers {
		if r.Status == nil {
			continue
		}
		for category, n := range r.Status.Control.ByCategory {
			used[category] = used[category] || n > 0
		}
	}
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprint(t, "\nCONTROL B/S\tTOTAL")
	for _, c := range meter.Categories() {
		if used[c.String()] {
			fmt.Fprintf(t, "\t%s", strings.ToUpper(c.String()))
		}
	}
	fmt.Fprintln(t)
	for i := range f.Routers {
		if r := &f.Routers[i]; r.Status != nil {
			writeControlRow(t, r, used)
		}
	}
	return t.Flush()
}

func writeControlRow(w io.Writer, r *routerView, used map[string]bool) {
	fmt.Fprintf(w, "%s\t%.0f", r.VM.Name, r.Status.Control.BytesPerSecond)
	rates := controlRates(r)
	for _, c := range meter.Categories() {
		if used[c.String()] {
			fmt.Fprintf(w, "\t%.0f", rates[c.String()])
		}
	}
	fmt.Fprintln(w)
}
