// Package mech reports which mechanisms of placing, queueing and refusing requests are enabled.
//
// # Usage
//
//	if mech.On(codes.PrefixTransfer) {
//
// In production builds all mechanisms are enabled, and On costs nothing, since it is a constant
// to the compiler. A mechanism is kept only as long as a measurement shows its benefit. For such
// measurements a build with the tag ablate disables the mechanisms that the environment lists:
//
//	go build -tags ablate -o target/ ./cmd/...
//	VERBENADALE_OFF=VB6001,VB6003 target/verbenadale edge
//
// Where a deployment does not pass the environment on, the build lists them:
//
//	go build -tags ablate -ldflags "-X verbenadale.example/verbenadale/internal/mech.off=VB6001" ./cmd/...
//
// The table of the mechanisms is codes.Mechanisms, which docs/codes.md prints.
package mech
