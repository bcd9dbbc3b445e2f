// Package admission holds the state of one pool at its owner: the slots in
// flight, the bound on each engine's load, the fair queue, the refusals and the
// retry budget. A Pool does no I/O, starts no goroutine and takes the time as an
// argument.
package admission
