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

const waitTimeout = 30 * time.Second // limit for each condition that must come true

// testClock is a monotonic clock that starts at one hour.
type testClock struct{ start time.Time }

func (w testClock) Now() time.Duration { return time.Hour + time.Since(w.start) }

// member is an engine with the core of a gateway, as in a daemon.
type member struct {
	*Engine
	t        *testing.T
	messages chan decide.PeerMessage
	stop     func()
	served   chan struct{}
}

// startMember starts a member of a fleet of three slots, with short timeouts.
func startMember(t *testing.T, name, addr string, change func(*Config)) *member {
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
	core, err := gateway.NewStepper(gateway.Config{Cores: 1, MemoryMB: 64, Sockets: 256, Settings: set, Member: e}, testClock{time.Now()}, e, log)
	if err != nil {
		t.Fatal(err)
	}
	m := &member{Engine: e, t: t, messages: make(chan decide.PeerMessage, 1000), served: make(chan struct{})}
	core.Observe(func(ev decide.Event, _ []decide.Action) {
		if ev, ok := ev.(decide.PeerMessage); ok {
			select {
			case m.messages <- ev:
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
	go func() { // the loop, which must run until Serve no longer posts to it
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

// waitFor waits until a member's status satisfies a condition, and fails the test after waitTimeout.
func (m *member) waitFor(what string, condition func(r *Status) bool) *Status {
	m.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if r := m.Status(); r != nil && condition(r) {
			return r
		}
	}
	m.t.Fatalf("no status with %s: %+v", what, m.Status())
	return nil
}

func hasSlot(r *Status) bool { return r.Assignment.Slot >= 0 }

// countAlive counts the members that are alive, and finds one by its name.
func countAlive(r *Status, name string) (n int, row *fleet.MemberStatus) {
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

func allocateAddresses(t *testing.T, n int) (all []string) {
	t.Helper()
	endpoints, err := testbed.AllocateEndpoints(n)
	if err != nil {
		t.Fatal(err)
	}
	for _, p := range endpoints {
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

// TestMembersAndKeys checks that members with the same key find each other by a seed and get different slots, that the
// decision module's messages reach the holder of a slot, and that a member with another key stays outside. The key is
// rotated while the members run.
func TestMembersAndKeys(t *testing.T) {
	at := allocateAddresses(t, 3)
	keyA, keyB := keyFile(t, oldKey), keyFile(t, oldKey)
	with := func(keys string) func(*Config) {
		return func(c *Config) { c.KeyFile, c.Seeds = keys, []string{at[0]} }
	}
	a, b := startMember(t, "a", at[0], with(keyA)), startMember(t, "b", at[1], with(keyB))
	outsider := startMember(t, "c", at[2], with(keyFile(t, otherKey)))
	two := func(r *Status) bool {
		n, _ := countAlive(r, "")
		return n == 2 && hasSlot(r)
	}
	ra, rb := a.waitFor("two members", two), b.waitFor("two members", two)
	if ra.Assignment.Slot == rb.Assignment.Slot {
		t.Errorf("both members have slot %d", ra.Assignment.Slot)
	}
	if n, _ := countAlive(outsider.waitFor("a status", func(*Status) bool { return true }), ""); n != 1 {
		t.Errorf("a member with another key sees %d members, want 1", n)
	}
	if err := a.Send(rb.Assignment.Slot, "xhello"); err != nil {
		t.Error(err)
	}
	for m := range b.messages {
		if m.Text == "xhello" {
			if m.From != ra.Assignment.Slot {
				t.Errorf("a message from slot %d was received as one from slot %d", ra.Assignment.Slot, m.From)
			}
			break
		}
	}
	for _, slot := range []int{-1, 3, 3 - ra.Assignment.Slot - rb.Assignment.Slot} {
		if a.Send(slot, "x") == nil {
			t.Errorf("a message to slot %d was accepted", slot)
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
		t.Errorf("reloading a file without a key: %v", err)
	}
	a.waitFor("b's new configuration", func(r *Status) bool {
		_, row := countAlive(r, "b")
		return row != nil && row.Generation == 17
	})
	a.stop()
	b.waitFor("a having left", func(r *Status) bool {
		_, row := countAlive(r, "a")
		return row.State == fleet.Left
	})
}

// TestNameTakeover checks that of two processes with one name the later one gets the earlier one's slot, and that the
// earlier one is notified.
func TestNameTakeover(t *testing.T) {
	at := allocateAddresses(t, 3)
	seeds := func(c *Config) { c.Seeds = at[:1] }
	startMember(t, "a", at[0], seeds).waitFor("a slot", hasSlot)
	first := startMember(t, "b", at[1], seeds)
	firstSlot := first.waitFor("a slot", hasSlot).Assignment.Slot
	second := startMember(t, "b", at[2], seeds)
	select {
	case m := <-first.Superseded():
		if m.Addr != at[2] {
			t.Errorf("superseded by a member at %q", m.Addr)
		}
	case <-time.After(waitTimeout):
		t.Fatal("the first process was not notified")
	}
	if first.IsCurrent(first.assignmentNumber.Load()) && first.assignment.Load().Slot >= 0 {
		t.Error("the first process still has a valid assignment")
	}
	if r := second.waitFor("a slot", hasSlot); r.Assignment.Slot != firstSlot {
		t.Errorf("the second process has slot %d, the first had %d", r.Assignment.Slot, firstSlot)
	}
}

// TestStateFile checks that a member with a state file gets its slot back, finds the others without a seed, and has a
// higher incarnation than before even if the clock was set back.
func TestStateFile(t *testing.T) {
	at := allocateAddresses(t, 2)
	file := filepath.Join(t.TempDir(), "state")
	withStateFile := func(c *Config) { c.StateFile = file }
	a := startMember(t, "a", at[0], nil)
	a.waitFor("a slot", hasSlot)
	b := startMember(t, "b", at[1], func(c *Config) { withStateFile(c); c.Seeds = at[:1] })
	before := b.waitFor("a slot", hasSlot)
	b.stop()
	text, err := os.ReadFile(file)
	if err != nil || !strings.Contains(string(text), at[0]) {
		t.Fatalf("state file %s, %v", text, err)
	}
	future := strings.Replace(string(text), `"life":`, `"life":9`, 1)
	if err := os.WriteFile(file, []byte(future), 0o600); err != nil {
		t.Fatal(err)
	}
	restarted := startMember(t, "b", at[1], withStateFile)
	r := restarted.waitFor("its slot", hasSlot)
	if r.Assignment.Slot != before.Assignment.Slot || restarted.incarnation < 9e12 {
		t.Errorf("restarted in slot %d, had %d; incarnation %d", r.Assignment.Slot, before.Assignment.Slot, restarted.incarnation)
	}
	restarted.stop()
	if err := os.WriteFile(file, []byte(`{"life"`), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := New(Config{Name: "b", Address: at[1], StateFile: file, Fleet: fleet.DefaultConfig()}, slog.New(slog.DiscardHandler)); err == nil {
		t.Error("a member started with a corrupt state file")
	}
}

// TestAssignmentExpires checks that only the last assignment is valid, and only for a short time: a process that was
// paused must not use one.
func TestAssignmentExpires(t *testing.T) {
	a := startMember(t, "a", allocateAddresses(t, 1)[0], nil)
	a.waitFor("a slot", hasSlot)
	n := a.assignmentNumber.Load()
	if !a.IsCurrent(n) || a.IsCurrent(n-1) {
		t.Errorf("the last assignment is valid: %v, the one before: %v", a.IsCurrent(n), a.IsCurrent(n-1))
	}
	a.stop()
	for end := time.Now().Add(waitTimeout); a.IsCurrent(a.assignmentNumber.Load()); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the assignment of a stopped member does not expire")
		}
	}
}

// TestStatus checks that the status can be read from the local socket, and that a second process does not take the
// socket.
func TestStatus(t *testing.T) {
	socket := filepath.Join(t.TempDir(), "s")
	at := allocateAddresses(t, 2)
	a := startMember(t, "a", at[0], func(c *Config) { c.StatusSocket = socket })
	a.waitFor("a slot", hasSlot)
	r, err := ReadStatus(context.Background(), socket)
	if err != nil || r.Name != "a" || r.Assignment.Slot != 0 || len(r.Members) != 1 || !r.Members[0].Self {
		t.Errorf("status %+v, %v", r, err)
	}
	if _, err := New(Config{Name: "b", Address: at[1], StatusSocket: socket, Fleet: fleet.DefaultConfig()}, slog.New(slog.DiscardHandler)); err == nil {
		t.Error("another process took the socket")
	}
	a.stop()
	if _, err := ReadStatus(context.Background(), socket); err == nil {
		t.Error("a stopped member serves its status")
	}
}

// TestMixedVersions checks that members of this version and of the next one, with a higher metadata version, join: each
// shows the other's version, they have different slots, and neither loses its slot.
func TestMixedVersions(t *testing.T) {
	addrs := allocateAddresses(t, 2)
	a := startMember(t, "a", addrs[0], func(c *Config) { c.Seeds = addrs })
	first := a.waitFor("a slot of the first", hasSlot).Assignment.Slot
	b := startMember(t, "b", addrs[1], func(c *Config) { c.Seeds, c.version = addrs, metaVersion+1 })
	second := b.waitFor("a slot of the second", hasSlot).Assignment.Slot
	shown := func(name string, version int) func(r *Status) bool {
		return func(r *Status) bool {
			_, row := countAlive(r, name)
			return row != nil && row.Version == version && hasSlot(r)
		}
	}
	if r := a.waitFor("the second's version", shown("b", metaVersion+1)); r.Assignment.Slot != first || first == second {
		t.Errorf("the first has slot %d, had %d; the second has %d", r.Assignment.Slot, first, second)
	}
	b.waitFor("the first's version", shown("a", metaVersion))
}
