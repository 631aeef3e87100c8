package gossip

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/fxamacker/cbor/v2"

	"sloepick/internal/fleet"
	"sloepick/internal/peerinfo"
	"sloepick/internal/queue"
)

const (
	peerInfoFlag        = 1 << 14 // set in a message's slot: it is one of package peerinfo. Versions without it see an invalid slot, and ignore it
	maxPeerInfoBytes    = 1310    // of one message, in one datagram
	peerInfoQueueLength = 1024    // messages that wait to be processed; a newer one evicts the oldest
	maxZoneBytes        = 40      // bytes of a region's name that are published
	minSuspend          = 100 * time.Millisecond

	topicSelf peerinfo.Topic = 0 // what a member publishes about itself
)

// selfRecord is what a member publishes about itself.
type selfRecord struct {
	Zone       string `cbor:"1,keyasint,omitempty"`
	WallMillis int64  `cbor:"2,keyasint"` // when it was published, in ms since 1970 by the member's own wall clock
}

// PeerInfoRow is what this member knows of another one, or of itself.
type PeerInfoRow struct {
	Name, Zone string
	Age        time.Duration // upper bound at the time of the status
	WallMillis int64         `json:"Wall"` // when it was published, in ms since 1970 by that member's wall clock
}

// PeerInfoStats counts the messages of package peerinfo.
type PeerInfoStats struct {
	Queue        queue.Stats `json:"Ring"`
	Table        peerinfo.Stats
	MessagesSent uint64 `json:"Sent"`
	BytesSent    uint64 `json:"Bytes"`
}

// peerInfoSync runs this member's part in the exchange of records about members. One goroutine owns the table. nil: it
// is off.
type peerInfoSync struct {
	e            *Engine
	table        *peerinfo.Table
	cfg          peerinfo.Config
	inbox        *queue.Evicting[peerInfoEvent]
	snapshot     atomic.Pointer[peerInfoSnapshot]
	messagesSent uint64
	bytesSent    uint64
	checkedAt    time.Time // last call of detectSuspend
	windows      windowCache
}

// peerInfoEvent is a message of the member in a slot, or a member that left.
type peerInfoEvent struct {
	from int
	data []byte
	left fleet.Member
}

// peerInfoSnapshot is what is known at a time since the engine's start.
type peerInfoSnapshot struct {
	at      time.Duration
	members []PeerInfoRow
	stats   PeerInfoStats
	clock   FleetClock
	regions []RegionStatus
}

func newPeerInfoSync(e *Engine, cfg peerinfo.Config) (*peerInfoSync, error) {
	cfg.Name, cfg.Incarnation = e.cfg.Name, e.incarnation
	t, err := peerinfo.New(cfg, rand.Uint64())
	if err != nil {
		return nil, fmt.Errorf("the fleet: %w", err)
	}
	return &peerInfoSync{e: e, table: t, cfg: cfg, inbox: queue.NewEvicting[peerInfoEvent](peerInfoQueueLength), checkedAt: time.Now()}, nil
}

// receive queues a message of the member in a slot. It never waits.
func (n *peerInfoSync) receive(from int, data []byte) {
	if n != nil {
		n.inbox.Put(peerInfoEvent{from: from, data: append([]byte(nil), data...)})
	}
}

// memberLeft queues that a member left the fleet.
func (n *peerInfoSync) memberLeft(m fleet.Member) {
	if n != nil {
		n.inbox.Put(peerInfoEvent{left: m})
	}
}

// run is the loop that owns the table, until the context ends.
func (n *peerInfoSync) run(ctx context.Context) {
	ticker := time.NewTicker(n.cfg.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-n.inbox.Ready():
			n.detectSuspend()
			for m, ok := n.inbox.Take(); ok; m, ok = n.inbox.Take() {
				n.handle(m)
			}
		case <-ticker.C:
			n.detectSuspend()
			n.publish()
			n.query()
		case <-ctx.Done():
			return
		}
		n.updateSnapshot()
	}
}

func (n *peerInfoSync) now() time.Duration { return time.Since(n.e.start) }

