package gossip

import (
	"context"
	"encoding/base64"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sloepick/decide"
	"sloepick/internal/fleet"
	"sloepick/internal/gateway"
	"sloepick/internal/settings"
	"sloepick/internal/testbed"
)

const patience = 30 * time.Second // for what must come

// wall is the time since this program began.
type wall struct{ start time.Time }

func (w wall) Now() time.Duration { return time.Hour + time.Since(w.start) }

// member is an engine with the core of a gateway, as in a daemon.
type member struct {
	*Engine
	t      *testing.T
	peers  chan decide.PeerMessage
	stop   func()
	served chan struct{}
}

// start starts a member of a fleet of three places whose times are short.
func start(t *testing.T, name, addr string, change func(*Config)) *member {
	t.Helper()
	cfg := Config{Name: name, Address: addr, Fleet: fleet.DefaultConfig()}
	cfg.Fleet.Slots, cfg.Fleet.ClaimDelay, cfg.Fleet.ConfirmDelay = 3, 300*time.Millisecond, 500*time.Millisecond
	if change != nil {
		change(&cfg)
	}
	log := slog.New(slog.DiscardHandler)
	e, err := New(cfg, log)
	if err != nil {
		t.Fatal(err)
	}
	set, err := settings.Parse(testbed.MinimalSettings(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	set.Decide.Gateways = cfg.Fleet.Slots
	core, err := gateway.NewStepper(gateway.Config{Cores: 1, MemoryMB: 64, Sockets: 256, Settings: set, Member: e}, wall{time.Now()}, e, log)
	if err != nil {
		t.Fatal(err)
	}
	m := &member{Engine: e, t: t, peers: make(chan decide.PeerMessage, 1000), served: make(chan struct{})}
	core.Observe(func(ev decide.Event, _ []decide.Action) {
		if ev, ok := ev.(decide.PeerMessage); ok {
			select {
			case m.peers <- ev:
			default:
			}
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	m.stop = func() {
		cancel()
		<-m.served
	}
	t.Cleanup(m.stop)
	go func() {
		defer close(m.served)
		e.Serve(ctx, core.Core())
	}()
	go func() { // the loop, which goes on until nobody posts any more
		for {
			select {
			case <-core.Wakeups():
			case <-time.After(10 * time.Millisecond):
			}
			core.Step()
			select {
			case <-m.served:
				return
			default:
			}
		}
	}()
	return m
}

// until waits until a member's view is as it should be.
func (m *member) until(what string, holds func(r *Status) bool) *Status {
	m.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if r := m.Status(); r != nil && holds(r) {
			return r
		}
	}
	m.t.Fatalf("%s did not come about: %+v", what, m.Status())
	return nil
}

func placed(r *Status) bool { return r.Assignment.Slot >= 0 }

// alive counts the members that are there, and finds one by its name.
func alive(r *Status, name string) (n int, row *fleet.MemberStatus) {
	for i := range r.Members {
		if r.Members[i].State == fleet.Alive {
			n++
		}
		if r.Members[i].Name == name {
			row = &r.Members[i]
		}
	}
	return n, row
}

func addresses(t *testing.T, n int) (all []string) {
	t.Helper()
	places, err := testbed.AllocateEndpoints(n)
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range places {
		all = append(all, p.Listen)
	}
	return all
}

func keyFile(t *testing.T, keys ...string) string {
	t.Helper()
	file := filepath.Join(t.TempDir(), "keys")
	writeKeys(t, file, keys...)
	return file
}

func writeKeys(t *testing.T, file string, keys ...string) {
	t.Helper()
	var text strings.Builder
	for _, k := range keys {
		text.WriteString(base64.StdEncoding.EncodeToString([]byte(k)) + "\n")
	}
	if err := os.WriteFile(file, []byte(text.String()), 0o600); err != nil {
		t.Fatal(err)
	}
}

const (
	oldKey   = "0123456789abcdef"
	newKey   = "fedcba9876543210"
	otherKey = "a stranger's key"
)

// Members with one key find each other by a seed, get places of their own, and the module's messages reach the holder of a place.
// One with another key stays outside. A key is changed while all go on.
func TestMembersAndKeys(t *testing.T) {
	at := addresses(t, 3)
	keyA, keyB := keyFile(t, oldKey), keyFile(t, oldKey)
	with := func(keys string) func(*Config) {
		return func(c *Config) { c.KeyFile, c.Seeds = keys, []string{at[0]} }
	}
	a, b := start(t, "a", at[0], with(keyA)), start(t, "b", at[1], with(keyB))
	stranger := start(t, "c", at[2], with(keyFile(t, otherKey)))
	two := func(r *Status) bool {
		n, _ := alive(r, "")
		return n == 2 && placed(r)
	}
	ra, rb := a.until("two members", two), b.until("two members", two)
	if ra.Assignment.Slot == rb.Assignment.Slot {
		t.Errorf("both are in place %d", ra.Assignment.Slot)
	}
	if n, _ := alive(stranger.until("a view", func(*Status) bool { return true }), ""); n != 1 {
		t.Errorf("one with another key sees %d members", n)
	}
	if err := a.Send(rb.Assignment.Slot, "xhello"); err != nil {
		t.Error(err)
	}
	for m := range b.peers {
		if m.Text == "xhello" {
			if m.From != ra.Assignment.Slot {
				t.Errorf("a message of place %d is taken for one of %d", ra.Assignment.Slot, m.From)
			}
			break
		}
	}
	for _, place := range []int{-1, 3, 3 - ra.Assignment.Slot - rb.Assignment.Slot} {
		if a.Send(place, "x") == nil {
			t.Errorf("a message to place %d was taken", place)
		}
	}
	for _, keys := range [][]string{{oldKey, newKey}, {newKey, oldKey}, {newKey}} {
		for i, file := range []string{keyA, keyB} {
			writeKeys(t, file, keys...)
			if err := []*member{a, b}[i].Reload(uint64(len(keys[0])+i), 0); err != nil {
				t.Fatal(err)
			}
		}
	}
	if err := os.WriteFile(keyA, []byte("not a key\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := a.Reload(1, 0); err == nil || !strings.Contains(err.Error(), "keys:1") {
		t.Errorf("a file without a key: %v", err)
	}
	a.until("b's new configuration", func(r *Status) bool {
		_, row := alive(r, "b")
		return row != nil && row.Generation == 17
	})
	a.stop()
	b.until("a's goodbye", func(r *Status) bool {
		_, row := alive(r, "a")
		return row.State == fleet.Left
	})
}

// Of two processes of one name the later one stays, in the place that the other had, and the other is told to end.
func TestTwoOfOneName(t *testing.T) {
	at := addresses(t, 3)
	seeds := func(c *Config) { c.Seeds = at[:1] }
	start(t, "a", at[0], seeds).until("a place", placed)
	first := start(t, "b", at[1], seeds)
	had := first.until("a place", placed).Assignment.Slot
	second := start(t, "b", at[2], seeds)
	select {
	case m := <-first.Superseded():
		if m.Addr != at[2] {
			t.Errorf("it yields to %q", m.Addr)
		}
	case <-time.After(patience):
		t.Fatal("the first was not told")
	}
	if first.IsCurrent(first.stood.Load()) && first.standing.Load().Slot >= 0 {
		t.Error("the first goes on")
	}
	if r := second.until("a place", placed); r.Assignment.Slot != had {
		t.Errorf("the second is in place %d, the first was in %d", r.Assignment.Slot, had)
	}
}

// What a member keeps lets it come back to its place and find the others without a seed, and its life is later than the last though
// the clock was set back. What can't be read ends the start.
func TestState(t *testing.T) {
	at := addresses(t, 2)
	file := filepath.Join(t.TempDir(), "state")
	keep := func(c *Config) { c.StateFile = file }
	a := start(t, "a", at[0], nil)
	a.until("a place", placed)
	b := start(t, "b", at[1], func(c *Config) { keep(c); c.Seeds = at[:1] })
	was := b.until("a place", placed)
	b.stop()
	text, err := os.ReadFile(file)
	if err != nil || !strings.Contains(string(text), at[0]) {
		t.Fatalf("kept %s, %v", text, err)
	}
	future := strings.Replace(string(text), `"life":`, `"life":9`, 1)
	if err := os.WriteFile(file, []byte(future), 0o600); err != nil {
		t.Fatal(err)
	}
	again := start(t, "b", at[1], keep)
	r := again.until("its place", placed)
	if r.Assignment.Slot != was.Assignment.Slot || again.life < 9e12 {
		t.Errorf("back in place %d of %d, life %d", r.Assignment.Slot, was.Assignment.Slot, again.life)
	}
	again.stop()
	if err := os.WriteFile(file, []byte(`{"life"`), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := New(Config{Name: "b", Address: at[1], StateFile: file, Fleet: fleet.DefaultConfig()}, slog.New(slog.DiscardHandler)); err == nil {
		t.Error("a broken file passes")
	}
}

// A standing is good for a short time, and only the last one: a process that stood still goes by none.
func TestValid(t *testing.T) {
	a := start(t, "a", addresses(t, 1)[0], nil)
	a.until("a place", placed)
	n := a.stood.Load()
	if !a.IsCurrent(n) || a.IsCurrent(n-1) {
		t.Errorf("the last one is good: %v, the one before: %v", a.IsCurrent(n), a.IsCurrent(n-1))
	}
	a.stop()
	for end := time.Now().Add(patience); a.IsCurrent(a.stood.Load()); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("it is good for ever")
		}
	}
}

// The status is told at the local socket; a second daemon does not take it away.
func TestStatus(t *testing.T) {
	socket := filepath.Join(t.TempDir(), "s")
	at := addresses(t, 2)
	a := start(t, "a", at[0], func(c *Config) { c.StatusSocket = socket })
	a.until("a place", placed)
	r, err := ReadStatus(context.Background(), socket)
	if err != nil || r.Name != "a" || r.Assignment.Slot != 0 || len(r.Members) != 1 || !r.Members[0].Self {
		t.Errorf("got %+v, %v", r, err)
	}
	if _, err := New(Config{Name: "b", Address: at[1], StatusSocket: socket, Fleet: fleet.DefaultConfig()}, slog.New(slog.DiscardHandler)); err == nil {
		t.Error("another process took the socket")
	}
	a.stop()
	if _, err := ReadStatus(context.Background(), socket); err == nil {
		t.Error("a stopped daemon answers")
	}
}

// TestVersionsMixed: a member of the next version, which tells more of itself, joins one of this version: each shows the other with its
// version, their places are different, and neither makes the other lose its own.
func TestVersionsMixed(t *testing.T) {
	addrs := addresses(t, 2)
	a := start(t, "a", addrs[0], func(c *Config) { c.Seeds = addrs })
	first := a.until("a place for the first", placed).Assignment.Slot
	b := start(t, "b", addrs[1], func(c *Config) { c.Seeds, c.version = addrs, metaVersion+1 })
	second := b.until("a place for the second", placed).Assignment.Slot
	shown := func(name string, version int) func(r *Status) bool {
		return func(r *Status) bool {
			_, row := alive(r, name)
			return row != nil && row.Version == version && placed(r)
		}
	}
	if r := a.until("the first shows the second", shown("b", metaVersion+1)); r.Assignment.Slot != first || first == second {
		t.Errorf("the first has place %d, had %d, the second %d", r.Assignment.Slot, first, second)
	}
	b.until("the second shows the first", shown("a", metaVersion))
}
