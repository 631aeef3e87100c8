package daemon

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"sloepick/internal/testbed"
	"sloepick/internal/testbed/e2e"
	"sloepick/internal/testbed/faultnet"
	"sloepick/internal/testbed/seeds"
)

// powerBlock is the block power with default values.
const powerBlock = "power {\n keep = \"DISK/power\"\n}\n"

// quotaSlack is what a customer may get beyond rate x time + burst when power is lost, as docs/operate/power.md states it: the usual
// error of sharing a quota over gateways, for each loss 5 % of a burst and what leaks in two snapshot intervals, and half of the
// part of a burst that belongs to members whose disk has no valid state.
func quotaSlack(plan *testbed.Plan, took time.Duration, losses, unproven float64) float64 {
	return 0.1*plan.Rate*took.Seconds() + losses*(0.05*plan.Burst+2*snapshotInterval.Seconds()*plan.Rate) + unproven*plan.Burst/2
}

const snapshotInterval = 250 * time.Millisecond // the default

// powerLossTest is a fleet that loses its power under customers at five times their quotas.
type powerLossTest struct {
	*e2e.Harness
	t        *testing.T
	platform *testbed.Platform
	losses   float64
	unproven float64 // share of the members without a valid state on disk, summed over the losses
}

func newPowerLossTest(t *testing.T, n int, seed uint64, block string) *powerLossTest {
	platform := testbed.SmallPlatform()
	b := &powerLossTest{Harness: newFleet(t, platform, n, seed, block), t: t, platform: platform}
	b.Start(0, b.AllGateways()...)
	waitForAgreement(t, b.Harness, time.Minute, b.AllGateways()...)
	return b
}

// losePower ends all gateways at once as a power loss does, calls whileDown, and restarts them one by one, spaced by spacing.
func (b *powerLossTest) losePower(spacing time.Duration, whileDown func()) {
	b.losses++
	markUp := b.PowerLoss()
	whileDown()
	b.Start(spacing, b.AllGateways()...)
	markUp()
}

// losePowerWithNodes makes the nodes lose their power with the gateways. Half of them are back before the gateways, unknown to discovery,
// and all are restarted after them.
func (b *powerLossTest) losePowerWithNodes() {
	b.t.Helper()
	half := len(b.Site.Nodes) / 2
	b.losePower(0, func() {
		for _, n := range b.Site.Nodes[:half] {
			_, err := n.Restart()
			must(b.t, err)
		}
	})
	for i := range b.Site.Nodes {
		must(b.t, b.Site.Restart(i))
	}
}

func noop() {}

func (b *powerLossTest) checkLogged(i int, piece string) {
	b.t.Helper()
	if !strings.Contains(b.Processes[i].Log.String(), piece) {
		b.t.Errorf("%s does not log %q:\n%s", e2e.GatewayName(i), piece, b.Processes[i].Log)
	}
}

// logExcess logs what the over-quota customers got beyond rate x time since a moment, in bursts.
func (b *powerLossTest) logExcess(name string, from time.Time, before map[string]float64) {
	took, excess := time.Since(from).Seconds(), ""
	for _, plan := range b.platform.Plans {
		got := b.Site.Recorder.Units(overQuotaCustomer(b.platform, plan.Name)) - before[plan.Name] - plan.Rate*took
		excess += fmt.Sprintf(", %s %.2f", plan.Name, got/plan.Burst)
	}
	b.t.Logf("%s: bursts beyond rate x time in %.1f s%s", name, took, excess)
}

func (b *powerLossTest) overQuotaUnits() map[string]float64 {
	all := map[string]float64{}
	for _, plan := range b.platform.Plans {
		all[plan.Name] = b.Site.Recorder.Units(overQuotaCustomer(b.platform, plan.Name))
	}
	return all
}

