package daemon

import (
	"context"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"sloepick/decide"
	"sloepick/internal/daemonconfig"
	"sloepick/internal/gateway"
	"sloepick/internal/gossip"
	"sloepick/internal/recovery"
	"sloepick/internal/snapshot"
)

const bootFile = "/proc/sys/kernel/random/boot_id" // proc(5)

// clocks is what clocks show now: the wall clock, and the boot's own, which goes on while the machine sleeps (CLOCK_BOOTTIME,
// clock_gettime(2)). A system without them tells the wall clock alone.
var clocks = func() recovery.ClockReading {
	c := recovery.ClockReading{Wall: time.Now().Round(0)}
	id, err := os.ReadFile(bootFile)
	var up unix.Timespec
	if err == nil && unix.ClockGettime(unix.CLOCK_BOOTTIME, &up) == nil {
		c.BootID, c.Uptime = strings.TrimSpace(string(id)), time.Duration(up.Nano())
	}
	return c
}

// power makes the gateway come back as the operators' file says, and be asked by others of its fleet, if it is in one. What is kept is
// written until the function that it returns is called, and once more then.
func (r *reloader) power() (end func(), err error) {
	b := daemonconfig.Power(r.now)
	if b == nil {
		return func() {}, nil
	}
	now := clocks()
	set := &r.cfg.Settings.Decide
	self := recovery.LocalMember{Name: r.cfg.Name, Plans: set.Plans}
	life := uint64(max(0, now.Wall.UnixMilli()))
	if r.member != nil {
		life = r.member.Incarnation()
	}
	var img *recovery.Snapshot
	verdict := recovery.SnapshotMissing
	if b.SnapshotFile != "" {
		if r.lock, err = snapshot.Lock(b.SnapshotFile + ".lock"); err != nil {
			return nil, err
		}
		if img, verdict, err = snapshot.Load(snapshot.OSFS{}, b.SnapshotFile); err != nil {
			r.log.Error("power: the state is not used", "file", b.SnapshotFile, "err", err)
		}
	}
	keeper := snapshot.NewStore(snapshot.Config{FS: snapshot.OSFS{}, Path: b.SnapshotFile, Interval: b.SnapshotInterval, MaxCustomers: b.MaxCustomers, Member: self.Name,
		Incarnation: life, Plans: set.Plans, Clock: clocks}, r.log)
	start := recovery.NewCollector(self, now, img, verdict)
	if img != nil && img.Name == self.Name {
		keeper.SetPrevious(img)
	} else if img != nil {
		r.log.Error("power: the state is another member's and is set aside", "file", b.SnapshotFile, "member", img.Name)
		if err := snapshot.SetAside(snapshot.OSFS{}, b.SnapshotFile); err != nil {
			r.log.Error("power: the state was not set aside", "err", err)
		}
	}
	phase := &atomic.Int64{}
	set.TrackChanges = true
	r.cfg.Recovery = &gateway.RecoveryConfig{Start: start, Store: keeper, SaveInterval: b.SnapshotInterval, Clock: clocks,
		Service: recovery.AdmissionConfig{ColdCapacity: set.Safety.ColdCapacity, ColdDuration: set.Safety.ColdDuration, ColdLoadFactor: decide.ColdLoadFactor(set.Safety), MaxRetryAfter: set.Limits.MaxRetryAfter,
			MaxUnits: set.MaxUnits, MaxPrice: dearest(r.cfg), Seed: uint64(r.cfg.Seed)},
		OnPhase: func(p recovery.Phase) { phase.Store(int64(p)) }}
	if r.member != nil {
		plans := recovery.PlansByName(set.Plans)
		r.member.SetRecoverySource(gossip.RecoverySource{Phase: func() string { return recovery.Phase(phase.Load()).String() }, Snapshot: func() recovery.PeerSnapshot {
			return keeper.Snapshot().ForPeer(clocks(), plans, recovery.Phase(phase.Load()) < recovery.PhaseFull)
		}})
	}
	ctx, stop := context.WithCancel(context.Background())
	var kept sync.WaitGroup
	kept.Go(func() { keeper.Run(ctx) })
	return func() {
		stop()
		kept.Wait()
	}, nil
}

// dearest is the highest price of a plan.
func dearest(cfg *gateway.Config) (price float64) {
	for _, p := range cfg.Settings.Decide.Plans {
		price = max(price, p.Price)
	}
	return price
}
