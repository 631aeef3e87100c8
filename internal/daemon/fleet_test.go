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
	"sync"
	"syscall"
	"testing"
	"time"

	"sloepick/internal/fleet"
	"sloepick/internal/gossip"
	"sloepick/internal/stand"
	"sloepick/internal/stand/seeds"
)

var fleetSize = flag.Int("fleet", 5, "gateways of TestFleetUnderKills")

// fleetRig is a site with a fleet of real processes.
type fleetRig struct {
	t       *testing.T
	ctx     context.Context
	site    *stand.Site
	dir     string
	places  []stand.Place
	members []stand.Place
	run     []*stand.Process

	mu    sync.Mutex
	downs [][]down // by gateway
}

// down is a time in which a gateway's clients may be left without their answers.
type down struct{ from, to time.Time }

const downSlack = 3 * time.Second // past a gateway's return: what was asked of it while it was away may still be lost

func newFleetRig(t *testing.T, platform *stand.Platform, n int) *fleetRig {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
	t.Cleanup(cancel)
	site, err := stand.NewSite(platform, 8)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Close)
	places, err := stand.Places(2 * n)
	if err != nil {
		t.Fatal(err)
	}
	r := &fleetRig{t: t, ctx: ctx, site: site, dir: t.TempDir(), places: places[:n], members: places[n:], run: make([]*stand.Process, n), downs: make([][]down, n)}
	r.write("keys", base64.StdEncoding.EncodeToString([]byte("0123456789abcdef"))+"\n")
	return r
}

func (r *fleetRig) file(name string) string { return filepath.Join(r.dir, name) }

func (r *fleetRig) write(name, text string) {
	r.t.Helper()
	if err := os.WriteFile(r.file(name), []byte(text), 0o600); err != nil {
		r.t.Fatal(err)
	}
}

// start starts a gateway. Whatever number the platform's file tells, the fleet gives it its own.
func (r *fleetRig) start(i int) {
	r.t.Helper()
	text, err := r.site.Platform.Config(0, r.places[i:i+1], r.site.Discovery.Addr().String(), uint64(i), r.site.List())
	if err != nil {
		r.t.Fatal(err)
	}
	name := fmt.Sprintf("g%d", i)
	r.write(name+".json", string(text))
	r.write(name+".sloe", fmt.Sprintf("fleet {\n address = %q\n places = %d\n expect = %d\n seeds = [%q, %q]\n keys = \"keys\"\n state = %q\n status = %q\n}\n",
		r.members[i].Listen, len(r.places), len(r.places), r.members[0].Listen, r.members[1].Listen, name+".state", name+".sock"))
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "DAEMON_TEST_MAIN=1", "GW_CONFIG="+r.file(name+".json"), "GW_OPERATOR="+r.file(name+".sloe"), "GW_NAME="+name, "GW_LISTEN=", "GW_DISCOVERY=")
	if r.run[i], err = stand.Start(cmd); err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(r.run[i].Kill)
	if err := r.run[i].Answers(r.ctx, r.places[i].Listen); err != nil {
		r.t.Fatalf("%v; the log is\n%s", err, r.run[i].Log)
	}
}

// report asks a gateway how it sees the fleet; nil: it does not say.
func (r *fleetRig) report(i int) *gossip.Report {
	ctx, cancel := context.WithTimeout(r.ctx, time.Second)
	defer cancel()
	rep, err := gossip.ReadStatus(ctx, r.file(fmt.Sprintf("g%d.sock", i)))
	if err != nil {
		return nil
	}
	return rep
}

// agreed waits until all gateways have a place, and the same table.
func (r *fleetRig) agreed(within time.Duration) time.Duration {
	r.t.Helper()
	for from := time.Now(); ; time.Sleep(50 * time.Millisecond) {
		var first []fleet.Holder
		n, why := 0, ""
		for i := range r.run {
			rep := r.report(i)
			switch {
			case rep == nil:
				why = fmt.Sprintf("g%d says nothing", i)
			case rep.Standing.Place < 0 || rep.Standing.Alone:
				why = fmt.Sprintf("g%d stands at %+v", i, rep.Standing)
			case first != nil && !slices.Equal(first, rep.Standing.Holders):
				why = fmt.Sprintf("g%d sees %v, others %v", i, rep.Standing.Holders, first)
			default:
				first = rep.Standing.Holders
				n++
			}
		}
		if n == len(r.run) {
			return time.Since(from)
		}
		if time.Since(from) > within {
			for i, p := range r.run {
				r.t.Logf("g%d: %s", i, p.Log)
			}
			r.t.Fatalf("no agreement within %v: %s", within, why)
		}
	}
}

// away marks that a gateway's clients may lose what they ask from now on, until the function it returns is called.
func (r *fleetRig) away(i int) (back func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := len(r.downs[i])
	r.downs[i] = append(r.downs[i], down{from: time.Now(), to: time.Now().Add(time.Hour)})
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.downs[i][n].to = time.Now().Add(downSlack)
	}
}

