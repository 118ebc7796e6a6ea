// Package mech says which mechanisms of placing, queueing and refusing are on.
//
// # Usage
//
//	if mech.On(codes.PrefixTransfer) {
//
// In production builds all are, and the question costs nothing: it is a constant to the
// compiler. A mechanism stays only as long as a measurement shows what it is worth, and for
// that a build with the tag ablate leaves out those that the environment names:
//
//	go build -tags ablate -o target/ ./cmd/...
//	VERBENADALE_OFF=VB6001,VB6003 target/verbenadale edge
//
// A deployment that passes no environment on names them at the build:
//
//	go build -tags ablate -ldflags "-X verbenadale.example/verbenadale/internal/mech.off=VB6001" ./cmd/...
//
// The table of the mechanisms is codes.Mechanisms, which docs/codes.md prints.
package mech
