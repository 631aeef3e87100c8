package simulation

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"sloepick/internal/fleet"
	"sloepick/internal/testbed/seeds"
)

var large = flag.Bool("large", false, "play fleets of 600 and 2,000 members too")

const start = time.Hour

// sizes are the numbers of members that are played: the first of those named alone with -short, as under the race detector, which makes
// virtual time ten times as dear and finds nothing in one goroutine; 2,000, and those beyond the second, with -large alone.
func sizes(all ...int) []int {
	switch {
	case *large:
		return append(all, 2000)
	case testing.Short():
		return all[:1]
	}
	return all[:2]
}

// trial is a fleet under watch: no place may be used by two for longer than it takes to hear of it.
type trial struct {
	t     *testing.T
	f     *Fleet
	using map[int][]*Member // by place
	both  map[int]time.Duration
	worst time.Duration // for which a place was used by two
}

func newTrial(t *testing.T, seed uint64, n int) *trial {
	k := NewKernel(seed, start)
	net := NewNetwork(k, 200*time.Microsecond, 2*time.Millisecond)
	conf := fleet.DefaultConfig()
	conf.Slots, conf.ExpectedMembers = n, n
	x := &trial{t: t, f: NewFleet(k, net, conf), using: map[int][]*Member{}, both: map[int]time.Duration{}}
	x.f.OnAssignment = x.watch
	for range n {
		x.f.AddMember()
	}
	return x
}

func (x *trial) watch(m *Member, s fleet.Assignment) {
	now := x.f.Kernel.Now()
	for p, by := range x.using {
		if i := slices.Index(by, m); i >= 0 {
			if x.using[p] = slices.Delete(by, i, i+1); len(by) == 2 {
				x.worst = max(x.worst, now-x.both[p])
				delete(x.both, p)
			}
		}
	}
	if s.Slot >= 0 {
		if x.using[s.Slot] = append(x.using[s.Slot], m); len(x.using[s.Slot]) == 2 {
			x.both[s.Slot] = now
		}
	}
}

// joinAll starts all members within a second, by one seed.
func (x *trial) joinAll() {
	rnd := x.f.Kernel.RandomStream("joins")
	for i, m := range x.f.Members {
		x.f.Kernel.After(time.Duration(rnd.Int64N(int64(time.Second))), func() {
			if i == 0 {
				m.Start()
			} else {
				m.Start(0)
			}
		})
	}
}

// until runs until something holds, and tells how long that took.
func (x *trial) until(what string, within time.Duration, holds func() bool) time.Duration {
	x.t.Helper()
	from := x.f.Kernel.Now()
	for !holds() {
		if x.f.Kernel.Now()-from > within {
			x.report()
			x.t.Fatalf("%s: not within %v", what, within)
		}
		x.f.Kernel.RunUntil(x.f.Kernel.Now() + 50*time.Millisecond)
	}
	return x.f.Kernel.Now() - from
}

func (x *trial) report() {
	n := 0
	for _, m := range x.f.Members {
		if s := m.Table.Assignment(); m.Up && (s.Slot < 0 || s.Isolated) && n < 5 {
			n++
			x.t.Logf("%s: place %d, alone %v, %d rows", m.name, s.Slot, s.Isolated, len(m.Table.Members()))
		}
	}
}

func (x *trial) up() (all []*Member) {
	for _, m := range x.f.Members {
		if m.Up {
			all = append(all, m)
		}
	}
	return all
}

// agreed reports that all members that are up have a place of their own and the same table.
func (x *trial) agreed() bool {
	var first []fleet.Holder
	for _, m := range x.up() {
		s := m.Table.Assignment()
		if first == nil {
			first = s.Holders
		}
		if s.Slot < 0 || s.Isolated || s.Holders[s.Slot].Name != m.name || !slices.Equal(first, s.Holders) {
			return false
		}
	}
	return first != nil
}

// lost reports that all of some members know that one is lost.
func lost(among []*Member, name string) bool {
	return !slices.ContainsFunc(among, func(m *Member) bool {
		state, known := m.Table.MemberState(name)
		return known && state == fleet.Alive
	})
}

// TestFleetInVirtualTime plays what happens to fleets. The times are bounds of a plain run; -large adds 600 and 2,000 members.
func TestFleetInVirtualTime(t *testing.T) {
	for _, n := range sizes(20, 200, 600) {
		list := []uint64{1}
		if n == 20 {
			list = []uint64{1, 2, 3}
		}
		t.Run(fmt.Sprintf("members=%d", n), func(t *testing.T) {
			seeds.Run(t, list, func(t *testing.T, seed uint64) { playFleet(t, seed, n) })
		})
	}
}

