package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/bluebellwell/bluebellwell/internal/findings"
	"github.com/bluebellwell/bluebellwell/internal/fleetconfig"
	"github.com/bluebellwell/bluebellwell/internal/logstream"
)

// defaultPublishTimeout is ten times the time in which an accepted record is in
// force on every router.
const defaultPublishTimeout = 30 * time.Second

const repeatAdvice = "publishing the same file again is safe"

func publishCommand() *Command {
	return &Command{
		Name:     "publish",
		Summary:  "publish records and wait until every router has them in force",
		Synopsis: "(-log URL -vms URL | -settings FILE) [-timeout TIME] [-json] FILE",
		Description: `Publishes the record of a file, or the records of a list one after the other.
Prints a line for each router that has the record in force and then "accepted".
All records are checked before the first one is published. A record that is
already accepted is not published twice, so a file can be published again after
any failure.`,
		Examples: []string{
			"publish -settings examples/thekkady/router-kochi-a-1.json examples/thekkady/records.json",
			"publish -log http://127.0.0.1:18001 -vms http://127.0.0.1:18002 -json change.json",
		},
		ExitCodes: []int{ExitOK, ExitFailure, ExitUsage, ExitInvalid, ExitConflict, ExitUnreadable, ExitUnconfirmed},
		MinArgs:   1,
		MaxArgs:   1,
		Setup:     setupPublish,
	}
}

func setupPublish(fs *flag.FlagSet) RunFunc {
	var p platformFlags
	p.defineLog(fs)
	p.defineVMs(fs)
	p.defineSettings(fs)
	timeout := fs.Duration("timeout", defaultPublishTimeout, "longest `TIME` for each record")
	asJSON := fs.Bool("json", false, "print the result as JSON")
	return func(ctx context.Context, env Env) error {
		if *timeout <= 0 {
			return UsageErrorf("flag -timeout must be above 0")
		}
		if err := p.resolve(true, true); err != nil {
			return err
		}
		return runPublish(ctx, &p, *timeout, *asJSON, env)
	}
}

// publishResult is the result of one record.
type publishResult struct {
	ID      string `json:"id"`
	Verdict string `json:"verdict"`
	// Offset is set once the log shows that the record was accepted.
	Offset   *uint64                    `json:"offset,omitempty"`
	Error    string                     `json:"error,omitempty"`
	Findings []findings.Finding         `json:"findings,omitempty"`
	Routers  []fleetconfig.RouterStatus `json:"routers"`
}

// publishVerdicts are the results by exit code.
var publishVerdicts = map[int]string{
	ExitOK:          "accepted",
	ExitFailure:     "failed",
	ExitInvalid:     "invalid",
	ExitConflict:    "conflict",
	ExitUnreadable:  "unreadable",
	ExitUnconfirmed: "unconfirmed",
}

func runPublish(ctx context.Context, p *platformFlags, timeout time.Duration, asJSON bool, env Env) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	results := []publishResult{}
	records, err := loadRecords(env.Args[0])
	if err != nil {
		results = append(results, publishResult{
			Verdict:  publishVerdicts[ExitInvalid],
			Error:    err.Error(),
			Findings: findingsOf(err),
			Routers:  []fleetconfig.RouterStatus{},
		})
	}
	hc := newHTTPClient()
	defer hc.CloseIdleConnections()
	for _, rec := range records {
		w := &publishWriter{out: env.Stdout, errOut: env.Stderr, quiet: asJSON, reported: map[string]bool{}}
		err = publishOne(ctx, p.openLog(hc), p.openFleet(hc), timeout, rec, w)
		results = append(results, w.result(rec.Record.ID, err))
		if err != nil {
			break
		}
	}
	if asJSON {
		err = errors.Join(err, writeIndented(env.Stdout, map[string]any{"records": results}))
	}
	return err
}

// publishOne publishes one record. The error carries the exit code.
func publishOne(ctx context.Context, log logstream.Log, fleet fleetconfig.FleetStatus, timeout time.Duration, rec fileRecord, w *publishWriter) error {
	w.printf("record %s\n", rec.Record.ID)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, err := fleetconfig.Publish(ctx, fleetconfig.PublishOptions{
		Log:      log,
		Fleet:    fleet,
		Clock:    clockwork.NewRealClock(),
		File:     rec.Location,
		Progress: w.reportProgress,
	}, rec.Data)
	if err != nil {
		return publishFailure(err)
	}
	w.printf("accepted\n")
	return nil
}

