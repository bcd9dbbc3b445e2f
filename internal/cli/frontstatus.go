package cli

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bluebellwell/bluebellwell/internal/forward"
	"github.com/bluebellwell/bluebellwell/internal/front"
)

// frontView is the status of a router on the platform, or the error of the request.
type frontView struct {
	Addr   string        `json:"addr"`
	Status *front.Status `json:"status,omitempty"`
	Error  string        `json:"error,omitempty"`
}

// runFrontStatus shows the routers at metrics addresses, separated by commas.
func runFrontStatus(ctx context.Context, addrs string, asJSON bool, env Env) error {
	hc := newHTTPClient()
	defer hc.CloseIdleConnections()
	var views []frontView
	for _, addr := range strings.Split(addrs, ",") {
		v := frontView{Addr: strings.TrimSpace(addr)}
		var doc front.Status
		if err := fetchStatus(ctx, hc, v.Addr, front.StatusPath, &doc); err != nil {
			v.Error = err.Error()
		} else {
			v.Status = &doc
		}
		views = append(views, v)
	}
	if asJSON {
		return writeIndented(env.Stdout, views)
	}
	return writeFronts(env.Stdout, views)
}

func writeFronts(w io.Writer, views []frontView) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "ROUTER\tDATA CENTRE\tSTATE\tCONFIG\tSTORE\tROUTERS HEARD\tRUNNING")
	for _, v := range views {
		if v.Status == nil {
			fmt.Fprintf(t, "%s\t-\t%s\t-\t-\t-\t-\n", v.Addr, v.Error)
			continue
		}
		s := v.Status
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%d\t%d\n", s.VM, s.DataCentre, frontState(s), s.ConfigVersion,
			storeState(s), s.Routers, s.Running)
	}
	if err := t.Flush(); err != nil {
		return eris.Wrap(err, "cannot write the status")
	}
	for _, v := range views {
		if v.Status == nil {
			continue
		}
		for _, e := range v.Status.Evacuations {
			fmt.Fprintf(w, "%s takes data centre %s for evacuated, for %s, by the record %s of the store, from %s\n", v.Status.VM, e.DataCentre,
				time.Duration(e.AgeMs)*time.Millisecond, e.Position, e.Source)
		}
		if v.Status.SendsPaused != "" {
			fmt.Fprintf(w, "%s sends no requests: %s\n", v.Status.VM, v.Status.SendsPaused)
		}
		if parts := v.Status.QuarantinedParts; len(parts) > 0 {
			fmt.Fprintf(w, "%s refuses requests with prompt parts that crash engines: %s\n", v.Status.VM, strings.Join(parts, ", "))
		}
		if requests := v.Status.QuarantinedRequests; len(requests) > 0 {
			fmt.Fprintf(w, "%s refuses requests that crash servers, with the fingerprints: %s\n", v.Status.VM, strings.Join(requests, ", "))
		}
		for i := range v.Status.Pools {
			if err := writePool(w, v.Status.VM, &v.Status.Pools[i]); err != nil {
				return err
			}
		}
	}
	return nil
}

func frontState(s *front.Status) string {
	switch {
	case s.Stopping:
		return "stopping"
	case s.Ready:
		return "ready"
	}
	return "not ready"
}

func storeState(s *front.Status) string {
	state := "answers"
	if len(s.StoreFailing) > 0 {
		state = "fails for " + strings.Join(s.StoreFailing, " and ")
	}
	if s.Reader {
		state += ", read for others"
	}
	return state
}

func writePool(w io.Writer, vm string, p *forward.PoolStatus) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "\npool %s as seen by %s: %.0f in flight on %d slots, first byte expected in %d ms, %.0f retries left\n",
		p.Name, vm, p.InFlight, p.Slots, p.ExpectedMs, p.RetriesLeft)
	fmt.Fprintln(t, "SERVER\tADDRESS\tDATA CENTRE\tSTATE\tOWN\tOTHERS")
	for _, s := range p.Servers {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\n", s.ID, s.Addr, s.DataCentre, s.State, s.Own, s.Others)
	}
	return eris.Wrap(t.Flush(), "cannot write the status")
}
