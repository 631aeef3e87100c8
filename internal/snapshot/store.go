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

// Config configures a Store.
type Config struct {
	FS           FS
	Path         string        // of the file; "": nothing is written, but Snapshot works all the same
	Interval     time.Duration // between two writes
	MaxCustomers int           // beyond this number the customers with the emptiest buckets are dropped
	Member       string
	Incarnation  uint64 // of this process; identifies a lineage of snapshots that it begins
	Plans        []decide.Plan
	Clock        func() recovery.ClockReading
}

// Store owns the durable state of a member. The event loop passes changes to it, and never waits for the disk or for a pass over all
// buckets.
type Store struct {
	cfg   Config
	plans map[string]*decide.Plan
	log   *slog.Logger

	bucketsMu sync.Mutex // held during a pass over all buckets, never by RecordChanges; locked before mu
	buckets   map[uint64]datedBucket

	mu             sync.Mutex             // held only briefly
	pending        map[uint64]datedBucket // changes since the last pass over all buckets
	peers          map[string]recovery.PeerSummary
	servedRate     float64
	warmServerRate float64
	dirty          bool
	writable       bool
	version        recovery.SnapshotVersion // of the last snapshot on disk
	previous       *recovery.Snapshot       // snapshot from before the start, until StartWriting; nil: none
	lastWriteTook  time.Duration            // duration of the last write
	stats          Stats
}

// datedBucket is a bucket and the time to which its fill applies.
type datedBucket struct {
	recovery.Bucket
	at recovery.ClockReading
}

// Stats are the statistics of a Store.
type Stats struct {
	Writes, Bytes, Failures uint64
	Customers               int
	Dropped                 uint64        // customers dropped because of MaxCustomers
	Lag                     time.Duration // time without a successful write while writes fail
	Failing                 bool
}

// NewStore returns a Store without customers.
func NewStore(cfg Config, log *slog.Logger) *Store {
	return &Store{cfg: cfg, log: log, plans: recovery.PlansByName(cfg.Plans), buckets: map[uint64]datedBucket{}, pending: map[uint64]datedBucket{}, peers: map[string]recovery.PeerSummary{}}
}

// SetPrevious sets the snapshot from before the start, which Snapshot returns until StartWriting. Until then this process admits no
// request, so that snapshot stays valid even if the process ends.
func (s *Store) SetPrevious(previous *recovery.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.previous, s.version, s.peers = previous, previous.Version, previous.Peers
}

// StartWriting allows writes, as the buckets from before the start have been passed in. continueLineage: they come from the snapshot of
// SetPrevious, whose lineage is continued; otherwise a new one begins.
func (s *Store) StartWriting(continueLineage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writable, s.previous = true, nil
	if !continueLineage {
		s.version = recovery.SnapshotVersion{Lineage: s.cfg.Incarnation}
	}
}

// RecordChanges takes the buckets that changed, the units served a second, and the usual requests a second that a warm server is sent.
func (s *Store) RecordChanges(changed []decide.BucketSnapshot, servedRate, warmServerRate float64) {
	now := s.cfg.Clock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.servedRate, s.warmServerRate = servedRate, warmServerRate
	s.dirty = s.dirty || len(changed) > 0
	for _, bucket := range changed {
		if bucket.Plan < 0 || bucket.Plan >= len(s.cfg.Plans) {
			continue
		}
		if _, known := s.pending[bucket.Key]; !known && len(s.pending) >= s.cfg.MaxCustomers {
			s.stats.Dropped++
			continue
		}
		s.pending[bucket.Key] = datedBucket{recovery.Bucket{Key: bucket.Key, Plan: s.cfg.Plans[bucket.Plan].Name, FirstGateway: bucket.FirstGateway, GatewayCount: bucket.GatewayCount, Fill: bucket.Fill}, now}
	}
}

