// Package ports gives out addresses of the loopback range for tests, each of
// which nothing else on the machine gets.
//
// # Usage
//
//	addr := ports.Next()
//	addr = fmt.Sprintf("%s:%d", ports.IP(), port)
//
// A test that asks the system for a free port, closes it and listens on it
// later now and then finds it taken: an outgoing connection of anything on the
// machine may have got it in between. Here each address has an IP number of
// its own, and a port below those that outgoing connections get.
//
// Tests of several packages run at once. The first IP number that a process
// asks for reserves a sixteen-bit network for it, by listening on its last
// address for as long as the process lives. Networks that went by the process id
// alone were now and then those of two processes, or that of the operators' page,
// and the hosts of one test then linked to those of another.
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

// valuesPerByte is how many values of a byte of an IP number are used.
const valuesPerByte = 250

// The networkCount 127.16 to 127.215 are given out. 127.81 is that of the commands on
// the operators' page.
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

// reserveNetwork returns the second byte of a network that no other process has.
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
	panic("ports: all loopback networks are taken, end the test runs that are left over")
}

// IP returns an IP number.
func IP() string {
	n := ipCount.Add(1)
	return fmt.Sprintf("127.%d.%d.%d", network(), n/valuesPerByte%valuesPerByte+1, n%valuesPerByte+1)
}

// Next returns an address, as host:port.
func Next() string { return fmt.Sprintf("%s:%d", IP(), port) }
