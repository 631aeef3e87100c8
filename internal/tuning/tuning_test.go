package tuning

import (
	"testing"
	"time"
)

// Without an operator file the gateway does what it did before there was one: these are the constants of then.
func TestDefaultsAreWhatTheyWere(t *testing.T) {
	want := Tuning{
		Clients: Clients{FirstCommand: 2 * time.Second, Idle: 5 * time.Second, Write: 2 * time.Second, Fault: time.Second, Pipeline: 64,
			Unread: 1 << 20, Descriptors: 0.5, Held: 0.25, AcceptAhead: 16},
		Nodes: Nodes{Connections: 64, Rest: 10 * time.Millisecond, IdlePart: 3, Answer: 250 * time.Millisecond, Descriptors: 0.5},
		Stop:  Stop{Accept: 500 * time.Millisecond, LastCall: 200 * time.Millisecond, Longest: 10 * time.Second},
	}
	if got := Default(); got != want {
		t.Errorf("got  %+v\nwant %+v", got, want)
	}
}
