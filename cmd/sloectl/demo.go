package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"sloepick/deploy/example"
	"sloepick/internal/stand"
)

const (
	demoGateways = 3
	demoNodes    = 8
	demoCores    = 2
	demoSeconds  = 600 // at most: the tallies keep every request
	startWithin  = 20 * time.Second
	stopWithin   = 20 * time.Second
	redrawEvery  = 500 * time.Millisecond
	plainEvery   = 5 * time.Second
)

// demoPlatform is the demonstration's site: the classes and plans of a clinic's booking, at a size that a small
// machine plays without strain.
func demoPlatform() *stand.Platform {
	plus := stand.Ceiling{Rate: 18, Depth: 30, Slack: 3}
	return &stand.Platform{
		Plans: []stand.Plan{{Name: "basic", Rate: 1.5, Burst: 8, Price: 0.55}, {Name: "standard", Rate: 3, Burst: 12, Price: 0.88},
			{Name: "plus", Rate: 8, Burst: 16, Price: 1.3, Ceiling: plus}, {Name: "network", Rate: 20, Burst: 36, Price: 1.8}},
		Classes: []stand.ClassMix{{Name: "slot-lookup", Share: 0.62, Units: 1, Patience: 1200 * time.Millisecond},
			{Name: "slot-book", Share: 0.38, Units: 2, Patience: 6 * time.Second, Keyed: true}},
		// The sockets' slack of 50 ms on each limit, and the scheduling of a busy machine.
		Rules: stand.Rules{AnswerSlack: 100 * time.Millisecond, DrainGrace: 250 * time.Millisecond, ColdFrom: 0.17, ColdFor: 14 * time.Second,
			FallMultiple: 4, FallWindow: 1500 * time.Millisecond, Cores: demoCores,
			Ceilings: map[string]stand.Ceiling{"plus": {Rate: plus.Rate, Depth: plus.Depth, Slack: plus.Slack + 0.15*plus.Rate}}},
		Window: 12 * time.Second, Zone: "floor-3", Sockets: 1024, Memory: 192,
	}
}

var demoWork = map[string]time.Duration{"slot-lookup": 45 * time.Millisecond, "slot-book": 100 * time.Millisecond}

// demoCustomers are clinics, of which the first on plus floods far beyond its quota for a third of the time.
func demoCustomers(p *stand.Platform, length time.Duration, r *rand.Rand) (all []stand.Customer) {
	units := 0.0 // of a mean request
	for _, c := range p.Classes {
		units += c.Share * c.Units
	}
	for i, n := range []int{24, 10, 6, 3} {
		for j := range n {
			c := stand.Customer{ID: fmt.Sprintf("%016x", 0x10000*(i+1)+j), Plan: p.Plans[i].Name, Spread: 2 + r.IntN(demoGateways-1),
				First: r.IntN(demoGateways), Rate: p.Plans[i].Rate / units * (0.3 + 0.3*r.Float64())}
			if p.Plans[i].Name == "plus" && j == 0 {
				c.Flood, c.FloodFrom, c.FloodTo = 12, length/5, length*8/15
			}
			all = append(all, c)
		}
	}
	return all
}

// demonstration is one run.
type demonstration struct {
	platform  *stand.Platform
	length    time.Duration
	seed      uint64
	operator  string
	dir       string
	errs      io.Writer
	discovery *stand.Discovery
	version   uint64
	nodes     []*stand.Node
	states    []stand.Entry
	tally     *stand.Tally
	gateways  []*gatewayProcess
	places    []stand.Place
	drains    []stand.Drain

	mu   sync.Mutex
	ends []stand.Ended
}

