// Package kvmove moves the KV cache of recently used chats away from engines
// that leave a pool. The planner decides and does no I/O; the mover carries out
// the moves. A move is only a hint: a failed one costs the chat its cached
// prefix and nothing else.
package kvmove
