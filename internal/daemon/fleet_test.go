package daemon

import (
	"context"
	"encoding/base64"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"sloepick/internal/fleet"
	"sloepick/internal/gossip"
	"sloepick/internal/testbed"
	"sloepick/internal/testbed/e2e"
	"sloepick/internal/testbed/faultnet"
	"sloepick/internal/testbed/seeds"
)

var fleetSize = flag.Int("fleet", 5, "number of gateways in TestFleetUnderKills")

// testCommand returns a command that runs this test binary as the program.
func testCommand() *exec.Cmd {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "DAEMON_TEST_MAIN=1")
	return cmd
}

// newFleet builds a fleet that is not started yet. extraBlocks follows the block fleet in the operators' file of each member, with
// DISK replaced by the name of the member's disk.
func newFleet(t *testing.T, platform *testbed.Platform, n int, seed uint64, extraBlocks string) *e2e.Harness {
	t.Helper()
	return newFleetPerMember(t, platform, n, seed, func(i int) string { return strings.ReplaceAll(extraBlocks, "DISK", e2e.GatewayName(i)) })
}

// newFleetPerMember builds a fleet with different extraBlocks for each member.
func newFleetPerMember(t *testing.T, platform *testbed.Platform, n int, seed uint64, extraBlocks func(i int) string) *e2e.Harness {
	t.Helper()
	return newFleetWithHold(t, platform, n, seed, 3*time.Minute, extraBlocks)
}

// newFleetWithHold builds a fleet that holds the places of members that are gone for the given time.
func newFleetWithHold(t *testing.T, platform *testbed.Platform, n int, seed uint64, hold time.Duration, extraBlocks func(i int) string) *e2e.Harness {
	t.Helper()
	return newFleetConfigured(t, platform, n, seed, hold, extraBlocks, testCommand)
}

// newFleetWithCommand builds a fleet whose gateways are started by the given command.
func newFleetWithCommand(t *testing.T, platform *testbed.Platform, n int, seed uint64, extraBlocks func(i int) string, command func() *exec.Cmd) *e2e.Harness {
	t.Helper()
	return newFleetConfigured(t, platform, n, seed, 3*time.Minute, extraBlocks, command)
}

func newFleetConfigured(t *testing.T, platform *testbed.Platform, n int, seed uint64, hold time.Duration, extraBlocks func(i int) string, command func() *exec.Cmd) *e2e.Harness {
	t.Helper()
	r := e2e.New(t, e2e.Config{Platform: platform, Gateways: n, Seed: seed, Command: command, OperatorFile: func(r *e2e.Harness, i int) string {
		return fmt.Sprintf("fleet {\n address = %q\n places = %d\n expect = %d\n hold = %ds\n seeds = [%q, %q]\n keys = \"keys\"\n state = \"%s/state\"\n status = %q\n}\n%s",
			r.MemberAddrs[i], n, n, int(hold.Seconds()), r.MemberAddrs[0], r.MemberAddrs[1], e2e.GatewayName(i), e2e.GatewayName(i)+".sock", extraBlocks(i))
	}})
	r.WriteFile(r.FilePath("keys"), base64.StdEncoding.EncodeToString([]byte("0123456789abcdef"))+"\n")
	return r
}

// readStatus returns a gateway's status of the fleet, or nil if the gateway does not respond.
func readStatus(r *e2e.Harness, i int) *gossip.Status {
	ctx, cancel := context.WithTimeout(r.Ctx, time.Second)
	defer cancel()
	status, err := gossip.ReadStatus(ctx, r.FilePath(e2e.GatewayName(i)+".sock"))
	if err != nil {
		return nil
	}
	return status
}

// waitForAgreement waits until the given gateways have a place each and the same table of places, and returns how long that took.
func waitForAgreement(t *testing.T, r *e2e.Harness, within time.Duration, gateways ...int) time.Duration {
	t.Helper()
	for start := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		var first []fleet.Holder
		n, why := 0, ""
		for _, i := range gateways {
			status := readStatus(r, i)
			switch {
			case status == nil:
				why = fmt.Sprintf("g%d does not respond", i)
			case status.Assignment.Slot < 0 || status.Assignment.Isolated:
				why = fmt.Sprintf("g%d has the assignment %+v", i, status.Assignment)
			case first != nil && !slices.Equal(first, status.Assignment.Holders):
				why = fmt.Sprintf("g%d sees %v, others %v", i, status.Assignment.Holders, first)
			default:
				first = status.Assignment.Holders
				n++
			}
		}
		if n == len(gateways) {
			return time.Since(start)
		}
		if time.Since(start) > within {
			for i, p := range r.Processes {
				t.Logf("g%d: %s", i, p.Log)
			}
			t.Fatalf("no agreement within %v: %s", within, why)
		}
	}
}

// slotUse is a period in which a process had a place.
type slotUse struct {
	slot     int
	name     string
	from, to time.Time
}

// slotUses reads from the logs of all processes, running or ended, which place each had when.
func slotUses(r *e2e.Harness) (all []slotUse) {
	for i, incarnations := range r.History {
		for _, process := range incarnations {
			current := slotUse{slot: -1, name: e2e.GatewayName(i)}
			end := func(at time.Time) {
				if current.to = at; current.slot >= 0 {
					all = append(all, current)
				}
			}
			for _, line := range strings.Split(process.Log.String(), "\n") {
				var timestamp string
				if n, _ := fmt.Sscanf(line, "time=%s", &timestamp); n != 1 || !strings.Contains(line, "fleet: standing\"") {
					continue
				}
				when, err := time.Parse(time.RFC3339Nano, timestamp)
				if err != nil {
					continue // the last line, truncated by a kill
				}
				_, rest, _ := strings.Cut(line, " place=")
				end(when)
				if n, _ := fmt.Sscanf(rest, "%d", &current.slot); n != 1 {
					current.slot = -1
				}
				current.from = when
			}
			to := process.EndedAt
			if to.IsZero() {
				to = time.Now()
			}
			end(to)
		}
	}
	return all
}

