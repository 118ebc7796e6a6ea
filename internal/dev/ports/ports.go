// Package ports allocates loopback addresses for tests. No other process that uses
// this package allocates the same addresses.
//
// # Usage
//
//	addr := ports.Next()
//	addr = fmt.Sprintf("%s:%d", ports.IP(), port)
//
// A test that obtains a free port from the system, closes it and listens on it
// later sometimes finds it in use, because an outgoing connection of any process
// may have taken it in between. Therefore each address has its own IP address, and
// a port below the ephemeral range.
//
// Tests of several packages run concurrently. The first allocation of a process
// reserves a /16 network for it by listening on the network's last address until
// the process exits. Networks chosen by the process id alone sometimes collided
// with those of another process or of the operators' page, and the hosts of one
// test then linked to those of another.
package ports

import (
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
)

// port is the port of all addresses.
const port = 7001

// valuesPerByte is the number of values used for each of the last two bytes of an
// IP address.
const valuesPerByte = 250

// The networks 127.16 to 127.215 are used, except 127.81, which the commands on the
// operators' page use.
const (
	networkCount = 200
	firstNetwork = 16
	docsNetwork  = 81
)

var (
	ipCount atomic.Uint32
	network = sync.OnceValue(reserveNetwork)
	// reservation is the listener that reserves the network.
	reservation net.Listener
)

// reserveNetwork returns the second byte of a network that no other process has
// reserved.
func reserveNetwork() int {
	for i := range networkCount {
		n := firstNetwork + (os.Getpid()+i)%networkCount
		if n == docsNetwork {
			continue
		}
		ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.254:%d", n, port))
		if err == nil {
			reservation = ln
			return n
		}
	}
	panic("ports: all loopback networks are reserved, end leftover test processes")
}

// IP returns a new loopback IP address of the network of this process. The addresses
// repeat after valuesPerByte * valuesPerByte calls.
func IP() string {
	n := ipCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", network(), n/valuesPerByte%valuesPerByte+1, n%valuesPerByte+1)
}

// Next returns an address of the form host:port, with a new IP address.
func Next() string { return fmt.Sprintf("%s:%d", IP(), port) }
