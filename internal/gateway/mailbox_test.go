package gateway

import "testing"

// TestMailbox: a mailbox holds one value, a value sent before Close is still received, and sending after Close
// has no effect.
func TestMailbox(t *testing.T) {
	b := NewMailbox[int]()
	if !b.TrySend(1) || b.TrySend(2) {
		t.Error("the mailbox does not hold exactly one value")
	}
	b.Close()
	b.Close()
	if b.TrySend(3) {
		t.Error("value accepted after Close")
	}
	if v, going := b.Receive(); v != 1 || !going {
		t.Errorf("received %d, %v", v, going)
	}
	if _, going := b.Receive(); going {
		t.Error("Receive succeeds on a closed, empty mailbox")
	}
}
