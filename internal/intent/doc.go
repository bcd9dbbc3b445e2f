// Package intent makes non-repeatable requests run at most once.
//
// Every router appends intents, voids and outcomes to intent streams and folds
// them in log order. Log order alone decides which router may run a key, so
// the result is safe even if routers disagree about the owner of a stream. Fold
// and writer do no I/O; Stream and Guard connect them to the log and to other
// routers.
package intent
