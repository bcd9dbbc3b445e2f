package event

import "github.com/hashicorp/go-hclog"

// Events 900 to 949: KV cache moves and cache events.
var (
	KVMovesPlanned   = register(900, hclog.Info, "KV cache moves from a leaving engine are planned")
	KVMoveDone       = register(901, hclog.Debug, "KV cache of a chat was moved")
	KVMoveFailed     = register(902, hclog.Debug, "KV cache of a chat was not moved")
	KVMovesCancelled = register(903, hclog.Warn, "KV cache moves from the engine are cancelled after failed exports")
	CacheEventGap    = register(910, hclog.Debug, "cache events of the engine have a gap")
)
