package tuning

import (
	"testing"
	"time"
)

// TestDefaults checks that without an operators' file the gateway uses the same values as before that file existed, when
// they were constants.
func TestDefaults(t *testing.T) {
	want := Tuning{
		Clients: Clients{ReadTimeout: 2 * time.Second, IdleTimeout: 5 * time.Second, WriteTimeout: 2 * time.Second, ProtocolErrorTimeout: time.Second, MaxPipeline: 64,
			MaxUnreadBytes: 1 << 20, DescriptorShare: 0.5, MemoryShare: 0.25, AcceptAhead: 16},
		Nodes:    Nodes{MaxConns: 64, ReuseDelay: 10 * time.Millisecond, IdleDivisor: 3, ResponseReadTimeout: 250 * time.Millisecond, DescriptorShare: 0.5},
		Shutdown: Shutdown{AcceptPeriod: 500 * time.Millisecond, LateConnTimeout: 200 * time.Millisecond, DrainTimeout: 10 * time.Second},
	}
	if got := Default(); got != want {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
}
