// Command bluebellwell is the router daemon and its operators' client.
package main

import (
	"os"

	"github.com/bluebellwell/bluebellwell/internal/cli"
)

func main() {
	os.Exit(cli.Main(os.Args[1:], os.Stdout, os.Stderr))
}
