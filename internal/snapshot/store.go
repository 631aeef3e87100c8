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

	bucketsMu sync.Mutex // held while all buckets are looked through, and never by RecordChanges; taken before mu
	buckets   map[uint64]datedBucket

	mu             sync.Mutex             // held for a moment
	pending        map[uint64]datedBucket // what was noted since the buckets were looked through
	peers          map[string]recovery.PeerSummary
	servedRate     float64
	warmServerRate float64
	dirty          bool
	writable       bool
	version        recovery.SnapshotVersion // of the last image on the disk
	previous       *recovery.Snapshot       // of the time before, until Open; nil: none
	lastWriteTook  time.Duration            // that the last image took to be on the disk
	stats          Stats
}

// datedBucket is a bucket and when it was so full.
type datedBucket struct {
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
	return &Store{cfg: cfg, log: log, plans: recovery.PlansByName(cfg.Plans), buckets: map[uint64]datedBucket{}, pending: map[uint64]datedBucket{}, peers: map[string]recovery.PeerSummary{}}
}

// SetPrevious has the image of the time before stand for this process until Open: it has let nothing in, so what was true stays so if it
// ends before that.
func (s *Store) SetPrevious(previous *recovery.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.previous, s.version, s.peers = previous, previous.Version, previous.Peers
}

// StartWriting tells that the buckets of the time before have been handed in. kept: by the image of Before, whose line goes on; else a new one
// begins.
func (s *Store) StartWriting(continueLineage bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writable, s.previous = true, nil
	if !continueLineage {
		s.version = recovery.SnapshotVersion{Lineage: s.cfg.Incarnation}
	}
}

// RecordChanges takes customers whose buckets changed, the units that are answered a second, and the usual requests a second that a warm node
// is sent.
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

// mergePending takes in what was noted, and returns all buckets as they are now. Those that have leaked out are forgotten, and where more are left
// than may be kept the emptiest. It is called with all held.
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

// SetPeers keeps what is known of other members' last lives.
func (s *Store) SetPeers(peers map[string]recovery.PeerSummary) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !maps.Equal(s.peers, peers) {
		s.peers, s.dirty = peers, true
	}
}

// Snapshot is what is kept, as of now.
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

// Stats tells its figures.
func (s *Store) Stats() Stats {
	s.bucketsMu.Lock()
	defer s.bucketsMu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats
	stats.Customers = len(s.buckets)
	return stats
}

// Run writes an image as often as was said, if anything changed, until the context ends; then it writes the last one.
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

// write writes an image if one is owed. The first failure and the end of it are lines in the log.
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
			s.log.Error("power: the state was not kept; after a loss buckets begin as they last were on the disk", "err", err)
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
		s.log.Warn("power: the disk is slow", "took", took)
	}
}

const slowWrite = time.Second // of a write: so much more may be passed on after a loss
