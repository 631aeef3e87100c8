package wire

// Limits bound what one connection may store and request.
type Limits struct {
	MaxStreams          int // concurrent streams; a server announces it in SETTINGS and refuses streams above it (RFC 9113, 5.1.2)
	MaxBodyBytes        int // body of one received message
	ConnWindow          int // bytes; receive window for all bodies that are not complete yet
	MaxHeaderListBytes  int // decoded field list, counted as in RFC 9113, 6.5.2
	MaxHeaderBlockBytes int // encoded header block, over all its frames
	MaxUnsentBytes      int // client only: bodies to send that wait for the peer's windows
	Overhead            OverheadBudget
}

// OverheadBudget is a token bucket for frames that cost work but carry no request: PING, SETTINGS, PRIORITY, RST_STREAM,
// GOAWAY, WINDOW_UPDATE, short DATA, interim responses, unknown types, and everything that has to be answered by RST_STREAM.
// Each takes a token; without one left, the connection ends with ENHANCE_YOUR_CALM.
type OverheadBudget struct {
	PerSecond float64 // tokens added per second
	Burst     float64 // capacity in tokens, and the initial level
}

// DefaultLimits returns limits for requests of a few hundred bytes and responses of up to 64 KiB.
func DefaultLimits() Limits {
	return Limits{MaxStreams: 100, MaxBodyBytes: 64 << 10, ConnWindow: 256 << 10, MaxHeaderListBytes: 8 << 10, MaxHeaderBlockBytes: 16 << 10,
		MaxUnsentBytes: 1 << 20,
		Overhead:       OverheadBudget{PerSecond: 100, Burst: 200}}
}
