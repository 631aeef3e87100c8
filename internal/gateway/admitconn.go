package gateway

import "time"

// largeConnIdle is how long a large connection must be unused before it may be replaced.
const largeConnIdle = time.Second

// admittedConn is what the event loop knows of a client's connection that it has admitted.
type admittedConn struct {
	number     uint64 // in the order of acceptance
	extraBytes int    // that it holds beyond connectionCost while it is idle; above 0: a large connection
}

func (a admittedConn) bytes() int { return connectionCost + a.extraBytes }

// connBytes is what all admitted connections hold while they are idle, in bytes.
type connBytes struct{ all, large int }

func (b *connBytes) add(a admittedConn, sign int) {
	b.all += sign * a.bytes()
	if a.extraBytes > 0 {
		b.large += sign * a.bytes()
	}
}

// admitConn counts a client's connection towards the descriptor limit and the memory. It reports false if there is no room.
func (l *eventLoop) admitConn(c ClientConn, extraBytes int) bool {
	admitted := admittedConn{extraBytes: extraBytes}
	if extraBytes > 0 && !l.makeRoomForLargeConn(admitted) {
		return false
	}
	if len(l.clients) >= descriptorShare(l.cfg.Sockets, l.tuning.Load().Clients.DescriptorShare) || !l.partFits(l.connBytes.all+admitted.bytes(), softConnectionShare) {
		l.evictClient()
	}
	// Clients leave minSockets free: the reserve (reservedSockets), and the rest for connections to servers.
	if len(l.clients) >= l.cfg.Sockets-minSockets || !l.partFits(l.connBytes.all+admitted.bytes(), connectionShare) {
		return false
	}
	l.connSeq++
	admitted.number = l.connSeq
	l.clients[c] = admitted
	l.connBytes.add(admitted, 1)
	l.memory.add(admitted.bytes())
	return true
}

// removeConn removes a connection that was closed.
func (l *eventLoop) removeConn(c ClientConn) {
	if admitted, ok := l.clients[c]; ok {
		delete(l.clients, c)
		l.connBytes.add(admitted, -1)
		l.memory.add(-admitted.bytes())
	}
}

// makeRoomForLargeConn reports whether there is room for one more large connection. Near the limit, it drains one that has not
// been used for largeConnIdle: setting up a large connection is costly, so that those in use are not replaced.
func (l *eventLoop) makeRoomForLargeConn(admitted admittedConn) bool {
	bytes := l.connBytes.large + admitted.bytes()
	if !l.partFits(bytes, softLargeConnectionShare) {
		unusedSince := l.clock.Now() - largeConnIdle
		l.drainOldest(func(c ClientConn) bool { return l.clients[c].extraBytes > 0 && c.LastUsed() <= unusedSince })
	}
	return l.partFits(bytes, largeConnectionShare)
}

// partFits reports whether bytes are within a share of the memory for clients.
func (l *eventLoop) partFits(bytes int, share float64) bool {
	return float64(bytes) <= share*float64(l.memoryShareBytes())
}

// evictClient makes room for a new connection by draining the one that has been idle for longest. Connections
// without a request so far are not preferred, because during a surge of new clients those are about to send
// one. If answers are owed on all connections, nothing is closed, and the new connection uses the servers'
// share of the descriptors.
func (l *eventLoop) evictClient() { l.drainOldest(func(ClientConn) bool { return true }) }

// drainOldest drains the connection that has been idle for longest, of those that are eligible.
func (l *eventLoop) drainOldest(eligible func(ClientConn) bool) {
	var oldest ClientConn
	for c := range l.clients {
		if c.Idle() && eligible(c) && (oldest == nil || l.idleLonger(c, oldest)) {
			oldest = c
		}
	}
	if oldest != nil {
		oldest.Drain()
	}
}

// idleLonger reports whether a connection was last used before another one.
func (l *eventLoop) idleLonger(c, other ClientConn) bool {
	if c.LastUsed() != other.LastUsed() {
		return c.LastUsed() < other.LastUsed()
	}
	return l.clients[c].number < l.clients[other].number
}
