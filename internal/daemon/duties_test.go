package daemon

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"sloepick/internal/election"
	"sloepick/internal/fleetreport"
	"sloepick/internal/testbed"
	"sloepick/internal/testbed/e2e"
	"sloepick/internal/testbed/faultnet"
)

// fencedServer is an external system that receives the steps of duties, rejects fencing numbers below the highest, and records all
// steps.
type fencedServer struct {
	*httptest.Server
	mu       sync.Mutex
	fence    election.Fence
	accepted []fleetreport.Payload
	rejected []fleetreport.Payload
}

func newFencedServer(t *testing.T) *fencedServer {
	o := &fencedServer{}
	o.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		var s fleetreport.Payload
		if err := json.NewDecoder(req.Body).Decode(&s); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		o.mu.Lock()
		defer o.mu.Unlock()
		if above, ok := o.fence.Admit(s.Duty, election.Ownership{Number: s.Number, Owner: s.Owner}); !ok {
			o.rejected = append(o.rejected, s)
			w.WriteHeader(http.StatusConflict)
			fmt.Fprintf(w, `{"Above": %d}`, above.Number)
			return
		}
		o.accepted = append(o.accepted, s)
	}))
	t.Cleanup(o.Close)
	return o
}

// acceptedOwners returns the owners of the accepted steps, one entry for each change of owner, and the number of steps.
func (o *fencedServer) acceptedOwners() (names []string, steps int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range o.accepted {
		if name, _, _ := strings.Cut(s.Owner, "."); len(names) == 0 || names[len(names)-1] != name {
			names = append(names, name)
		}
	}
	return names, len(o.accepted)
}

// waitForOwner waits until the last accepted step is of a gateway that is not excluded, and returns the gateway's number.
func (o *fencedServer) waitForOwner(t *testing.T, exclude ...int) int {
	t.Helper()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if names, _ := o.acceptedOwners(); len(names) > 0 {
			var i int
			if _, err := fmt.Sscanf(names[len(names)-1], "g%d", &i); err == nil && !slices.Contains(exclude, i) {
				return i
			}
		}
	}
	names, steps := o.acceptedOwners()
	t.Fatalf("no step of an owner other than %v: %v, %d steps", exclude, names, steps)
	return -1
}

// TestLateStepOfFormerOwnerIsRejected suspends an owner while one of its steps is on the way, and then its successor. The step arrives
// when a third member has taken over, and has to be rejected. Then an owner is isolated, and then all lose their power. The accepted
// steps have rising numbers with one owner each, and the steps of each owner are in order.
func TestLateStepOfFormerOwnerIsRejected(t *testing.T) {
	t.Parallel() // mostly waits
	const n = 5
	out := newFencedServer(t)
	var faults [n]faultnet.RelayFaults
	var relays [n]*faultnet.Relay
	for i := range n {
		var err error
		relays[i], err = faultnet.NewRelay(strings.TrimPrefix(out.URL, "http://"), &faults[i])
		must(t, err)
		t.Cleanup(relays[i].Close)
	}
	r := newFleetPerMember(t, testbed.SmallPlatform(), n, 1, func(i int) string {
		return fmt.Sprintf(dutiesBlock, relays[i].Addr())
	})
	r.Start(0, r.AllGateways()...)
	waitForAgreement(t, r, time.Minute, r.AllGateways()...)
	a := out.waitForOwner(t)
	faults[a].Set(faultnet.Fault{Stall: true}, faultnet.Fault{})
	time.Sleep(300 * time.Millisecond) // until one of its steps is on the way
	resumeA := r.Suspend(a)
	suspendedAt := time.Now()
	b := out.waitForOwner(t, a)
	t.Logf("g%d is suspended with a step on its way; g%d owns %v later", a, b, time.Since(suspendedAt).Round(time.Millisecond))
	if slices.Contains(electedVoters(t, r, a), a) {
		t.Logf("g%d is replaced as a voter %v later", a, waitForNewVoters(t, r, a).Round(time.Millisecond))
		b = out.waitForOwner(t, a)
	}
	resumeB := r.Suspend(b)
	suspendedAt = time.Now()
	c := out.waitForOwner(t, a, b)
	t.Logf("g%d is suspended; g%d owns %v later", b, c, time.Since(suspendedAt).Round(time.Millisecond))
	faults[a].Set(faultnet.Fault{}, faultnet.Fault{})
	for end := time.Now().Add(time.Minute); ; time.Sleep(10 * time.Millisecond) {
		out.mu.Lock()
		rejected := out.fence.Rejected
		arrived := slices.ContainsFunc(out.rejected, func(s fleetreport.Payload) bool { return strings.HasPrefix(s.Owner, e2e.GatewayName(a)+".") })
		out.mu.Unlock()
		if arrived {
			t.Logf("the late step arrived and was rejected: %v", rejected)
			break
		}
		if time.Now().After(end) {
			t.Fatal("the late step did not arrive")
		}
	}
	resumeA()
	resumeB()
	waitForAgreement(t, r, time.Minute, r.AllGateways()...)
	d := out.waitForOwner(t)
	r.Mesh.Partition([]int{d})
	e := out.waitForOwner(t, d)
	t.Logf("g%d is isolated; g%d owns", d, e)
	r.Mesh.SetFault(faultnet.Fault{}, nil, nil)
	markUp := r.PowerLoss()
	_, before := out.acceptedOwners()
	r.Start(0, r.AllGateways()...)
	markUp()
	for end := time.Now().Add(time.Minute); ; time.Sleep(20 * time.Millisecond) {
		if _, steps := out.acceptedOwners(); steps > before+3 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("no owner after the power loss")
		}
	}
	out.audit(t)
	if status := readStatus(r, 0); status == nil || len(status.Duties) != 1 || status.Duties[0].Duty != fleetreport.DutyName {
		t.Errorf("the status is %+v", status)
	}
}

