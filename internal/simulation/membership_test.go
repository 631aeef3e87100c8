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

var large = flag.Bool("large", false, "also simulate fleets of 600 and 2,000 members")

const startTime = time.Hour

// fleetSizes returns the fleet sizes to simulate: the first of list with -short, the first two without, all of them and
// 2,000 with -large. -short is used with the race detector, under which a simulation takes ten times as long, and which
// finds nothing in a single goroutine.
func fleetSizes(list ...int) []int {
	switch {
	case *large:
		return append(list, 2000)
	case testing.Short():
		return list[:1]
	}
	return list[:2]
}

// harness is a fleet with a record of which members use each slot. No slot may be used by two members at once.
type harness struct {
	t               *testing.T
	f               *Fleet
	holders         map[int][]*Member // by slot
	conflictSince   map[int]time.Duration
	longestConflict time.Duration // longest time for which two members used one slot
}

func newHarness(t *testing.T, seed uint64, n int) *harness {
	k := NewKernel(seed, startTime)
	net := NewNetwork(k, 200*time.Microsecond, 2*time.Millisecond)
	conf := fleet.DefaultConfig()
	conf.Slots, conf.ExpectedMembers = n, n
	h := &harness{t: t, f: NewFleet(k, net, conf), holders: map[int][]*Member{}, conflictSince: map[int]time.Duration{}}
	h.f.OnAssignment = h.recordAssignment
	for range n {
		h.f.AddMember()
	}
	return h
}

// recordAssignment updates the users of all slots after a change of a member's assignment.
func (h *harness) recordAssignment(m *Member, a fleet.Assignment) {
	now := h.f.Kernel.Now()
	for slot, members := range h.holders {
		if i := slices.Index(members, m); i >= 0 {
			if h.holders[slot] = slices.Delete(members, i, i+1); len(members) == 2 {
				h.longestConflict = max(h.longestConflict, now-h.conflictSince[slot])
				delete(h.conflictSince, slot)
			}
		}
	}
	if a.Slot >= 0 {
		if h.holders[a.Slot] = append(h.holders[a.Slot], m); len(h.holders[a.Slot]) == 2 {
			h.conflictSince[a.Slot] = now
		}
	}
}

// startAll starts all members at random times within a second. They join through the first one.
func (h *harness) startAll() {
	rnd := h.f.Kernel.RandomStream("joins")
	for i, m := range h.f.Members {
		h.f.Kernel.After(time.Duration(rnd.Int64N(int64(time.Second))), func() {
			if i == 0 {
				m.Start()
			} else {
				m.Start(0)
			}
		})
	}
}

// waitFor runs the simulation until a condition holds and returns the virtual time that this took.
func (h *harness) waitFor(description string, timeout time.Duration, condition func() bool) time.Duration {
	h.t.Helper()
	began := h.f.Kernel.Now()
	for !condition() {
		if h.f.Kernel.Now()-began > timeout {
			h.logUnassigned()
			h.t.Fatalf("%s: condition not met within %v", description, timeout)
		}
		h.f.Kernel.RunUntil(h.f.Kernel.Now() + 50*time.Millisecond)
	}
	return h.f.Kernel.Now() - began
}

// logUnassigned logs up to five running members that are isolated or have no slot.
func (h *harness) logUnassigned() {
	logged := 0
	for _, m := range h.f.Members {
		if s := m.Table.Assignment(); m.Up && (s.Slot < 0 || s.Isolated) && logged < 5 {
			logged++
			h.t.Logf("%s: slot %d, isolated %v, %d members known", m.name, s.Slot, s.Isolated, len(m.Table.Members()))
		}
	}
}

func (h *harness) running() (all []*Member) {
	for _, m := range h.f.Members {
		if m.Up {
			all = append(all, m)
		}
	}
	return all
}

