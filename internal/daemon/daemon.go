// Package daemon is the program round the gateway: its start, its reload by SIGHUP and its end by SIGTERM.
package daemon

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"sloepick/internal/daemonconfig"
	"sloepick/internal/gateway"
	"sloepick/internal/gossip"
	"sloepick/internal/h2"
	"sloepick/internal/operator"
	"sloepick/internal/resp"
	"sloepick/internal/route"
	"sloepick/internal/sloe"
	"sloepick/internal/systemd"
	"sloepick/internal/tuning"
)

const (
	heapPart  = 0.6 // of the memory limit: the rest is for stacks, the runtime and what the kernel counts
	gcPercent = 400 // the live heap is small, so memory is cheaper than collections

	steadyFor  = 25 * time.Millisecond // an operator file that reads the same twice, so far apart, is not being written
	steadyMost = 2 * time.Second       // one that goes on changing is not taken
)

// Main runs the daemon with the arguments behind the program's name and returns its exit code.
func Main(args []string, getenv func(string) string, stderr io.Writer) int {
	if err := run(args, getenv, stderr); err != nil {
		fmt.Fprintln(stderr, "sloepick:", err)
		if bad := (*badFile)(nil); errors.As(err, &bad) {
			fmt.Fprint(stderr, bad.diags.Error())
		}
		return 1
	}
	return 0
}

