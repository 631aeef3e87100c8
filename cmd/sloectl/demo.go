package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"sloepick/deploy/example"
	"sloepick/internal/gossip"
	"sloepick/internal/peerinfo"
	"sloepick/internal/testbed"
)

const (
	demoGateways   = 3
	demoNodes      = 8
	demoSeconds    = 600 // maximum; the result of every request is kept in memory
	redrawInterval = 500 * time.Millisecond
	plainInterval  = 5 * time.Second

	demoMaxFleet     = 20
	demoJoinTimeout  = time.Minute // for all members to have a place in the fleet
	joinPollInterval = 50 * time.Millisecond
)

// customers returns the simulated customers. The first one on the plan plus exceeds its quota by far for a third of the time.
// In a fleet each customer uses all gateways, because the fleet assigns their numbers only at run time.
func (d *demonstration) customers(r *rand.Rand) (all []testbed.Customer) {
	p, length := d.site.Platform, d.length
	units := 0.0 // per request, on average
	for _, c := range p.Classes {
		units += c.Share * c.Units
	}
	for i, n := range []int{24, 10, 6, 3} {
		for j := range n {
			c := testbed.Customer{ID: fmt.Sprintf("%016x", 0x10000*(i+1)+j), Plan: p.Plans[i].Name, GatewayCount: 2 + r.IntN(demoGateways-1),
				FirstGateway: r.IntN(demoGateways), Rate: p.Plans[i].Rate / units * (0.3 + 0.3*r.Float64())}
			if d.fleet > 0 {
				c.GatewayCount, c.FirstGateway = d.fleet, 0
			}
			if p.Plans[i].Name == "plus" && j == 0 {
				c.SurgeFactor, c.SurgeFrom, c.SurgeTo = 12, length/5, length*8/15
			}
			all = append(all, c)
		}
	}
	return all
}

// demonstration is one run of the demo.
type demonstration struct {
	length    time.Duration
	seed      uint64
	operator  string
	fleet     int // gateways that form a fleet; 0: no fleet, the platform's files number the gateways
	dir       string
	site      *testbed.Site
	gateways  []*testbed.Process
	endpoints []testbed.Endpoint
	members   []testbed.Endpoint // addresses for the traffic between members of the fleet

	mu      sync.Mutex
	results []testbed.RequestResult
}

