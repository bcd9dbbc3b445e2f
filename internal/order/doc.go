// Package order brings engines into the desired states that are recorded in the
// stream "orders": which model, version and role each of them serves.
//
// One router holds a lease, which is a record of the stream; the offset of the
// record is the fencing number of its orders. Orders are absolute and therefore
// idempotent. Fold and controller do no I/O; Manager connects them to the log
// and to the engines.
package order