// converged reports whether all running members have a slot of their own and list the same holders of slots.
func (h *harness) converged() bool {
	var first []fleet.Holder
	for _, m := range h.running() {
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

// allConsiderLost reports whether no observer lists the named member as alive.
func allConsiderLost(observers []*Member, name string) bool {
	return !slices.ContainsFunc(observers, func(m *Member) bool {
		state, known := m.Table.MemberState(name)
		return known && state == fleet.Alive
	})
}

// TestMembership puts fleets through joins, deaths, restarts, a power loss, partitions, a paused process, a leave and packet
// loss, and checks that they converge in time and never use a slot twice. -large adds 600 and 2,000 members.
func TestMembership(t *testing.T) {
	for _, n := range fleetSizes(20, 200, 600) {
		seedList := []uint64{1}
		if n == 20 {
			seedList = []uint64{1, 2, 3}
		}
		t.Run(fmt.Sprintf("members=%d", n), func(t *testing.T) {
			seeds.Run(t, seedList, func(t *testing.T, seed uint64) { testMembership(t, seed, n) })
		})
	}
}

func testMembership(t *testing.T, seed uint64, n int) {
	h := newHarness(t, seed, n)
	h.startAll()
	t.Logf("all members have slots and agree %v after the first start", h.waitFor("initial join", 5*time.Minute, h.converged))

	h.f.Kernel.RunUntil(h.f.Kernel.Now() + 30*time.Second)
	packetsBefore := h.f.PacketsSent
	h.f.Kernel.RunUntil(h.f.Kernel.Now() + 20*time.Second)
	t.Logf("%.1f packets per member and second when idle", float64(h.f.PacketsSent-packetsBefore)/20/float64(n))

	killed := h.f.Members[n/2]
	survivors := slices.DeleteFunc(h.running(), func(m *Member) bool { return m == killed })
	killed.Kill()
	firstNotice := h.waitFor("detection by the first member", time.Minute, func() bool {
		return slices.ContainsFunc(survivors, func(m *Member) bool { return allConsiderLost([]*Member{m}, killed.name) })
	})
	t.Logf("a failure was detected after %v and known to all members %v later", firstNotice, h.waitFor("detection by all members", 30*time.Second, func() bool { return allConsiderLost(survivors, killed.name) }))
	slot := killed.LastClaim.Slot
	killed.Start(0)
	t.Logf("the restarted member had its slot again after %v", h.waitFor("restart of one member", 30*time.Second, h.converged))
	if killed.LastClaim.Slot != slot {
		t.Errorf("the restarted member held slot %d before and %d after", slot, killed.LastClaim.Slot)
	}

	slots := map[*Member]int{}
	for _, m := range h.f.Members[n/2:] {
		slots[m] = m.LastClaim.Slot
		m.Kill()
	}
	for m := range slots {
		h.f.Kernel.After(500*time.Millisecond, func() { m.Start(0, 1) })
	}
	t.Logf("half of the members restarted at once; all had their slots again after %v", h.waitFor("restart of half the members", time.Minute, func() bool { return len(h.running()) == n && h.converged() }))
	for m, slot := range slots {
		if m.LastClaim.Slot != slot {
			t.Errorf("%s held slot %d before the restart and %d after", m.name, slot, m.LastClaim.Slot)
		}
	}

	h.f.Kernel.RunUntil(h.f.Kernel.Now() + 10*time.Second) // until the membership engines know all new processes, too
	h.testPowerLoss()
	h.f.Kernel.RunUntil(h.f.Kernel.Now() + 10*time.Second)
	h.testPartition(n / 2)
	h.testPartition(n - 1)

	paused := h.f.Members[n/3]
	paused.Pause()
	h.f.Kernel.RunUntil(h.f.Kernel.Now() + 10*time.Second)
	var slotsAfterResume []int
	h.f.OnAssignment = func(m *Member, s fleet.Assignment) {
		if h.recordAssignment(m, s); m == paused {
			slotsAfterResume = append(slotsAfterResume, s.Slot)
		}
	}
	paused.Resume()
	h.f.Kernel.RunUntil(h.f.Kernel.Now() + tickInterval)
	if len(slotsAfterResume) == 0 || slotsAfterResume[0] >= 0 {
		t.Errorf("the resumed member did not give up its slot first; its slots: %v", slotsAfterResume)
	}
	t.Logf("a member paused for 10 s had its slot again after %v", h.waitFor("resume after a pause", 30*time.Second, h.converged))

	leaver := h.f.Members[n/4]
	leaver.Leave()
	t.Logf("a leave was known to all members after %v", h.waitFor("leave", 10*time.Second, func() bool { return h.noneConsiderAlive(leaver.name) }))
	leaver.Start(0)
	h.waitFor("restart after a leave", 30*time.Second, h.converged)

	h.f.Net.LossRate, h.f.Net.DuplicateRate = 0.1, 0.05
	h.f.Kernel.RunUntil(h.f.Kernel.Now() + time.Minute)
	h.f.Net.LossRate, h.f.Net.DuplicateRate = 0, 0
	t.Logf("after a minute of 10%% packet loss and 5%% duplicates all members agree within %v", h.waitFor("recovery from packet loss", 30*time.Second, h.converged))
	if h.longestConflict > 0 {
		t.Errorf("two members used one slot for %v", h.longestConflict)
	}
}

// testPowerLoss ends all members at once and restarts them within a second, a tenth of them without a disk and so without
// their last claim. The members with a claim must get their slots back, and recordAssignment checks that no slot is used by
// two.
func (h *harness) testPowerLoss() {
	h.t.Helper()
	n := len(h.f.Members)
	slots := map[*Member]int{}
	for i, m := range h.f.Members {
		slots[m] = m.LastClaim.Slot
		if m.Kill(); i%10 == 5 {
			m.LastClaim, slots[m] = fleet.NoClaim, -1
		}
	}
	packetsBefore, rnd := h.f.PacketsSent, h.f.Kernel.RandomStream("power")
	for _, m := range h.f.Members {
		h.f.Kernel.After(time.Duration(rnd.Int64N(int64(time.Second))), func() { m.Start(0, 1) })
	}
	took := h.waitFor("recovery from the power loss", time.Minute, func() bool { return len(h.running()) == n && h.converged() })
	h.t.Logf("all members lost power: all agree after %v, with %.0f packets per member and second", took, float64(h.f.PacketsSent-packetsBefore)/took.Seconds()/float64(n))
	for m, slot := range slots {
		if slot >= 0 && m.LastClaim.Slot != slot {
			h.t.Errorf("%s held slot %d before the power loss and %d after", m.name, slot, m.LastClaim.Slot)
		}
	}
}

// noneConsiderAlive reports whether no running member lists the named one as an alive holder of a slot.
func (h *harness) noneConsiderAlive(name string) bool {
	return !slices.ContainsFunc(h.running(), func(m *Member) bool {
		return slices.ContainsFunc(m.Table.Assignment().Holders, func(holder fleet.Holder) bool { return holder.Name == name && holder.State == fleet.Alive })
	})
}

// testPartition splits the fleet in two before the member with index boundary, and heals it. The side without a majority,
// or both sides if they are equal, must notice that it is isolated, and no member may give up its slot within its lease.
func (h *harness) testPartition(boundary int) {
	h.t.Helper()
	n := len(h.f.Members)
	h.f.Net.Partitioned = func(from, to int) bool { return (from < boundary) != (to < boundary) }
	minority := h.f.Members[boundary:]
	if 2*boundary == n {
		minority = h.f.Members
	}
	took := h.waitFor("detection of the partition", 5*time.Minute, func() bool {
		return !slices.ContainsFunc(minority, func(m *Member) bool { return !m.Table.Assignment().Isolated })
	})
	h.f.Kernel.RunUntil(h.f.Kernel.Now() + 20*time.Second)
	for _, m := range h.f.Members {
		if s := m.Table.Assignment(); s.Slot < 0 {
			h.t.Errorf("%s gave up its slot within its lease", m.name)
		}
	}
	h.f.Net.Partitioned = nil
	h.t.Logf("partition of %d and %d members: detected after %v, healed after %v", boundary, n-boundary, took, h.waitFor("healing of the partition", 2*time.Minute, h.converged))
}
