// Package tools pins the generators of the gRPC code; see the tool lines of its go.mod.
package tools