// checkSlotsExclusive checks that no place was used by two members at a time. The suspended members are left out, as they do not use
// their places while suspended.
func checkSlotsExclusive(t *testing.T, r *e2e.Harness, suspended ...string) {
	t.Helper()
	all := slotUses(r)
	for i, a := range all {
		for _, b := range all[:i] {
			if a.slot == b.slot && a.name != b.name && a.from.Before(b.to) && b.from.Before(a.to) && !slices.Contains(suspended, a.name) && !slices.Contains(suspended, b.name) {
				t.Errorf("place %d was used by %s from %v to %v and by %s from %v to %v", a.slot, a.name, a.from, a.to, b.name, b.from, b.to)
			}
		}
	}
	if len(all) == 0 {
		t.Error("no member had a place")
	}
}

// overAndUnderQuota returns two customers of each plan, one at factor times its quota and one at half of it.
func overAndUnderQuota(platform *testbed.Platform, n int, factor float64) (all []testbed.Customer) {
	for i, plan := range platform.Plans {
		for k, share := range []float64{factor, 0.5} {
			all = append(all, testbed.Customer{ID: fmt.Sprintf("%016x", 2*i+k+1), Plan: plan.Name, Rate: share * plan.Rate / meanUnits, GatewayCount: n})
		}
	}
	return all
}

const meanUnits = 1.38 // of a customer's mean request

// TestFleetUnderKills runs customers, one of each plan at five times its quota, against a fleet of real processes that are killed,
// stopped, suspended and restarted. Each request that a running gateway accepted has one response, no key runs twice, the ceiling
// holds, and no customer gets more than its quota and a stated slack.
func TestFleetUnderKills(t *testing.T) {
	seeds.Run(t, []uint64{1}, fleetUnderKills)
}

func fleetUnderKills(t *testing.T, seed uint64) {
	n := *fleetSize
	platform := testbed.SmallPlatform()
	r := newFleet(t, platform, n, seed, "")
	r.Start(0, r.AllGateways()...)
	t.Logf("%d processes have their places %v after the last start", n, waitForAgreement(t, r, time.Minute, r.AllGateways()...))
	rnd := seeds.Rand(seed)
	p := r.RunLoad(overAndUnderQuota(platform, n, 5), seed, func() {
		for _, fault := range []string{"kill", "suspend", "stop", "kill half"} {
			time.Sleep(2 * time.Second)
			i := rnd.IntN(n)
			injectFault(r, fault, i)
			t.Logf("%s g%d: agreement again after %v", fault, i, waitForAgreement(t, r, time.Minute, r.AllGateways()...))
		}
		time.Sleep(2 * time.Second)
	})
	checkSlotsExclusive(t, r)
	for _, c := range p.Customers {
		quota, got := p.QuotaUsage(&c)
		t.Logf("%s, asks for %.1f units a second: got %.0f units of %.0f", c.Plan, c.Rate*meanUnits, got, quota)
		if got > 1.1*quota+p.Plan(&c).Burst/2 {
			t.Errorf("customer %s on %s got %.0f units of %.0f", c.ID, c.Plan, got, quota)
		}
	}
}

// injectFault kills, stops or suspends gateway i, or kills half of the fleet from i on, and brings all back.
func injectFault(r *e2e.Harness, fault string, i int) {
	switch fault {
	case "kill":
		markUp := r.MarkDown(i)
		r.Kill(i)
		r.Start(0, i)
		markUp()
	case "suspend":
		resume := r.Suspend(i)
		time.Sleep(4 * time.Second)
		resume()
		r.Must(r.Processes[i].Log.WaitFor(r.Ctx, "standing aside until the fleet is heard", 1))
	case "stop":
		markUp := r.MarkDown(i)
		r.Must(r.Processes[i].Stop())
		r.Start(0, i)
		markUp()
	case "kill half":
		var half []int
		for k := range len(r.Processes) / 2 {
			half = append(half, (i+k)%len(r.Processes))
		}
		markUp := r.MarkDown(half...)
		r.Kill(half...)
		r.Start(0, half...)
		markUp()
	}
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// TestMembersUseMeshLinks checks that messages between members go over the mesh's links: a member whose links are cut knows that it is
// isolated, and rejoins when they are restored.
func TestMembersUseMeshLinks(t *testing.T) {
	t.Parallel() // mostly waits
	r := newFleet(t, testbed.SmallPlatform(), 3, 1, "")
	r.Start(0, r.AllGateways()...)
	waitForAgreement(t, r, time.Minute, r.AllGateways()...)
	r.Mesh.Partition([]int{2})
	r.Must(r.Processes[2].Log.WaitFor(r.Ctx, "cut off: true", 2)) // the first was at its start
	r.Mesh.SetFault(faultnet.Fault{}, nil, nil)
	r.Must(r.Processes[2].Log.WaitFor(r.Ctx, "cut off: false", 2))
	waitForAgreement(t, r, time.Minute, r.AllGateways()...)
	if c := r.Mesh.Counts(); c.Forwarded == 0 || c.Lost == 0 {
		t.Errorf("the links forwarded and lost %+v", c)
	}
	if _, err := os.Stat(filepath.Join(r.DiskDir(2), "state")); err != nil {
		t.Error(err)
	}
}