// checkQuotas checks that no customer got more than its quota and the slack, and that no place was used by two members at a time.
func (b *powerLossTest) checkQuotas(p *e2e.LoadResult) {
	b.t.Helper()
	checkSlotsExclusive(b.t, b.Harness)
	for _, c := range p.Customers {
		quota, got := p.QuotaUsage(&c)
		limit := quota + quotaSlack(p.Plan(&c), p.Elapsed, b.losses, b.unproven)
		b.t.Logf("%s, asks for %.1f units a second: got %.0f units, quota %.0f, limit with slack %.0f", c.Plan, c.Rate*meanUnits, got, quota, limit)
		if got > limit {
			b.t.Errorf("customer %s on %s got %.0f units, limit %.0f", c.ID, c.Plan, got, limit)
		}
	}
}

// TestFleetPowerLoss makes a fleet lose its power repeatedly under customers at five times their quotas, and return in a different way
// each time. Each request that a running gateway accepted has one response, no key runs twice, the ceilings hold, and at each loss an
// over-quota customer gets no more than quotaSlack allows.
func TestFleetPowerLoss(t *testing.T) { seeds.Run(t, []uint64{1}, fleetPowerLoss) }

func fleetPowerLoss(t *testing.T, seed uint64) {
	n := max(8, *fleetSize)
	b := newPowerLossTest(t, n, seed, powerBlock)
	oldDisk := ""
	scenarios := []struct {
		name string
		do   func()
	}{
		{"at once", func() { b.losePower(0, noop) }},
		{"one by one", func() { b.losePower(300*time.Millisecond, noop) }},
		{"again during the trickle phase, three times", func() {
			for range 3 {
				b.losePower(0, noop)
				time.Sleep(300 * time.Millisecond)
			}
		}},
		{"disks wiped, outdated, another member's, truncated", func() {
			b.unproven += 4 / float64(n)
			b.losePower(0, func() {
				b.WipeDisk(0)
				b.ReplaceDisk(1, oldDisk)
				b.ReplaceDisk(2, b.DiskDir(3))
				b.TruncateFiles(4, 0.5)
			})
			waitForAgreement(t, b.Harness, time.Minute, b.AllGateways()...)
			b.checkLogged(0, "disk absent")
			b.checkLogged(1, "older than others know it")
			b.checkLogged(2, "is another member's and is set aside")
			b.checkLogged(4, "not a whole image")
			for _, i := range []int{2, 4} {
				for _, name := range []string{"power.bad", "state.bad"} {
					if _, err := os.Stat(filepath.Join(b.DiskDir(i), name)); err != nil {
						t.Errorf("an invalid file is not set aside: %v", err)
					}
				}
			}
		}},
		{"one clock an hour back, one at 1970", func() {
			b.ClockOffsets[5], b.ClockOffsets[6] = -time.Hour, -time.Since(time.Unix(0, 0))
			b.losePower(0, noop)
		}},
		{"over links that lose a third, one of them cut in one direction", func() {
			b.Mesh.SetFault(faultnet.Fault{Loss: 0.3, MaxDelay: 20 * time.Millisecond}, nil, nil)
			b.Mesh.SetFault(faultnet.Blackhole, []int{1}, []int{4})
			b.losePower(0, noop)
			waitForAgreement(t, b.Harness, time.Minute, b.AllGateways()...)
			b.Mesh.SetFault(faultnet.Fault{}, nil, nil)
		}},
		{"all but one, which is suspended", func() {
			b.losses++
			others := b.AllGateways()[:n-1]
			resume := b.Suspend(n - 1)
			markUp := b.MarkDown(others...)
			b.Kill(others...)
			b.Start(0, others...)
			markUp()
			time.Sleep(3 * time.Second)
			resume()
			must(t, b.Processes[n-1].Log.WaitFor(b.Ctx, "standing aside until the fleet is heard", 1))
		}},
	}
	b.checkQuotas(b.RunLoad(overAndUnderQuota(b.platform, n, 5), seed, func() {
		time.Sleep(3 * time.Second) // until the buckets are at their high water marks
		oldDisk = b.CopyDisk(1)
		for i, scenario := range scenarios {
			before, from := b.overQuotaUnits(), time.Now()
			scenario.do()
			if i < len(scenarios)-1 { // the member that was suspended in the last one takes longer to agree on the members
				waitForAgreement(t, b.Harness, time.Minute, b.AllGateways()...)
			}
			time.Sleep(2 * time.Second)
			b.logExcess(scenario.name, from, before)
		}
	}))
}

