// Package procs builds tests of several real processes of the program: a site, gateways with a disk each, broken links between them,
// a crowd of clients, and a verdict. What is done to processes and disks is one call each, so that a test of a new failure is a
// script of a few lines.
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
	testTimeout   = 5 * time.Minute // a whole test
	recoveryGrace = 3 * time.Second // past a gateway's return: what was asked of it while it was away may still be lost
	fileMode      = 0o600
	dirMode       = 0o700
)

// What a gateway's process finds in its environment, beside what operators set. A test's own program reads them.
const (
	RoutesEnv = "PROCS_ROUTES" // links.Routes of the member
	ClockEnv  = "PROCS_CLOCK"  // a time.Duration by which its wall clock is off
	BootEnv   = "PROCS_BOOT"   // the id of the boot that it runs under
)

// Config is what is built.
type Config struct {
	Platform *testbed.Platform
	Nodes    int // 0: 8
	Gateways int
	Seed     uint64 // of links
	// OperatorFile: each gateway is told of itself alone, has a member's address and a disk, and its operators' file is what this returns.
	// nil: each is told of all others, whose datagrams go by the links, and has no operators' file.
	OperatorFile func(h *Harness, i int) string
	// Command is a command that runs the program; the environment is set by the rig.
	Command func() *exec.Cmd
}

// Harness is a site with gateways as real processes.
type Harness struct {
	Site         *testbed.Site
	Endpoints    []testbed.Endpoint // where gateways take clients
	MemberAddrs  []string           // where they take the fleet's word
	Mesh         *faultnet.Mesh     // between members, or between peers without a fleet
	Processes    []*testbed.Process
	History      [][]Incarnation // of each gateway: its processes so far
	Ctx          context.Context
	ClockOffsets []time.Duration // by which a gateway's wall clock is off, from its next start on

	t      testing.TB
	cfg    Config
	dir    string
	boots  int
	copies int

	mu      sync.Mutex
	outages [][]outage // by gateway
}

// Incarnation is a gateway's process, from its start to its end, which is zero while it lives.
type Incarnation struct {
	*testbed.Process
	StartedAt, EndedAt time.Time
}

// outage is a time in which a gateway's clients may be left without their answers.
type outage struct{ from, to time.Time }

// New makes a site and the files of gateways that are not started yet. All ends with the test.
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

// Must ends the test if something can't be done.
func (h *Harness) Must(err error) {
	h.t.Helper()
	if err != nil {
		h.t.Fatal(err)
	}
}

// GatewayName is a gateway's.
func GatewayName(i int) string { return fmt.Sprintf("g%d", i) }

// DiskDir is the folder that outlives a gateway's process.
func (h *Harness) DiskDir(i int) string { return filepath.Join(h.dir, GatewayName(i)) }

// FilePath is one beside the disks, such as keys that all share.
func (h *Harness) FilePath(name string) string { return filepath.Join(h.dir, name) }

// WriteFile writes a file.
func (h *Harness) WriteFile(file, text string) {
	h.t.Helper()
	h.Must(os.WriteFile(file, []byte(text), fileMode))
}

// Launch starts a gateway's process and does not wait for it.
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

// recordExit notes that a gateway's process is no more.
func (h *Harness) recordExit(i int) {
	if n := len(h.History[i]); n > 0 && h.History[i][n-1].EndedAt.IsZero() {
		h.History[i][n-1].EndedAt = time.Now()
	}
}

// Start starts gateways in an order, so long after each other, and waits until all answer.
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
			h.t.Fatalf("%v; the log is\n%s", err, h.Processes[i].Log)
		}
	}
}

// AllGateways are the numbers of all gateways.
func (h *Harness) AllGateways() (all []int) {
	for i := range h.Processes {
		all = append(all, i)
	}
	return all
}

// Kill kills gateways within one tick, and returns when all are gone.
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

// PowerLoss kills all gateways within one tick. What starts from then on runs under another boot.
func (h *Harness) PowerLoss() (powerBack func()) {
	powerBack = h.MarkDown(h.AllGateways()...)
	h.Kill(h.AllGateways()...)
	h.boots++
	return powerBack
}

// Suspend has a gateway's process stand still until the function that it returns is called.
func (h *Harness) Suspend(i int) (resume func()) {
	h.t.Helper()
	markUp := h.MarkDown(i)
	h.Must(h.Processes[i].Signal(syscall.SIGSTOP))
	return func() {
		h.Must(h.Processes[i].Signal(syscall.SIGCONT))
		markUp()
	}
}

// CopyDisk keeps a copy of a gateway's disk as it is, and returns its name for Replace.
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

// ReplaceDisk puts a copy in the place of a gateway's disk, such as an older one or a neighbour's.
func (h *Harness) ReplaceDisk(i int, from string) {
	h.t.Helper()
	h.Must(os.RemoveAll(h.DiskDir(i)))
	h.Must(os.CopyFS(h.DiskDir(i), os.DirFS(from)))
}

// TruncateFiles cuts a share off the end of each file on a gateway's disk.
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

// MarkDown marks that gateways' clients may lose what they ask from now on, until the function that it returns is called.
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

// excused reports that a request without an answer was asked of a gateway that was away.
func (h *Harness) excused(e testbed.RequestResult) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.ContainsFunc(h.outages[e.Gateway], func(o outage) bool { return e.SentAt.Before(o.to) && e.EndedAt.After(o.from) })
}

// Event is what happens at a time of a script.
type Event struct {
	At   time.Duration // since the script's begin
	Name string        // for the log
	Do   func()
}

// Script plays events in their order; each begins at its time, or when the one before it is over.
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

// RunLoad has customers ask all gateways while a script goes on, and holds what was seen to the five rules: an answer that is lost or
// late is excused where its gateway was away.
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

// LoadResult is what was seen of a crowd.
type LoadResult struct {
	Customers []testbed.Customer
	Results   []testbed.RequestResult
	StartedAt time.Time
	Elapsed   time.Duration

	harness     *Harness
	unitsBefore map[string]float64 // units that nodes were sent of a customer by then
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
	h.t.Logf("%d requests in %v, %d served, %d lost or late with gateways that were away", len(l.Results), l.Elapsed.Round(time.Millisecond), served, excusedCount)
	for _, v := range h.Site.Audit(kept) {
		if v.WorstLoad > 0 {
			h.t.Logf("%s: %.2f of what may be, at most", v.Rule, v.WorstLoad)
		}
		if v.Violations > 0 {
			h.t.Errorf("%s: %d cases: %s", v.Rule, v.Violations, strings.Join(v.Examples, "; "))
		}
	}
}

// Plan is a customer's.
func (l *LoadResult) Plan(c *testbed.Customer) *testbed.Plan {
	plans := l.harness.Site.Platform.Plans
	return &plans[slices.IndexFunc(plans, func(plan testbed.Plan) bool { return plan.Name == c.Plan })]
}

// QuotaUsage is rate x time + burst of a customer, and Got what nodes were sent of it.
func (l *LoadResult) QuotaUsage(c *testbed.Customer) (quota, sent float64) {
	plan := l.Plan(c)
	return plan.Rate*l.Elapsed.Seconds() + plan.Burst, l.harness.Site.Recorder.Units(c.ID) - l.unitsBefore[c.ID]
}

// ServedShare is the share of the requests sent within a time, since the beginning, that were served; a filter leaves others out.
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
