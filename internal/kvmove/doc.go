// Package kvmove moves the KV cache of recently used chats away from engines
// that leave a pool. The planner decides which move starts when and does no I/O;
// the mover executes the moves. Moves are best effort: a failed move costs the
// chat its cached prefix and nothing else.
package kvmove
