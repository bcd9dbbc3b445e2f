package cli

import (
	"context"
	"flag"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bluebellwell/bluebellwell/internal/bench"
)

// defaultBenchDuration is the default length of each policy's run.
const defaultBenchDuration = 25 * time.Second

func benchCommand() *Command {
	return &Command{
		Name:     "bench",
		Summary:  "measure a fleet under load and faults against the targets",
		Synopsis: "[-profile NAME] [-seed N] [-duration D] [-policies LIST] [-faults LIST] [-json]",
		Description: `Runs a seeded workload with faults against a fleet of stand-ins and routers on
loopback, once for each placement policy. Progress goes to stderr, the figures to
stdout. Exits with code 7 when the policy bluebellwell misses a target. The cache
reuse of the policy oracle is the upper bound for the others.`,
		Examples: []string{
			"bench -profile thekkady -seed 1",
			"bench -profile lam-dong -seed 1 -policies bluebellwell,oracle -json",
		},
		ExitCodes: []int{ExitOK, ExitFailure, ExitUsage, ExitBroken},
		Setup: func(fs *flag.FlagSet) RunFunc {
			profile := fs.String("profile", "thekkady", "deployment `NAME`: thekkady or lam-dong")
			seed := fs.Uint64("seed", 1, "seed `N` of the workload")
			duration := fs.Duration("duration", defaultBenchDuration, "length `D` of each policy's run")
			policies := fs.String("policies", strings.Join(bench.Policies(), ","), "`LIST` of policies, separated by commas")
			faults := fs.String("faults", strings.Join(bench.DefaultFaults(), ","), "`LIST` of faults, separated by commas; log can be added")
			asJSON := fs.Bool("json", false, "print one JSON document")
			return func(ctx context.Context, env Env) error {
				o := bench.Options{
					Profile: *profile, Seed: *seed, Duration: *duration,
					Policies: splitList(*policies), Faults: splitList(*faults), Progress: env.Stderr,
				}
				if err := o.Check(); err != nil {
					return WithCode(ExitUsage, err)
				}
				return runBench(ctx, o, *asJSON, env)
			}
		},
	}
}

func splitList(s string) []string {
	return strings.FieldsFunc(s, func(c rune) bool { return c == ',' })
}

func runBench(ctx context.Context, o bench.Options, asJSON bool, env Env) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	report, err := bench.Run(ctx, o)
	if err != nil {
		return err
	}
	write := report.WriteTable
	if asJSON {
		write = report.WriteJSON
	}
	if err := write(env.Stdout); err != nil {
		return err
	}
	if bench.AnyMissed(report.Verdicts) {
		return WithCode(ExitBroken, eris.New("the policy bluebellwell missed a target"))
	}
	return nil
}
