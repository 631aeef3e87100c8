package gateway

import "testing"

// TestMailbox: it holds one value, what was handed before the end is still taken, and nothing handed after it does harm.
func TestMailbox(t *testing.T) {
	b := NewMailbox[int]()
	if !b.Hand(1) || b.Hand(2) {
		t.Error("it does not hold one")
	}
	b.End()
	b.End()
	if b.Hand(3) {
		t.Error("it is handed on after its end")
	}
	if v, going := b.Wait(); v != 1 || !going {
		t.Errorf("the reader gets %d, %v", v, going)
	}
	if _, going := b.Wait(); going {
		t.Error("the reader goes on")
	}
}
