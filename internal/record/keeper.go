package record

import (
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
	FS    FS
	File  string        // "": nothing is written, and others are told all the same
	Every time.Duration // from one image to the next
	Most  int           // customers; the emptiest go where there are more
	Name  string
	Life  uint64 // of the process: a line of images that it begins goes by it
	Plans []decide.Plan
	Clock func() recovery.Clock
}

// Keeper owns a member's image. The loop hands it what changed, and never waits for the disk.
type Keeper struct {
	cfg   Config
	plans map[string]*decide.Plan
	log   *slog.Logger

	mu      sync.Mutex
	buckets map[uint64]kept
	seen    map[string]recovery.Seen
	work    float64
	sends   float64
	dirty   bool
	opened  bool
	mark    recovery.Mark   // of the last image on the disk
	before  *recovery.Image // of the time before, until Open; nil: none
	took    time.Duration   // that the last image took to be on the disk
	stats   Stats
}

// kept is a bucket and when it was so full.
type kept struct {
	recovery.Bucket
	at recovery.Clock
}

// Stats are a Keeper's figures, for operators.
type Stats struct {
	Images, Bytes, Failed uint64
	Customers             int
	Dropped               uint64        // for want of room
	Behind                time.Duration // since the last image, while one is owed
	Failing               bool
}

// NewKeeper makes one, with an empty image.
func NewKeeper(cfg Config, log *slog.Logger) *Keeper {
	return &Keeper{cfg: cfg, log: log, plans: recovery.PlansOf(cfg.Plans), buckets: map[uint64]kept{}, seen: map[string]recovery.Seen{}}
}

// Before has the image of the time before stand for this process until Open: it has let nothing in, so what was true stays so if it
// ends before that.
func (k *Keeper) Before(img *recovery.Image) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.before, k.mark, k.seen = img, img.Mark, img.Seen
}

// Open tells that the buckets of the time before have been handed in. kept: by the image of Before, whose line goes on; else a new one
// begins.
func (k *Keeper) Open(kept bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.opened, k.before = true, nil
	if !kept {
		k.mark = recovery.Mark{Line: k.cfg.Life}
	}
}

// Note takes customers whose buckets changed, the units that are answered a second, and the usual requests a second that a warm node
// is sent.
func (k *Keeper) Note(changed []decide.Memory, work, sends float64) {
	now := k.cfg.Clock()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.work, k.sends = work, sends
	k.dirty = k.dirty || len(changed) > 0
	for _, m := range changed {
		if m.Plan < 0 || m.Plan >= len(k.cfg.Plans) {
			continue
		}
		if _, known := k.buckets[m.Key]; !known && len(k.buckets) >= k.cfg.Most && !k.room(now) {
			k.stats.Dropped++
			continue
		}
		k.buckets[m.Key] = kept{recovery.Bucket{Key: m.Key, Plan: k.cfg.Plans[m.Plan].Name, First: m.First, Of: m.Spread, Fill: m.Fill}, now}
	}
}

// room drops what has leaked out, and where that is not enough the emptiest eighth.
func (k *Keeper) room(now recovery.Clock) bool {
	all := k.aged(now)
	if len(all) >= k.cfg.Most {
		for _, b := range recovery.Fullest(all, len(all))[k.cfg.Most*7/8:] {
			delete(k.buckets, b.Key)
			k.stats.Dropped++
		}
	}
	return len(k.buckets) < k.cfg.Most
}

// aged are the buckets as they are now. Those that have leaked out are forgotten.
func (k *Keeper) aged(now recovery.Clock) (all []recovery.Bucket) {
	for key, b := range k.buckets {
		one := recovery.Image{Buckets: []recovery.Bucket{b.Bucket}}
		left := one.Aged(now.Since(b.at), k.plans)
		if len(left) == 0 {
			delete(k.buckets, key)
			continue
		}
		all = append(all, left...)
	}
	return all
}

// Heard keeps what is known of other members' last lives.
func (k *Keeper) Heard(seen map[string]recovery.Seen) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !maps.Equal(k.seen, seen) {
		k.seen, k.dirty = seen, true
	}
}

// Image is what is kept, as of now.
func (k *Keeper) Image() *recovery.Image {
	now := k.cfg.Clock()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.before != nil {
		return k.before
	}
	img := &recovery.Image{Name: k.cfg.Name, Mark: k.mark, Clock: now, Every: k.cfg.Every + k.took, Work: k.work, Sends: k.sends, Buckets: k.aged(now), Seen: k.seen}
	slices.SortFunc(img.Buckets, func(a, b recovery.Bucket) int { return int(int64(a.Key) - int64(b.Key)) })
	return img
}

// Stats tells its figures.
func (k *Keeper) Stats() Stats {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.stats
	s.Customers = len(k.buckets)
	return s
}

// Serve writes an image as often as was said, if anything changed, until the context ends; then it writes the last one.
func (k *Keeper) Serve(ctx context.Context) {
	if k.cfg.File == "" {
		return
	}
	t := time.NewTicker(k.cfg.Every)
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
func (k *Keeper) write() {
	k.mu.Lock()
	owed := k.dirty && k.opened
	k.dirty = k.dirty && !owed
	k.mu.Unlock()
	if !owed {
		return
	}
	began, img := k.cfg.Clock(), k.Image()
	img.Mark.Count++
	n, err := Write(k.cfg.FS, k.cfg.File, img)
	took := k.cfg.Clock().Since(began)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.took = took
	was := k.stats.Failing
	k.stats.Failing = err != nil
	if err != nil {
		k.stats.Failed++
		k.stats.Behind += k.cfg.Every
		k.dirty = true
		if !was {
			k.log.Error("power: the state was not kept; after a loss buckets begin as they last were on the disk", "err", err)
		}
		return
	}
	k.mark = img.Mark
	k.stats.Images++
	k.stats.Bytes += uint64(n)
	k.stats.Behind = 0
	if was {
		k.log.Info("power: the state is kept again")
	}
	if took > slowFrom {
		k.log.Warn("power: the disk is slow", "took", took)
	}
}

const slowFrom = time.Second // of a write: so much more may be passed on after a loss
