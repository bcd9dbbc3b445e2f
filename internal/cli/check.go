package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/bluebellwell/bluebellwell/internal/configcheck"
	"github.com/bluebellwell/bluebellwell/internal/findings"
	"github.com/bluebellwell/bluebellwell/internal/forward"
	"github.com/bluebellwell/bluebellwell/internal/front"
	"github.com/bluebellwell/bluebellwell/internal/routing"
	"github.com/bluebellwell/bluebellwell/internal/settings"
	"github.com/bluebellwell/bluebellwell/platform"
)

// storeReadTimeout bounds the read of the version in force. It is above the time of a read from a slow store, and
// short enough for a person who waits.
const storeReadTimeout = 10 * time.Second

func checkCommand() *Command {
	return &Command{
		Name:     "check",
		Summary:  "check a configuration of the platform before it is sent",
		Synopsis: "[-settings FILE] [-in-force FILE] [-json] FILE",
		Description: `Checks a configuration with the decoder and the rules of the routers. FILE - is
standard input. Findings are what routers would reject or apply differently,
entries that no request can reach, and limits that contradict each other.

With -settings, the file is compared with the version in force, which is read from
the store, and with the memory of that router. With -in-force, it is compared with
a file instead. Differences are printed, but are no findings, except for a version
that is not higher. API keys are not printed.

The exit code is 0 without findings, 3 with some, and 1 when the configuration, the
settings or the version in force cannot be read.`,
		Examples: []string{
			"check examples/platform/config.json",
			"check -settings examples/platform/front.json -json examples/platform/config.json",
		},
		ExitCodes: []int{ExitOK, ExitFailure, ExitUsage, ExitInvalid},
		MinArgs:   1,
		MaxArgs:   1,
		Setup:     setupCheck,
	}
}

// checkFlags are the flags of the check command.
type checkFlags struct {
	settings, inForce string
	asJSON            bool
}

func setupCheck(fs *flag.FlagSet) RunFunc {
	var f checkFlags
	fs.StringVar(&f.settings, "settings", "", "settings `FILE` of a router, for its memory and the address of the store")
	fs.StringVar(&f.inForce, "in-force", "", "`FILE` with the version in force, in place of the store")
	fs.BoolVar(&f.asJSON, "json", false, "print findings and differences as JSON")
	return func(ctx context.Context, env Env) error { return runCheck(ctx, f, env, os.Stdin) }
}

func runCheck(ctx context.Context, f checkFlags, env Env, stdin io.Reader) error {
	options, err := f.options(ctx)
	if err != nil {
		return WithCode(ExitFailure, err)
	}
	name, data, err := readConfigText(env.Args[0], stdin)
	if err != nil {
		return err
	}
	report := configcheck.Run(platform.InspectConfig(name, data), options)
	if err := writeReport(env.Stdout, name, report, f.asJSON); err != nil {
		return err
	}
	if len(report.Findings) > 0 {
		return &findings.Error{Findings: report.Findings}
	}
	return nil
}

// options returns what the configuration is checked against.
func (f *checkFlags) options(ctx context.Context) (configcheck.Options, error) {
	o := configcheck.Options{Rules: forward.ConfigRules()}
	var s *settings.Front
	var err error
	if f.settings != "" {
		if s, err = settings.LoadFront(f.settings); err != nil {
			return o, err
		}
		o.BodyMemory = front.BodyMemory(s)
	}
	switch {
	case f.inForce != "":
		o.InForce, err = readConfigFile(f.inForce)
	case s != nil:
		o.InForce, err = readConfigInForce(ctx, s.StoreAddress.String())
	}
	return o, err
}

// readConfigText reads a configuration and returns the name that findings have for it.
func readConfigText(file string, stdin io.Reader) (name string, data []byte, err error) {
	if file != "-" {
		data, err = readRecordFile(file)
		return file, data, eris.Wrap(err, "cannot read the configuration")
	}
	data, err = readLimited(stdin)
	return "stdin", data, eris.Wrap(err, "cannot read the configuration")
}

func readConfigFile(file string) (*routing.Config, error) {
	data, err := readRecordFile(file)
	if err != nil {
		return nil, eris.Wrap(err, "cannot read the version in force")
	}
	return decodeInForce(data)
}

// errConfigUndecodable does not show the text of the configuration, which has keys in it.
var errConfigUndecodable = errors.New("version in force cannot be decoded")

func decodeInForce(data []byte) (*routing.Config, error) {
	config, err := platform.DecodeConfig(data)
	if err != nil {
		return nil, errConfigUndecodable
	}
	return &config, nil
}

// readConfigInForce reads the version in force from the store; nil when there is none.
func readConfigInForce(ctx context.Context, store string) (*routing.Config, error) {
	ctx, cancel := context.WithTimeout(ctx, storeReadTimeout)
	defer cancel()
	p := platform.Connect(store)
	page, err := p.Config.Newest(ctx)
	if err != nil {
		return nil, eris.Wrap(err, "cannot read the version in force")
	}
	for _, r := range page.Records {
		if r.Key == p.ConfigKey && r.Value != nil {
			return decodeInForce(r.Value)
		}
	}
	return nil, nil
}

// writeReport writes the report as JSON, or the differences and a summary as text. The findings of a text follow on the error stream.
func writeReport(w io.Writer, name string, report configcheck.Report, asJSON bool) error {
	if asJSON {
		return writeIndented(w, report)
	}
	for _, d := range report.Differences {
		if _, err := fmt.Fprintln(w, d); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintf(w, "%s: %s, %s\n", name, formatCount(len(report.Findings), "finding"), formatCount(len(report.Differences), "difference"))
	return err
}
