// Package enginesim emulates a model engine in process: batching, a prefix
// cache, a priority queue, resumable streams, KV moves, cache events, lagging
// load reports and orders. It serves tests, the demo and the bench; its fault
// switches and its ledger let them check the guarantees of the routers.
package enginesim
