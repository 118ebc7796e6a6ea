// Package proofs runs the real programs as separate processes against dev stand-ins, on
// loopback addresses, and injects failures. docs/promises.md lists the test for each guarantee.
//
// # Usage
//
//	go test ./internal/proofs -run TestThinPath -v
package proofs
