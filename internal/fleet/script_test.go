package fleet

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

var rewrite = flag.Bool("rewrite", false, "write the actual output into the scripts; review it before committing")

// TestScripts runs every script in testdata. Each line that begins with '>' is an event, and the indented lines that
// follow it are exactly the expected actions.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal("no scripts found", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			got := runScript(t, string(text))
			if *rewrite {
				if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
					t.Fatal(err)
				}
			} else if got != string(text) {
				t.Errorf("got\n%s", got)
			}
		})
	}
}

// runScript returns a script with the actual actions in place of the expected ones.
func runScript(t *testing.T, text string) string {
	t.Helper()
	cfg := DefaultConfig()
	cfg.Slots, cfg.PauseThreshold, cfg.Self = 3, time.Hour, Member{Name: "m", Incarnation: 10, Claim: NoClaim}
	var table *Table
	var b strings.Builder
	for _, line := range strings.Split(strings.TrimSuffix(text, "\n"), "\n") {
		fields := strings.Fields(line)
		switch {
		case strings.HasPrefix(line, "#"), line == "":
			fmt.Fprintln(&b, line)
		case fields[0] == "config":
			configure(t, &cfg, fields[1:])
			fmt.Fprintln(&b, line)
		case fields[0] == ">":
			if table == nil {
				var err error
				if table, err = New(cfg); err != nil {
					t.Fatal(err)
				}
			}
			fmt.Fprintln(&b, line)
			at, err := time.ParseDuration(fields[1])
			if err != nil {
				t.Fatalf("%s: %v", line, err)
			}
			for _, a := range table.Handle(time.Hour+at, parseEvent(t, fields[2:])) {
				fmt.Fprintln(&b, "   ", formatAction(a))
			}
		}
	}
	return b.String()
}

func configure(t *testing.T, cfg *Config, fields []string) {
	for _, w := range fields {
		name, value, _ := strings.Cut(w, "=")
		d, _ := time.ParseDuration(value)
		n, _ := strconv.Atoi(value)
		switch name {
		case "slots":
			cfg.Slots = n
		case "expected":
			cfg.ExpectedMembers = n
		case "last":
			cfg.LastClaim = parseClaim(t, value)
		case "pause":
			cfg.PauseThreshold = d
		case "lease":
			cfg.Lease = d
		case "reserve":
			cfg.ReservationPeriod = d
		case "forget":
			cfg.ForgetAfter = d
		case "restore":
			cfg.IsolatedRestoreDelay = d
		default:
			t.Fatalf("unknown setting %q", w)
		}
	}
}

// parseClaim parses "2/7", slot 2 in term 7, or "-", no claim.
func parseClaim(t *testing.T, s string) Claim {
	if s == "-" {
		return NoClaim
	}
	var c Claim
	if _, err := fmt.Sscanf(s, "%d/%d", &c.Slot, &c.Term); err != nil {
		t.Fatalf("claim %q: %v", s, err)
	}
	return c
}

// parseEvent parses an event such as "alive a.3 0/1": incarnation 3 of member a claims slot 0 in term 1.
func parseEvent(t *testing.T, fields []string) Event {
	member := func(w, claim string) Member {
		name, incarnation, _ := strings.Cut(w, ".")
		n, err := strconv.ParseUint(incarnation, 10, 64)
		if err != nil {
			t.Fatalf("member %q: %v", w, err)
		}
		return Member{Name: name, Incarnation: n, Claim: parseClaim(t, claim)}
	}
	switch fields[0] {
	case "tick":
		return Tick{}
	case "expected": // "expected 2": a change of the settings, with a new generation
		n, err := strconv.Atoi(fields[1])
		if err != nil {
			t.Fatal(err)
		}
		return ConfigChange{Generation: 1, ExpectedMembers: n}
	case "contact":
		return MemberContact{}
	case "sync-done":
		return SyncDone{OK: fields[1] == "yes"}
	case "clock-jump":
		return ClockJump{}
	case "leave":
		return Leave{}
	case "alive":
		return MemberAlive{member(fields[1], fields[2])}
	case "lost", "left":
		m := member(fields[1], "-")
		return MemberGone{m.Name, m.Incarnation, fields[0] == "left"}
	case "remote": // "remote lost a.3 0/1 5s": as reported by another member
		state := Lost
		if fields[1] == "left" {
			state = Left
		}
		ago, err := time.ParseDuration(fields[4])
		if err != nil {
			t.Fatal(err)
		}
		return RemoteState{SharedState{Absent: []AbsentMember{{member(fields[2], fields[3]), state, ago}}}}
	case "remote-terms":
		var p SharedState
		for _, w := range fields[1:] {
			n, err := strconv.ParseUint(w, 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			p.Terms = append(p.Terms, n)
		}
		return RemoteState{p}
	}
	t.Fatalf("unknown event %q", fields)
	return nil
}

func formatAction(a Action) string {
	claim := func(c Claim) string {
		if c.Slot < 0 {
			return "-"
		}
		return fmt.Sprintf("%d/%d", c.Slot, c.Term)
	}
	switch a := a.(type) {
	case Announce:
		return fmt.Sprintf("announce %s", claim(a.Self.Claim))
	case Sync:
		if a.SkipSeeds {
			return "sync without seeds"
		}
		return "sync"
	case Superseded:
		return fmt.Sprintf("superseded by incarnation %d", a.By.Incarnation)
	case LogMessage:
		return "log " + a.Text
	case AssignmentChange:
		var names []string
		for _, h := range a.Holders {
			switch {
			case h.Name == "":
				names = append(names, "-")
			case h.State == Alive:
				names = append(names, h.Name)
			default:
				names = append(names, h.Name+":"+h.State.String())
			}
		}
		return fmt.Sprintf("assignment %s isolated=%v [%s]", claim(Claim{a.Slot, a.Term}), a.Isolated, strings.Join(names, " "))
	}
	return fmt.Sprintf("%T", a)
}
