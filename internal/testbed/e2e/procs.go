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
	within    = 5 * time.Minute // a whole test
	downSlack = 3 * time.Second // past a gateway's return: what was asked of it while it was away may still be lost
	fileMode  = 0o600
	folder    = 0o700
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
	OperatorFile func(r *Harness, i int) string
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

	mu    sync.Mutex
	downs [][]down // by gateway
}

// Incarnation is a gateway's process, from its start to its end, which is zero while it lives.
type Incarnation struct {
	*testbed.Process
	StartedAt, EndedAt time.Time
}

// down is a time in which a gateway's clients may be left without their answers.
type down struct{ from, to time.Time }

// New makes a site and the files of gateways that are not started yet. All ends with the test.
func New(t testing.TB, cfg Config) *Harness {
	t.Helper()
	if cfg.Nodes == 0 {
		cfg.Nodes = 8
	}
	ctx, cancel := context.WithTimeout(context.Background(), within)
	t.Cleanup(cancel)
	n := cfg.Gateways
	r := &Harness{t: t, cfg: cfg, Ctx: ctx, dir: t.TempDir(), Processes: make([]*testbed.Process, n), ClockOffsets: make([]time.Duration, n), downs: make([][]down, n), History: make([][]Incarnation, n), boots: 1}
	places, err := testbed.AllocateEndpoints(2 * n)
	r.Must(err)
	r.Endpoints = places[:n]
	var peers []string
	for i := range n {
		if r.MemberAddrs = append(r.MemberAddrs, places[n+i].Listen); cfg.OperatorFile == nil {
			peers = append(peers, places[i].Peer)
		}
		r.Must(os.Mkdir(r.DiskDir(i), folder))
	}
	if cfg.OperatorFile != nil {
		peers = r.MemberAddrs
	}
	r.Mesh, err = faultnet.NewMesh(cfg.Seed, peers)
	r.Must(err)
	t.Cleanup(r.Mesh.Close)
	if cfg.OperatorFile == nil {
		cfg.Platform.PeerAddrs = r.Mesh.PeerAddrs
	}
	r.Site, err = testbed.NewSite(cfg.Platform, cfg.Nodes)
	r.Must(err)
	t.Cleanup(r.Site.Close)
	return r
}

// Must ends the test if something can't be done.
func (r *Harness) Must(err error) {
	r.t.Helper()
	if err != nil {
		r.t.Fatal(err)
	}
}

// GatewayName is a gateway's.
func GatewayName(i int) string { return fmt.Sprintf("g%d", i) }

// DiskDir is the folder that outlives a gateway's process.
func (r *Harness) DiskDir(i int) string { return filepath.Join(r.dir, GatewayName(i)) }

// FilePath is one beside the disks, such as keys that all share.
func (r *Harness) FilePath(name string) string { return filepath.Join(r.dir, name) }

// WriteFile writes a file.
func (r *Harness) WriteFile(file, text string) {
	r.t.Helper()
	r.Must(os.WriteFile(file, []byte(text), fileMode))
}

// Launch starts a gateway's process and does not wait for it.
func (r *Harness) Launch(i int) {
	r.t.Helper()
	rank, places := i, r.Endpoints
	if r.cfg.OperatorFile != nil {
		rank, places = 0, r.Endpoints[i:i+1]
	}
	text, err := r.Site.Platform.GatewayConfig(rank, places, r.Site.Discovery.Addr().String(), r.cfg.Seed+uint64(i), r.Site.ServerList())
	r.Must(err)
	platform, operator := r.FilePath(GatewayName(i)+".json"), ""
	r.WriteFile(platform, string(text))
	if r.cfg.OperatorFile != nil {
		operator = r.FilePath(GatewayName(i) + ".sloe")
		r.WriteFile(operator, r.cfg.OperatorFile(r, i))
	}
	cmd := r.cfg.Command()
	cmd.Env = append(cmd.Env, "GW_CONFIG="+platform, "GW_OPERATOR="+operator, "GW_NAME="+GatewayName(i), "GW_LISTEN=", "GW_DISCOVERY=",
		RoutesEnv+"="+r.Mesh.Routes(i).String(), ClockEnv+"="+r.ClockOffsets[i].String(), fmt.Sprintf("%s=boot-%d", BootEnv, r.boots))
	if r.Processes[i], err = testbed.StartProcess(cmd); err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(r.Processes[i].Kill)
	r.ended(i)
	r.History[i] = append(r.History[i], Incarnation{Process: r.Processes[i], StartedAt: time.Now()})
}

