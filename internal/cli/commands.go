package cli

import (
	"context"
	"flag"
	"fmt"
	"runtime"

	"github.com/bluebellwell/bluebellwell/internal/settings"
)

// Version is the version of the binary. A release build sets it with -ldflags.
var Version = "dev"

// commands returns the table of sub-commands, in the order of the overview.
func commands() []*Command {
	return []*Command{
		frontCommand(),
		routerCommand(runDaemon),
		validateCommand(),
		checkCommand(),
		publishCommand(),
		getCommand(),
		statusCommand(),
		historyCommand(),
		demoCommand(),
		benchCommand(),
		standinCommand(),
		versionCommand(),
	}
}

// routerFunc runs a router daemon until it has stopped.
type routerFunc func(ctx context.Context, s *settings.Settings, env Env) error

const routerDescription = `Runs the router daemon of this VM. The first SIGTERM or SIGINT starts a graceful
stop, which lets running requests finish within the drain limit of the settings;
a second one exits at once.

`

const routerCheckDescription = `With -check the settings file and the key and certificate files that it names
are checked, all problems are reported, and no daemon is started.`

// routerCommand returns the router command, which runs daemon.
func routerCommand(daemon routerFunc) *Command {
	return &Command{
		Name:        "router",
		Summary:     "run a router daemon or check its settings",
		Synopsis:    "-settings FILE [-check]",
		Description: routerDescription + routerCheckDescription,
		Examples: []string{
			"router -settings examples/thekkady/router-kochi-a-1.json",
			"router -settings examples/lam-dong/router-dalat-1.json -check",
		},
		ExitCodes: []int{ExitOK, ExitFailure, ExitUsage, ExitInvalid},
		Setup:     func(fs *flag.FlagSet) RunFunc { return setupRouter(fs, daemon) },
	}
}

func setupRouter(fs *flag.FlagSet, daemon routerFunc) RunFunc {
	file := fs.String("settings", "", "settings `FILE` in JSON (required)")
	check := fs.Bool("check", false, "check the settings and exit")
	return func(ctx context.Context, env Env) error {
		return runRouter(ctx, daemon, *file, *check, env)
	}
}

func runRouter(ctx context.Context, daemon routerFunc, file string, check bool, env Env) error {
	if file == "" {
		return UsageErrorf("flag -settings is required")
	}
	s, err := settings.Load(file)
	if err != nil {
		return err
	}
	if !check {
		return daemon(ctx, s, env)
	}
	_, err = fmt.Fprintf(env.Stdout, "%s: valid settings of %s in %s\n", file, s.VM, s.DataCentre)
	return err
}

func versionCommand() *Command {
	return &Command{
		Name:        "version",
		Summary:     "print the version",
		Description: "Prints the version of the binary and of the Go release that built it.",
		Examples:    []string{"version"},
		ExitCodes:   []int{ExitOK, ExitFailure, ExitUsage},
		Setup: func(*flag.FlagSet) RunFunc {
			return func(_ context.Context, env Env) error {
				_, err := fmt.Fprintf(env.Stdout, "%s %s (%s)\n", program, Version, runtime.Version())
				return err
			}
		},
	}
}
