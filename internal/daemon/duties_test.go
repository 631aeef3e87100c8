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

// outside is an outside system that takes steps of duties, keeps the highest number and records all that it took.
type outside struct {
	*httptest.Server
	mu     sync.Mutex
	fence  election.Fence
	taken  []fleetreport.Payload
	turned []fleetreport.Payload
}

func newOutside(t *testing.T) *outside {
	o := &outside{}
	o.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		var s fleetreport.Payload
		if err := json.NewDecoder(req.Body).Decode(&s); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		o.mu.Lock()
		defer o.mu.Unlock()
		if above, ok := o.fence.Admit(s.Duty, election.Ownership{Number: s.Number, Owner: s.Owner}); !ok {
			o.turned = append(o.turned, s)
			w.WriteHeader(http.StatusConflict)
			fmt.Fprintf(w, `{"Above": %d}`, above.Number)
			return
		}
		o.taken = append(o.taken, s)
	}))
	t.Cleanup(o.Close)
	return o
}

// owners are the names whose steps were taken, each time that it changed, and how many steps.
func (o *outside) owners() (names []string, steps int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, s := range o.taken {
		if name, _, _ := strings.Cut(s.Owner, "."); len(names) == 0 || names[len(names)-1] != name {
			names = append(names, name)
		}
	}
	return names, len(o.taken)
}

// next waits until a step of another than those is taken, and returns its number.
func (o *outside) next(t *testing.T, not ...int) int {
	t.Helper()
	for end := time.Now().Add(time.Minute); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if names, _ := o.owners(); len(names) > 0 {
			var i int
			if _, err := fmt.Sscanf(names[len(names)-1], "g%d", &i); err == nil && !slices.Contains(not, i) {
				return i
			}
		}
	}
	names, steps := o.owners()
	t.Fatalf("no step of another than %v: %v, %d steps", not, names, steps)
	return -1
}

// TestLateOwnerDoesNoHarm: an owner stands still with a step on its way, and so does the one after it; the first goes on when a third has taken
// over, and its step arrives at last. It is turned away, by name. Then an owner is cut off, and all lose their power. What the outside system took
// has rising numbers, each of one owner, and every owner's steps in their order.
func TestLateOwnerDoesNoHarm(t *testing.T) {
	t.Parallel() // it waits more than it works
	const n = 5
	out := newOutside(t)
	var ways [n]faultnet.RelayFaults
	var relays [n]*faultnet.Relay
	for i := range n {
		var err error
		relays[i], err = faultnet.NewRelay(strings.TrimPrefix(out.URL, "http://"), &ways[i])
		must(t, err)
		t.Cleanup(relays[i].Close)
	}
	r := newFleetWith(t, testbed.SmallPlatform(), n, 1, func(i int) string {
		return fmt.Sprintf(dutiesOfThree, relays[i].Addr())
	})
	r.Start(0, r.AllGateways()...)
	agreed(t, r, time.Minute, r.AllGateways()...)
	a := out.next(t)
	ways[a].Set(faultnet.Fault{Stall: true}, faultnet.Fault{})
	time.Sleep(300 * time.Millisecond) // a step of it is on its way
	thawA := r.Suspend(a)
	died := time.Now()
	b := out.next(t, a)
	t.Logf("g%d stands still with a step on its way; g%d owns %v later", a, b, time.Since(died).Round(time.Millisecond))
	if slices.Contains(voters(t, r, a), a) {
		t.Logf("g%d votes no more %v later", a, renewed(t, r, a).Round(time.Millisecond))
		b = out.next(t, a)
	}
	thawB := r.Suspend(b)
	died = time.Now()
	c := out.next(t, a, b)
	t.Logf("g%d stands still; g%d owns %v later", b, c, time.Since(died).Round(time.Millisecond))
	ways[a].Set(faultnet.Fault{}, faultnet.Fault{})
	for end := time.Now().Add(time.Minute); ; time.Sleep(10 * time.Millisecond) {
		out.mu.Lock()
		late := out.fence.Rejected
		arrived := slices.ContainsFunc(out.turned, func(s fleetreport.Payload) bool { return strings.HasPrefix(s.Owner, e2e.GatewayName(a)+".") })
		out.mu.Unlock()
		if arrived {
			t.Logf("the late step arrived and was turned away: %v", late)
			break
		}
		if time.Now().After(end) {
			t.Fatal("the late step did not arrive")
		}
	}
	thawA()
	thawB()
	agreed(t, r, time.Minute, r.AllGateways()...)
	d := out.next(t)
	r.Mesh.Partition([]int{d})
	e := out.next(t, d)
	t.Logf("g%d is cut off; g%d owns", d, e)
	r.Mesh.SetFault(faultnet.Fault{}, nil, nil)
	back := r.PowerLoss()
	_, before := out.owners()
	r.Start(0, r.AllGateways()...)
	back()
	for end := time.Now().Add(time.Minute); ; time.Sleep(20 * time.Millisecond) {
		if _, steps := out.owners(); steps > before+3 {
			break
		}
		if time.Now().After(end) {
			t.Fatal("nobody owns after the loss of power")
		}
	}
	out.audit(t)
	if rep := report(r, 0); rep == nil || len(rep.Duties) != 1 || rep.Duties[0].Duty != fleetreport.DutyName {
		t.Errorf("the status tells %+v", rep)
	}
}

