package wire

// Limits bound what one connection may hold and ask for.
type Limits struct {
	MaxStreams          int // requests open at once; told in SETTINGS, over it a stream is refused (RFC 9113, 5.1.2)
	MaxBodyBytes        int // bytes of a request's body
	ConnWindow          int // bytes of all bodies that are not whole yet
	MaxHeaderListBytes  int // bytes of a header list, counted as in RFC 9113, 6.5.2
	MaxHeaderBlockBytes int // bytes of a header block as it comes, over all its frames
	MaxUnsentBytes      int // bytes of answers that wait for the peer's windows
	Overhead            OverheadBudget
}

// OverheadBudget is a store of what a peer may do that costs work and asks for nothing: PING, SETTINGS, PRIORITY, RST_STREAM,
// frames without content, and whatever has to be answered by RST_STREAM. Each takes one; over it the connection ends
// with ENHANCE_YOUR_CALM.
type OverheadBudget struct {
	PerSecond float64 // by which the store fills
	Burst     float64 // that it holds, and begins with
}

// DefaultLimits suit requests of a few hundred bytes and answers of 64 KiB at most.
func DefaultLimits() Limits {
	return Limits{MaxStreams: 100, MaxBodyBytes: 64 << 10, ConnWindow: 256 << 10, MaxHeaderListBytes: 8 << 10, MaxHeaderBlockBytes: 16 << 10, MaxUnsentBytes: 1 << 20,
		Overhead: OverheadBudget{PerSecond: 100, Burst: 200}}
}
