package ports

import "testing"

// Two packages are tested at once and their process ids fall on the same
// network. Hosts of one test then link to those of the other, and one of the two
// fails now and then for no reason of its own.
func TestReservedNetworkIsNotGivenTwice(t *testing.T) {
	first := reserve()
	ln := held
	defer func() { _ = ln.Close() }()
	second := reserve()
	defer func() { _ = held.Close() }()
	if first == second {
		t.Errorf("network 127.%d was given out twice", first)
	}
}
