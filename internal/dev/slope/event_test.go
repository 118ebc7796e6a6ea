package slope

import (
	"testing"
	"time"
)

// Guards against a recovery that is measured too short because the change written just before the
// end of the disruption is not awaited.
func TestChangeDuringDisruptionIsAwaited(t *testing.T) {
	r := newRun(Config{Centres: 1, Regions: 1, Hosts: 2, Accounts: 2, Duration: time.Second})
	r.Run(warmUp)
	r.disconnectPlatform()
	r.changeAccount(0)
	if newest := r.newestRevision(); newest == 0 || r.allHostsAt(newest) {
		t.Errorf("revision %d, written while the platform is unreachable, is not awaited", newest)
	}
	r.reconnectPlatform()
	r.Run(warmUp)
	if newest := r.newestRevision(); newest == 0 || !r.allHostsAt(newest) {
		t.Errorf("revision %d has not reached every host", newest)
	}
}
