// Package peer exchanges peerpb messages between router daemons: yamux over
// TCP, with a 4-byte big-endian length before each message. A connection
// begins with a handshake in which both sides prove that they have the fleet
// key; it then carries single requests with a reply (Call), bidirectional
// streams (Open) and one-way messages over one long-lived stream (Send).
//
// The handshake authenticates both sides. Traffic is not encrypted.
package peer
