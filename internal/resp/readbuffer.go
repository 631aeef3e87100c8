package resp

import "time"

const (
	// arrivalResolution is the time within which parts of the input count as arrived together, at the time of the first.
	arrivalResolution = 5 * time.Millisecond
	maxArrivals       = 32 // times that a buffer keeps; more are merged in pairs
)

// readBuffer holds the bytes that were read from a connection and not consumed yet, and when they were read: a command may wait
// in the buffer for longer than its client waits for the answer.
type readBuffer struct {
	data     []byte // the bytes that were not consumed are data[start:]
	start    int
	total    int64     // bytes that were ever read; the offset of the end of data
	arrivals []arrival // of the bytes that were not consumed, in their order
}

// arrival is when the bytes up to an offset of the stream were read, after those of the arrival before.
type arrival struct {
	end int64
	at  time.Duration
}

func newReadBuffer(size int) readBuffer { return readBuffer{data: make([]byte, 0, size)} }

// bytes returns the bytes that were not consumed. They are valid until the buffer is changed.
func (b *readBuffer) bytes() []byte { return b.data[b.start:] }

// len returns the number of bytes that were not consumed.
func (b *readBuffer) len() int { return len(b.data) - b.start }

// size returns the memory that the buffer takes, in bytes.
func (b *readBuffer) size() int { return cap(b.data) }

// space returns the free space at the end, for the next read.
func (b *readBuffer) space() []byte { return b.data[len(b.data):cap(b.data)] }

// add adds the first n bytes of space, which were read at a time.
func (b *readBuffer) add(n int, at time.Duration) {
	b.data = b.data[:len(b.data)+n]
	b.total += int64(n)
	if last := len(b.arrivals) - 1; last >= 0 && at-b.arrivals[last].at < arrivalResolution {
		b.arrivals[last].end = b.total
		return
	}
	if len(b.arrivals) == maxArrivals {
		b.mergeArrivals()
	}
	b.arrivals = append(b.arrivals, arrival{b.total, at})
}

// mergeArrivals halves the number of arrivals. Bytes then count as read earlier than they were, never later.
func (b *readBuffer) mergeArrivals() {
	for i := range maxArrivals / 2 {
		b.arrivals[i] = arrival{b.arrivals[2*i+1].end, b.arrivals[2*i].at}
	}
	b.arrivals = b.arrivals[:maxArrivals/2]
}

// readAt returns when the last of the first n bytes that were not consumed was read.
func (b *readBuffer) readAt(n int) (at time.Duration) {
	offset := b.total - int64(b.len()) + int64(n)
	for _, a := range b.arrivals {
		at = a.at
		if offset <= a.end {
			break
		}
	}
	return at
}

// consume removes the first n bytes.
func (b *readBuffer) consume(n int) {
	b.start += n
	offset, kept := b.total-int64(b.len()), 0
	for _, a := range b.arrivals {
		if a.end > offset {
			b.arrivals[kept] = a
			kept++
		}
	}
	b.arrivals = b.arrivals[:kept]
	if b.start == len(b.data) {
		b.data, b.start = b.data[:0], 0
	}
}

// reclaim makes space at the end of the buffer if enough of its start was consumed: a quarter, so that each byte is moved a few
// times at most. It reports whether there is space.
func (b *readBuffer) reclaim() bool {
	if len(b.data) == cap(b.data) && b.start >= cap(b.data)/4 && b.start > 0 {
		b.compact()
	}
	return len(b.data) < cap(b.data)
}

// compact moves the bytes to the start of the buffer, so that all free space is at its end.
func (b *readBuffer) compact() {
	b.data, b.start = b.data[:copy(b.data, b.data[b.start:])], 0
}

// resize moves the bytes to a buffer of another size, in which they fit.
func (b *readBuffer) resize(size int) {
	b.data, b.start = append(make([]byte, 0, size), b.data[b.start:]...), 0
}
