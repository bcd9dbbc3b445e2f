// Package bench runs a seeded workload with faults against a whole fleet on
// loopback, once for each placement policy, and compares the measured figures
// with the targets. All counts come from the ledgers of the stand-ins and from
// what callers received, never from what the routers believe.
package bench
