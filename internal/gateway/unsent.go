package gateway

import "time"

const (
	// progressBytes is what a client must take of its responses to count as reading, in bytes.
	progressBytes = MaxPayloadSize
	// evictableStall is how long a client must have taken less than progressBytes before its connection may be
	// closed for the memory that its responses hold.
	evictableStall = 250 * time.Millisecond
)

// UnsentResponses accounts for the responses that one client connection holds in memory because its client has not
// taken them yet. They count towards the memory of all client connections (see memoryAccount). It is used on the event
// loop only.
type UnsentResponses struct {
	core       *Core
	conn       ClientConn
	bytes      int
	blocked    bool          // bytes could be sent if the client took them
	taken      int           // bytes that the client has taken since progressAt
	progressAt time.Duration // when blocked was set, or when the client last had taken progressBytes
}

// unsentTotal is the account of all connections.
type unsentTotal struct {
	bytes   int
	holders map[*UnsentResponses]struct{} // those with bytes > 0
}

// NewUnsentResponses returns the account of a connection.
func (c *Core) NewUnsentResponses(conn ClientConn) *UnsentResponses {
	return &UnsentResponses{core: c, conn: conn}
}

// MakeRoom reports whether the connection may hold n more bytes. If the limit would be exceeded, it first closes
// connections whose clients have stopped reading, the one that stopped earliest first. That may be the
// caller's own connection. The caller must answer without these bytes if MakeRoom reports false.
func (u *UnsentResponses) MakeRoom(n int) bool {
	l := u.core.l
	for !l.memory.responseFits(n) {
		if !l.closeLongestStalled() {
			return false
		}
	}
	return true
}

// closeLongestStalled closes the connection whose client has stopped reading for longest, to free the memory that its
// responses hold. It reports false if there is none.
func (l *eventLoop) closeLongestStalled() bool {
	stalled := l.unsent.longestStalled(l.clock.Now() - evictableStall)
	if stalled == nil {
		return false
	}
	l.log.Debug("closing a connection whose client does not read, to make room", "bytes", stalled.bytes,
		"stalled", l.clock.Now()-stalled.progressAt)
	stalled.conn.Close()
	stalled.Set(0)
	return true
}

// Set sets the number of bytes that the connection holds.
func (u *UnsentResponses) Set(bytes int) {
	if bytes == u.bytes {
		return
	}
	total := &u.core.l.unsent
	total.bytes += bytes - u.bytes
	u.core.l.memory.add(bytes - u.bytes)
	u.bytes = bytes
	if bytes > 0 {
		total.holders[u] = struct{}{}
	} else {
		delete(total.holders, u)
	}
}

// Allowance returns the number of bytes that the connection should hold at most: Clients.MaxUnreadBytes, or an equal part
// of the memory if many connections hold responses. Frontends read no further requests of a connection that holds
// more.
func (u *UnsentResponses) Allowance() int {
	l := u.core.l
	equalPart := l.memoryShareBytes() / max(1, len(l.unsent.holders))
	return max(progressBytes, min(equalPart, l.tuning.Load().Clients.MaxUnreadBytes))
}

// SetBlocked tells whether bytes wait for the client only, and not for the response to an earlier request.
func (u *UnsentResponses) SetBlocked(blocked bool) {
	if blocked && !u.blocked {
		u.markProgress()
	}
	u.blocked = blocked
}

// Taken tells that the client has taken n bytes.
func (u *UnsentResponses) Taken(n int) {
	if u.taken += n; u.taken >= progressBytes {
		u.markProgress()
	}
}

func (u *UnsentResponses) markProgress() { u.taken, u.progressAt = 0, u.core.Now() }

// longestStalled returns the account of the connection whose client has not read for longest, if it last did before
// the given time, or nil.
func (t *unsentTotal) longestStalled(before time.Duration) (longest *UnsentResponses) {
	for u := range t.holders {
		if u.blocked && u.progressAt <= before && (longest == nil || u.progressAt < longest.progressAt) {
			longest = u
		}
	}
	return longest
}

// UnsentLimitResponse is the response to a request whose result does not fit into the memory for unsent responses.
func UnsentLimitResponse() Response {
	return Response{Kind: Failed, Reason: "this gateway holds too many answers that clients have not taken"}
}
