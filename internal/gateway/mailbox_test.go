package gateway

import "testing"

// TestMailbox: it holds one value, what was handed before the end is still taken, and nothing handed after it does harm.
func TestMailbox(t *testing.T) {
	b := NewMailbox[int]()
	if !b.TrySend(1) || b.TrySend(2) {
		t.Error("it does not hold one")
	}
	b.Close()
	b.Close()
	if b.TrySend(3) {
		t.Error("it is handed on after its end")
	}
	if v, going := b.Receive(); v != 1 || !going {
		t.Errorf("the reader gets %d, %v", v, going)
	}
	if _, going := b.Receive(); going {
		t.Error("the reader goes on")
	}
}