func demo(args []string, out, errs io.Writer) int {
	f := newFlags("demo")
	seconds := f.Int("seconds", 60, "how long the demo runs, 10 to 600")
	seed := f.Uint64("seed", 0, "seed of the traffic; 0 draws one")
	plain := f.Bool("plain", false, "print lines instead of a table that is redrawn")
	keep := f.Bool("keep", false, "keep everything running at the end until interrupted, and print the addresses")
	operator := f.String("operator", "", "the operators' file; default: the shipped example")
	members := f.Int("fleet", 0, "number of gateways in a fleet, 2 to 20; 0: no fleet, three gateways that the platform numbers")
	if !parseFlags(f, args, errs, 0, 0) {
		return exitError
	}
	if *members != 0 && (*members < 2 || *members > demoMaxFleet || *operator != "") {
		fmt.Fprintf(errs, "sloectl demo: --fleet is 2 to %d, and excludes --operator\n", demoMaxFleet)
		return exitError
	}
	if *seconds < 10 || *seconds > demoSeconds {
		fmt.Fprintf(errs, "sloectl demo: --seconds is 10 to %d\n", demoSeconds)
		return exitError
	}
	if *seed == 0 {
		*seed = uint64(time.Now().UnixNano())
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	d := &demonstration{length: time.Duration(*seconds) * time.Second, seed: *seed, operator: *operator, fleet: *members}
	fmt.Fprintf(out, "seed %d: %d gateways, %d nodes, %v\n", *seed, d.size(), demoNodes, d.length)
	code, err := d.run(ctx, out, !*plain && isTerminal(out), *keep)
	if err != nil {
		fmt.Fprintln(errs, "sloectl demo:", err)
	}
	return code
}

// isTerminal reports whether out is a terminal (or another character device).
func isTerminal(out io.Writer) bool {
	f, ok := out.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

func (d *demonstration) run(ctx context.Context, out io.Writer, redraw, keep bool) (code int, err error) {
	defer func() { err = errors.Join(err, d.close()) }()
	if err := d.start(ctx); err != nil {
		return exitError, err
	}
	if d.fleet > 0 {
		fmt.Fprintf(out, "all members of the fleet have a place; see: sloectl fleet status %s\n", d.statusSocket(0))
	}
	runCtx, cancel := context.WithTimeout(ctx, d.length)
	defer cancel()
	load := &testbed.LoadGenerator{Customers: d.customers(rand.New(rand.NewPCG(d.seed, 0))), Classes: d.site.Platform.Classes,
		Seed: d.seed, OnResult: d.recordResult}
	for _, p := range d.endpoints {
		load.Gateways = append(load.Gateways, p.Listen)
	}
	start, done, eventsErr := time.Now(), make(chan struct{}), make(chan error, 1)
	go func() {
		defer close(done)
		load.Run(runCtx)
	}()
	go func() { eventsErr <- d.runEvents(runCtx) }()
	d.showProgress(done, out, redraw, start)
	if err := <-eventsErr; err != nil {
		return exitError, err
	}
	if ctx.Err() != nil {
		return exitError, errors.New("interrupted")
	}
	fmt.Fprint(out, d.table(time.Since(start)))
	code = exitOK
	if d.fleet > 0 && !d.checkPeerInfo(ctx, out) {
		code = exitNegative
	}
	if keep {
		d.keepRunning(ctx, out)
	}
	for _, g := range d.gateways {
		if err := g.Stop(); err != nil {
			fmt.Fprintf(out, "BROKEN  a gateway's shutdown: %v\n", err)
			code = exitNegative
		}
	}
	if !d.printVerdict(out) {
		code = exitNegative
	}
	return code, nil
}

func (d *demonstration) recordResult(e testbed.RequestResult) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.results = append(d.results, e)
}

// start starts the site and the gateways, and waits until each gateway responds.
func (d *demonstration) start(ctx context.Context) (err error) {
	if d.site, err = testbed.NewSite(testbed.SmallPlatform(), demoNodes); err != nil {
		return err
	}
	if d.dir, err = os.MkdirTemp("", "sloectl-demo-"); err != nil {
		return err
	}
	if d.operator == "" && d.fleet == 0 {
		if d.operator, err = writeExample(d.dir); err != nil {
			return err
		}
	}
	if d.endpoints, err = testbed.AllocateEndpoints(2 * d.size()); err != nil { // for each gateway one address for clients and one for the fleet
		return err
	}
	d.endpoints, d.members = d.endpoints[:d.size()], d.endpoints[d.size():]
	for i := range d.endpoints {
		if err := d.startGateway(i); err != nil {
			return err
		}
	}
	for i, g := range d.gateways {
		if err := g.WaitReady(ctx, d.endpoints[i].Listen); err != nil {
			return err
		}
	}
	if d.fleet > 0 {
		return d.waitJoined(ctx)
	}
	return nil
}

func (d *demonstration) size() int {
	if d.fleet > 0 {
		return d.fleet
	}
	return demoGateways
}

// statusSocket returns the path of the socket on which a member serves its status.
func (d *demonstration) statusSocket(i int) string {
	return filepath.Join(d.dir, fmt.Sprintf("fleet-%d.sock", i))
}

// writeFleetFile writes a member's operators' file and returns its path.
func (d *demonstration) writeFleetFile(i int) (string, error) {
	text := fmt.Sprintf("fleet {\n    address = %q\n    seeds = [%q, %q]\n    places = %d\n    expect = %d\n    status = %q\n}\n\ncommons { }\n\npower {\n    keep = \"power-%d\"\n}\n",
		d.members[i].Listen, d.members[0].Listen, d.members[1].Listen, d.fleet, d.fleet, d.statusSocket(i), i)
	path := filepath.Join(d.dir, fmt.Sprintf("fleet-%d.sloe", i))
	return path, os.WriteFile(path, []byte(text), 0o600)
}

// waitJoined waits until all members have a place in the fleet.
func (d *demonstration) waitJoined(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, demoJoinTimeout)
	defer cancel()
	for i := 0; i < d.fleet; {
		r, err := gossip.ReadStatus(ctx, d.statusSocket(i))
		if err == nil && r.Assignment.Slot >= 0 {
			i++
			continue
		}
		if !sleep(ctx, joinPollInterval) {
			return fmt.Errorf("gateway %d has no place in the fleet: %w", i, errors.Join(err, ctx.Err()))
		}
	}
	return nil
}

