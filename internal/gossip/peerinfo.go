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
	peerInfoFlag        = 1 << 14 // in a message's place: it is news. Members of a version without news take it for a place that there is not
	maxPeerInfoBytes    = 1310    // bytes of it, in one datagram
	peerInfoQueueLength = 1024    // messages of news that wait to be heard; the oldest goes for a newer one
	maxZoneBytes        = 40      // bytes of a region's name that are told
	minSuspend          = 100 * time.Millisecond

	topicSelf peerinfo.Topic = 0 // what a member says of itself
)

// selfRecord is what a member says of itself.
type selfRecord struct {
	Zone       string `cbor:"1,keyasint,omitempty"`
	WallMillis int64  `cbor:"2,keyasint"` // when it said so, ms since 1970 by its own wall clock
}

// PeerInfoRow is what a member knows of another one, or of itself.
type PeerInfoRow struct {
	Name, Zone string
	Age        time.Duration // of what is known, at most, when the report was made
	WallMillis int64         `json:"Wall"` // when it was said, ms since 1970 by the other's wall clock
}

// PeerInfoStats are what became of messages of news.
type PeerInfoStats struct {
	Queue        queue.Stats `json:"Ring"`
	Table        peerinfo.Stats
	MessagesSent uint64 `json:"Sent"` // messages
	BytesSent    uint64 `json:"Bytes"`
}

// peerInfoSync is this member's part in what all know of each other. One goroutine owns the table. nil: there is none.
type peerInfoSync struct {
	e            *Engine
	table        *peerinfo.Table
	cfg          peerinfo.Config
	inbox        *queue.Evicting[peerInfoEvent]
	snapshot     atomic.Pointer[peerInfoSnapshot]
	messagesSent uint64
	bytesSent    uint64
	checkedAt    time.Time // of the last turn
	windows      windowCache
}

// peerInfoEvent is a message of the member in a place, or that a member left.
type peerInfoEvent struct {
	from int
	data []byte
	left fleet.Member
}

// peerInfoSnapshot is what is known, as of a time since the engine's start.
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

// receive takes a receive of the member in a place. It never waits.
func (n *peerInfoSync) receive(from int, data []byte) {
	if n != nil {
		n.inbox.Put(peerInfoEvent{from: from, data: append([]byte(nil), data...)})
	}
}

// memberLeft takes that a member said goodbye.
func (n *peerInfoSync) memberLeft(m fleet.Member) {
	if n != nil {
		n.inbox.Put(peerInfoEvent{left: m})
	}
}

// run is the goroutine of news, until the context ends.
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

// detectSuspend looks whether the machine slept, in which its monotonic clock stands still and its wall clock does not. A wall clock that is set
// forward looks the same, and makes all that is known older than it is: to the safe side.
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

// publish says of this member what is so now: the fact is born when what it tells was looked at.
func (n *peerInfoSync) publish() {
	at := time.Now()
	s := selfRecord{Zone: n.e.cfg.Zone[:min(len(n.e.cfg.Zone), maxZoneBytes)], WallMillis: at.UnixMilli()}
	b, err := cbor.Marshal(&s)
	if err == nil {
		err = n.table.Publish(at.Sub(n.e.start), topicSelf, b)
	}
	if err != nil {
		n.e.log.Error("fleet: news can't be told", "err", err)
	}
}

// query asks a few of those that are there, any of them.
func (n *peerInfoSync) query() {
	s := n.e.assignment.Load()
	var alive []int
	for slot, h := range s.Holders {
		if h.Name != "" && h.State == fleet.Alive && slot != s.Slot {
			alive = append(alive, slot)
		}
	}
	if s.Slot < 0 || len(alive) == 0 {
		return // nobody takes messages of who has no place
	}
	rand.Shuffle(len(alive), func(i, j int) { alive[i], alive[j] = alive[j], alive[i] })
	query := n.table.NextQuery(n.now())
	for _, slot := range alive[:min(len(alive), n.cfg.Fanout)] {
		n.send(slot, query)
	}
}

func (n *peerInfoSync) send(slot int, data []byte) {
	if err := n.e.sendToSlot(slot, peerInfoFlag, string(data)); err != nil {
		n.e.log.Debug("news was not sent", "err", err) // as if lost
		return
	}
	n.messagesSent++
	n.bytesSent += uint64(len(data))
}

// updateSnapshot keeps what is known for the report.
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

// fillStatus adds what is known to a fillStatus, as of its time. It may be called from any goroutine.
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