// audit holds that what was taken has rising numbers, each of one owner, and every owner's steps in their order.
func (o *outside) audit(t *testing.T) {
	t.Helper()
	names, steps := o.owners()
	t.Logf("%d steps taken, of %v; turned away %v", steps, names, o.fence.Rejected)
	o.mu.Lock()
	defer o.mu.Unlock()
	last := map[string]fleetreport.Payload{}
	for i, s := range o.taken {
		if i > 0 && (s.Number < o.taken[i-1].Number || s.Number == o.taken[i-1].Number && s.Owner != o.taken[i-1].Owner) {
			t.Errorf("a step of %s under %d was taken after one of %s under %d", s.Owner, s.Number, o.taken[i-1].Owner, o.taken[i-1].Number)
		}
		if o, ok := last[s.Owner]; ok && s.Sequence <= o.Sequence {
			t.Errorf("step %d of %s was taken after step %d", s.Sequence, s.Owner, o.Sequence)
		}
		last[s.Owner] = s
	}
}

const dutiesOfThree = "duties {\n voters = 3\n lease = 2s\n report {\n url = \"http://%s/\"\n every = 100ms\n }\n}\n"

// voters are the gateways that vote, as one of those that are there tells it, by number.
func voters(t *testing.T, r *e2e.Harness, but ...int) (who []int) {
	t.Helper()
	for _, i := range r.AllGateways() {
		rep := report(r, i)
		if slices.Contains(but, i) || rep == nil {
			continue
		}
		for _, p := range rep.Electorate.Voters {
			var n int
			if _, err := fmt.Sscanf(rep.Assignment.Holders[p].Name, "g%d", &n); err == nil {
				who = append(who, n)
			}
		}
		return who
	}
	return nil
}

// renewed waits until those who stand still vote no more, and returns how long that took.
func renewed(t *testing.T, r *e2e.Harness, still ...int) time.Duration {
	t.Helper()
	for from := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		now := voters(t, r, still...)
		if len(now) == 3 && !slices.ContainsFunc(now, func(i int) bool { return slices.Contains(still, i) }) {
			return time.Since(from)
		}
		if time.Since(from) > time.Minute {
			t.Fatalf("%v stand still, and %v vote", still, now)
		}
	}
}

var twoStill = flag.Int("still", 1, "pairs of voters that TestTwoOfThreeVotersStandStill draws for each of its forms, 3 at most")

// TestTwoOfThreeVotersStandStill: two of three voters of a fleet of five stand still, one after the other as soon as the first was replaced, or
// both at once. The work goes on, others vote, and what the two do when they wake up is turned away or in order. While voters were those in the
// lowest places nobody owned anything for as long as the two stood still.
func TestTwoOfThreeVotersStandStill(t *testing.T) {
	for _, form := range []string{"one after the other", "at once"} {
		for k := range *twoStill {
			t.Run(fmt.Sprintf("%s, pair %d", form, k), func(t *testing.T) {
				t.Parallel() // it waits more than it works
				const n = 5
				out := newOutside(t)
				r := newFleetHolding(t, testbed.SmallPlatform(), n, uint64(k), 15*time.Second, func(int) string {
					return fmt.Sprintf(dutiesOfThree, strings.TrimPrefix(out.URL, "http://"))
				})
				r.Start(0, r.AllGateways()...)
				agreed(t, r, time.Minute, r.AllGateways()...)
				out.next(t)
				three := voters(t, r)
				if len(three) != 3 {
					t.Fatalf("%v vote", three)
				}
				a, b := three[k%3], three[(k+1)%3]
				thawA := r.Suspend(a)
				if form == "one after the other" {
					t.Logf("g%d stands still; others vote %v later", a, renewed(t, r, a).Round(time.Millisecond))
				}
				thawB := r.Suspend(b)
				took := renewed(t, r, a, b)
				goes := out.goesOn(t, a, b)
				t.Logf("g%d and g%d stand still; others vote %v later, and the work goes on %v after that", a, b, took.Round(time.Millisecond), goes.Round(time.Millisecond))
				thawA()
				thawB()
				agreed(t, r, time.Minute, r.AllGateways()...)
				out.goesOn(t)
				out.audit(t)
			})
		}
	}
}

// goesOn waits until others than those have taken some steps from now on.
func (o *outside) goesOn(t *testing.T, not ...int) time.Duration {
	t.Helper()
	from := time.Now()
	o.mu.Lock()
	before := len(o.taken)
	o.mu.Unlock()
	for ; ; time.Sleep(20 * time.Millisecond) {
		o.mu.Lock()
		steps := 0
		for _, s := range o.taken[before:] {
			if !slices.ContainsFunc(not, func(i int) bool { return strings.HasPrefix(s.Owner, e2e.GatewayName(i)+".") }) {
				steps++
			}
		}
		o.mu.Unlock()
		if steps >= 3 {
			return time.Since(from)
		}
		if time.Since(from) > time.Minute {
			t.Fatalf("%d steps by others than %v in a minute", steps, not)
		}
	}
}
