// Package intent makes non-repeatable requests run at most once.
//
// Every router appends intents, voids and outcomes to intent streams and folds
// them in log order. The order of the log alone decides who may run a key, so
// routers that disagree about the owner of a stream stay safe. Fold and writer
// do no I/O; Stream and Guard connect them to the log and to other routers.
package intent