// ended notes that a gateway's process is no more.
func (r *Harness) ended(i int) {
	if n := len(r.History[i]); n > 0 && r.History[i][n-1].EndedAt.IsZero() {
		r.History[i][n-1].EndedAt = time.Now()
	}
}

// Start starts gateways in an order, so long after each other, and waits until all answer.
func (r *Harness) Start(spacing time.Duration, order ...int) {
	r.t.Helper()
	for k, i := range order {
		if k > 0 {
			time.Sleep(spacing)
		}
		r.Launch(i)
	}
	for _, i := range order {
		if err := r.Processes[i].WaitReady(r.Ctx, r.Endpoints[i].Listen); err != nil {
			r.t.Fatalf("%v; the log is\n%s", err, r.Processes[i].Log)
		}
	}
}

// AllGateways are the numbers of all gateways.
func (r *Harness) AllGateways() (all []int) {
	for i := range r.Processes {
		all = append(all, i)
	}
	return all
}

// Kill kills gateways within one tick, and returns when all are gone.
func (r *Harness) Kill(which ...int) {
	r.t.Helper()
	for _, i := range which {
		if err := r.Processes[i].Signal(syscall.SIGKILL); err != nil && !errors.Is(err, os.ErrProcessDone) {
			r.t.Fatal(err)
		}
	}
	for _, i := range which {
		r.Processes[i].Kill()
		r.ended(i)
	}
}

// PowerLoss kills all gateways within one tick. What starts from then on runs under another boot.
func (r *Harness) PowerLoss() (back func()) {
	back = r.MarkDown(r.AllGateways()...)
	r.Kill(r.AllGateways()...)
	r.boots++
	return back
}

// Suspend has a gateway's process stand still until the function that it returns is called.
func (r *Harness) Suspend(i int) (thaw func()) {
	r.t.Helper()
	back := r.MarkDown(i)
	r.Must(r.Processes[i].Signal(syscall.SIGSTOP))
	return func() {
		r.Must(r.Processes[i].Signal(syscall.SIGCONT))
		back()
	}
}

// CopyDisk keeps a copy of a gateway's disk as it is, and returns its name for Replace.
func (r *Harness) CopyDisk(i int) string {
	r.t.Helper()
	r.copies++
	to := r.FilePath(fmt.Sprintf("%s.copy%d", GatewayName(i), r.copies))
	r.Must(os.CopyFS(to, os.DirFS(r.DiskDir(i))))
	return to
}

// WipeDisk empties a gateway's disk.
func (r *Harness) WipeDisk(i int) {
	r.t.Helper()
	r.Must(os.RemoveAll(r.DiskDir(i)))
	r.Must(os.Mkdir(r.DiskDir(i), folder))
}

// ReplaceDisk puts a copy in the place of a gateway's disk, such as an older one or a neighbour's.
func (r *Harness) ReplaceDisk(i int, from string) {
	r.t.Helper()
	r.Must(os.RemoveAll(r.DiskDir(i)))
	r.Must(os.CopyFS(r.DiskDir(i), os.DirFS(from)))
}

// TruncateFiles cuts a share off the end of each file on a gateway's disk.
func (r *Harness) TruncateFiles(i int, share float64) {
	r.t.Helper()
	files, err := filepath.Glob(filepath.Join(r.DiskDir(i), "*"))
	r.Must(err)
	for _, f := range files {
		info, err := os.Stat(f)
		r.Must(err)
		if info.Mode().IsRegular() {
			r.Must(os.Truncate(f, int64(float64(info.Size())*(1-share))))
		}
	}
}

// MarkDown marks that gateways' clients may lose what they ask from now on, until the function that it returns is called.
func (r *Harness) MarkDown(which ...int) (back func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at := map[int]int{}
	for _, i := range which {
		at[i] = len(r.downs[i])
		r.downs[i] = append(r.downs[i], down{from: time.Now(), to: time.Now().Add(time.Hour)})
	}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		for i, n := range at {
			r.downs[i][n].to = time.Now().Add(downSlack)
		}
	}
}

// excused reports that a request without an answer was asked of a gateway that was away.
func (r *Harness) excused(e testbed.RequestResult) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.ContainsFunc(r.downs[e.Gateway], func(d down) bool { return e.SentAt.Before(d.to) && e.EndedAt.After(d.from) })
}

