// Package umberladderv1 is the generated code of the gRPC service.
package umberladderv1

//go:generate sh -c "cd ../../.. && go tool -modfile=tools/go.mod buf generate"
