package snapshot

import (
	"cmp"
	"context"
	"log/slog"
	"maps"
	"slices"
	"sync"
	"time"

	"sloepick/decide"
	"sloepick/internal/recovery"
)

// Config is what a Keeper keeps.
type Config struct {
	FS           FS
	Path         string        // "": nothing is written, and others are told all the same
	Interval     time.Duration // from one image to the next
	MaxCustomers int           // customers; the emptiest go where there are more
	Member       string
	Incarnation  uint64 // of the process: a line of images that it begins goes by it
	Plans        []decide.Plan
	Clock        func() recovery.ClockReading
}

// Store owns a member's image. The loop hands it what changed, and never waits for the disk, nor for who looks through all buckets.
type Store struct {
	cfg   Config
	plans map[string]*decide.Plan
	log   *slog.Logger

	all     sync.Mutex // held while all buckets are looked through, and never by RecordChanges; taken before mu
	buckets map[uint64]kept

	mu      sync.Mutex      // held for a moment
	pending map[uint64]kept // what was noted since the buckets were looked through
	seen    map[string]recovery.PeerSummary
	work    float64
	sends   float64
	dirty   bool
	opened  bool
	mark    recovery.SnapshotVersion // of the last image on the disk
	before  *recovery.Snapshot       // of the time before, until Open; nil: none
	took    time.Duration            // that the last image took to be on the disk
	stats   Stats
}

// kept is a bucket and when it was so full.
type kept struct {
	recovery.Bucket
	at recovery.ClockReading
}

// Stats are a Keeper's figures, for operators.
type Stats struct {
	Writes, Bytes, Failures uint64
	Customers               int
	Dropped                 uint64        // for want of room
	Lag                     time.Duration // since the last image, while one is owed
	Failing                 bool
}

// NewStore makes one, with an empty image.
func NewStore(cfg Config, log *slog.Logger) *Store {
	return &Store{cfg: cfg, log: log, plans: recovery.PlansByName(cfg.Plans), buckets: map[uint64]kept{}, pending: map[uint64]kept{}, seen: map[string]recovery.PeerSummary{}}
}

// SetPrevious has the image of the time before stand for this process until Open: it has let nothing in, so what was true stays so if it
// ends before that.
func (k *Store) SetPrevious(img *recovery.Snapshot) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.before, k.mark, k.seen = img, img.Version, img.Peers
}

// StartWriting tells that the buckets of the time before have been handed in. kept: by the image of Before, whose line goes on; else a new one
// begins.
func (k *Store) StartWriting(kept bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.opened, k.before = true, nil
	if !kept {
		k.mark = recovery.SnapshotVersion{Lineage: k.cfg.Incarnation}
	}
}

// RecordChanges takes customers whose buckets changed, the units that are answered a second, and the usual requests a second that a warm node
// is sent.
func (k *Store) RecordChanges(changed []decide.BucketSnapshot, work, sends float64) {
	now := k.cfg.Clock()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.work, k.sends = work, sends
	k.dirty = k.dirty || len(changed) > 0
	for _, m := range changed {
		if m.Plan < 0 || m.Plan >= len(k.cfg.Plans) {
			continue
		}
		if _, known := k.pending[m.Key]; !known && len(k.pending) >= k.cfg.MaxCustomers {
			k.stats.Dropped++
			continue
		}
		k.pending[m.Key] = kept{recovery.Bucket{Key: m.Key, Plan: k.cfg.Plans[m.Plan].Name, FirstGateway: m.FirstGateway, GatewayCount: m.GatewayCount, Fill: m.Fill}, now}
	}
}

// merged takes in what was noted, and returns all buckets as they are now. Those that have leaked out are forgotten, and where more are left
// than may be kept the emptiest. It is called with all held.
func (k *Store) merged(now recovery.ClockReading) []recovery.Bucket {
	k.mu.Lock()
	pending := k.pending
	k.pending = map[uint64]kept{}
	k.mu.Unlock()
	maps.Copy(k.buckets, pending)
	var left []recovery.Bucket
	for key, b := range k.buckets {
		if now, ok := b.AfterLeak(now.Since(b.at), k.plans[b.Plan]); ok {
			left = append(left, now)
		} else {
			delete(k.buckets, key)
		}
	}
	if over := len(left) - k.cfg.MaxCustomers; over > 0 {
		left = recovery.Fullest(left, len(left))
		for _, b := range left[k.cfg.MaxCustomers:] {
			delete(k.buckets, b.Key)
		}
		left = left[:k.cfg.MaxCustomers]
		k.mu.Lock()
		k.stats.Dropped += uint64(over)
		k.mu.Unlock()
	}
	return left
}

// SetPeers keeps what is known of other members' last lives.
func (k *Store) SetPeers(seen map[string]recovery.PeerSummary) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !maps.Equal(k.seen, seen) {
		k.seen, k.dirty = seen, true
	}
}

// Snapshot is what is kept, as of now.
func (k *Store) Snapshot() *recovery.Snapshot {
	now := k.cfg.Clock()
	k.all.Lock()
	defer k.all.Unlock()
	buckets := k.merged(now)
	slices.SortFunc(buckets, func(a, b recovery.Bucket) int { return cmp.Compare(a.Key, b.Key) })
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.before != nil {
		return k.before
	}
	return &recovery.Snapshot{Name: k.cfg.Member, Version: k.mark, TakenAt: now, Interval: k.cfg.Interval + k.took, ServedRate: k.work, WarmServerRate: k.sends, Buckets: buckets, Peers: k.seen}
}

// Stats tells its figures.
func (k *Store) Stats() Stats {
	k.all.Lock()
	defer k.all.Unlock()
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.stats
	s.Customers = len(k.buckets)
	return s
}

// Run writes an image as often as was said, if anything changed, until the context ends; then it writes the last one.
func (k *Store) Run(ctx context.Context) {
	if k.cfg.Path == "" {
		return
	}
	t := time.NewTicker(k.cfg.Interval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			k.write()
		case <-ctx.Done():
			k.write()
			return
		}
	}
}

// write writes an image if one is owed. The first failure and the end of it are lines in the log.
func (k *Store) write() {
	k.mu.Lock()
	owed := k.dirty && k.opened
	k.dirty = k.dirty && !owed
	k.mu.Unlock()
	if !owed {
		return
	}
	began, img := k.cfg.Clock(), k.Snapshot()
	img.Version.Sequence++
	n, err := Write(k.cfg.FS, k.cfg.Path, img)
	took := k.cfg.Clock().Since(began)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.took = took
	was := k.stats.Failing
	k.stats.Failing = err != nil
	if err != nil {
		k.stats.Failures++
		k.stats.Lag += k.cfg.Interval
		k.dirty = true
		if !was {
			k.log.Error("power: the state was not kept; after a loss buckets begin as they last were on the disk", "err", err)
		}
		return
	}
	k.mark = img.Version
	k.stats.Writes++
	k.stats.Bytes += uint64(n)
	k.stats.Lag = 0
	if was {
		k.log.Info("power: the state is kept again")
	}
	if took > slowFrom {
		k.log.Warn("power: the disk is slow", "took", took)
	}
}

const slowFrom = time.Second // of a write: so much more may be passed on after a loss
