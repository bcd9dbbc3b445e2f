package cli

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os/signal"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bluebellwell/bluebellwell/internal/demo"
	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/testbed"
)

func demoCommand() *Command {
	return &Command{
		Name:     "demo",
		Summary:  "run a small fleet with stand-ins in one process",
		Synopsis: "[-once] [-profile NAME]",
		Description: `Starts engines, plain backend servers, a log and a VM list as stand-ins and three
routers on loopback, publishes the example records and serves callers. With -once
it runs a series of requests and faults, prints a JSON summary and exits with
code 7 when a guarantee was broken. Without -once it stays up until interrupted.`,
		Examples:  []string{"demo -once", "demo -profile lam-dong"},
		ExitCodes: []int{ExitOK, ExitFailure, ExitUsage, ExitBroken},
		Setup: func(fs *flag.FlagSet) RunFunc {
			once := fs.Bool("once", false, "run the series of steps and exit")
			profile := fs.String("profile", "thekkady", "deployment `NAME`: thekkady or lam-dong")
			return func(ctx context.Context, env Env) error {
				if _, ok := testbed.Profiles()[*profile]; !ok {
					return UsageErrorf("unknown profile %q; must be thekkady or lam-dong", *profile)
				}
				return runDemo(ctx, *profile, *once, env)
			}
		},
	}
}

// demoStopTimeout bounds the graceful stop of all routers.
const demoStopTimeout = 30 * time.Second

func runDemo(ctx context.Context, profile string, once bool, env Env) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	d, err := demo.Start(ctx, profile, event.Nop(), env.Stderr)
	if err != nil {
		return err
	}
	defer d.Close()
	if !once {
		return serveDemo(ctx, d, env)
	}
	summary, err := d.Run(ctx)
	if err != nil {
		return err
	}
	enc := json.NewEncoder(env.Stdout)
	enc.SetIndent("", "  ")
	if err := enc.Encode(summary); err != nil {
		return err
	}
	if len(summary.Broken) > 0 {
		return WithCode(ExitBroken, eris.Errorf("a guarantee was broken: %s", summary.Broken[0]))
	}
	return nil
}

// serveDemo keeps the fleet up until the context ends and then stops every
// router gracefully.
func serveDemo(ctx context.Context, d *demo.Demo, env Env) error {
	b := d.Bed()
	fmt.Fprintf(env.Stdout, "log service: %s\nVM list:     %s\n", b.LogURL(), b.VMListURL())
	routers := testbed.SortedByKey(b.Routers())
	for _, r := range routers {
		fmt.Fprintf(env.Stdout, "router %s: http://%s\n", r.VM(), r.Addr())
	}
	fmt.Fprintf(env.Stdout, "try: curl -N http://%s/v1/chat/completions -H 'X-Workspace: %s' -H 'X-Chat-Id: c1' "+
		"-d '{\"model\":\"%s\",\"stream\":true,\"max_tokens\":20,\"messages\":[{\"role\":\"user\",\"content\":\"hello\"}]}'\n",
		routers[0].Addr(), b.Profile.Workspaces[0], b.Profile.Model)
	<-ctx.Done()
	fmt.Fprintln(env.Stderr, "stopping gracefully")
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), demoStopTimeout)
	defer cancel()
	for _, r := range routers {
		if err := b.StopRouter(stopCtx, r.VM()); err != nil {
			return err
		}
	}
	return nil
}
