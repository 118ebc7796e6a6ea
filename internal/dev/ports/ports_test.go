package ports

import "testing"

// Two test processes get the same loopback network, and hosts of one link to those of the other.
func TestReservedNetworkIsNotGivenTwice(t *testing.T) {
	first := reserveNetwork()
	ln := reservation
	defer func() { _ = ln.Close() }()
	second := reserveNetwork()
	defer func() { _ = reservation.Close() }()
	if first == second {
		t.Errorf("network 127.%d was given out twice", first)
	}
}
