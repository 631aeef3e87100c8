package route

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"sloepick/decide"
	"sloepick/internal/operator"
	"sloepick/internal/sloe"
)

var update = flag.Bool("update", false, "write the diagnostics of the unsafe files as the expected ones")

// platform returns settings with a class of each effect, and one whose deadline is longer than its deduplication window.
func platform() *decide.Config {
	return &decide.Config{Gateways: 1, Zone: "z",
		Classes: []decide.Class{
			{Name: "slot-lookup", Effect: decide.Safe, LatencyTarget: 500 * time.Millisecond, Deadline: 1200 * time.Millisecond, Worth: 1},
			{Name: "slot-book", Effect: decide.Keyed, Group: decide.GroupCell, DedupWindow: 12 * time.Second, LatencyTarget: 1500 * time.Millisecond, Deadline: 6 * time.Second, Worth: 3},
			{Name: "slot-hold", Effect: decide.Unsafe, LatencyTarget: time.Second, Deadline: 2 * time.Second, Worth: 2},
			{Name: "slot-long", Effect: decide.Keyed, Group: decide.GroupCell, DedupWindow: 12 * time.Second, LatencyTarget: 18 * time.Second, Deadline: 20 * time.Second, Worth: 1}},
		Plans:  []decide.Plan{{Name: "basic", Price: 1}, {Name: "standard", Price: 1}, {Name: "plus", Price: 1}},
		Limits: decide.Limits{MaxAttempts: 5, ParallelAttempts: true, Cancel: true, RetryAfter: true, MaxRetryAfter: time.Second}}
}

var margins = Margins{Response: 10 * time.Millisecond, Dedup: 10 * time.Millisecond}

func schema(t testing.TB) *operator.Schema {
	t.Helper()
	s, err := operator.NewSchema(Block())
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// loadAndValidate loads a file and validates its routes. A first line "# platform: single" selects a platform without
// parallel attempts and retry advice.
func loadAndValidate(t testing.TB, s *operator.Schema, file string) ([]*Route, *decide.Config, sloe.Diags) {
	t.Helper()
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	cfg := platform()
	if strings.HasPrefix(string(text), "# platform: single\n") {
		cfg.Limits.ParallelAttempts, cfg.Limits.RetryAfter = false, false
	}
	c, diags, err := s.Load(file)
	if err != nil {
		t.Fatal(err)
	}
	if c == nil {
		return nil, cfg, diags
	}
	routes := FromConfig(c)
	diags = append(diags, Validate(routes, cfg, margins)...)
	diags.Sort(c.Sources)
	return routes, cfg, diags
}

// TestUnsafeFiles checks that each unsafe file is rejected with exactly the diagnostics in its .want file.
func TestUnsafeFiles(t *testing.T) {
	files, err := filepath.Glob("testdata/unsafe/*.sloe")
	if err != nil || len(files) < 40 {
		t.Fatalf("%d files, %v", len(files), err)
	}
	s := schema(t)
	for _, file := range files {
		_, _, diags := loadAndValidate(t, s, file)
		got := diags.Error()
		beside := strings.TrimSuffix(file, ".sloe") + ".want"
		if *update {
			if err := os.WriteFile(beside, []byte(got), 0o600); err != nil {
				t.Fatal(err)
			}
			continue
		}
		want, err := os.ReadFile(beside)
		if err != nil || got != string(want) || !diags.Failed() {
			t.Errorf("%s: %v, got\n%swant\n%s", file, err, got, want)
		}
	}
}

func TestSafeFiles(t *testing.T) {
	files, err := filepath.Glob("testdata/safe/*.sloe")
	if err != nil || len(files) < 20 {
		t.Fatalf("%d files, %v", len(files), err)
	}
	s := schema(t)
	for _, file := range files {
		if routes, _, diags := loadAndValidate(t, s, file); len(diags) > 0 || len(routes) == 0 {
			t.Errorf("%s: %d routes\n%v", file, len(routes), diags)
		}
	}
}
