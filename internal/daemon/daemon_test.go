package daemon

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"sloepick/internal/gossip"
	"sloepick/internal/recovery"
	"sloepick/internal/testbed"
	"sloepick/internal/testbed/e2e"
	"sloepick/internal/testbed/faultnet"
	"sloepick/internal/testbed/seeds"
)

// TestMain lets the test binary run as the program, so that tests can start, reload and stop real processes.
func TestMain(m *testing.M) {
	if os.Getenv("DAEMON_TEST_MAIN") != "" {
		gossipConfigHook = useFaultyLinks
		applyTestClocks()
		os.Exit(Main(os.Args[1:], os.Getenv, os.Stderr))
	}
	flag.Parse()
	os.Exit(m.Run())
}

// applyTestClocks makes the process read the clocks that its test harness set: a wall clock with an offset, and a boot ID that
// changes with each power loss.
func applyTestClocks() {
	offset, err := time.ParseDuration(os.Getenv(e2e.ClockEnv))
	boot := os.Getenv(e2e.BootEnv)
	if err != nil || boot == "" {
		return // not started by the e2e harness
	}
	system := readClocks
	readClocks = func() recovery.ClockReading {
		c := system()
		c.Wall, c.BootID = c.Wall.Add(offset), boot
		return c
	}
}

// useFaultyLinks makes a member send its messages over the faulty links that its test harness set up.
func useFaultyLinks(c *gossip.Config) error {
	text := os.Getenv(e2e.RoutesEnv)
	if text == "" {
		return nil
	}
	routes, err := faultnet.ParseRoutes(text)
	if err == nil {
		c.Transport, err = faultnet.NewTransport(c.Address, routes)
	}
	return err
}

// harness is a site with one gateway process.
type harness struct {
	t        *testing.T
	ctx      context.Context
	site     *testbed.Site
	endpoint testbed.Endpoint
	platform string // path of the platform's file
	operator string // path of the operators' file, or ""
	gateway  *testbed.Process
}

func newHarness(t *testing.T, operator string) *harness {
	t.Helper()
	return newHarnessWithNodes(t, operator, 2)
}

// newHarnessWithNodes starts a harness with the given number of nodes.
func newHarnessWithNodes(t *testing.T, operator string, nodes int) *harness {
	t.Helper()
	return newHarnessOn(t, operator, testbed.SmallPlatform(), nodes)
}

// newHarnessOn starts a harness with the given platform and number of nodes.
func newHarnessOn(t *testing.T, operator string, platform *testbed.Platform, nodes int) *harness {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	site, err := testbed.NewSite(platform, nodes)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Close)
	endpoints, err := testbed.AllocateEndpoints(1)
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	r := &harness{t: t, ctx: ctx, site: site, endpoint: endpoints[0], platform: filepath.Join(dir, "platform.json")}
	text, err := site.Platform.GatewayConfig(0, endpoints, site.Discovery.Addr().String(), 1, site.ServerList())
	if err != nil {
		t.Fatal(err)
	}
	r.writeFile(r.platform, string(text))
	if operator != "" {
		r.operator = filepath.Join(dir, "operator.sloe")
		r.writeFile(r.operator, operator)
	}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "DAEMON_TEST_MAIN=1", "GW_CONFIG="+r.platform, "GW_OPERATOR="+r.operator, "GW_NAME=", "GW_LISTEN=", "GW_DISCOVERY=")
	if r.gateway, err = testbed.StartProcess(cmd); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.gateway.Kill)
	if err := r.gateway.WaitReady(ctx, r.endpoint.Listen); err != nil {
		t.Fatal(err)
	}
	return r
}

func (r *harness) writeFile(file, text string) {
	r.t.Helper()
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		r.t.Fatal(err)
	}
}

// replaceFile replaces a file atomically, as an operator should.
func (r *harness) replaceFile(file, text string) {
	r.t.Helper()
	r.writeFile(file+".new", text)
	if err := os.Rename(file+".new", file); err != nil {
		r.t.Fatal(err)
	}
}

func (r *harness) sendHangup() {
	r.t.Helper()
	if err := r.gateway.Signal(syscall.SIGHUP); err != nil {
		r.t.Fatal(err)
	}
}

// waitForLog waits for the nth line of the log that contains piece.
func (r *harness) waitForLog(piece string, n int) {
	r.t.Helper()
	if err := r.gateway.Log.WaitFor(r.ctx, piece, n); err != nil {
		r.t.Fatalf("%v; the log is\n%s", err, r.gateway.Log)
	}
}

func (r *harness) dial() *testbed.Client {
	r.t.Helper()
	c, err := testbed.Dial(r.endpoint.Listen)
	if err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(c.Close)
	if err := c.Conn.SetDeadline(time.Now().Add(30 * time.Second)); err != nil {
		r.t.Fatal(err)
	}
	r.ping(c)
	return c
}

func (r *harness) ping(c *testbed.Client) {
	r.t.Helper()
	if err := c.Send("PING"); err != nil {
		r.t.Fatal(err)
	}
	if got, err := c.Read(); got != "+PONG" {
		r.t.Fatalf("got %q, %v", got, err)
	}
}