func demo(args []string, out, errs io.Writer) int {
	f := newFlags("demo")
	seconds := f.Int("seconds", 60, "how long to play, 10 to 600")
	seed := f.Uint64("seed", 0, "of the traffic; 0 draws one")
	plain := f.Bool("plain", false, "print lines in place of a table that is drawn anew")
	keep := f.Bool("keep", false, "leave all up at the end, until interrupted, and print the addresses")
	operator := f.String("operator", "", "the operators' file; without one the shipped example")
	if !flags(f, args, errs, 0, 0) {
		return exitTrouble
	}
	if *seconds < 10 || *seconds > demoSeconds {
		fmt.Fprintf(errs, "sloectl demo: --seconds is 10 to %d\n", demoSeconds)
		return exitTrouble
	}
	if *seed == 0 {
		*seed = uint64(time.Now().UnixNano())
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	d := &demonstration{platform: demoPlatform(), length: time.Duration(*seconds) * time.Second, seed: *seed, operator: *operator,
		errs: errs, tally: stand.NewTally()}
	fmt.Fprintf(out, "seed %d: %d gateways, %d nodes, %v\n", *seed, demoGateways, demoNodes, d.length)
	code, err := d.run(ctx, out, !*plain && terminal(out), *keep)
	if err != nil {
		fmt.Fprintln(errs, "sloectl demo:", err)
	}
	return code
}

// terminal reports whether what is written is seen by a person at once.
func terminal(out io.Writer) bool {
	f, ok := out.(*os.File)
	if !ok {
		return false
	}
	info, err := f.Stat()
	return err == nil && info.Mode()&os.ModeCharDevice != 0
}

func (d *demonstration) run(ctx context.Context, out io.Writer, live, keep bool) (code int, err error) {
	defer func() { err = errors.Join(err, d.close()) }()
	if err := d.start(ctx); err != nil {
		return exitTrouble, err
	}
	play, cancel := context.WithTimeout(ctx, d.length)
	defer cancel()
	crowd := &stand.Crowd{Customers: demoCustomers(d.platform, d.length, rand.New(rand.NewPCG(d.seed, 0))), Classes: d.platform.Classes,
		Seed: d.seed, Each: d.ended}
	for _, p := range d.places {
		crowd.Gateways = append(crowd.Gateways, p.Listen)
	}
	start, done, failed := time.Now(), make(chan struct{}), make(chan error, 1)
	go func() {
		defer close(done)
		crowd.Run(play)
	}()
	go func() { failed <- d.events(play) }()
	d.watch(done, out, live, start)
	if err := <-failed; err != nil {
		return exitTrouble, err
	}
	if ctx.Err() != nil {
		return exitTrouble, errors.New("interrupted")
	}
	fmt.Fprint(out, d.table(time.Since(start)))
	code = exitOK
	if keep {
		d.leaveUp(ctx, out)
	}
	for _, g := range d.gateways {
		if err := g.stop(); err != nil {
			fmt.Fprintf(out, "BROKEN  a gateway's end: %v\n", err)
			code = exitNo
		}
	}
	if !d.verdict(out) {
		code = exitNo
	}
	return code, nil
}

func (d *demonstration) ended(e stand.Ended) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ends = append(d.ends, e)
}

// start brings up the nodes, discovery and the gateways, and waits until each gateway answers.
func (d *demonstration) start(ctx context.Context) (err error) {
	cells := []*stand.Cell{{ID: 0, Window: d.platform.Window}, {ID: 1, Window: d.platform.Window}}
	for i := range demoNodes {
		n, err := stand.NewNode(stand.NodeConfig{ID: fmt.Sprintf("node-%d", i), Cell: cells[i%len(cells)], Cores: demoCores, Queue: 16,
			Work: demoWork, ColdFrom: d.platform.Rules.ColdFrom, ColdFor: d.platform.Rules.ColdFor, Tally: d.tally})
		if err != nil {
			return err
		}
		d.nodes = append(d.nodes, n)
		d.states = append(d.states, stand.Entry{ID: n.ID(), Addr: n.Addr(), Zone: d.platform.Zone, Kind: "std-2c", Cell: cells[i%len(cells)].ID,
			State: "up", Weight: 1})
	}
	d.version = 1
	known := stand.List{Version: d.version, Full: true, Servers: d.states}
	if d.discovery, err = stand.NewDiscovery(d.version, known); err != nil {
		return err
	}
	if d.dir, err = os.MkdirTemp("", "sloectl-demo-"); err != nil {
		return err
	}
	if d.operator == "" {
		if d.operator, err = writeExample(d.dir); err != nil {
			return err
		}
	}
	if d.places, err = stand.Places(demoGateways); err != nil {
		return err
	}
	for i := range demoGateways {
		text, err := d.platform.Config(i, d.places, d.discovery.Addr().String(), d.seed, known)
		if err != nil {
			return err
		}
		g, err := startGateway(filepath.Join(d.dir, fmt.Sprintf("gateway-%d.json", i)), text, d.operator)
		if err != nil {
			return err
		}
		d.gateways = append(d.gateways, g)
	}
	for i, g := range d.gateways {
		if err := g.answers(ctx, d.places[i].Listen); err != nil {
			return err
		}
	}
	return nil
}

