// Package peer exchanges peerpb messages between router daemons: yamux over
// TCP, with a 4-byte big-endian length before each message. A connection
// begins with a mutual handshake under the fleet key; it carries short
// exchanges (Call), streams in both directions (Open) and one-way messages
// over one long-lived stream (Send).
//
// The handshake authenticates both sides. Traffic is not encrypted.
package peer
