// Package e2e builds end-to-end tests of several real gateway processes: a site, gateways with a disk each, a
// faulty network between them, client load, and an audit. Each manipulation of processes and disks is one call, so
// that a test of a new failure is a script of a few lines.
package e2e

import (
	"context"
	"errors"
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

	"sloepick/internal/testbed"
	"sloepick/internal/testbed/faultnet"
)

const (
	testTimeout   = 5 * time.Minute // limit of a whole test
	recoveryGrace = 3 * time.Second // after a gateway's return: requests that were sent to it while it was down may still be lost
	fileMode      = 0o600
	dirMode       = 0o700
)

// Environment variables of a gateway process, in addition to those that operators set. The test's own program
// reads them.
const (
	RoutesEnv = "PROCS_ROUTES" // faultnet.Routes of the member
	ClockEnv  = "PROCS_CLOCK"  // offset of its wall clock, a time.Duration
	BootEnv   = "PROCS_BOOT"   // boot id under which it runs
)

// Config configures a Harness.
type Config struct {
	Platform *testbed.Platform
	Nodes    int // 0: 8
	Gateways int
	Seed     uint64 // of the network faults
	// OperatorFile returns the operators' file of gateway i, which is a member of a fleet: its platform settings
	// name itself alone, and it has a member address and a disk. nil: there is no fleet; the platform settings
	// name all gateways, which exchange datagrams through the mesh, and there is no operators' file.
	OperatorFile func(h *Harness, i int) string
	// Command returns a command that runs the program; the harness adds to its environment.
	Command func() *exec.Cmd
}

// Harness is a site with gateways as real processes.
type Harness struct {
	Site         *testbed.Site
	Endpoints    []testbed.Endpoint // where gateways accept clients
	MemberAddrs  []string           // where gateways accept other members of the fleet
	Mesh         *faultnet.Mesh     // between members of the fleet, or between peers without a fleet
	Processes    []*testbed.Process
	History      [][]Incarnation // of each gateway: all its processes so far
	Ctx          context.Context
	ClockOffsets []time.Duration // offset of a gateway's wall clock, from its next start on

	t      testing.TB
	cfg    Config
	dir    string
	boots  int
	copies int

	mu      sync.Mutex
	outages [][]outage // by gateway
}

// Incarnation is a process of a gateway; EndedAt is zero while it runs.
type Incarnation struct {
	*testbed.Process
	StartedAt, EndedAt time.Time
}

// outage is a time during which requests to a gateway may be lost.
type outage struct{ from, to time.Time }