// audit checks that the accepted steps have rising numbers with one owner each, and that the steps of each owner are in order.
func (o *fencedServer) audit(t *testing.T) {
	t.Helper()
	names, steps := o.acceptedOwners()
	t.Logf("%d steps accepted, of %v; rejected %v", steps, names, o.fence.Rejected)
	o.mu.Lock()
	defer o.mu.Unlock()
	last := map[string]fleetreport.Payload{}
	for i, s := range o.accepted {
		if i > 0 && (s.Number < o.accepted[i-1].Number || s.Number == o.accepted[i-1].Number && s.Owner != o.accepted[i-1].Owner) {
			t.Errorf("a step of %s under %d was accepted after one of %s under %d", s.Owner, s.Number, o.accepted[i-1].Owner, o.accepted[i-1].Number)
		}
		if o, ok := last[s.Owner]; ok && s.Sequence <= o.Sequence {
			t.Errorf("step %d of %s was accepted after step %d", s.Sequence, s.Owner, o.Sequence)
		}
		last[s.Owner] = s
	}
}

const dutiesBlock = "duties {\n voters = 3\n lease = 2s\n report {\n url = \"http://%s/\"\n every = 100ms\n }\n}\n"

// electedVoters returns the numbers of the gateways that vote, from the status of the first gateway that responds and is not excluded.
func electedVoters(t *testing.T, r *e2e.Harness, exclude ...int) (voters []int) {
	t.Helper()
	for _, i := range r.AllGateways() {
		status := readStatus(r, i)
		if slices.Contains(exclude, i) || status == nil {
			continue
		}
		for _, p := range status.Electorate.Voters {
			var n int
			if _, err := fmt.Sscanf(status.Assignment.Holders[p].Name, "g%d", &n); err == nil {
				voters = append(voters, n)
			}
		}
		return voters
	}
	return nil
}

// waitForNewVoters waits until there are three voters without the suspended gateways, and returns how long that took.
func waitForNewVoters(t *testing.T, r *e2e.Harness, suspended ...int) time.Duration {
	t.Helper()
	for start := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		current := electedVoters(t, r, suspended...)
		if len(current) == 3 && !slices.ContainsFunc(current, func(i int) bool { return slices.Contains(suspended, i) }) {
			return time.Since(start)
		}
		if time.Since(start) > time.Minute {
			t.Fatalf("%v are suspended, and the voters are %v", suspended, current)
		}
	}
}

var suspendedPairs = flag.Int("still", 1, "number of pairs of voters that TestTwoOfThreeVotersSuspended suspends in each of its variants, 3 at most")

// TestTwoOfThreeVotersSuspended suspends two of three voters of a fleet of five, one by one as soon as the first is replaced, or both at
// once. Other members become voters, the duties continue, and the steps of the two after they resume are rejected or in order. If the
// voters were always the members in the lowest places, there would be no owner for as long as the two are suspended.
func TestTwoOfThreeVotersSuspended(t *testing.T) {
	for _, form := range []string{"one after the other", "at once"} {
		for k := range *suspendedPairs {
			t.Run(fmt.Sprintf("%s, pair %d", form, k), func(t *testing.T) {
				t.Parallel() // mostly waits
				const n = 5
				out := newFencedServer(t)
				r := newFleetWithHold(t, testbed.SmallPlatform(), n, uint64(k), 15*time.Second, func(int) string {
					return fmt.Sprintf(dutiesBlock, strings.TrimPrefix(out.URL, "http://"))
				})
				r.Start(0, r.AllGateways()...)
				waitForAgreement(t, r, time.Minute, r.AllGateways()...)
				out.waitForOwner(t)
				initial := electedVoters(t, r)
				if len(initial) != 3 {
					t.Fatalf("the voters are %v", initial)
				}
				a, b := initial[k%3], initial[(k+1)%3]
				resumeA := r.Suspend(a)
				if form == "one after the other" {
					t.Logf("g%d is suspended; it is replaced as a voter %v later", a, waitForNewVoters(t, r, a).Round(time.Millisecond))
				}
				resumeB := r.Suspend(b)
				took := waitForNewVoters(t, r, a, b)
				resumedAfter := out.waitForProgress(t, a, b)
				t.Logf("g%d and g%d are suspended; other voters %v later, and progress %v after that", a, b, took.Round(time.Millisecond), resumedAfter.Round(time.Millisecond))
				resumeA()
				resumeB()
				waitForAgreement(t, r, time.Minute, r.AllGateways()...)
				out.waitForProgress(t)
				out.audit(t)
			})
		}
	}
}

// waitForProgress waits until three more steps of owners that are not excluded are accepted, and returns how long that took.
func (o *fencedServer) waitForProgress(t *testing.T, exclude ...int) time.Duration {
	t.Helper()
	start := time.Now()
	o.mu.Lock()
	before := len(o.accepted)
	o.mu.Unlock()
	for ; ; time.Sleep(20 * time.Millisecond) {
		o.mu.Lock()
		steps := 0
		for _, s := range o.accepted[before:] {
			if !slices.ContainsFunc(exclude, func(i int) bool { return strings.HasPrefix(s.Owner, e2e.GatewayName(i)+".") }) {
				steps++
			}
		}
		o.mu.Unlock()
		if steps >= 3 {
			return time.Since(start)
		}
		if time.Since(start) > time.Minute {
			t.Fatalf("%d steps of owners other than %v in a minute", steps, exclude)
		}
	}
}
