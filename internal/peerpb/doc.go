// Package peerpb holds the generated protobuf messages that router daemons
// exchange. Run generate.sh after a change of peer.proto.
package peerpb

//go:generate ./generate.sh