func run(args []string, getenv func(string) string, stderr io.Writer) error {
	hup := make(chan os.Signal, 1) // from the first moment on: the default is to die of it
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	file, err := operatorFile(args, getenv)
	if err != nil {
		return err
	}
	cfg, err := gateway.LoadConfig(getenv)
	if err != nil {
		return err
	}
	var level slog.LevelVar
	log := slog.New(slog.NewTextHandler(stderr, &slog.HandlerOptions{Level: &level})).With("gateway", cfg.Name)
	sockets, err := systemd.Listeners()
	if err != nil {
		return err
	}
	clients := resp.NewFrontend(cfg.Listen)
	give(sockets, clientsName, &clients.Listener)
	cfg.Frontends, cfg.DefaultBackend = []gateway.Frontend{clients}, resp.Backend{}
	r := reloader{file: file, cfg: &cfg, getenv: getenv, log: log, level: &level, reloads: make(chan gateway.Reload)}
	if file != "" {
		var warnings sloe.Diags
		if r.now, warnings, err = r.load(); err != nil {
			return err
		}
		r.warn(warnings)
		cfg.Tuning, cfg.Routes = tuning.FromConfig(r.now), route.FromConfig(r.now)
		level.Set(daemonconfig.LogLevel(r.now))
		cfg.BackendsByKind = daemonconfig.Backends(r.now)
		for _, l := range daemonconfig.Listeners(r.now) {
			f, err := h2.NewFrontend(l)
			if err != nil {
				return err
			}
			give(sockets, l.Name, &f.Listener)
			r.fronts = append(r.fronts, f)
			cfg.Frontends = append(cfg.Frontends, f)
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	if r.now != nil {
		if err := r.join(ctx, end); err != nil {
			return err
		}
		keep, err := r.power()
		if err != nil {
			return err
		}
		defer keep()
		defer r.serveDuties()()
	}
	runtime.GOMAXPROCS(int(math.Ceil(cfg.Cores)))
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(heapPart * float64(cfg.MemoryMB<<20)))
	for name := range sockets {
		return fmt.Errorf("a socket %q was passed in, and nothing here has that name", name)
	}
	manager := systemd.NewNotifier(log, getenv)
	r.manager = manager
	stopped := make(chan struct{})
	defer close(stopped)
	cfg.OnReady = func(d *gateway.Core) {
		manager.Ready()
		go manager.RunWatchdog(d.Post, stopped)
	}
	context.AfterFunc(ctx, manager.Stopping)
	log.Info("starting", "listen", cfg.Listen, "servers", len(cfg.KnownServers.Servers))
	go r.run(ctx, hup)
	if err := gateway.Run(ctx, cfg, r.reloads, log); err != nil {
		return err
	}
	log.Info("stopped")
	if err := context.Cause(ctx); errors.Is(err, errYielded) {
		return err
	}
	return nil
}

// dress changes how a member takes part before it does: tests put broken links between the members of a fleet. nil: nothing.
var dress func(*gossip.Config) error

var errYielded = errors.New("a later process of this name is in the fleet")

// join makes the gateway a member of a fleet, if the operators' file says so. The fleet gives it its number.
func (r *reloader) join(ctx context.Context, end context.CancelCauseFunc) error {
	f := daemonconfig.Fleet(r.now)
	if f == nil {
		return nil
	}
	f.Name, f.Zone = r.cfg.Name, r.cfg.Settings.Decide.Zone
	if dress != nil {
		if err := dress(f); err != nil {
			return err
		}
	}
	if err := withDuties(f, daemonconfig.Duties(r.now)); err != nil {
		return err
	}
	member, err := gossip.New(*f, r.log)
	if err != nil {
		return err
	}
	r.member, r.cfg.Member = member, member
	set := &r.cfg.Settings.Decide
	set.Rank, set.Gateways, set.Limits.PeerMessages = 0, f.Fleet.Slots, true
	go func() {
		select {
		case m := <-member.Superseded():
			r.log.Error("a later process of this name is in the fleet: ending", "name", m.Name, "at", m.Addr)
			end(errYielded)
		case <-ctx.Done():
		}
	}()
	return nil
}

// clientsName is the name of the socket for RESP2's clients among those that are passed in; others go by the listeners' names.
const clientsName = "clients"

// give hands a socket that was passed in to a front.
func give(sockets map[string]net.Listener, name string, to *gateway.Listener) {
	if ln := sockets[name]; ln != nil {
		to.UseSocket(ln)
		delete(sockets, name)
	}
}

// operatorFile is the file that the flag names, or else the environment, or none.
func operatorFile(args []string, getenv func(string) string) (string, error) {
	fs := flag.NewFlagSet("sloepick", flag.ContinueOnError)
	fs.SetOutput(io.Discard) // the error is told once, as any other
	file := fs.String("operator", getenv("GW_OPERATOR"), "the operators' file")
	if err := fs.Parse(args); err != nil {
		return "", err
	}
	if fs.NArg() > 0 {
		return "", fmt.Errorf("unexpected argument %q", fs.Arg(0))
	}
	return *file, nil
}

// badFile is an operator file that can't be used.
type badFile struct {
	file  string
	diags sloe.Diags
}

// Error is one line, for the log: the first error and how many there are.
func (e *badFile) Error() string {
	n, first := 0, ""
	for _, d := range e.diags {
		if !d.Warning {
			if n++; n == 1 {
				first = fmt.Sprintf("%s: %s", d.Pos, d.Msg)
			}
		}
	}
	return fmt.Sprintf("the operator file %s can't be used: errors=%d, the first: %s", e.file, n, first)
}

// load reads the operator file and holds it to the platform's settings. What comes back beside it are warnings.
func (r *reloader) load() (*operator.Config, sloe.Diags, error) {
	c, diags, err := daemonconfig.Load(r.file, r.cfg)
	if err != nil {
		return nil, nil, err
	}
	if diags.Failed() {
		return nil, nil, &badFile{r.file, diags}
	}
	return c, diags, nil
}

func (r *reloader) warn(warnings sloe.Diags) {
	for _, d := range warnings {
		r.log.Warn(d.Msg, "at", d.Pos.String())
	}
}

// reloader reads both files again at each SIGHUP and passes on what changed.
type reloader struct {
	file    string          // "": none
	cfg     *gateway.Config // as at the start: its settings hold until a restart
	now     *operator.Config
	getenv  func(string) string
	log     *slog.Logger
	level   *slog.LevelVar
	reloads chan gateway.Reload
	fronts  []*h2.Frontend
	manager *systemd.Notifier
	member  *gossip.Engine // nil: of no fleet
	lock    *os.File       // of the state that is kept; held open for as long as the process lives
}

func (r *reloader) run(ctx context.Context, hup <-chan os.Signal) {
	for {
		select {
		case <-hup:
		case <-ctx.Done():
			return
		}
		r.manager.Reloading()
		next, c, err := r.read(ctx)
		if err != nil {
			r.log.Error("reload failed, the former configuration stays", "err", err)
			r.manager.Reloaded()
			continue
		}
		if !r.hand(ctx, next) {
			return
		}
		r.taken(next, c)
		r.manager.Reloaded()
	}
}

// read reads everything before anything changes: a slip in one file must not stop a gateway that serves, nor leave it
// with half of a change.
func (r *reloader) read(ctx context.Context) (gateway.Reload, *operator.Config, error) {
	addr, err := gateway.LoadDiscoveryAddr(r.getenv)
	if err != nil {
		return gateway.Reload{}, nil, err
	}
	next := gateway.Reload{Discovery: addr}
	if r.file == "" {
		return next, nil, nil
	}
	c, err := r.steady(ctx)
	if err != nil {
		return gateway.Reload{}, nil, err
	}
	t := tuning.FromConfig(c)
	next.Tuning, next.Routes = &t, route.FromConfig(c)
	var takes []func()
	for _, f := range r.fronts {
		take, err := f.Reload()
		if err != nil {
			return gateway.Reload{}, nil, err
		}
		takes = append(takes, take)
	}
	if r.member != nil {
		if err := r.member.Reload(daemonconfig.SourcesHash(c), c.Section("fleet").Count("expect")); err != nil {
			return gateway.Reload{}, nil, err
		}
		r.member.SetRegions(daemonconfig.Regions(c))
	}
	for _, take := range takes {
		take()
	}
	r.foresee(next.Routes)
	return next, c, nil
}

// foresee warns of routes that hold under the settings that this gateway started with, and not under those that stand in
// the platform's file by now: the next start would end with them.
func (r *reloader) foresee(routes []*route.Route) {
	cfg, err := gateway.LoadConfig(r.getenv)
	if err != nil {
		return // told already, by the one who read the address of discovery
	}
	for _, d := range cfg.ValidateRoutes(routes) {
		r.log.Warn("the platform's settings have changed: the next start would fail", "why", d.Msg, "at", d.Pos.String())
	}
}

// hand gives a reload to the gateway and waits until it counts there. It reports false when the gateway ends.
func (r *reloader) hand(ctx context.Context, next gateway.Reload) bool {
	taken := make(chan struct{})
	next.Applied = taken
	select {
	case r.reloads <- next:
	case <-ctx.Done():
		return false
	}
	select {
	case <-taken:
		return true
	case <-ctx.Done():
		return false
	}
}

// taken tells what a reload changed. c is nil without an operator file.
func (r *reloader) taken(next gateway.Reload, c *operator.Config) {
	if c == nil {
		r.log.Info("reloaded", "discovery", next.Discovery)
		return
	}
	changes := operator.Diff(r.now, c)
	r.now = c
	r.level.Set(daemonconfig.LogLevel(c))
	for _, ch := range changes {
		if ch.Applied == operator.AtRestart.String() {
			r.log.Warn("a change needs a restart", "change", ch.String())
		} else {
			r.log.Info("changed", "change", ch.String())
		}
	}
	r.log.Info("reloaded", "discovery", next.Discovery, "operator", r.file, "changes", len(changes))
}

// steady reads the operator file until it reads the same twice: an editor may be in the middle of writing it.
func (r *reloader) steady(ctx context.Context) (*operator.Config, error) {
	c, _, err := r.load()
	for end := time.Now().Add(steadyMost); time.Now().Before(end); {
		select {
		case <-time.After(steadyFor):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		again, warnings, errAgain := r.load()
		if same(c, again, err, errAgain) {
			r.warn(warnings)
			return again, errAgain
		}
		c, err = again, errAgain
	}
	return nil, errors.New("the operator file goes on changing while it is read")
}

func same(a, b *operator.Config, errA, errB error) bool {
	if errA != nil || errB != nil {
		return errA != nil && errB != nil && errA.Error() == errB.Error()
	}
	return sloe.SameSources(a.Sources, b.Sources)
}
