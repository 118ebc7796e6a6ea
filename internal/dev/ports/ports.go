// Package ports gives out addresses of the loopback range for tests, each of
// which no other one of the process gets.
//
// # Usage
//
//	addr := ports.Next()
//
// A test that asks the system for a free port, closes it and listens on it
// later now and then finds it taken: an outgoing connection of anything on the
// machine may have got it in between. Here each address has an IP number of
// its own, and a port below those that outgoing connections get.
package ports

import (
	"fmt"
	"os"
	"sync/atomic"
)

// port is the port of all addresses.
const port = 7001

// perByte is how many values of a byte of an IP number are used.
const perByte = 250

var count atomic.Uint32

// Next returns an address, as host:port.
func Next() string {
	n := count.Add(1)
	return fmt.Sprintf("127.%d.%d.%d:%d", 16+os.Getpid()%200, n/perByte%perByte+1, n%perByte+1, port)
}