// mergePending merges the pending changes and returns all buckets as of now. It drops the buckets that have leaked out, and beyond
// MaxCustomers the emptiest. bucketsMu must be held.
func (s *Store) mergePending(now recovery.ClockReading) []recovery.Bucket {
	s.mu.Lock()
	pending := s.pending
	s.pending = map[uint64]datedBucket{}
	s.mu.Unlock()
	maps.Copy(s.buckets, pending)
	var buckets []recovery.Bucket
	for key, b := range s.buckets {
		if leaked, ok := b.AfterLeak(now.Since(b.at), s.plans[b.Plan]); ok {
			buckets = append(buckets, leaked)
		} else {
			delete(s.buckets, key)
		}
	}
	if excess := len(buckets) - s.cfg.MaxCustomers; excess > 0 {
		buckets = recovery.Fullest(buckets, len(buckets))
		for _, b := range buckets[s.cfg.MaxCustomers:] {
			delete(s.buckets, b.Key)
		}
		buckets = buckets[:s.cfg.MaxCustomers]
		s.mu.Lock()
		s.stats.Dropped += uint64(excess)
		s.mu.Unlock()
	}
	return buckets
}

// SetPeers sets the summaries of the other members.
func (s *Store) SetPeers(peers map[string]recovery.PeerSummary) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !maps.Equal(s.peers, peers) {
		s.peers, s.dirty = peers, true
	}
}

// Snapshot returns the state as of now, or before StartWriting the snapshot of SetPrevious if there is one.
func (s *Store) Snapshot() *recovery.Snapshot {
	now := s.cfg.Clock()
	s.bucketsMu.Lock()
	defer s.bucketsMu.Unlock()
	buckets := s.mergePending(now)
	slices.SortFunc(buckets, func(a, b recovery.Bucket) int { return cmp.Compare(a.Key, b.Key) })
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.previous != nil {
		return s.previous
	}
	return &recovery.Snapshot{Name: s.cfg.Member, Version: s.version, TakenAt: now, Interval: s.cfg.Interval + s.lastWriteTook, ServedRate: s.servedRate, WarmServerRate: s.warmServerRate, Buckets: buckets, Peers: s.peers}
}

// Stats returns the current statistics.
func (s *Store) Stats() Stats {
	s.bucketsMu.Lock()
	defer s.bucketsMu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Customers = len(s.buckets)
	return stats
}

// Run writes a snapshot in each interval in which something changed, until the context ends, and a last one then.
func (s *Store) Run(ctx context.Context) {
	if s.cfg.Path == "" {
		return
	}
	ticker := time.NewTicker(s.cfg.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.write()
		case <-ctx.Done():
			s.write()
			return
		}
	}
}

// write writes a snapshot if anything changed. It logs the first of several failures, and the first success after them.
func (s *Store) write() {
	s.mu.Lock()
	due := s.dirty && s.writable
	s.dirty = s.dirty && !due
	s.mu.Unlock()
	if !due {
		return
	}
	began, snap := s.cfg.Clock(), s.Snapshot()
	snap.Version.Sequence++
	n, err := Write(s.cfg.FS, s.cfg.Path, snap)
	took := s.cfg.Clock().Since(began)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastWriteTook = took
	wasFailing := s.stats.Failing
	s.stats.Failing = err != nil
	if err != nil {
		s.stats.Failures++
		s.stats.Lag += s.cfg.Interval
		s.dirty = true
		if !wasFailing {
			s.log.Error("power: writing the state failed; after a loss of power the buckets of the last snapshot on disk are restored", "err", err)
		}
		return
	}
	s.version = snap.Version
	s.stats.Writes++
	s.stats.Bytes += uint64(n)
	s.stats.Lag = 0
	if wasFailing {
		s.log.Info("power: the state is kept again")
	}
	if took > slowWrite {
		s.log.Warn("power: writing the state is slow", "took", took)
	}
}

// slowWrite is the duration from which on a write is logged as slow: the requests of that time are lost with the power, so customers can
// get that much more afterwards.
const slowWrite = time.Second
