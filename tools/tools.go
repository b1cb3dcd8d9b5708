// Package tools has no code: the tool directives of its go.mod pin the generators of the gRPC code. buf, configured by
// buf.gen.yaml, runs them on the files of proto and writes Go code there. No other package imports it.
package tools