// writeExample puts the shipped example into a folder and returns the path of its first file.
func writeExample(dir string) (string, error) {
	to := filepath.Join(dir, "operator")
	if err := os.CopyFS(to, example.Files); err != nil {
		return "", fmt.Errorf("writing the example: %w", err)
	}
	return filepath.Join(to, example.Root), nil
}

// events plays what happens to the first node: it drains, is gone, and comes back cold.
func (d *demonstration) events(ctx context.Context) error {
	n := d.nodes[0]
	if !wait(ctx, d.length/4) {
		return nil
	}
	d.states[0].State = "draining"
	if err := d.tell(); err != nil {
		return err
	}
	told := time.Now()
	n.Drain()
	d.drains = append(d.drains, stand.Drain{Node: n.ID(), Told: told})
	if !wait(ctx, d.length/6) {
		return nil
	}
	started, err := n.Restart()
	if err != nil {
		return err
	}
	d.drains[0].Restored = started
	d.states[0].State, d.states[0].StartedMS = "up", started.UnixMilli()
	return d.tell()
}

func wait(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (d *demonstration) tell() error {
	d.version++
	return d.discovery.Set(d.version, stand.List{Version: d.version, Full: true, Servers: slices.Clone(d.states)})
}

// watch shows how it goes until the traffic has ended.
func (d *demonstration) watch(done <-chan struct{}, out io.Writer, live bool, start time.Time) {
	every := plainEvery
	if live {
		every = redrawEvery
	}
	t := time.NewTicker(every)
	defer t.Stop()
	lines := 0
	for {
		select {
		case <-done:
			if live && lines > 0 {
				fmt.Fprintf(out, "\x1b[%dA\x1b[J", lines)
			}
			return
		case <-t.C:
		}
		text := d.table(time.Since(start))
		if !live {
			fmt.Fprint(out, d.line(time.Since(start)))
			continue
		}
		if lines > 0 {
			fmt.Fprintf(out, "\x1b[%dA\x1b[J", lines)
		}
		fmt.Fprint(out, text)
		lines = bytes.Count([]byte(text), []byte("\n"))
	}
}

// planFigures are what a plan's customers met.
type planFigures struct {
	counts [4]int // by stand.Kind
	took   []time.Duration
}

func (f *planFigures) asked() int { return f.counts[0] + f.counts[1] + f.counts[2] + f.counts[3] }

// quantile is the time within which so many of the served were answered.
func (f *planFigures) quantile(q float64) time.Duration {
	if len(f.took) == 0 {
		return 0
	}
	slices.Sort(f.took)
	return f.took[min(int(math.Ceil(q*float64(len(f.took)))), len(f.took))-1]
}

func (d *demonstration) figures() map[string]*planFigures {
	d.mu.Lock()
	defer d.mu.Unlock()
	all := map[string]*planFigures{}
	for _, p := range d.platform.Plans {
		all[p.Name] = &planFigures{}
	}
	for _, e := range d.ends {
		f := all[e.Plan]
		f.counts[e.Kind]++
		if e.Kind == stand.WasServed {
			f.took = append(f.took, e.At.Sub(e.Sent))
		}
	}
	return all
}

func (d *demonstration) line(since time.Duration) string {
	var sum planFigures
	for _, f := range d.figures() {
		for i, n := range f.counts {
			sum.counts[i] += n
		}
		sum.took = append(sum.took, f.took...)
	}
	return fmt.Sprintf("%3.0f s  asked %d  served %d  refused %d  failed %d  p50 %d ms  p99 %d ms\n", since.Seconds(), sum.asked(),
		sum.counts[stand.WasServed], sum.counts[stand.WasRefused], sum.counts[stand.WasFailed],
		sum.quantile(0.5).Milliseconds(), sum.quantile(0.99).Milliseconds())
}

func (d *demonstration) table(since time.Duration) string {
	var b bytes.Buffer
	fmt.Fprintf(&b, "after %.0f s\n%-10s %7s %7s %8s %7s %8s %8s\n", since.Seconds(), "plan", "asked", "served", "refused", "failed", "p50 ms", "p99 ms")
	all := d.figures()
	for _, p := range d.platform.Plans {
		f := all[p.Name]
		fmt.Fprintf(&b, "%-10s %7d %7d %8d %7d %8d %8d\n", p.Name, f.asked(), f.counts[stand.WasServed], f.counts[stand.WasRefused],
			f.counts[stand.WasFailed], f.quantile(0.5).Milliseconds(), f.quantile(0.99).Milliseconds())
	}
	fmt.Fprintf(&b, "%-10s %7s %7s %8s %7s\n", "node", "came", "ran", "away", "repeat")
	for _, n := range d.nodes {
		c := n.Counts()
		fmt.Fprintf(&b, "%-10s %7d %7d %8d %7d\n", n.ID(), c.Came, c.Ran, c.Away, c.Dropped)
	}
	return b.String()
}

// verdict tells whether each rule was kept, by what clients and nodes saw.
func (d *demonstration) verdict(out io.Writer) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	kept := true
	for _, v := range stand.Audit(d.platform.Rules, d.ends, d.tally, d.drains) {
		word := "kept"
		if v.Count > 0 {
			word, kept = "BROKEN", false
		}
		fmt.Fprintf(out, "%-7s %s (%d looked at, %d against it)\n", word, v.Rule, v.Held, v.Count)
		for _, c := range v.Broken {
			fmt.Fprintf(out, "        %s\n", c)
		}
	}
	return kept
}