// New starts a site and prepares gateways, which are not started yet. Everything is stopped at the end of the
// test.
func New(t testing.TB, cfg Config) *Harness {
	t.Helper()
	if cfg.Nodes == 0 {
		cfg.Nodes = 8
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	n := cfg.Gateways
	h := &Harness{t: t, cfg: cfg, Ctx: ctx, dir: t.TempDir(), Processes: make([]*testbed.Process, n), ClockOffsets: make([]time.Duration, n), outages: make([][]outage, n), History: make([][]Incarnation, n), boots: 1}
	endpoints, err := testbed.AllocateEndpoints(2 * n)
	h.Must(err)
	h.Endpoints = endpoints[:n]
	var peers []string
	for i := range n {
		if h.MemberAddrs = append(h.MemberAddrs, endpoints[n+i].Listen); cfg.OperatorFile == nil {
			peers = append(peers, endpoints[i].Peer)
		}
		h.Must(os.Mkdir(h.DiskDir(i), dirMode))
	}
	if cfg.OperatorFile != nil {
		peers = h.MemberAddrs
	}
	h.Mesh, err = faultnet.NewMesh(cfg.Seed, peers)
	h.Must(err)
	t.Cleanup(h.Mesh.Close)
	if cfg.OperatorFile == nil {
		cfg.Platform.PeerAddrs = h.Mesh.PeerAddrs
	}
	h.Site, err = testbed.NewSite(cfg.Platform, cfg.Nodes)
	h.Must(err)
	t.Cleanup(h.Site.Close)
	return h
}

// Must stops the test if err is not nil.
func (h *Harness) Must(err error) {
	h.t.Helper()
	if err != nil {
		h.t.Fatal(err)
	}
}

// GatewayName returns the name of gateway i.
func GatewayName(i int) string { return fmt.Sprintf("g%d", i) }

// DiskDir returns the directory that survives the processes of gateway i.
func (h *Harness) DiskDir(i int) string { return filepath.Join(h.dir, GatewayName(i)) }

// FilePath returns the path of a file beside the disks, such as keys that all gateways share.
func (h *Harness) FilePath(name string) string { return filepath.Join(h.dir, name) }

// WriteFile writes a file.
func (h *Harness) WriteFile(file, text string) {
	h.t.Helper()
	h.Must(os.WriteFile(file, []byte(text), fileMode))
}

// Launch starts a gateway's process without waiting until it answers.
func (h *Harness) Launch(i int) {
	h.t.Helper()
	rank, endpoints := i, h.Endpoints
	if h.cfg.OperatorFile != nil {
		rank, endpoints = 0, h.Endpoints[i:i+1]
	}
	text, err := h.Site.Platform.GatewayConfig(rank, endpoints, h.Site.Discovery.Addr().String(), h.cfg.Seed+uint64(i), h.Site.ServerList())
	h.Must(err)
	platform, operator := h.FilePath(GatewayName(i)+".json"), ""
	h.WriteFile(platform, string(text))
	if h.cfg.OperatorFile != nil {
		operator = h.FilePath(GatewayName(i) + ".sloe")
		h.WriteFile(operator, h.cfg.OperatorFile(h, i))
	}
	cmd := h.cfg.Command()
	cmd.Env = append(cmd.Env, "GW_CONFIG="+platform, "GW_OPERATOR="+operator, "GW_NAME="+GatewayName(i), "GW_LISTEN=", "GW_DISCOVERY=",
		RoutesEnv+"="+h.Mesh.Routes(i).String(), ClockEnv+"="+h.ClockOffsets[i].String(), fmt.Sprintf("%s=boot-%d", BootEnv, h.boots))
	if h.Processes[i], err = testbed.StartProcess(cmd); err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(h.Processes[i].Kill)
	h.recordExit(i)
	h.History[i] = append(h.History[i], Incarnation{Process: h.Processes[i], StartedAt: time.Now()})
}

// recordExit records the exit of a gateway's process.
func (h *Harness) recordExit(i int) {
	if n := len(h.History[i]); n > 0 && h.History[i][n-1].EndedAt.IsZero() {
		h.History[i][n-1].EndedAt = time.Now()
	}
}

// Start starts gateways in an order, with the given time between them, and waits until all answer.
func (h *Harness) Start(spacing time.Duration, order ...int) {
	h.t.Helper()
	for k, i := range order {
		if k > 0 {
			time.Sleep(spacing)
		}
		h.Launch(i)
	}
	for _, i := range order {
		if err := h.Processes[i].WaitReady(h.Ctx, h.Endpoints[i].Listen); err != nil {
			h.t.Fatalf("%v; its log:\n%s", err, h.Processes[i].Log)
		}
	}
}

// AllGateways returns the numbers of all gateways.
func (h *Harness) AllGateways() (all []int) {
	for i := range h.Processes {
		all = append(all, i)
	}
	return all
}

// Kill sends SIGKILL to all given gateways, then waits for their exit.
func (h *Harness) Kill(which ...int) {
	h.t.Helper()
	for _, i := range which {
		if err := h.Processes[i].Signal(syscall.SIGKILL); err != nil && !errors.Is(err, os.ErrProcessDone) {
			h.t.Fatal(err)
		}
	}
	for _, i := range which {
		h.Processes[i].Kill()
		h.recordExit(i)
	}
}

// PowerLoss kills all gateways at once. Processes that start later run under another boot id. Lost requests are
// excused until the returned function is called.
func (h *Harness) PowerLoss() (powerBack func()) {
	powerBack = h.MarkDown(h.AllGateways()...)
	h.Kill(h.AllGateways()...)
	h.boots++
	return powerBack
}

// Suspend stops a gateway's process by SIGSTOP until the returned function is called.
func (h *Harness) Suspend(i int) (resume func()) {
	h.t.Helper()
	markUp := h.MarkDown(i)
	h.Must(h.Processes[i].Signal(syscall.SIGSTOP))
	return func() {
		h.Must(h.Processes[i].Signal(syscall.SIGCONT))
		markUp()
	}
}

// CopyDisk saves a copy of a gateway's disk and returns its path, for ReplaceDisk.
func (h *Harness) CopyDisk(i int) string {
	h.t.Helper()
	h.copies++
	to := h.FilePath(fmt.Sprintf("%s.copy%d", GatewayName(i), h.copies))
	h.Must(os.CopyFS(to, os.DirFS(h.DiskDir(i))))
	return to
}

// WipeDisk empties a gateway's disk.
func (h *Harness) WipeDisk(i int) {
	h.t.Helper()
	h.Must(os.RemoveAll(h.DiskDir(i)))
	h.Must(os.Mkdir(h.DiskDir(i), dirMode))
}

// ReplaceDisk replaces a gateway's disk by a copy, such as an older one or that of another gateway.
func (h *Harness) ReplaceDisk(i int, from string) {
	h.t.Helper()
	h.Must(os.RemoveAll(h.DiskDir(i)))
	h.Must(os.CopyFS(h.DiskDir(i), os.DirFS(from)))
}

// TruncateFiles cuts off a share of the end of each file on a gateway's disk.
func (h *Harness) TruncateFiles(i int, share float64) {
	h.t.Helper()
	files, err := filepath.Glob(filepath.Join(h.DiskDir(i), "*"))
	h.Must(err)
	for _, f := range files {
		info, err := os.Stat(f)
		h.Must(err)
		if info.Mode().IsRegular() {
			h.Must(os.Truncate(f, int64(float64(info.Size())*(1-share))))
		}
	}
}

// MarkDown excuses the loss of requests to gateways from now on, until the returned function is called.
func (h *Harness) MarkDown(which ...int) (markUp func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	index := map[int]int{}
	for _, i := range which {
		index[i] = len(h.outages[i])
		h.outages[i] = append(h.outages[i], outage{from: time.Now(), to: time.Now().Add(time.Hour)})
	}
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		for i, n := range index {
			h.outages[i][n].to = time.Now().Add(recoveryGrace)
		}
	}
}