func playFleet(t *testing.T, seed uint64, n int) {
	x := newTrial(t, seed, n)
	x.joinAll()
	t.Logf("all placed and agreed %v after the first start", x.until("joining", 5*time.Minute, x.agreed))

	x.f.Kernel.RunUntil(x.f.Kernel.Now() + 30*time.Second)
	before := x.f.PacketsSent
	x.f.Kernel.RunUntil(x.f.Kernel.Now() + 20*time.Second)
	t.Logf("%.1f packets a member and second at rest", float64(x.f.PacketsSent-before)/20/float64(n))

	victim := x.f.Members[n/2]
	rest := slices.DeleteFunc(x.up(), func(m *Member) bool { return m == victim })
	victim.Kill()
	first := x.until("the first to know", time.Minute, func() bool {
		return slices.ContainsFunc(rest, func(m *Member) bool { return lost([]*Member{m}, victim.name) })
	})
	t.Logf("a death noticed after %v, known to all %v later", first, x.until("all to know", 30*time.Second, func() bool { return lost(rest, victim.name) }))
	place := victim.LastClaim.Slot
	victim.Start(0)
	t.Logf("back in its place after %v", x.until("coming back", 30*time.Second, x.agreed))
	if victim.LastClaim.Slot != place {
		t.Errorf("it held place %d and came back to %d", place, victim.LastClaim.Slot)
	}

	half := map[*Member]int{}
	for _, m := range x.f.Members[n/2:] {
		half[m] = m.LastClaim.Slot
		m.Kill()
	}
	for m := range half {
		x.f.Kernel.After(500*time.Millisecond, func() { m.Start(0, 1) })
	}
	t.Logf("half restarted at once, all in their places after %v", x.until("half restarting", time.Minute, func() bool { return len(x.up()) == n && x.agreed() }))
	for m, place := range half {
		if m.LastClaim.Slot != place {
			t.Errorf("%s held place %d and came back to %d", m.name, place, m.LastClaim.Slot)
		}
	}

	x.f.Kernel.RunUntil(x.f.Kernel.Now() + 10*time.Second) // until the engines too know all new processes
	x.powerLoss()
	x.f.Kernel.RunUntil(x.f.Kernel.Now() + 10*time.Second)
	x.part(n / 2)
	x.part(n - 1)

	sleeper := x.f.Members[n/3]
	sleeper.Pause()
	x.f.Kernel.RunUntil(x.f.Kernel.Now() + 10*time.Second)
	var woke []int
	x.f.OnAssignment = func(m *Member, s fleet.Assignment) {
		if x.watch(m, s); m == sleeper {
			woke = append(woke, s.Slot)
		}
	}
	sleeper.Resume()
	x.f.Kernel.RunUntil(x.f.Kernel.Now() + tickInterval)
	if len(woke) == 0 || woke[0] >= 0 {
		t.Errorf("it went on as if it had not stood still: %v", woke)
	}
	t.Logf("one that stood still for 10 s is in its place again after %v", x.until("waking", 30*time.Second, x.agreed))

	leaver := x.f.Members[n/4]
	leaver.Leave()
	t.Logf("a goodbye known to all after %v", x.until("a goodbye", 10*time.Second, func() bool { return x.vacant(leaver.name) }))
	leaver.Start(0)
	x.until("coming back from a goodbye", 30*time.Second, x.agreed)

	x.f.Net.LossRate, x.f.Net.DuplicateRate = 0.1, 0.05
	x.f.Kernel.RunUntil(x.f.Kernel.Now() + time.Minute)
	x.f.Net.LossRate, x.f.Net.DuplicateRate = 0, 0
	t.Logf("after a minute of 10%% loss and 5%% doubling all agree after %v", x.until("after loss", 30*time.Second, x.agreed))
	if x.worst > 0 {
		t.Errorf("a place was used by two for %v", x.worst)
	}
}

// powerLoss has all members lose their power at once and come back within a second, a tenth of them without a disk and so without a
// claim: those with one are in their places, and nobody's place is used by two.
func (x *trial) powerLoss() {
	x.t.Helper()
	n := len(x.f.Members)
	held := map[*Member]int{}
	for i, m := range x.f.Members {
		held[m] = m.LastClaim.Slot
		if m.Kill(); i%10 == 5 {
			m.LastClaim, held[m] = fleet.NoClaim, -1
		}
	}
	packets, rnd := x.f.PacketsSent, x.f.Kernel.RandomStream("power")
	for _, m := range x.f.Members {
		x.f.Kernel.After(time.Duration(rnd.Int64N(int64(time.Second))), func() { m.Start(0, 1) })
	}
	took := x.until("coming back from a loss of power", time.Minute, func() bool { return len(x.up()) == n && x.agreed() })
	x.t.Logf("power lost everywhere: all agree after %v, by %.0f packets a member and second", took, float64(x.f.PacketsSent-packets)/took.Seconds()/float64(n))
	for m, place := range held {
		if place >= 0 && m.LastClaim.Slot != place {
			x.t.Errorf("%s held place %d and came back to %d", m.name, place, m.LastClaim.Slot)
		}
	}
}

// vacant reports that nobody takes a name for a holder.
func (x *trial) vacant(name string) bool {
	return !slices.ContainsFunc(x.up(), func(m *Member) bool {
		return slices.ContainsFunc(m.Table.Assignment().Holders, func(h fleet.Holder) bool { return h.Name == name && h.State == fleet.Alive })
	})
}

// part cuts a fleet in two, has members on both sides start anew, and heals it: the side without a majority knows it, and nobody
// gets a place that another may have.
func (x *trial) part(at int) {
	x.t.Helper()
	n := len(x.f.Members)
	x.f.Net.Partitioned = func(from, to int) bool { return (from < at) != (to < at) }
	small := x.f.Members[at:]
	if 2*at == n {
		small = x.f.Members
	}
	took := x.until("knowing of the cut", 5*time.Minute, func() bool {
		return !slices.ContainsFunc(small, func(m *Member) bool { return !m.Table.Assignment().Isolated })
	})
	x.f.Kernel.RunUntil(x.f.Kernel.Now() + 20*time.Second)
	for _, m := range x.f.Members {
		if s := m.Table.Assignment(); s.Slot < 0 {
			x.t.Errorf("%s gave its place up within its lease", m.name)
		}
	}
	x.f.Net.Partitioned = nil
	x.t.Logf("cut %d to %d: known after %v, healed after %v", at, n-at, took, x.until("healing", 2*time.Minute, x.agreed))
}