func idleSetting(d string) string { return "gateway { clients { idle = " + d + " } }\n" }

// TestReloadAppliesToOpenConnections checks that a valid change applies to a connection that is already open, from its next command on.
func TestReloadAppliesToOpenConnections(t *testing.T) {
	r := newHarness(t, idleSetting("1h"))
	c := r.dial()
	r.replaceFile(r.operator, "log { level = debug }\ngateway { clients {\n idle = 100ms\n accept-ahead = 32\n} }\n")
	r.sendHangup()
	r.waitForLog("msg=reloaded", 1)
	r.waitForLog(`change="gateway.clients: idle 1h -> 100ms, tighter by 100%; at reload"`, 1)
	r.waitForLog(`msg="a change needs a restart" gateway=n0 change="gateway.clients: accept-ahead 16 -> 32; at restart"`, 1)
	r.ping(c)
	if got, err := c.Read(); err == nil || err.Error() != "EOF" {
		t.Errorf("an idle connection got %q, %v", got, err)
	}
	if err := r.gateway.Stop(); err != nil {
		t.Error(err)
	}
}

// TestWarningsAreLoggedOnce checks that a warning is logged once at the start and once per reload, however often the file was read.
func TestWarningsAreLoggedOnce(t *testing.T) {
	r := newHarness(t, "define x = 1s\n"+idleSetting("1h"))
	r.sendHangup()
	r.waitForLog("msg=reloaded", 1)
	if log := r.gateway.Log.String(); strings.Count(log, `the definition \"x\" is never used`) != 2 {
		t.Errorf("the log is\n%s", log)
	}
}

// TestReloadIsAllOrNothing checks that one invalid file, either of the two, leaves everything unchanged: the values, the log level
// and the discovery address.
func TestReloadIsAllOrNothing(t *testing.T) {
	r := newHarness(t, idleSetting("1h"))
	platform, err := os.ReadFile(r.platform)
	if err != nil {
		t.Fatal(err)
	}
	c := r.dial()
	moved := strings.Replace(string(platform), r.site.Discovery.Addr().String(), "127.0.0.1:1", 1)
	r.replaceFile(r.platform, moved)
	r.replaceFile(r.operator, "log { level = error }\n"+idleSetting("100"))
	r.sendHangup()
	r.waitForLog("reload failed", 1)
	if log := r.gateway.Log.String(); !strings.Contains(log, "operator.sloe:2:") || strings.Contains(log, "msg=reloaded") || strings.Contains(log, "discovery is failing") {
		t.Errorf("the log is\n%s", log)
	}
	r.replaceFile(r.platform, "{")
	r.replaceFile(r.operator, idleSetting("100ms"))
	r.sendHangup()
	r.waitForLog("reload failed", 2)
	r.ping(c)
	time.Sleep(300 * time.Millisecond) // three times the idle time-out of the rejected files
	r.ping(c)
	r.replaceFile(r.platform, string(platform))
	r.sendHangup()
	r.waitForLog("msg=reloaded", 1) // logged only if the rejected file did not raise the level to error
}

// TestReloadWhileAnEditorWrites checks that a half-written file is not applied, even if the half is a valid file by itself.
func TestReloadWhileAnEditorWrites(t *testing.T) {
	before := "log { level = debug }\n" + idleSetting("1h")
	r := newHarness(t, before)
	for i := range 5 {
		half := "log { level = debug }\n"
		r.writeFile(r.operator, half)
		r.sendHangup()
		time.Sleep(stableReadInterval / 3) // the second write may come before, between or after the first two readings
		r.writeFile(r.operator, half+idleSetting(fmt.Sprintf("%dm", i+1)))
		r.sendHangup()
		r.waitForLog(fmt.Sprintf("idle %s -> %dm", []string{"1h", "1m", "2m", "3m", "4m"}[i], i+1), 1)
	}
	if log := r.gateway.Log.String(); strings.Contains(log, "-> 5s") {
		t.Errorf("half of a file was applied:\n%s", log)
	}
}

// TestReloadOfAFileThatKeepsChanging checks that a file that is rewritten all the time is not applied.
func TestReloadOfAFileThatKeepsChanging(t *testing.T) {
	r := newHarness(t, idleSetting("1h"))
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(stopped)
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			default:
				os.WriteFile(r.operator, []byte(idleSetting(fmt.Sprintf("%dms", 1000+i%1000))), 0o600)
			}
		}
	}()
	r.sendHangup()
	r.waitForLog("reload failed", 1) // because the file keeps changing, or was read while empty
	close(stop)
	<-stopped
	if log := r.gateway.Log.String(); strings.Contains(log, "msg=changed") {
		t.Errorf("it was applied:\n%s", log)
	}
}

