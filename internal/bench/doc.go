// Package bench runs a seeded workload with faults against a complete fleet on
// loopback, once for each placement policy, and compares the measured figures
// with the targets. All counts come from the ledgers of the stand-ins and from
// the answers that callers received, never from the state of the routers.
package bench