// excused reports that a request without an answer was asked of a gateway that was away.
func (r *fleetRig) excused(e stand.Ended) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.downs[e.Gateway], func(d down) bool { return e.Sent.Before(d.to) && e.At.After(d.from) })
}

// TestFleetUnderKills plays clinics, one of them at five times its quota, against a fleet of real processes that are killed,
// stopped, let stand still and started again. Each request that a living gateway took has one answer, no key ran twice, the
// ceiling holds, and no customer gets more than its quota and a stated slack.
func TestFleetUnderKills(t *testing.T) {
	seeds.Play(t, []uint64{1}, fleetUnderKills)
}

func fleetUnderKills(t *testing.T, seed uint64) {
	n := *fleetSize
	platform := stand.Clinic()
	r := newFleetRig(t, platform, n)
	for i := range n {
		r.start(i)
	}
	t.Logf("%d processes have their places %v after the last start", n, r.agreed(time.Minute))

	var ends []stand.Ended
	var mu sync.Mutex
	crowd := stand.Crowd{Classes: platform.Classes, Seed: seed, Each: func(e stand.Ended) {
		mu.Lock()
		defer mu.Unlock()
		ends = append(ends, e)
	}}
	for _, p := range r.places {
		crowd.Gateways = append(crowd.Gateways, p.Listen)
	}
	for i, plan := range platform.Plans {
		crowd.Customers = append(crowd.Customers, stand.Customer{ID: fmt.Sprintf("%016x", 2*i+1), Plan: plan.Name, Rate: 5 * plan.Rate / 1.38, Spread: n},
			stand.Customer{ID: fmt.Sprintf("%016x", 2*i+2), Plan: plan.Name, Rate: 0.5 * plan.Rate / 1.38, Spread: n})
	}
	ctx, stop := context.WithCancel(r.ctx)
	ended := make(chan struct{})
	began := time.Now()
	go func() {
		defer close(ended)
		crowd.Run(ctx)
	}()
	rnd := seeds.Rand(seed)
	for _, how := range []string{"kill", "stand still", "stop", "kill half"} {
		time.Sleep(2 * time.Second)
		r.disturb(how, rnd.IntN(n))
	}
	time.Sleep(2 * time.Second)
	stop()
	<-ended
	took := time.Since(began)
	r.judge(ends, crowd.Customers, took)
}

// disturb does something to a gateway, and waits until the fleet is whole again.
func (r *fleetRig) disturb(how string, i int) {
	r.t.Helper()
	switch how {
	case "kill":
		back := r.away(i)
		r.run[i].Kill()
		r.start(i)
		back()
	case "stand still":
		back := r.away(i)
		must(r.t, r.run[i].Signal(syscall.SIGSTOP))
		time.Sleep(4 * time.Second)
		must(r.t, r.run[i].Signal(syscall.SIGCONT))
		must(r.t, r.run[i].Log.Wait(r.ctx, "standing aside until the fleet is heard", 1))
		back()
	case "stop":
		back := r.away(i)
		must(r.t, r.run[i].Stop())
		r.start(i)
		back()
	case "kill half":
		var backs []func()
		half := len(r.run) / 2
		for k := range half {
			backs = append(backs, r.away((i+k)%len(r.run)))
			r.run[(i+k)%len(r.run)].Kill()
		}
		for k := range half {
			r.start((i + k) % len(r.run))
		}
		for _, back := range backs {
			back()
		}
	}
	r.t.Logf("%s g%d: whole again after %v", how, i, r.agreed(time.Minute))
}

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// judge holds all that was seen to the rules.
func (r *fleetRig) judge(ends []stand.Ended, customers []stand.Customer, took time.Duration) {
	lost, served := 0, 0
	kept := slices.DeleteFunc(slices.Clone(ends), func(e stand.Ended) bool {
		if e.Kind == stand.WasServed {
			served++
		}
		excused := e.Kind == stand.WasLost && r.excused(e)
		if excused {
			lost++
		}
		return excused
	})
	r.t.Logf("%d requests, %d served, %d lost with gateways that were away", len(ends), served, lost)
	for _, v := range r.site.Audit(kept) {
		if v.Count > 0 {
			r.t.Errorf("%s: %d cases: %s", v.Rule, v.Count, strings.Join(v.Broken, "; "))
		}
	}
	for _, c := range customers {
		i := slices.IndexFunc(r.site.Platform.Plans, func(p stand.Plan) bool { return p.Name == c.Plan })
		plan := r.site.Platform.Plans[i]
		quota := plan.Rate*took.Seconds() + plan.Burst
		got := r.site.Tally.Units(c.ID)
		r.t.Logf("%s, asks for %.1f of %.1f units a second: got %.0f units of %.0f", c.Plan, c.Rate*1.38, plan.Rate, got, quota)
		if got > 1.1*quota+plan.Burst/2 {
			r.t.Errorf("customer %s on %s got %.0f units of %.0f", c.ID, c.Plan, got, quota)
		}
	}
}
