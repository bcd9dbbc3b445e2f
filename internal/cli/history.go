package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/bluebellwell/bluebellwell/internal/fleetconfig"
)

const defaultHistoryRecords = 20

func historyCommand() *Command {
	return &Command{
		Name:     "history",
		Summary:  "show the last records and their verdicts",
		Synopsis: "(-log URL | -settings FILE) [-n NUMBER] [-timeout TIME] [-json]",
		Description: `Shows the last records of the log, oldest first, with offset, verdict, id, author
and findings. At most the last 100 verdicts are kept.`,
		Examples:  []string{"history -log http://127.0.0.1:18001", "history -settings examples/thekkady/router-kochi-a-1.json -n 5 -json"},
		ExitCodes: []int{ExitOK, ExitFailure, ExitUsage, ExitInvalid},
		Setup:     setupHistory,
	}
}

func setupHistory(fs *flag.FlagSet) RunFunc {
	var p platformFlags
	p.defineLog(fs)
	p.defineSettings(fs)
	n := fs.Int("n", defaultHistoryRecords, "largest `NUMBER` of records")
	timeout := fs.Duration("timeout", defaultReadTimeout, "longest `TIME` for reading the log")
	asJSON := fs.Bool("json", false, "print JSON")
	return func(ctx context.Context, env Env) error {
		if *n < 1 {
			return UsageErrorf("flag -n must be at least 1")
		}
		if err := p.resolve(true, false); err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(ctx, *timeout)
		defer cancel()
		return runHistory(ctx, &p, *n, *asJSON, env)
	}
}

func runHistory(ctx context.Context, p *platformFlags, n int, asJSON bool, env Env) error {
	hc := newHTTPClient()
	defer hc.CloseIdleConnections()
	reader, err := readState(ctx, p.openLog(hc))
	if err != nil {
		return err
	}
	records := append([]fleetconfig.RecordResult{}, reader.History()...)
	if rec := reader.Snapshot().Unreadable; rec != nil {
		records = append(records, *rec)
	}
	records = records[max(0, len(records)-n):]
	if asJSON {
		return writeIndented(env.Stdout, map[string]any{"records": records})
	}
	return writeHistory(env.Stdout, records)
}

func writeHistory(w io.Writer, records []fleetconfig.RecordResult) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "OFFSET\tVERDICT\tID\tAUTHOR\tFINDINGS")
	for _, rec := range records {
		fmt.Fprintf(t, "%d\t%s\t%s\t%s\t%d\n", rec.Offset, rec.Outcome, dashIfEmpty(rec.ID), dashIfEmpty(rec.Author), len(rec.Findings))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, rec := range records {
		for _, f := range rec.Findings {
			fmt.Fprintf(w, "offset %d: %s\n", rec.Offset, f)
		}
	}
	return nil
}

func dashIfEmpty(text string) string {
	return firstNonEmpty(text, "-")
}