// TestPowerReturnsToColdNodes makes the nodes lose their power as well; they come back cold, half of them before the gateways and half
// after. No node may be overloaded, the share of served requests has to rise with the nodes' speed, and refusals say when to retry.
func TestPowerReturnsToColdNodes(t *testing.T) { seeds.Run(t, []uint64{1}, coldNodes) }

func coldNodes(t *testing.T, seed uint64) {
	const n = 4
	b := newPowerLossTest(t, n, seed, powerBlock)
	lostAt, returnedAt := time.Duration(0), time.Duration(0)
	p := b.RunLoad(overAndUnderQuota(b.platform, n, 5), seed, func() {
		start := time.Now()
		time.Sleep(4 * time.Second)
		lostAt = time.Since(start)
		b.losePowerWithNodes()
		returnedAt = time.Since(start)
		time.Sleep(10 * time.Second)
	})
	b.checkQuotas(p)
	for i := range n {
		b.checkLogged(i, "power: trickle")
	}
	share := func(from, to time.Duration) float64 {
		s, asked := p.ServedShare(from, to, nil)
		t.Logf("%v to %v: %.2f of %d served", from.Round(time.Millisecond), to.Round(time.Millisecond), s, asked)
		return s
	}
	before, first, last := share(2*time.Second, lostAt), share(returnedAt, returnedAt+3*time.Second), share(returnedAt+7*time.Second, returnedAt+10*time.Second)
	if before == 0 || last < 0.4*before || first > last+0.1 {
		t.Errorf("%.2f of the requests were served before the loss, %.2f at first and %.2f at last", before, first, last)
	}
}

// TestPowerReturnsWithoutDiscovery makes power return with the seed members last, a discovery that does not respond for seconds, and cold
// nodes, half of which are new nodes at the old addresses. Until discovery responds, the gateways treat the nodes as started when power
// returned, and then as discovery reports. No node may be overloaded.
func TestPowerReturnsWithoutDiscovery(t *testing.T) {
	t.Parallel() // mostly waits
	const n = 5
	b := newPowerLossTest(t, n, 1, powerBlock)
	var lostAt time.Time
	p := b.RunLoad(overAndUnderQuota(b.platform, n, 5), 1, func() {
		time.Sleep(3 * time.Second)
		b.losses++
		lostAt = time.Now()
		markUp := b.PowerLoss()
		resumeDiscovery := b.Site.Discovery.Pause()
		for i := range b.Site.Nodes {
			if i%2 == 0 {
				must(t, b.Site.Replace(i))
			} else {
				must(t, b.Site.Restart(i))
			}
		}
		b.Start(0, 2, 3, 4, 1, 0)
		markUp()
		waitForAgreement(t, b.Harness, time.Minute, b.AllGateways()...)
		for i := range n {
			must(t, b.Processes[i].Log.WaitFor(b.Ctx, "power: trickle", 1))
		}
		time.Sleep(5 * time.Second)
		resumeDiscovery()
		time.Sleep(4 * time.Second)
	})
	b.checkQuotas(p)
	for i := range n {
		if warmUp := b.platform.Rules.ColdDuration * 9 / 10; time.Since(lostAt) < warmUp && strings.Contains(b.Processes[i].Log.String(), "power: full") {
			t.Errorf("%s is in full service while the nodes are cold", e2e.GatewayName(i))
		}
	}
	if share, asked := p.ServedShare(p.Elapsed-3*time.Second, p.Elapsed, nil); share == 0 {
		t.Errorf("nothing of %d is served", asked)
	}
}

