// Package cli implements the sub-commands of the bluebellwell binary.
package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"

	"github.com/bluebellwell/bluebellwell/internal/findings"
)

const program = "bluebellwell"

// Env holds a command's arguments and output streams.
type Env struct {
	// Args are the arguments after the flags.
	Args   []string
	Stdout io.Writer
	Stderr io.Writer
}

// RunFunc runs a command whose flags are parsed. The error selects the exit
// code, see ExitCode.
type RunFunc func(ctx context.Context, env Env) error

// Command is a sub-command.
type Command struct {
	Name string
	// Summary is one line without a full stop.
	Summary string
	// Synopsis shows the flags and arguments, without the command's name.
	Synopsis    string
	Description string
	// Examples are command lines without the program's name.
	Examples []string
	// ExitCodes are the codes that the command may return.
	ExitCodes []int
	// MinArgs and MaxArgs bound the arguments after the flags. A negative MaxArgs
	// means no bound.
	MinArgs int
	MaxArgs int
	// Setup defines the flags and returns the function to run.
	Setup func(fs *flag.FlagSet) RunFunc
}

// Main runs a sub-command and returns the process exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	return run(context.Background(), commands(), args, stdout, stderr)
}

func run(ctx context.Context, table []*Command, args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		writeOverview(stderr, table)
		return ExitUsage
	}
	name, rest := args[0], args[1:]
	if isHelp(name) {
		return showHelp(table, rest, stdout, stderr)
	}
	cmd := findCommand(table, name)
	if cmd == nil {
		return reportUnknownCommand(name, stderr)
	}
	return cmd.execute(ctx, rest, stdout, stderr)
}

func isHelp(name string) bool {
	return name == "help" || name == "-h" || name == "-help" || name == "--help"
}

func findCommand(table []*Command, name string) *Command {
	for _, c := range table {
		if c.Name == name {
			return c
		}
	}
	return nil
}

func reportUnknownCommand(name string, stderr io.Writer) int {
	fmt.Fprintf(stderr, "%s: unknown command %q; run \"%s help\" for the list\n", program, name, program)
	return ExitUsage
}

func showHelp(table []*Command, args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		writeOverview(stdout, table)
		return ExitOK
	}
	cmd := findCommand(table, args[0])
	if cmd == nil {
		return reportUnknownCommand(args[0], stderr)
	}
	fs, _ := cmd.flags()
	cmd.writeHelp(stdout, fs)
	return ExitOK
}

// flags returns the command's flag set, which prints nothing by itself.
func (c *Command) flags() (*flag.FlagSet, RunFunc) {
	fs := flag.NewFlagSet(c.Name, flag.ContinueOnError)
	fs.SetOutput(io.Discard)
	return fs, c.Setup(fs)
}

func (c *Command) execute(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	err := c.parseAndRun(ctx, args, stdout, stderr)
	c.report(stderr, err)
	return ExitCode(err)
}

// parseAndRun parses the arguments and runs the command. It does not report the error.
func (c *Command) parseAndRun(ctx context.Context, args []string, stdout, stderr io.Writer) error {
	fs, runCommand := c.flags()
	err := fs.Parse(args)
	if errors.Is(err, flag.ErrHelp) {
		c.writeHelp(stdout, fs)
		return nil
	}
	if err != nil {
		return WithCode(ExitUsage, err)
	}
	if err := c.checkArgs(fs.Args()); err != nil {
		return err
	}
	return runCommand(ctx, Env{Args: fs.Args(), Stdout: stdout, Stderr: stderr})
}

func (c *Command) checkArgs(args []string) error {
	if len(args) < c.MinArgs {
		return UsageErrorf("needs at least %d argument(s) after the flags, got %d", c.MinArgs, len(args))
	}
	if c.MaxArgs >= 0 && len(args) > c.MaxArgs {
		return UsageErrorf("unexpected argument %q", args[c.MaxArgs])
	}
	return nil
}

// report writes an error to stderr. Findings are printed without the command
// prefix, so that scripts can parse their lines.
func (c *Command) report(stderr io.Writer, err error) {
	var invalid *findings.Error
	switch {
	case err == nil:
	case errors.As(err, &invalid):
		fmt.Fprintln(stderr, err)
	case ExitCode(err) == ExitUsage:
		fmt.Fprintf(stderr, "%s %s: %v; run \"%s %s -h\" for help\n", program, c.Name, err, program, c.Name)
	default:
		fmt.Fprintf(stderr, "%s %s: %v\n", program, c.Name, err)
	}
}

func writeOverview(w io.Writer, table []*Command) {
	fmt.Fprintf(w, "usage: %s <command> [flags] [arguments]\n\ncommands:\n", program)
	for _, c := range table {
		fmt.Fprintf(w, "  %-10s %s\n", c.Name, c.Summary)
	}
	fmt.Fprintf(w, "\nRun \"%s <command> -h\" for the flags, examples and exit codes of a command.\n", program)
}

func (c *Command) writeHelp(w io.Writer, fs *flag.FlagSet) {
	usage := strings.TrimSpace(program + " " + c.Name + " " + c.Synopsis)
	fmt.Fprintf(w, "%s - %s\n\nusage: %s\n\n%s\n", c.Name, c.Summary, usage, c.Description)
	writeFlags(w, fs)
	if len(c.Examples) > 0 {
		fmt.Fprintln(w, "\nexamples:")
	}
	for _, example := range c.Examples {
		fmt.Fprintf(w, "  %s %s\n", program, example)
	}
	fmt.Fprintln(w, "\nexit codes:")
	for _, code := range c.ExitCodes {
		fmt.Fprintf(w, "  %d  %s\n", code, exitTexts[code])
	}
}

func writeFlags(w io.Writer, fs *flag.FlagSet) {
	hasFlags := false
	fs.VisitAll(func(*flag.Flag) { hasFlags = true })
	if !hasFlags {
		return
	}
	fmt.Fprintln(w, "\nflags:")
	fs.SetOutput(w)
	fs.PrintDefaults()
	fs.SetOutput(io.Discard)
}
