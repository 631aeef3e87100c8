// Package daemon runs the gateway as a process: it starts it, reloads its configuration on SIGHUP and stops it on SIGTERM.
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
	heapFraction = 0.6 // of the memory limit; the rest is for stacks, the runtime and memory that the kernel accounts to the process
	gcPercent    = 400 // the live heap is small, so spending memory costs less than collecting more often

	stableReadInterval = 25 * time.Millisecond // an operator file that is unchanged over this interval is not being written
	stableReadTimeout  = 2 * time.Second       // a file that still changes after this time is rejected
)

// Main runs the daemon with args, the arguments after the program name, and returns its exit code.
func Main(args []string, getenv func(string) string, stderr io.Writer) int {
	if err := run(args, getenv, stderr); err != nil {
		fmt.Fprintln(stderr, "sloepick:", err)
		if fileErr := (*operatorFileError)(nil); errors.As(err, &fileErr) {
			fmt.Fprint(stderr, fileErr.diags.Error())
		}
		return 1
	}
	return 0
}

func run(args []string, getenv func(string) string, stderr io.Writer) error {
	hup := make(chan os.Signal, 1) // registered first, as an unhandled SIGHUP terminates the process
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
	assignSocket(sockets, clientsSocketName, &clients.Listener)
	cfg.Frontends, cfg.DefaultBackend = []gateway.Frontend{clients}, resp.Backend{}
	r := reloader{file: file, cfg: &cfg, getenv: getenv, log: log, level: &level, reloads: make(chan gateway.Reload)}
	if file != "" {
		var warnings sloe.Diags
		if r.current, warnings, err = r.load(); err != nil {
			return err
		}
		r.logWarnings(warnings)
		cfg.Tuning, cfg.Routes = tuning.FromConfig(r.current), route.FromConfig(r.current)
		level.Set(daemonconfig.LogLevel(r.current))
		cfg.BackendsByKind = daemonconfig.Backends(r.current)
		for _, l := range daemonconfig.Listeners(r.current) {
			f, err := h2.NewFrontend(l)
			if err != nil {
				return err
			}
			assignSocket(sockets, l.Name, &f.Listener)
			r.frontends = append(r.frontends, f)
			cfg.Frontends = append(cfg.Frontends, f)
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	if r.current != nil {
		if err := r.joinFleet(ctx, cancel); err != nil {
			return err
		}
		stopRecovery, err := r.startRecovery()
		if err != nil {
			return err
		}
		defer stopRecovery()
		defer r.startDuties()()
	}
	runtime.GOMAXPROCS(int(math.Ceil(cfg.Cores)))
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(heapFraction * float64(cfg.MemoryMB<<20)))
	for name := range sockets {
		return fmt.Errorf("a socket named %q was passed in, but no listener has that name", name)
	}
	notifier := systemd.NewNotifier(log, getenv)
	r.notifier = notifier
	stopped := make(chan struct{})
	defer close(stopped)
	cfg.OnReady = func(d *gateway.Core) {
		notifier.Ready()
		go notifier.RunWatchdog(d.Post, stopped)
	}
	context.AfterFunc(ctx, notifier.Stopping)
	log.Info("starting", "listen", cfg.Listen, "servers", len(cfg.KnownServers.Servers))
	go r.run(ctx, hup)
	if err := gateway.Run(ctx, cfg, r.reloads, log); err != nil {
		return err
	}
	log.Info("stopped")
	if err := context.Cause(ctx); errors.Is(err, errSuperseded) {
		return err
	}
	return nil
}

// gossipConfigHook, if not nil, modifies the gossip configuration before the member is created. Tests use it to put faulty
// links between the members of a fleet.
var gossipConfigHook func(*gossip.Config) error

var errSuperseded = errors.New("a later process with this name has joined the fleet")

// joinFleet makes the gateway a member of a fleet if the operators' file configures one. The fleet assigns its rank.
func (r *reloader) joinFleet(ctx context.Context, cancel context.CancelCauseFunc) error {
	f := daemonconfig.Fleet(r.current)
	if f == nil {
		return nil
	}
	f.Name, f.Zone = r.cfg.Name, r.cfg.Settings.Decide.Zone
	if gossipConfigHook != nil {
		if err := gossipConfigHook(f); err != nil {
			return err
		}
	}
	if err := configureDuties(f, daemonconfig.Duties(r.current)); err != nil {
		return err
	}
	member, err := gossip.New(*f, r.log)
	if err != nil {
		return err
	}
	r.member, r.cfg.Member = member, member
	settings := &r.cfg.Settings.Decide
	settings.Rank, settings.Gateways, settings.Limits.PeerMessages = 0, f.Fleet.Slots, true
	go func() {
		select {
		case m := <-member.Superseded():
			r.log.Error("a later process with this name has joined the fleet; shutting down", "name", m.Name, "at", m.Addr)
			cancel(errSuperseded)
		case <-ctx.Done():
		}
	}()
	return nil
}

// clientsSocketName is the name of the inherited socket for RESP2 clients. Other inherited sockets have the names of their listeners.
const clientsSocketName = "clients"

// assignSocket gives a listener the inherited socket of that name, if there is one, and removes it from sockets.
func assignSocket(sockets map[string]net.Listener, name string, listener *gateway.Listener) {
	if ln := sockets[name]; ln != nil {
		listener.UseSocket(ln)
		delete(sockets, name)
	}
}

// operatorFile returns the path of the operators' file from the flag or else from the environment, or "" without one.
func operatorFile(args []string, getenv func(string) string) (string, error) {
	fs := flag.NewFlagSet("sloepick", flag.ContinueOnError)
	fs.SetOutput(io.Discard) // Main reports the error, as it does any other
	file := fs.String("operator", getenv("GW_OPERATOR"), "path of the operators' file")
	if err := fs.Parse(args); err != nil {
		return "", err
	}
	if fs.NArg() > 0 {
		return "", fmt.Errorf("unexpected argument %q", fs.Arg(0))
	}
	return *file, nil
}

// operatorFileError reports an operators' file that can't be used.
type operatorFileError struct {
	file  string
	diags sloe.Diags
}

// Error returns one line for the log: the number of errors and the first of them.
func (e *operatorFileError) Error() string {
	errorCount, first := 0, ""
	for _, d := range e.diags {
		if !d.Warning {
			if errorCount++; errorCount == 1 {
				first = fmt.Sprintf("%s: %s", d.Pos, d.Msg)
			}
		}
	}
	return fmt.Sprintf("the operator file %s can't be used: errors=%d, the first: %s", e.file, errorCount, first)
}

// load reads the operators' file and validates it against the platform's settings. The diagnostics that it returns are warnings.
func (r *reloader) load() (*operator.Config, sloe.Diags, error) {
	c, diags, err := daemonconfig.Load(r.file, r.cfg)
	if err != nil {
		return nil, nil, err
	}
	if diags.Failed() {
		return nil, nil, &operatorFileError{r.file, diags}
	}
	return c, diags, nil
}

func (r *reloader) logWarnings(warnings sloe.Diags) {
	for _, d := range warnings {
		r.log.Warn(d.Msg, "at", d.Pos.String())
	}
}

// reloader reads the platform's and the operators' file again at each SIGHUP and applies what changed.
type reloader struct {
	file      string          // path of the operators' file; "" without one
	cfg       *gateway.Config // as read at the start; its settings apply until a restart
	current   *operator.Config
	getenv    func(string) string
	log       *slog.Logger
	level     *slog.LevelVar
	reloads   chan gateway.Reload
	frontends []*h2.Frontend
	notifier  *systemd.Notifier
	member    *gossip.Engine // nil outside a fleet
	stateLock *os.File       // lock file of the saved state; open until the process ends
}

func (r *reloader) run(ctx context.Context, hup <-chan os.Signal) {
	for {
		select {
		case <-hup:
		case <-ctx.Done():
			return
		}
		r.notifier.Reloading()
		next, c, err := r.readFiles(ctx)
		if err != nil {
			r.log.Error("reload failed, keeping the previous configuration", "err", err)
			r.notifier.Reloaded()
			continue
		}
		if !r.apply(ctx, next) {
			return
		}
		r.finishReload(next, c)
		r.notifier.Reloaded()
	}
}

// readFiles reads and validates all files before anything changes: an error in one of them must neither stop a running
// gateway nor leave a change half applied.
func (r *reloader) readFiles(ctx context.Context) (gateway.Reload, *operator.Config, error) {
	addr, err := gateway.LoadDiscoveryAddr(r.getenv)
	if err != nil {
		return gateway.Reload{}, nil, err
	}
	next := gateway.Reload{Discovery: addr}
	if r.file == "" {
		return next, nil, nil
	}
	c, err := r.loadStable(ctx)
	if err != nil {
		return gateway.Reload{}, nil, err
	}
	t := tuning.FromConfig(c)
	next.Tuning, next.Routes = &t, route.FromConfig(c)
	var applyAll []func()
	for _, f := range r.frontends {
		apply, err := f.Reload()
		if err != nil {
			return gateway.Reload{}, nil, err
		}
		applyAll = append(applyAll, apply)
	}
	if r.member != nil {
		if err := r.member.Reload(daemonconfig.SourcesHash(c), c.Section("fleet").Count("expect")); err != nil {
			return gateway.Reload{}, nil, err
		}
		r.member.SetRegions(daemonconfig.Regions(c))
	}
	for _, apply := range applyAll {
		apply()
	}
	r.warnAboutNextStart(next.Routes)
	return next, c, nil
}

// warnAboutNextStart warns of routes that are valid under the settings that this gateway started with but not under those
// that the platform's file has now: with them the next start would fail.
func (r *reloader) warnAboutNextStart(routes []*route.Route) {
	cfg, err := gateway.LoadConfig(r.getenv)
	if err != nil {
		return // readFiles has reported it already: LoadDiscoveryAddr loads the same file
	}
	for _, d := range cfg.ValidateRoutes(routes) {
		r.log.Warn("the platform's settings have changed: the next start would fail", "why", d.Msg, "at", d.Pos.String())
	}
}

// apply passes a reload to the gateway and waits until it is in effect. It reports false if the gateway stops first.
func (r *reloader) apply(ctx context.Context, next gateway.Reload) bool {
	applied := make(chan struct{})
	next.Applied = applied
	select {
	case r.reloads <- next:
	case <-ctx.Done():
		return false
	}
	select {
	case <-applied:
		return true
	case <-ctx.Done():
		return false
	}
}

// finishReload makes c the current configuration and logs what the reload changed. c is nil without an operators' file.
func (r *reloader) finishReload(next gateway.Reload, c *operator.Config) {
	if c == nil {
		r.log.Info("reloaded", "discovery", next.Discovery)
		return
	}
	changes := operator.Diff(r.current, c)
	r.current = c
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

// loadStable reads the operators' file until two readings in a row are the same: an editor may be in the middle of writing it.
func (r *reloader) loadStable(ctx context.Context) (*operator.Config, error) {
	c, _, err := r.load()
	for deadline := time.Now().Add(stableReadTimeout); time.Now().Before(deadline); {
		select {
		case <-time.After(stableReadInterval):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		reread, warnings, rereadErr := r.load()
		if sameResult(c, reread, err, rereadErr) {
			r.logWarnings(warnings)
			return reread, rereadErr
		}
		c, err = reread, rereadErr
	}
	return nil, errors.New("the operator file keeps changing while it is read")
}

func sameResult(a, b *operator.Config, errA, errB error) bool {
	if errA != nil || errB != nil {
		return errA != nil && errB != nil && errA.Error() == errB.Error()
	}
	return sloe.SameSources(a.Sources, b.Sources)
}
