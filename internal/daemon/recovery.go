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

const bootIDFile = "/proc/sys/kernel/random/boot_id" // see proc(5)

// readClocks reads the wall clock, the boot's ID and the time since the boot, which includes suspended time (CLOCK_BOOTTIME,
// clock_gettime(2)). On a system without these it reads the wall clock alone. It is a variable so that tests can shift the clocks.
var readClocks = func() recovery.ClockReading {
	c := recovery.ClockReading{Wall: time.Now().Round(0)}
	id, err := os.ReadFile(bootIDFile)
	var up unix.Timespec
	if err == nil && unix.ClockGettime(unix.CLOCK_BOOTTIME, &up) == nil {
		c.BootID, c.Uptime = strings.TrimSpace(string(id)), time.Duration(up.Nano())
	}
	return c
}

// startRecovery sets up the gateway's recovery after a restart if the operators' file has the block power: it loads the saved
// state, and lets other members of the fleet, if there is one, request it. Snapshots are written until the returned function is
// called, which writes a last one if anything has changed.
func (r *reloader) startRecovery() (end func(), err error) {
	b := daemonconfig.Power(r.current)
	if b == nil {
		return func() {}, nil
	}
	now := readClocks()
	settings := &r.cfg.Settings.Decide
	self := recovery.LocalMember{Name: r.cfg.Name, Plans: settings.Plans}
	incarnation := uint64(max(0, now.Wall.UnixMilli()))
	if r.member != nil {
		incarnation = r.member.Incarnation()
	}
	var saved *recovery.Snapshot
	status := recovery.SnapshotMissing
	if b.SnapshotFile != "" {
		if r.stateLock, err = snapshot.Lock(b.SnapshotFile + ".lock"); err != nil {
			return nil, err
		}
		if saved, status, err = snapshot.Load(snapshot.OSFS{}, b.SnapshotFile); err != nil {
			r.log.Error("power: the saved state cannot be used", "file", b.SnapshotFile, "err", err)
		}
	}
	store := snapshot.NewStore(snapshot.Config{FS: snapshot.OSFS{}, Path: b.SnapshotFile, Interval: b.SnapshotInterval, MaxCustomers: b.MaxCustomers, Member: self.Name,
		Incarnation: incarnation, Plans: settings.Plans, Clock: readClocks}, r.log)
	collector := recovery.NewCollector(self, now, saved, status)
	if saved != nil && saved.Name == self.Name {
		store.SetPrevious(saved)
	} else if saved != nil {
		r.log.Error("power: the state is another member's and is set aside", "file", b.SnapshotFile, "member", saved.Name)
		if err := snapshot.SetAside(snapshot.OSFS{}, b.SnapshotFile); err != nil {
			r.log.Error("power: setting the state file aside failed", "err", err)
		}
	}
	phase := &atomic.Int64{}
	settings.TrackChanges = true
	r.cfg.Recovery = &gateway.RecoveryConfig{Start: collector, Store: store, SaveInterval: b.SnapshotInterval, Clock: readClocks,
		Service: recovery.AdmissionConfig{ColdCapacity: settings.Safety.ColdCapacity, ColdDuration: settings.Safety.ColdDuration, ColdLoadFactor: decide.ColdLoadFactor(settings.Safety), MaxRetryAfter: settings.Limits.MaxRetryAfter,
			MaxUnits: settings.MaxUnits, MaxPrice: highestPlanPrice(r.cfg), Seed: uint64(r.cfg.Seed)},
		OnPhase: func(p recovery.Phase) { phase.Store(int64(p)) }}
	if r.member != nil {
		plans := recovery.PlansByName(settings.Plans)
		r.member.SetRecoverySource(gossip.RecoverySource{Phase: func() string { return recovery.Phase(phase.Load()).String() }, Snapshot: func() recovery.PeerSnapshot {
			return store.Snapshot().ForPeer(readClocks(), plans, recovery.Phase(phase.Load()) < recovery.PhaseFull)
		}})
	}
	ctx, stop := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { store.Run(ctx) })
	return func() {
		stop()
		running.Wait()
	}, nil
}

// highestPlanPrice returns the highest price of any plan.
func highestPlanPrice(cfg *gateway.Config) (price float64) {
	for _, p := range cfg.Settings.Decide.Plans {
		price = max(price, p.Price)
	}
	return price
}
