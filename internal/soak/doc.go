// Package soak holds a randomized test of the real binary: routers as separate
// processes, stand-ins of the platform's store and of engines behind proxies,
// callers, and faults drawn from a seed. Its code lives in test files.
//
// Run one seed by hand:
//
//	go test ./internal/soak -run TestSoak -soak.seed 7 -soak.seconds 60 -soak.report soak.html
package soak