// TestReloadChecksRoutesAgainstPlatform checks that a reload rejects a route that is invalid under the running settings, and warns
// of one that will be invalid under the platform's new settings at the next start.
func TestReloadChecksRoutesAgainstPlatform(t *testing.T) {
	const good = "route r {\n classes = [\"slot-lookup\"]\n whole = 1s\n}\n"
	r := newHarness(t, idleSetting("1h")+good)
	r.replaceFile(r.operator, idleSetting("2m")+strings.Replace(good, "1s", "1.2s", 1))
	r.sendHangup()
	r.waitForLog("reload failed", 1)
	r.waitForLog("whole at most 1.19s", 1)
	platform, err := os.ReadFile(r.platform)
	if err != nil {
		t.Fatal(err)
	}
	r.replaceFile(r.platform, strings.ReplaceAll(string(platform), "slot-lookup", "slot-find"))
	r.replaceFile(r.operator, idleSetting("2m")+good)
	r.sendHangup()
	r.waitForLog("msg=reloaded", 1)
	r.waitForLog("the next start would fail", 1)
	r.waitForLog(`the platform has no class`, 1)
}

// TestReloadsUnderLoad reloads ten times a second, with valid and invalid files, while clients send requests. No request may be lost
// and no rule broken.
func TestReloadsUnderLoad(t *testing.T) {
	seeds.Run(t, []uint64{1}, reloadsUnderLoad)
}

func reloadsUnderLoad(t *testing.T, seed uint64) {
	r := newHarness(t, idleSetting("10s"))
	ctx, cancel := context.WithTimeout(r.ctx, 4*time.Second)
	defer cancel()
	var mu sync.Mutex
	var results []testbed.RequestResult
	load := testbed.LoadGenerator{Gateways: []string{r.endpoint.Listen}, Classes: r.site.Platform.Classes, Seed: seed, OnResult: func(e testbed.RequestResult) {
		mu.Lock()
		defer mu.Unlock()
		results = append(results, e)
	}}
	load.Customers = testbed.Customers(10, "plus", 3)
	done := make(chan struct{})
	go func() {
		defer close(done)
		load.Run(ctx)
	}()
	rnd := rand.New(rand.NewPCG(seed, 1))
	reloads, tick := 0, time.NewTicker(100*time.Millisecond)
	defer tick.Stop()
	for ctx.Err() == nil {
		select {
		case <-tick.C:
		case <-ctx.Done():
			continue
		}
		r.replaceFile(r.operator, []string{
			idleSetting("10s"), "route r {\n whole = 1s\n attempts = 3\n}\n", "gateway { clients { descriptors = 10% } }\n", "gateway { nodes { connections = 4 } }\n",
			"gateway { clients { pipeline = 1 } }\n", "gateway { clients { idle = 1 } }\n", "gateway {\n"}[rnd.IntN(7)])
		r.sendHangup()
		reloads++
	}
	<-done
	log := r.gateway.Log.String()
	applied, refused := strings.Count(log, "msg=reloaded"), strings.Count(log, "reload failed")
	t.Logf("%d requests, %d reloads: %d applied, %d rejected", len(results), reloads, applied, refused)
	if len(results) < 20 || applied < 3 || refused < 1 {
		t.Error("too few requests or reloads for the test to be meaningful")
	}
	for _, v := range r.site.Audit(results) {
		if v.Violations > 0 {
			t.Errorf("%s: %d violations: %v", v.Rule, v.Violations, v.Examples)
		}
	}
	if err := r.gateway.Stop(); err != nil {
		t.Error(err)
	}
}

// TestBadStart checks that an unusable configuration ends the start with exit code 1 and the positions of its errors.
func TestBadStart(t *testing.T) {
	dir := t.TempDir()
	site := newHarness(t, "")
	bad := filepath.Join(dir, "bad.sloe")
	site.writeFile(bad, idleSetting("5")+"lgo { }\n")
	unsafe := filepath.Join(dir, "unsafe.sloe")
	site.writeFile(unsafe, "route r {\n whole = 3s\n}\n")
	env := map[string]string{"GW_CONFIG": site.platform}
	for _, tc := range []struct {
		args []string
		env  string
		want []string
	}{
		{[]string{"-operator", bad}, "", []string{"sloepick: the operator file " + bad + " can't be used: errors=2, the first: ", bad + ":1:28: 5 needs a unit", bad + ":2:1: unknown block \"lgo\""}},
		{nil, bad, []string{"bad.sloe:1:28"}},
		{[]string{"-operator", filepath.Join(dir, "none")}, bad, []string{"sloepick: reading the configuration", "none"}},
		{[]string{"-operator", unsafe}, "", []string{"unsafe.sloe:2:2: route r, class slot-lookup: whole is 3s"}},
		{[]string{"-operater", "x"}, "", []string{"sloepick: flag provided but not defined"}},
		{[]string{"x"}, "", []string{"sloepick: unexpected argument \"x\""}},
	} {
		env["GW_OPERATOR"] = tc.env
		var errs bytes.Buffer
		if code := Main(tc.args, func(name string) string { return env[name] }, &errs); code != 1 {
			t.Errorf("%q: exit code %d", tc.args, code)
		}
		for _, w := range tc.want {
			if !strings.Contains(errs.String(), w) {
				t.Errorf("%q: printed %q, want %q", tc.args, errs.String(), w)
			}
		}
	}
}
