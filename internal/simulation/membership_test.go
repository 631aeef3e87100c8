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

const startTime = time.Hour

// fleetSizes are the numbers of members that are played: the first of those named alone with -short, as under the race detector, which makes
// virtual time ten times as dear and finds nothing in one goroutine; 2,000, and those beyond the second, with -large alone.
func fleetSizes(list ...int) []int {
	switch {
	case *large:
		return append(list, 2000)
	case testing.Short():
		return list[:1]
	}
	return list[:2]
}

// harness is a fleet under watch: no place may be used by two for longer than it takes to hear of it.
type harness struct {
	t               *testing.T
	f               *Fleet
	holders         map[int][]*Member // by place
	conflictSince   map[int]time.Duration
	longestConflict time.Duration // for which a place was used by two
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

// startAll starts all members within a second, by one seed.
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

// waitFor runs waitFor something holds, and tells how long that took.
func (h *harness) waitFor(description string, timeout time.Duration, condition func() bool) time.Duration {
	h.t.Helper()
	began := h.f.Kernel.Now()
	for !condition() {
		if h.f.Kernel.Now()-began > timeout {
			h.logUnassigned()
			h.t.Fatalf("%s: not within %v", description, timeout)
		}
		h.f.Kernel.RunUntil(h.f.Kernel.Now() + 50*time.Millisecond)
	}
	return h.f.Kernel.Now() - began
}

func (h *harness) logUnassigned() {
	logged := 0
	for _, m := range h.f.Members {
		if s := m.Table.Assignment(); m.Up && (s.Slot < 0 || s.Isolated) && logged < 5 {
			logged++
			h.t.Logf("%s: place %d, alone %v, %d rows", m.name, s.Slot, s.Isolated, len(m.Table.Members()))
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

// converged reports that all members that are up have a place of their own and the same table.
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

// allConsiderLost reports that all of some members know that one is allConsiderLost.
func allConsiderLost(observers []*Member, name string) bool {
	return !slices.ContainsFunc(observers, func(m *Member) bool {
		state, known := m.Table.MemberState(name)
		return known && state == fleet.Alive
	})
}

// TestMembership plays what happens to fleets. The times are bounds of a plain run; -large adds 600 and 2,000 members.
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
	t.Logf("all placed and agreed %v after the first start", h.waitFor("joining", 5*time.Minute, h.converged))

	h.f.Kernel.RunUntil(h.f.Kernel.Now() + 30*time.Second)
	packetsBefore := h.f.PacketsSent
	h.f.Kernel.RunUntil(h.f.Kernel.Now() + 20*time.Second)
	t.Logf("%.1f packets a member and second at rest", float64(h.f.PacketsSent-packetsBefore)/20/float64(n))

	killed := h.f.Members[n/2]
	survivors := slices.DeleteFunc(h.running(), func(m *Member) bool { return m == killed })
	killed.Kill()
	firstNotice := h.waitFor("the first to know", time.Minute, func() bool {
		return slices.ContainsFunc(survivors, func(m *Member) bool { return allConsiderLost([]*Member{m}, killed.name) })
	})
	t.Logf("a death noticed after %v, known to all %v later", firstNotice, h.waitFor("all to know", 30*time.Second, func() bool { return allConsiderLost(survivors, killed.name) }))
	slot := killed.LastClaim.Slot
	killed.Start(0)
	t.Logf("back in its place after %v", h.waitFor("coming back", 30*time.Second, h.converged))
	if killed.LastClaim.Slot != slot {
		t.Errorf("it held place %d and came back to %d", slot, killed.LastClaim.Slot)
	}

	slots := map[*Member]int{}
	for _, m := range h.f.Members[n/2:] {
		slots[m] = m.LastClaim.Slot
		m.Kill()
	}
	for m := range slots {
		h.f.Kernel.After(500*time.Millisecond, func() { m.Start(0, 1) })
	}
	t.Logf("half restarted at once, all in their places after %v", h.waitFor("half restarting", time.Minute, func() bool { return len(h.running()) == n && h.converged() }))
	for m, slot := range slots {
		if m.LastClaim.Slot != slot {
			t.Errorf("%s held place %d and came back to %d", m.name, slot, m.LastClaim.Slot)
		}
	}

	h.f.Kernel.RunUntil(h.f.Kernel.Now() + 10*time.Second) // until the engines too know all new processes
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
		t.Errorf("it went on as if it had not stood still: %v", slotsAfterResume)
	}
	t.Logf("one that stood still for 10 s is in its place again after %v", h.waitFor("waking", 30*time.Second, h.converged))

	leaver := h.f.Members[n/4]
	leaver.Leave()
	t.Logf("a goodbye known to all after %v", h.waitFor("a goodbye", 10*time.Second, func() bool { return h.noneConsiderAlive(leaver.name) }))
	leaver.Start(0)
	h.waitFor("coming back from a goodbye", 30*time.Second, h.converged)

	h.f.Net.LossRate, h.f.Net.DuplicateRate = 0.1, 0.05
	h.f.Kernel.RunUntil(h.f.Kernel.Now() + time.Minute)
	h.f.Net.LossRate, h.f.Net.DuplicateRate = 0, 0
	t.Logf("after a minute of 10%% loss and 5%% doubling all agree after %v", h.waitFor("after loss", 30*time.Second, h.converged))
	if h.longestConflict > 0 {
		t.Errorf("a place was used by two for %v", h.longestConflict)
	}
}

// testPowerLoss has all members lose their power at once and come back within a second, a tenth of them without a disk and so without a
// claim: those with one are in their places, and nobody's place is used by two.
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
	took := h.waitFor("coming back from a loss of power", time.Minute, func() bool { return len(h.running()) == n && h.converged() })
	h.t.Logf("power lost everywhere: all agree after %v, by %.0f packets a member and second", took, float64(h.f.PacketsSent-packetsBefore)/took.Seconds()/float64(n))
	for m, slot := range slots {
		if slot >= 0 && m.LastClaim.Slot != slot {
			h.t.Errorf("%s held place %d and came back to %d", m.name, slot, m.LastClaim.Slot)
		}
	}
}

// noneConsiderAlive reports that nobody takes a name for a holder.
func (h *harness) noneConsiderAlive(name string) bool {
	return !slices.ContainsFunc(h.running(), func(m *Member) bool {
		return slices.ContainsFunc(m.Table.Assignment().Holders, func(holder fleet.Holder) bool { return holder.Name == name && holder.State == fleet.Alive })
	})
}

// testPartition cuts a fleet in two, has members on both sides start anew, and heals it: the side without a majority knows it, and nobody
// gets a place that another may have.
func (h *harness) testPartition(boundary int) {
	h.t.Helper()
	n := len(h.f.Members)
	h.f.Net.Partitioned = func(from, to int) bool { return (from < boundary) != (to < boundary) }
	minority := h.f.Members[boundary:]
	if 2*boundary == n {
		minority = h.f.Members
	}
	took := h.waitFor("knowing of the cut", 5*time.Minute, func() bool {
		return !slices.ContainsFunc(minority, func(m *Member) bool { return !m.Table.Assignment().Isolated })
	})
	h.f.Kernel.RunUntil(h.f.Kernel.Now() + 20*time.Second)
	for _, m := range h.f.Members {
		if s := m.Table.Assignment(); s.Slot < 0 {
			h.t.Errorf("%s gave its place up within its lease", m.name)
		}
	}
	h.f.Net.Partitioned = nil
	h.t.Logf("cut %d to %d: known after %v, healed after %v", boundary, n-boundary, took, h.waitFor("healing", 2*time.Minute, h.converged))
}
