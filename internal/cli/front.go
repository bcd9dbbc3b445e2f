package cli

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/bluebellwell/bluebellwell/internal/event"
	"github.com/bluebellwell/bluebellwell/internal/front"
	"github.com/bluebellwell/bluebellwell/internal/logwriter"
	"github.com/bluebellwell/bluebellwell/internal/settings"
	"github.com/bluebellwell/bluebellwell/platform"
)

const frontDescription = `Runs the router daemon on a VM of the platform. It reads configuration and
servers from the platform's store and forwards callers' requests on its own.
SIGTERM or SIGINT starts a graceful stop. SIGHUP, or a change of the settings
file, reads it again and puts its bounds in force.

With -check the settings file is checked, all problems are reported, and no
daemon is started.`

const (
	// droppedInterval is how often dropped log lines are reported.
	droppedInterval = 10 * time.Second
	// fileInterval is how often the settings file is compared with what was read:
	// it may change without a signal.
	fileInterval = 2 * time.Second
)

func frontCommand() *Command {
	return &Command{
		Name:        "front",
		Summary:     "run a router on the platform or check its settings",
		Synopsis:    "-settings FILE [-check]",
		Description: frontDescription,
		Examples:    []string{"front -settings examples/platform/front.json -check"},
		ExitCodes:   []int{ExitOK, ExitFailure, ExitUsage, ExitInvalid},
		Setup:       setupFront,
	}
}

func setupFront(fs *flag.FlagSet) RunFunc {
	file := fs.String("settings", "", "settings `FILE` in JSON (required)")
	check := fs.Bool("check", false, "check the settings and exit")
	return func(ctx context.Context, env Env) error {
		if *file == "" {
			return UsageErrorf("flag -settings is required")
		}
		s, err := settings.LoadFront(*file)
		if err != nil {
			return err
		}
		if *check {
			_, err = fmt.Fprintf(env.Stdout, "%s: valid settings of %s in %s\n", *file, s.VM, s.DataCentre)
			return err
		}
		return runFront(ctx, *file, s, env)
	}
}

// runFront runs a router until a signal has stopped it.
func runFront(ctx context.Context, file string, s *settings.Front, env Env) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	defer signal.Stop(signals)
	front.ConfigureRuntime(s)
	out := logwriter.New(env.Stdout)
	defer out.Close()
	logger := newLog(s.Logging, s.VM, out)
	f, err := front.New(s, platform.Connect(s.StoreAddress.String()), logger)
	if err != nil {
		return err
	}
	if err := f.Start(); err != nil {
		return err
	}
	return superviseFront(ctx, f, file, signals, out, logger)
}

// superviseFront waits for the end of a router and handles signals meanwhile.
func superviseFront(ctx context.Context, f *front.Front, file string, signals <-chan os.Signal,
	out *logwriter.Writer, logger hclog.Logger) error {
	events := event.NewLogger(logger)
	watch := watchFile(file)
	dropped := time.NewTicker(droppedInterval)
	defer dropped.Stop()
	compare := time.NewTicker(fileInterval)
	defer compare.Stop()
	reported := int64(0)
	for {
		select {
		case <-ctx.Done():
			return f.Stop(context.WithoutCancel(ctx))
		case <-f.Dead():
			return f.Err()
		case s := <-signals:
			if s != syscall.SIGHUP {
				return f.Stop(ctx)
			}
			watch.changed()
			reload(f, file, "signal", events)
		case <-compare.C:
			if watch.changed() {
				reload(f, file, "changed", events)
			}
		case <-dropped.C:
			if n := out.DroppedLines(); n > reported {
				events.Emit(event.LogLinesDropped, "lines", n-reported)
				reported = n
			}
		}
	}
}

// reload reads the settings file again and puts its bounds in force. Addresses
// and sizes are those of the start. A file that is not valid changes nothing.
func reload(f *front.Front, file, reason string, events *event.Logger) {
	s, err := settings.LoadFront(file)
	if err != nil {
		events.Emit(event.SettingsReloaded, "valid", false, "reason", reason, "error", err.Error())
		return
	}
	f.Apply(s)
	events.Emit(event.SettingsReloaded, "valid", true, "reason", reason, "vm", s.VM)
}

// fileWatch tells when the content of a file has changed.
type fileWatch struct {
	path string
	last []byte
}

func watchFile(path string) *fileWatch {
	w := &fileWatch{path: path}
	w.changed()
	return w
}

// changed reports whether the content differs from the last one that was seen. A
// file that can't be read is about to be replaced.
func (w *fileWatch) changed() bool {
	content, err := os.ReadFile(w.path)
	if err != nil || bytes.Equal(content, w.last) {
		return false
	}
	w.last = content
	return true
}