// startGateway starts a gateway as a process: this executable with the subcommand daemon.
func (d *demonstration) startGateway(i int) error {
	text, err := d.site.Platform.GatewayConfig(i, d.endpoints, d.site.Discovery.Addr().String(), d.seed, d.site.ServerList())
	if err != nil {
		return err
	}
	path := filepath.Join(d.dir, fmt.Sprintf("gateway-%d.json", i))
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	executable, err := os.Executable()
	if err != nil {
		return err
	}
	operator := d.operator
	if d.fleet > 0 {
		if operator, err = d.writeFleetFile(i); err != nil {
			return err
		}
	}
	cmd := exec.Command(executable, "daemon", "-operator", operator)
	cmd.Env = append(os.Environ(), "GW_CONFIG="+path, "GW_NAME=", "GW_LISTEN=", "GW_DISCOVERY=", runMainEnv+"=1")
	g, err := testbed.StartProcess(cmd)
	if err != nil {
		return err
	}
	d.gateways = append(d.gateways, g)
	return nil
}

// runMainEnv is the environment variable that makes a test binary run main instead of the tests.
const runMainEnv = "SLOECTL_MAIN"

// writeExample writes the shipped example into a directory and returns the path of its root file.
func writeExample(dir string) (string, error) {
	exampleDir := filepath.Join(dir, "operator")
	if err := os.CopyFS(exampleDir, example.Files); err != nil {
		return "", fmt.Errorf("writing the example: %w", err)
	}
	return filepath.Join(exampleDir, example.Root), nil
}

// runEvents drains the first node during the run and later restarts it, so that it comes back cold.
func (d *demonstration) runEvents(ctx context.Context) error {
	if !sleep(ctx, d.length/4) {
		return nil
	}
	if err := d.site.Drain(0); err != nil {
		return err
	}
	if !sleep(ctx, d.length/6) {
		return nil
	}
	return d.site.Restart(0)
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// showProgress prints the progress until the traffic ends.
func (d *demonstration) showProgress(done <-chan struct{}, out io.Writer, redraw bool, start time.Time) {
	interval := plainInterval
	if redraw {
		interval = redrawInterval
	}
	t := time.NewTicker(interval)
	defer t.Stop()
	lines := 0
	for {
		select {
		case <-done:
			if redraw && lines > 0 {
				fmt.Fprintf(out, "\x1b[%dA\x1b[J", lines)
			}
			return
		case <-t.C:
		}
		text := d.table(time.Since(start))
		if !redraw {
			fmt.Fprint(out, d.progressLine(time.Since(start)))
			continue
		}
		if lines > 0 {
			fmt.Fprintf(out, "\x1b[%dA\x1b[J", lines)
		}
		fmt.Fprint(out, text)
		lines = bytes.Count([]byte(text), []byte("\n"))
	}
}

// planStats counts the results of a plan's customers.
type planStats struct {
	counts [4]int // by testbed.Outcome
	took   []time.Duration
}

func (f *planStats) total() int { return f.counts[0] + f.counts[1] + f.counts[2] + f.counts[3] }

// quantile returns the time within which the share q of the served requests was answered.
func (f *planStats) quantile(q float64) time.Duration {
	if len(f.took) == 0 {
		return 0
	}
	slices.Sort(f.took)
	return f.took[min(int(math.Ceil(q*float64(len(f.took)))), len(f.took))-1]
}

func (d *demonstration) statsByPlan() map[string]*planStats {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := map[string]*planStats{}
	for _, p := range d.site.Platform.Plans {
		all[p.Name] = &planStats{}
	}
	for _, e := range d.results {
		f := all[e.Plan]
		f.counts[e.Outcome]++
		if e.Outcome == testbed.OutcomeServed {
			f.took = append(f.took, e.EndedAt.Sub(e.SentAt))
		}
	}
	return all
}

func (d *demonstration) progressLine(since time.Duration) string {
	var sum planStats
	for _, f := range d.statsByPlan() {
		for i, n := range f.counts {
			sum.counts[i] += n
		}
		sum.took = append(sum.took, f.took...)
	}
	return fmt.Sprintf("%3.0f s  asked %d  served %d  refused %d  failed %d  p50 %d ms  p99 %d ms\n", since.Seconds(), sum.total(),
		sum.counts[testbed.OutcomeServed], sum.counts[testbed.OutcomeRefused], sum.counts[testbed.OutcomeFailed],
		sum.quantile(0.5).Milliseconds(), sum.quantile(0.99).Milliseconds())
}

func (d *demonstration) table(since time.Duration) string {
	var b bytes.Buffer
	fmt.Fprintf(&b, "after %.0f s\n%-10s %7s %7s %8s %7s %8s %8s\n", since.Seconds(), "plan", "asked", "served", "refused", "failed", "p50 ms", "p99 ms")
	all := d.statsByPlan()
	for _, p := range d.site.Platform.Plans {
		f := all[p.Name]
		fmt.Fprintf(&b, "%-10s %7d %7d %8d %7d %8d %8d\n", p.Name, f.total(), f.counts[testbed.OutcomeServed], f.counts[testbed.OutcomeRefused],
			f.counts[testbed.OutcomeFailed], f.quantile(0.5).Milliseconds(), f.quantile(0.99).Milliseconds())
	}
	fmt.Fprintf(&b, "%-10s %7s %7s %8s %7s\n", "node", "came", "ran", "away", "repeat")
	for _, n := range d.site.Nodes {
		c := n.Counts()
		fmt.Fprintf(&b, "%-10s %7d %7d %8d %7d\n", n.ID(), c.Received, c.Executed, c.Rejected, c.Deduplicated)
	}
	return b.String()
}

// printVerdict prints whether each rule was kept, judged by what clients and nodes observed. It reports whether all were.
func (d *demonstration) printVerdict(out io.Writer) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	kept := true
	for _, v := range d.site.Audit(d.results) {
		verdict := "kept"
		if v.Violations > 0 {
			verdict, kept = "BROKEN", false
		}
		fmt.Fprintf(out, "%-7s %s (%d checked, %d violations)\n", verdict, v.Rule, v.Checked, v.Violations)
		for _, c := range v.Examples {
			fmt.Fprintf(out, "        %s\n", c)
		}
	}
	return kept
}

