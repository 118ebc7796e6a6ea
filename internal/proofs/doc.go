// Package proofs holds tests that run the real programs as separate processes
// against stand-ins, on addresses of the loopback range, and bring failures
// about. docs/promises.md lists which test proves which promise.
//
// # Usage
//
//	go test ./internal/proofs -run TestThinPath -v
package proofs
