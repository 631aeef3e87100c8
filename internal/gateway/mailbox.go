package gateway

// Mailbox is how a connection's reader waits for the loop: the loop hands a value on, the reader takes it. It holds one. Hand and
// End are the loop's, in whatever order they come; Wait is the reader's.
//
// A connection ends once, in the loop, by its own close: that alone closes its socket, ends its mailbox and gives its
// descriptor back. Whoever still calls into it, the rest of a piece that it sent, an ending, an alarm, a writer that is done,
// finds it closed, changes nothing and takes no request in.
type Mailbox[T any] struct {
	values chan T
	closed bool
}

// NewMailbox makes one that holds nothing.
func NewMailbox[T any]() Mailbox[T] { return Mailbox[T]{values: make(chan T, 1)} }

// TrySend gives the reader a value. It reports false if one that was handed before still waits, or the mailbox has ended.
func (m *Mailbox[T]) TrySend(v T) bool {
	if m.closed {
		return false
	}
	select {
	case m.values <- v:
		return true
	default:
		return false
	}
}

// Close has the reader stop once it has taken what was handed. Ending it again changes nothing.
func (m *Mailbox[T]) Close() {
	if !m.closed {
		m.closed = true
		close(m.values)
	}
}

// Receive takes the next value, in the reader's goroutine. It reports false once the mailbox has ended.
func (m *Mailbox[T]) Receive() (v T, ok bool) {
	v, ok = <-m.values
	return v, ok
}