// excused reports whether a lost or late request was sent to a gateway that was down.
func (h *Harness) excused(e testbed.RequestResult) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.ContainsFunc(h.outages[e.Gateway], func(o outage) bool { return e.SentAt.Before(o.to) && e.EndedAt.After(o.from) })
}

// Event is a step of a script.
type Event struct {
	At   time.Duration // since the start of the script
	Name string        // for the test log
	Do   func()
}

// Script returns a function that runs events in order; each starts at its time, or when the previous one is over.
func (h *Harness) Script(events ...Event) func() {
	return func() {
		begin := time.Now()
		for _, e := range events {
			select {
			case <-time.After(time.Until(begin.Add(e.At))):
			case <-h.Ctx.Done():
				h.t.Fatalf("before %q: %v", e.Name, h.Ctx.Err())
			}
			h.t.Logf("%v: %s", time.Since(begin).Round(time.Millisecond), e.Name)
			e.Do()
		}
	}
}

// RunLoad sends the customers' requests to all gateways while a script runs, and audits the results against the
// five rules. A reply that is lost or late is excused if its gateway was down.
func (h *Harness) RunLoad(customers []testbed.Customer, seed uint64, script func()) *LoadResult {
	h.t.Helper()
	result := &LoadResult{Customers: customers, harness: h, unitsBefore: map[string]float64{}}
	for _, c := range customers {
		result.unitsBefore[c.ID] = h.Site.Recorder.Units(c.ID)
	}
	var mu sync.Mutex
	load := testbed.LoadGenerator{Customers: customers, Classes: h.Site.Platform.Classes, Seed: seed, OnResult: func(e testbed.RequestResult) {
		mu.Lock()
		defer mu.Unlock()
		result.Results = append(result.Results, e)
	}}
	for _, at := range h.Endpoints {
		load.Gateways = append(load.Gateways, at.Listen)
	}
	ctx, stop := context.WithCancel(h.Ctx)
	defer stop()
	result.StartedAt = time.Now()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		load.Run(ctx)
	}()
	script()
	stop()
	<-ended
	result.Elapsed = time.Since(result.StartedAt)
	result.audit()
	return result
}

// LoadResult is what was observed under a load.
type LoadResult struct {
	Customers []testbed.Customer
	Results   []testbed.RequestResult
	StartedAt time.Time
	Elapsed   time.Duration

	harness     *Harness
	unitsBefore map[string]float64 // units that nodes had received for a customer before the load
}

func (l *LoadResult) audit() {
	h := l.harness
	h.t.Helper()
	excusedCount, served := 0, 0
	kept := slices.DeleteFunc(slices.Clone(l.Results), func(e testbed.RequestResult) bool {
		if e.Outcome == testbed.OutcomeServed {
			served++
		}
		excused := (e.Outcome == testbed.OutcomeLost || e.EndedAt.Sub(e.SentAt) > e.Patience) && h.excused(e)
		if excused {
			excusedCount++
		}
		return excused
	})
	h.t.Logf("%d requests in %v, %d served, %d lost or late at gateways that were down", len(l.Results), l.Elapsed.Round(time.Millisecond), served, excusedCount)
	for _, v := range h.Site.Audit(kept) {
		if v.WorstLoad > 0 {
			h.t.Logf("%s: at most %.2f of the allowed load", v.Rule, v.WorstLoad)
		}
		if v.Violations > 0 {
			h.t.Errorf("%s: %d violations: %s", v.Rule, v.Violations, strings.Join(v.Examples, "; "))
		}
	}
}

// Plan returns a customer's plan.
func (l *LoadResult) Plan(c *testbed.Customer) *testbed.Plan {
	plans := l.harness.Site.Platform.Plans
	return &plans[slices.IndexFunc(plans, func(plan testbed.Plan) bool { return plan.Name == c.Plan })]
}

// QuotaUsage returns a customer's quota, which is rate x time + burst, and the units that nodes received for it.
func (l *LoadResult) QuotaUsage(c *testbed.Customer) (quota, sent float64) {
	plan := l.Plan(c)
	return plan.Rate*l.Elapsed.Seconds() + plan.Burst, l.harness.Site.Recorder.Units(c.ID) - l.unitsBefore[c.ID]
}

// ServedShare returns the share of requests that were served, among those sent in an interval since the start of
// the load, and their number. A filter may leave out requests.
func (l *LoadResult) ServedShare(from, to time.Duration, filter func(e *testbed.RequestResult) bool) (share float64, sent int) {
	served := 0
	for i := range l.Results {
		e := &l.Results[i]
		if at := e.SentAt.Sub(l.StartedAt); at < from || at >= to || filter != nil && !filter(e) {
			continue
		}
		if sent++; e.Outcome == testbed.OutcomeServed {
			served++
		}
	}
	return float64(served) / float64(max(1, sent)), sent
}