// Event is what happens at a time of a script.
type Event struct {
	At   time.Duration // since the script's begin
	Name string        // for the log
	Do   func()
}

// Script plays events in their order; each begins at its time, or when the one before it is over.
func (r *Harness) Script(events ...Event) func() {
	return func() {
		begin := time.Now()
		for _, e := range events {
			select {
			case <-time.After(time.Until(begin.Add(e.At))):
			case <-r.Ctx.Done():
				r.t.Fatalf("before %q: %v", e.Name, r.Ctx.Err())
			}
			r.t.Logf("%v: %s", time.Since(begin).Round(time.Millisecond), e.Name)
			e.Do()
		}
	}
}

// RunLoad has customers ask all gateways while a script goes on, and holds what was seen to the five rules: an answer that is lost or
// late is excused where its gateway was away.
func (r *Harness) RunLoad(customers []testbed.Customer, seed uint64, script func()) *LoadResult {
	r.t.Helper()
	p := &LoadResult{Customers: customers, rig: r, before: map[string]float64{}}
	for _, c := range customers {
		p.before[c.ID] = r.Site.Recorder.Units(c.ID)
	}
	var mu sync.Mutex
	crowd := testbed.LoadGenerator{Customers: customers, Classes: r.Site.Platform.Classes, Seed: seed, OnResult: func(e testbed.RequestResult) {
		mu.Lock()
		defer mu.Unlock()
		p.Results = append(p.Results, e)
	}}
	for _, at := range r.Endpoints {
		crowd.Gateways = append(crowd.Gateways, at.Listen)
	}
	ctx, stop := context.WithCancel(r.Ctx)
	defer stop()
	p.StartedAt = time.Now()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		crowd.Run(ctx)
	}()
	script()
	stop()
	<-ended
	p.Elapsed = time.Since(p.StartedAt)
	p.audit()
	return p
}

// LoadResult is what was seen of a crowd.
type LoadResult struct {
	Customers []testbed.Customer
	Results   []testbed.RequestResult
	StartedAt time.Time
	Elapsed   time.Duration

	rig    *Harness
	before map[string]float64 // units that nodes were sent of a customer by then
}

func (p *LoadResult) audit() {
	r := p.rig
	r.t.Helper()
	lost, served := 0, 0
	kept := slices.DeleteFunc(slices.Clone(p.Results), func(e testbed.RequestResult) bool {
		if e.Outcome == testbed.OutcomeServed {
			served++
		}
		excused := (e.Outcome == testbed.OutcomeLost || e.EndedAt.Sub(e.SentAt) > e.Patience) && r.excused(e)
		if excused {
			lost++
		}
		return excused
	})
	r.t.Logf("%d requests in %v, %d served, %d lost or late with gateways that were away", len(p.Results), p.Elapsed.Round(time.Millisecond), served, lost)
	for _, v := range r.Site.Audit(kept) {
		if v.WorstLoad > 0 {
			r.t.Logf("%s: %.2f of what may be, at most", v.Rule, v.WorstLoad)
		}
		if v.Violations > 0 {
			r.t.Errorf("%s: %d cases: %s", v.Rule, v.Violations, strings.Join(v.Examples, "; "))
		}
	}
}

// Plan is a customer's.
func (p *LoadResult) Plan(c *testbed.Customer) *testbed.Plan {
	plans := p.rig.Site.Platform.Plans
	return &plans[slices.IndexFunc(plans, func(plan testbed.Plan) bool { return plan.Name == c.Plan })]
}

// QuotaUsage is rate x time + burst of a customer, and Got what nodes were sent of it.
func (p *LoadResult) QuotaUsage(c *testbed.Customer) (quota, got float64) {
	plan := p.Plan(c)
	return plan.Rate*p.Elapsed.Seconds() + plan.Burst, p.rig.Site.Recorder.Units(c.ID) - p.before[c.ID]
}

// ServedShare is the share of the requests sent within a time, since the beginning, that were served; a filter leaves others out.
func (p *LoadResult) ServedShare(from, to time.Duration, of func(e *testbed.RequestResult) bool) (share float64, asked int) {
	served := 0
	for i := range p.Results {
		e := &p.Results[i]
		if at := e.SentAt.Sub(p.StartedAt); at < from || at >= to || of != nil && !of(e) {
			continue
		}
		if asked++; e.Outcome == testbed.OutcomeServed {
			served++
		}
	}
	return float64(served) / float64(max(1, asked)), asked
}
