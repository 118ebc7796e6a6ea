package ports

import "testing"

// Guards against two test processes that use the same loopback network, so that
// hosts of one link to those of the other.
func TestReservedNetworkIsNotGivenTwice(t *testing.T) {
	first := reserveNetwork()
	ln := reservation
	defer func() { _ = ln.Close() }()
	second := reserveNetwork()
	defer func() { _ = reservation.Close() }()
	if first == second {
		t.Errorf("network 127.%d was reserved twice", first)
	}
}
