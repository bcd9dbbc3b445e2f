// Package examples embeds the ready settings and records of both deployments,
// for the demo and the bench.
package examples

import "embed"

// Files holds the example files by deployment.
//
//go:embed thekkady/*.json lam-dong/*.json
var Files embed.FS
