// Package tunnel lets a router use the connections of another one. A router that has lost its links
// to servers, while the other routers still reach them, opens a connection to a server through one of
// them. All decisions about the request stay with the router that accepted it; the other one, the
// carrier, passes bytes on and knows nothing of requests.
//
// Routers speak yamux over TCP. Each stream carries one connection to a server, as protobuf messages
// with their length before them. The end of the server's side is a message of its own, so that
// the end of a carrier is never taken for the end of an answer.
package tunnel
