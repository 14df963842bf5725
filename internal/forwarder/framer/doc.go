// Package framer owns the messages between instances, generated from
// framer.proto. It does not own what is done with them.
//
// The code is generated anew with
//
//	protoc --go_out=paths=source_relative:. --go-drpc_out=paths=source_relative:. framer.proto
package framer
