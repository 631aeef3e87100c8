package gateway

import (
	"testing"
	"time"

	"sloepick/internal/tuning"
)

// New values hold for what is begun from then on, and nothing that is in use is taken away.
func TestRetune(t *testing.T) {
	l := still(t, unreachable(t))
	r, _ := open(t, l)
	a := r.attempts[0]
	near, _ := pair(t)
	dialed{a, a.server.addr, near, nil}.apply(l)
	next := tuning.Default()
	next.Nodes.Connections, next.Nodes.IdlePart, next.Nodes.Descriptors = 1, 6, 0.25
	next.Clients.Held = 0.01
	before, idleFor, held := l.pool.most, l.pool.idleFor, l.heldMost()
	taken := make(chan struct{})
	retuned{&next, nil, taken}.apply(l)
	<-taken
	if a.over || a.conn.closed {
		t.Error("an attempt that is out was ended")
	}
	if l.pool.most != before/2 || l.pool.idleFor != idleFor/2 || l.heldMost() != held/25 {
		t.Errorf("most %d of %d, idle for %v of %v, held %d of %d", l.pool.most, before, l.pool.idleFor, idleFor, l.heldMost(), held)
	}
	second := &attempt{req: &request{id: "r"}, server: a.server}
	if l.pool.start(second); !second.over {
		t.Error("a second connection to the node is made")
	}
	retuned{nil, nil, nil}.apply(l)
	if l.pool.perNode != 1 {
		t.Error("a reload without values changed them")
	}
}

// However short the stop may be, it is not shorter than clients wait.
func TestStopIsNeverShorterThanClientsWait(t *testing.T) {
	l := still(t, nil)
	short := tuning.Default()
	short.Stop.Longest, short.Stop.Accept, short.Stop.LastCall = time.Second, 0, 0
	l.tune.Store(&short)
	stop{}.apply(l)
	now, latest := l.clock.now(), time.Duration(0)
	for _, a := range l.alarms {
		latest = max(latest, a.at)
	}
	if wait := latest - now; wait < 29*time.Second { // the classes' 30 s
		t.Errorf("what is owed is failed after %v", wait)
	}
}