// publishFailure adds the exit code to an error. An unknown outcome takes precedence:
// the findings of such an error do not prove that the record has no effect.
func publishFailure(err error) error {
	codes := findingCodes(err)
	switch {
	case errors.Is(err, fleetconfig.ErrOutcomeUnknown), errors.Is(err, fleetconfig.ErrNotInForce):
		return unconfirmedError(err)
	case slices.Contains(codes, findings.CodeUnreadable):
		return WithCode(ExitUnreadable, err)
	case slices.Contains(codes, findings.CodeConflict):
		return WithCode(ExitConflict, err)
	case errors.Is(err, context.DeadlineExceeded), errors.Is(err, context.Canceled):
		return unconfirmedError(err)
	}
	return err
}

func unconfirmedError(err error) error {
	return WithCode(ExitUnconfirmed, fmt.Errorf("%w; %s", oneLineError{err}, repeatAdvice))
}

// oneLineError formats joined errors on one line.
type oneLineError struct{ error }

func (e oneLineError) Error() string { return strings.ReplaceAll(e.error.Error(), "\n", ": ") }

func (e oneLineError) Unwrap() error { return e.error }

func findingsOf(err error) []findings.Finding {
	var invalid *findings.Error
	if errors.As(err, &invalid) {
		return invalid.Findings
	}
	return nil
}

func findingCodes(err error) []findings.Code {
	var codes []findings.Code
	for _, f := range findingsOf(err) {
		codes = append(codes, f.Code)
	}
	return codes
}

// publishWriter prints the progress of one record.
type publishWriter struct {
	out, errOut io.Writer
	quiet       bool
	// reported holds the routers whose line was printed.
	reported     map[string]bool
	lastErr      string
	lastProgress fleetconfig.Progress
	// accepted is true once the log shows that the record was accepted.
	accepted bool
}

func (w *publishWriter) printf(format string, args ...any) {
	if !w.quiet {
		fmt.Fprintf(w.out, format, args...)
	}
}

func (w *publishWriter) reportProgress(p fleetconfig.Progress) {
	w.lastProgress = p
	w.reportError(p.Err)
	if p.Phase != fleetconfig.PhaseInForce && p.Phase != fleetconfig.PhaseDone {
		return
	}
	w.accepted = true
	for _, r := range p.Routers {
		if w.reported[r.VM] {
			continue
		}
		switch {
		case r.Removed:
			w.printf("%s: left the VM list\n", r.VM)
		case r.Answered && r.InForce > p.Offset:
			w.printf("%s: in force at offset %d\n", r.VM, p.Offset)
		default:
			continue
		}
		w.reported[r.VM] = true
	}
}

// reportError prints an error that is retried, unless it repeats the last one.
func (w *publishWriter) reportError(err error) {
	if err == nil || !fleetconfig.Retryable(err) || err.Error() == w.lastErr {
		return
	}
	w.lastErr = err.Error()
	fmt.Fprintf(w.errOut, "retrying: %v\n", err)
}

// result returns the JSON form and prints the routers without the record in force.
func (w *publishWriter) result(id string, err error) publishResult {
	res := publishResult{
		ID:       id,
		Verdict:  publishVerdicts[ExitCode(err)],
		Findings: findingsOf(err),
		Routers:  append([]fleetconfig.RouterStatus{}, w.lastProgress.Routers...),
	}
	if err != nil {
		res.Error = err.Error()
	}
	if !w.accepted {
		return res
	}
	offset := w.lastProgress.Offset
	res.Offset = &offset
	for _, r := range w.lastProgress.Routers {
		switch {
		case w.reported[r.VM]:
		case !r.Answered:
			w.printf("%s: does not answer\n", r.VM)
		default:
			w.printf("%s: not in force, next offset is %d\n", r.VM, r.InForce)
		}
	}
	return res
}