// TestPowerReturnsDuringPartition makes power return while the fleet is partitioned into halves, so that neither has a majority. After the
// IsolatedRestoreDelay of package fleet each member takes its own place again, as the other side can't have a majority either, and serves at its even share;
// together they admit no more than the quota. When the partition is healed all members agree again.
func TestPowerReturnsDuringPartition(t *testing.T) {
	t.Parallel() // mostly waits
	const n = 4
	b := newPowerLossTest(t, n, 1, powerBlock)
	b.checkQuotas(b.RunLoad(overAndUnderQuota(b.platform, n, 5), 1, func() {
		time.Sleep(2 * time.Second)
		b.losePower(0, func() { b.Mesh.Partition([]int{0, 1}) })
		for i := range n {
			must(t, b.Processes[i].Log.WaitFor(b.Ctx, "is taken up alone", 1))
			must(t, b.Processes[i].Log.WaitFor(b.Ctx, "power: full", 1))
		}
		time.Sleep(2 * time.Second)
		b.Mesh.SetFault(faultnet.Fault{}, nil, nil)
		waitForAgreement(t, b.Harness, time.Minute, b.AllGateways()...)
		time.Sleep(time.Second)
	}))
}

// TestExpectLoweredByOperator checks that one member of three that comes back gets its place when its operators lower the number of
// expected members to one. A second process that uses the same disk ends with an error that says why.
func TestExpectLoweredByOperator(t *testing.T) {
	t.Parallel() // mostly waits
	b := newPowerLossTest(t, 3, 1, powerBlock)
	b.PowerLoss()
	b.Start(0, 0)
	must(t, b.Processes[0].Log.WaitFor(b.Ctx, "cut off: true; 1 of 3", 1))
	file := b.FilePath(e2e.GatewayName(0) + ".sloe")
	text, err := os.ReadFile(file)
	must(t, err)
	b.WriteFile(file, strings.Replace(string(text), "expect = 3", "expect = 1", 1))
	must(t, b.Processes[0].Signal(syscall.SIGHUP))
	must(t, b.Processes[0].Log.WaitFor(b.Ctx, "power: full", 1))
	for status := readStatus(b.Harness, 0); status == nil || status.RecoveryPhase != "full" || status.Assignment.Slot < 0; status = readStatus(b.Harness, 0) { // the status is updated at the next tick
		if time.Sleep(50 * time.Millisecond); b.Ctx.Err() != nil {
			t.Fatalf("the status is %+v", status)
		}
	}
	second := testCommand()
	second.Env = append(second.Env, "GW_CONFIG="+b.FilePath(e2e.GatewayName(0)+".json"), "GW_OPERATOR="+b.FilePath("second.sloe"), "GW_NAME="+e2e.GatewayName(0))
	b.WriteFile(b.FilePath("second.sloe"), "power {\n keep = \"g0/power\"\n}\n")
	if out, err := second.CombinedOutput(); err == nil || !strings.Contains(string(out), "another process keeps its state under") {
		t.Errorf("two processes on one disk: %v\n%s", err, out)
	}
}

var (
	powerLosses      = flag.Int("blackouts", 0, "number of power losses in TestPowerAtRandom")
	measurePowerLoss = flag.Bool("power", false, "measure power losses with and without the block power, in turn")
)

// TestPowerAtRandom runs power losses drawn from a seed: which member returns when, and with which disk, clock and links.
func TestPowerAtRandom(t *testing.T) {
	if *powerLosses == 0 {
		t.Skip("a long form; -blackouts runs it")
	}
	seeds.Run(t, []uint64{1, 2}, powerAtRandom)
}

