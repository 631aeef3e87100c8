package gateway

// Mailbox passes values from the event loop to the goroutine that reads a connection. It holds one value.
// TrySend and Close are called on the event loop, in any order; Receive is called by the reader.
//
// A connection ends once, on the event loop, in its own close method, the only place that closes its socket,
// closes its mailbox and releases its descriptor. Anything that calls into it afterwards, such as the rest of
// the input, a response, a timer or a completed write, finds it closed, changes nothing and submits no request.
type Mailbox[T any] struct {
	values chan T
	closed bool
}

// NewMailbox returns an empty mailbox.
func NewMailbox[T any]() Mailbox[T] { return Mailbox[T]{values: make(chan T, 1)} }

// TrySend puts a value into the mailbox. It reports false if the mailbox still holds a value or is closed.
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

// Close ends the reader's loop once it has received the value in the mailbox, if any. It may be called
// repeatedly.
func (m *Mailbox[T]) Close() {
	if !m.closed {
		m.closed = true
		close(m.values)
	}
}

// Receive waits for the next value, in the reader's goroutine. It reports false once the mailbox is closed and
// empty.
func (m *Mailbox[T]) Receive() (v T, ok bool) {
	v, ok = <-m.values
	return v, ok
}
