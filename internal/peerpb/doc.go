// Package peerpb holds the generated protobuf messages that router daemons
// exchange. Run generate.sh after a change of a .proto file.
package peerpb

//go:generate ./generate.sh
