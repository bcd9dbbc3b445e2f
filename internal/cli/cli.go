// Package cli implements the sub-commands of the bluebellwell binary.
package cli

import (
	"fmt"
	"io"
)

// Exit codes of the command line.
const (
	ExitOK    = 0
	ExitUsage = 2
)

// Main runs a sub-command and returns the process exit code.
func Main(args []string, stdout, stderr io.Writer) int {
	if len(args) == 1 && args[0] == "version" {
		fmt.Fprintln(stdout, "bluebellwell dev")
		return ExitOK
	}
	fmt.Fprintln(stderr, "usage: bluebellwell <command> [flags]")
	return ExitUsage
}