// detectSuspend checks whether the machine was suspended: its monotonic clock stood still then, and its wall clock did
// not. A wall clock that was set forward looks the same, and only makes ages higher than they are.
func (n *peerInfoSync) detectSuspend() {
	now := time.Now()
	if suspended := now.Round(0).Sub(n.checkedAt.Round(0)) - now.Sub(n.checkedAt); suspended > minSuspend {
		n.table.AdjustForSuspend(n.now(), suspended)
	}
	n.checkedAt = now
}

func (n *peerInfoSync) handle(m peerInfoEvent) {
	if m.data == nil {
		n.table.RemoveMember(n.now(), m.left.Name, m.left.Incarnation)
		return
	}
	for _, reply := range n.table.HandleMessage(n.now(), m.data) {
		n.send(m.from, reply)
	}
}

// publish publishes a record about this member, dated before its content is read.
func (n *peerInfoSync) publish() {
	at := time.Now()
	s := selfRecord{Zone: n.e.cfg.Zone[:min(len(n.e.cfg.Zone), maxZoneBytes)], WallMillis: at.UnixMilli()}
	b, err := cbor.Marshal(&s)
	if err == nil {
		err = n.table.Publish(at.Sub(n.e.start), topicSelf, b)
	}
	if err != nil {
		n.e.log.Error("fleet: failed to publish this member's record", "err", err)
	}
}

// query sends a query to a few members that are alive, in random order.
func (n *peerInfoSync) query() {
	s := n.e.assignment.Load()
	var alive []int
	for slot, h := range s.Holders {
		if h.Name != "" && h.State == fleet.Alive && slot != s.Slot {
			alive = append(alive, slot)
		}
	}
	if s.Slot < 0 || len(alive) == 0 {
		return // members ignore messages of a sender without a slot
	}
	rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	query := n.table.NextQuery(n.now())
	for _, slot := range alive[:min(len(alive), n.cfg.Fanout)] {
		n.send(slot, query)
	}
}

func (n *peerInfoSync) send(slot int, data []byte) {
	if err := n.e.sendToSlot(slot, peerInfoFlag, string(data)); err != nil {
		n.e.log.Debug("failed to send a message of the peer information", "err", err) // the protocol treats it as lost
		return
	}
	n.messagesSent++
	n.bytesSent += uint64(len(data))
}

// updateSnapshot publishes what is known for the status.
func (n *peerInfoSync) updateSnapshot() {
	at := time.Now()
	now := at.Sub(n.e.start)
	snapshot := &peerInfoSnapshot{at: now, stats: PeerInfoStats{Queue: n.inbox.Stats(), Table: n.table.Stats(), MessagesSent: n.messagesSent, BytesSent: n.bytesSent}}
	for _, name := range n.table.KnownAuthors(now, topicSelf) {
		record, age, err := n.table.Lookup(now, name, topicSelf, n.cfg.Retention)
		var self selfRecord
		if err != nil || cbor.Unmarshal(record.Value, &self) != nil {
			continue
		}
		snapshot.members = append(snapshot.members, PeerInfoRow{Name: name, Zone: self.Zone, Age: age, WallMillis: self.WallMillis})
	}
	snapshot.clock = estimateFleetClock(snapshot.members, n.cfg.Name, at)
	snapshot.regions = n.windows.regionStatuses(*n.e.regions.Load(), snapshot.clock, at)
	n.snapshot.Store(snapshot)
}

// fillStatus adds what is known to a status, with ages as of its time. It may be called from any goroutine.
func (n *peerInfoSync) fillStatus(status *Status) {
	if n == nil {
		return
	}
	snapshot := n.snapshot.Load()
	if snapshot == nil {
		return
	}
	for _, row := range snapshot.members {
		row.Age = n.cfg.AdvanceAge(row.Age, snapshot.at, status.Now)
		status.PeerInfo = append(status.PeerInfo, row)
	}
	status.PeerInfoStats, status.Clock, status.Regions = snapshot.stats, snapshot.clock, snapshot.regions
}