const maxPeerDelay = time.Second // upper bound on a message between two gateways, even on a busy machine

// checkPeerInfo prints and reports whether each member has information about all others that is no older than the bound.
func (d *demonstration) checkPeerInfo(ctx context.Context, out io.Writer) bool {
	conf := peerinfo.DefaultConfig()
	bound, oldest, known, kept := conf.StalenessBound(d.fleet, 0, maxPeerDelay), time.Duration(0), 0, true
	for i := range d.fleet {
		r, err := gossip.ReadStatus(ctx, d.statusSocket(i))
		if err != nil || len(r.PeerInfo) != d.fleet {
			kept = false
			continue
		}
		for _, row := range r.PeerInfo {
			known++
			oldest = max(oldest, row.Age)
		}
	}
	verdict := "kept"
	if kept = kept && oldest <= bound; !kept {
		verdict = "BROKEN"
	}
	fmt.Fprintf(out, "%-7s what members know of each other (%d of %d, %v old at most, bound %v)\n", verdict, known, d.fleet*d.fleet, oldest.Round(time.Millisecond), bound)
	return kept
}

func (d *demonstration) keepRunning(ctx context.Context, out io.Writer) {
	fmt.Fprintf(out, "running until interrupted\n  discovery http://%s/v1/servers\n", d.site.Discovery.Addr())
	for i, p := range d.endpoints {
		fmt.Fprintf(out, "  gateway %d  %s (process %d)\n", i, p.Listen, d.gateways[i].PID())
	}
	for _, n := range d.site.Nodes {
		fmt.Fprintf(out, "  %s  %s\n", n.ID(), n.Addr())
	}
	<-ctx.Done()
}

func (d *demonstration) close() error {
	for _, g := range d.gateways {
		g.Kill()
	}
	if d.site != nil {
		d.site.Close()
	}
	if err := os.RemoveAll(d.dir); err != nil {
		return fmt.Errorf("removing the temporary directory: %w", err)
	}
	return nil
}