func powerAtRandom(t *testing.T, seed uint64) {
	const n = 8
	b := newPowerLossTest(t, n, seed, powerBlock)
	rnd := seeds.Rand(seed)
	b.checkQuotas(b.RunLoad(overAndUnderQuota(b.platform, n, 5), seed, func() {
		time.Sleep(2 * time.Second)
		oldDisk := b.CopyDisk(0)
		for k := range *powerLosses {
			b.Mesh.SetFault(faultnet.Fault{Loss: 0.3 * rnd.Float64(), Duplicate: 0.1, MaxDelay: time.Duration(rnd.IntN(30)) * time.Millisecond}, nil, nil)
			from, before, name := time.Now(), b.overQuotaUnits(), ""
			b.losePower(time.Duration(rnd.IntN(200))*time.Millisecond, func() {
				for i := range n {
					b.ClockOffsets[i] = 0
					switch draw := rnd.IntN(12); draw {
					case 0:
						b.WipeDisk(i)
					case 1:
						b.TruncateFiles(i, rnd.Float64())
					case 2:
						b.ReplaceDisk(i, b.DiskDir((i+1)%n))
					case 3:
						b.ReplaceDisk(i, oldDisk) // an earlier state of g0's disk; for the others, another member's
					case 4:
						b.ClockOffsets[i] = -time.Duration(rnd.IntN(3600)) * time.Second
						name += fmt.Sprintf(" g%d's clock %v", i, b.ClockOffsets[i])
						continue
					default:
						continue
					}
					b.unproven += 1.0 / n
					name += fmt.Sprintf(" g%d's disk", i)
				}
			})
			if rnd.IntN(3) > 0 { // otherwise power is lost again before they agree
				waitForAgreement(t, b.Harness, time.Minute, b.AllGateways()...)
			}
			time.Sleep(time.Duration(rnd.IntN(3000)) * time.Millisecond)
			b.logExcess(fmt.Sprintf("loss %d,%s", k, name), from, before)
		}
	}))
}

// TestPowerMeasured runs one power loss of gateways and nodes with and without the block power, in turn, and logs how service returned.
func TestPowerMeasured(t *testing.T) {
	if !*measurePowerLoss {
		t.Skip("a measurement; -power runs it")
	}
	for round := range 2 {
		for _, block := range []string{"", powerBlock} {
			t.Run(fmt.Sprintf("round=%d/power=%v", round, block != ""), func(t *testing.T) { measureReturn(t, max(8, *fleetSize), block) })
		}
	}
}

func measureReturn(t *testing.T, n int, block string) {
	const window = 500 * time.Millisecond
	b := newPowerLossTest(t, n, 1, block)
	var lostAt, returnedAt time.Duration
	var sent faultnet.Counts
	p := b.RunLoad(overAndUnderQuota(b.platform, n, 5), 1, func() {
		start := time.Now()
		time.Sleep(6 * time.Second)
		from, before := time.Now(), b.overQuotaUnits()
		lostAt, sent = time.Since(start), b.Mesh.Counts()
		b.losePowerWithNodes()
		returnedAt = time.Since(start)
		time.Sleep(2 * time.Second)
		b.logExcess("from before the loss to 2 s after it", from, before)
		now := b.Mesh.Counts()
		t.Logf("%d datagrams and %d stream bytes per member meanwhile", (now.Forwarded-sent.Forwarded)/n, (now.StreamBytes-sent.StreamBytes)/n)
		time.Sleep(16 * time.Second)
	})
	servedWorth := func(from, to time.Duration) float64 { // weighted by the plan's price, per second
		sum := 0.0
		for i := range p.Results {
			if e := &p.Results[i]; e.Outcome == testbed.OutcomeServed && e.EndedAt.Sub(p.StartedAt) >= from && e.EndedAt.Sub(p.StartedAt) < to {
				sum += b.platform.Plans[planIndex(b.platform, e.Plan)].Price
			}
		}
		return sum / (to - from).Seconds()
	}
	before := servedWorth(3*time.Second, lostAt)
	for _, share := range []float64{0.01, 0.5, 0.9} {
		at := returnedAt
		for servedWorth(at, at+2*window) < share*before && at < p.Elapsed {
			at += window
		}
		t.Logf("%.0f%% of the worth served before: %v after the return", 100*share, (at - returnedAt).Round(window))
	}
}

// overQuotaCustomer returns the ID of a plan's customer that exceeds its quota.
func overQuotaCustomer(platform *testbed.Platform, plan string) string {
	return fmt.Sprintf("%016x", 2*planIndex(platform, plan)+1)
}