func (d *demonstration) leaveUp(ctx context.Context, out io.Writer) {
	fmt.Fprintf(out, "left up until interrupted\n  discovery http://%s/v1/servers\n", d.discovery.Addr())
	for i, p := range d.places {
		fmt.Fprintf(out, "  gateway %d  %s (process %d)\n", i, p.Listen, d.gateways[i].cmd.Process.Pid)
	}
	for _, n := range d.nodes {
		fmt.Fprintf(out, "  %s  %s\n", n.ID(), n.Addr())
	}
	<-ctx.Done()
}

func (d *demonstration) close() error {
	for _, g := range d.gateways {
		g.kill()
	}
	if d.discovery != nil {
		d.discovery.Close()
	}
	for _, n := range d.nodes {
		n.Close()
	}
	if d.dir == "" {
		return nil
	}
	if err := os.RemoveAll(d.dir); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return fmt.Errorf("clearing up: %w", err)
	}
	return nil
}

// gatewayProcess is a daemon that this program started: itself, with the verb daemon.
type gatewayProcess struct {
	cmd    *exec.Cmd
	log    bytes.Buffer
	ended  chan struct{}
	result error
}

func startGateway(path string, config []byte, operator string) (*gatewayProcess, error) {
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return nil, err
	}
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	g := &gatewayProcess{cmd: exec.Command(self, "daemon", "-operator", operator), ended: make(chan struct{})}
	g.cmd.Env = append(os.Environ(), "GW_CONFIG="+path, "GW_NAME=", "GW_LISTEN=", "GW_DISCOVERY=", selfEnv+"=1")
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // an interrupt at the terminal is this program's to pass on
	g.cmd.Stderr = &g.log
	if err := g.cmd.Start(); err != nil {
		return nil, fmt.Errorf("starting a gateway: %w", err)
	}
	go func() {
		defer close(g.ended)
		g.result = g.cmd.Wait()
	}()
	return g, nil
}

// selfEnv tells a test's binary that it stands for the program.
const selfEnv = "SLOECTL_MAIN"

// answers waits until the gateway has answered a PING.
func (g *gatewayProcess) answers(ctx context.Context, addr string) error {
	for end := time.Now().Add(startWithin); time.Now().Before(end); {
		if c, err := stand.Dial(addr); err == nil {
			err = errors.Join(c.Conn.SetDeadline(end), c.Send("PING"))
			got, err2 := c.Read()
			c.Close()
			if err == nil && err2 == nil && got == "+PONG" {
				return nil
			}
		}
		select {
		case <-g.ended:
			return fmt.Errorf("a gateway ended at its start: %w\n%s", g.result, g.log.String())
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(10 * time.Millisecond):
		}
	}
	return &net.OpError{Op: "dial", Net: "tcp", Err: fmt.Errorf("the gateway at %s does not answer", addr)}
}

// stop ends it as an operator would, and returns why it did not end well.
func (g *gatewayProcess) stop() error {
	if err := g.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		<-g.ended
		return fmt.Errorf("it had ended before: %w\n%s", g.result, g.log.String())
	}
	select {
	case <-g.ended:
		if g.result != nil {
			return fmt.Errorf("%w\n%s", g.result, g.log.String())
		}
		return nil
	case <-time.After(stopWithin):
		return errors.New("it does not end")
	}
}

func (g *gatewayProcess) kill() {
	select {
	case <-g.ended:
	default:
		g.cmd.Process.Kill()
		<-g.ended
	}
}
