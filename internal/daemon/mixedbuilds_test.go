package daemon

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"testing"
	"time"

	"sloepick/internal/testbed"
	"sloepick/internal/testbed/e2e"
	"sloepick/internal/testbed/faultnet"
)

var otherBuild = flag.String("other-build", "", "a test binary of this package, built from another commit, for TestMixedBuilds")

// TestMixedBuilds runs a fleet of which half the gateways are of this build and half of another one, under clients at five times their quotas.
// A member of each build is killed and restarted, one of each is stopped, and a link between the builds is cut. Then all lose their power and
// each gateway starts as the other build on the disk that it has, twice, so that each build reads what the other one wrote. It guards against a
// change of the text of peer messages, of stored files and of the operators' settings. It needs -other-build, so it is run by hand.
func TestMixedBuilds(t *testing.T) {
	if *otherBuild == "" {
		t.Skip("needs -other-build")
	}
	const n = 6
	out := newFencedServer(t)
	var current int // the gateway whose operators' file was written last; it is started next
	var isOther [n]bool
	for i := range n {
		isOther[i] = i%2 == 1
	}
	extraBlocks := powerBlock + fmt.Sprintf(dutiesBlock, strings.TrimPrefix(out.URL, "http://")) + "commons {\n}\n"
	platform := testbed.SmallPlatform()
	b := &powerLossTest{t: t, platform: platform}
	r := newFleetWithCommand(t, platform, n, 1, func(i int) string {
		current = i
		return strings.ReplaceAll(extraBlocks, "DISK", e2e.GatewayName(i))
	}, func() *exec.Cmd {
		binary := os.Args[0]
		if isOther[current] {
			binary = *otherBuild
		}
		cmd := exec.Command(binary)
		cmd.Env = append(os.Environ(), "DAEMON_TEST_MAIN=1")
		return cmd
	})
	b.Harness = r
	b.Start(0, b.AllGateways()...)
	t.Logf("agreed %v after the last start", waitForAgreement(t, r, time.Minute, b.AllGateways()...))
	out.waitForOwner(t)
	b.checkQuotas(b.RunLoad(overAndUnderQuota(platform, n, 5), 1, func() {
		time.Sleep(3 * time.Second)
		for _, i := range []int{0, 1} {
			injectFault(r, "kill", i)
			waitForAgreement(t, r, time.Minute, b.AllGateways()...)
		}
		for _, i := range []int{2, 3} {
			injectFault(r, "stop", i)
			waitForAgreement(t, r, time.Minute, b.AllGateways()...)
		}
		t.Logf("the work goes on after %v", out.waitForProgress(t))
		b.Mesh.SetFault(faultnet.Blackhole, []int{4}, []int{5})
		b.Mesh.SetFault(faultnet.Blackhole, []int{5}, []int{4})
		time.Sleep(4 * time.Second)
		b.Mesh.SetFault(faultnet.Fault{}, nil, nil)
		waitForAgreement(t, r, time.Minute, b.AllGateways()...)
		for range 2 {
			b.losePower(0, func() {
				for i := range n {
					isOther[i] = !isOther[i]
				}
			})
			waitForAgreement(t, r, time.Minute, b.AllGateways()...)
			for i := range n {
				must(t, b.Processes[i].Log.WaitFor(b.Ctx, "power: full", 1))
				if log := b.Processes[i].Log.String(); strings.Contains(log, "disk absent") || strings.Contains(log, "set aside") || strings.Contains(log, "not a whole image") {
					t.Errorf("%s (other build: %v) does not use the other build's state:\n%s", e2e.GatewayName(i), isOther[i], log)
				}
			}
			t.Logf("the work goes on after %v", out.waitForProgress(t))
		}
		time.Sleep(2 * time.Second)
	}))
	out.audit(t)
}
