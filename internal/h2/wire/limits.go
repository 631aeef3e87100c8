package wire

// Limits bound what one connection may hold and ask for.
type Limits struct {
	Streams int // requests open at once; told in SETTINGS, over it a stream is refused (RFC 9113, 5.1.2)
	Body    int // bytes of a request's body
	Window  int // bytes of all bodies that are not whole yet
	Fields  int // bytes of a header list, counted as in RFC 9113, 6.5.2
	Block   int // bytes of a header block as it comes, over all its frames
	Unsent  int // bytes of answers that wait for the peer's windows
	Calm    Calm
}

// Calm is a store of what a peer may do that costs work and asks for nothing: PING, SETTINGS, PRIORITY, RST_STREAM,
// frames without content, and whatever has to be answered by RST_STREAM. Each takes one; over it the connection ends
// with ENHANCE_YOUR_CALM.
type Calm struct {
	PerSecond float64 // by which the store fills
	Most      float64 // that it holds, and begins with
}

// DefaultLimits suit requests of a few hundred bytes and answers of 64 KiB at most.
func DefaultLimits() Limits {
	return Limits{Streams: 100, Body: 64 << 10, Window: 256 << 10, Fields: 8 << 10, Block: 16 << 10, Unsent: 1 << 20,
		Calm: Calm{PerSecond: 100, Most: 200}}
}
