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

var rewrite = flag.Bool("rewrite", false, "write what comes out into the scripts, to be read before it is committed")

// TestScripts plays every script of testdata: each line that begins with '>' is an event, and the lines behind it are exactly what
// must come out.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal("there are no scripts", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			got := play(t, string(text))
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

// play returns a script with what came out of its events in place of what should.
func play(t *testing.T, text string) string {
	t.Helper()
	cfg := Default()
	cfg.Places, cfg.Gap, cfg.Self = 3, time.Hour, Member{Name: "m", Life: 10, Claim: None}
	var table *Table
	var b strings.Builder
	for _, line := range strings.Split(strings.TrimSuffix(text, "\n"), "\n") {
		words := strings.Fields(line)
		switch {
		case strings.HasPrefix(line, "#"), line == "":
			fmt.Fprintln(&b, line)
		case words[0] == "config":
			configure(t, &cfg, words[1:])
			fmt.Fprintln(&b, line)
		case words[0] == ">":
			if table == nil {
				var err error
				if table, err = New(cfg); err != nil {
					t.Fatal(err)
				}
			}
			fmt.Fprintln(&b, line)
			at, err := time.ParseDuration(words[1])
			if err != nil {
				t.Fatalf("%s: %v", line, err)
			}
			for _, a := range table.Handle(time.Hour+at, parseEvent(t, words[2:])) {
				fmt.Fprintln(&b, "   ", show(a))
			}
		}
	}
	return b.String()
}

func configure(t *testing.T, cfg *Config, words []string) {
	for _, w := range words {
		name, value, _ := strings.Cut(w, "=")
		d, _ := time.ParseDuration(value)
		n, _ := strconv.Atoi(value)
		switch name {
		case "places":
			cfg.Places = n
		case "expect":
			cfg.Expect = n
		case "last":
			cfg.Last = parseClaim(t, value)
		case "gap":
			cfg.Gap = d
		case "lease":
			cfg.Lease = d
		case "hold":
			cfg.Hold = d
		case "forget":
			cfg.Forget = d
		case "return":
			cfg.Return = d
		default:
			t.Fatalf("unknown setting %q", w)
		}
	}
}

// parseClaim reads "2/7": place 2, term 7; "-": none.
func parseClaim(t *testing.T, s string) Claim {
	if s == "-" {
		return None
	}
	var c Claim
	if _, err := fmt.Sscanf(s, "%d/%d", &c.Place, &c.Term); err != nil {
		t.Fatalf("claim %q: %v", s, err)
	}
	return c
}

// parseEvent reads such as "seen a.3 0/1": life 3 of member a claims place 0 in term 1.
func parseEvent(t *testing.T, words []string) Event {
	member := func(w, claim string) Member {
		name, life, _ := strings.Cut(w, ".")
		n, err := strconv.ParseUint(life, 10, 64)
		if err != nil {
			t.Fatalf("member %q: %v", w, err)
		}
		return Member{Name: name, Life: n, Claim: parseClaim(t, claim)}
	}
	switch words[0] {
	case "tick":
		return Tick{}
	case "expect": // "expect 2": by hand, with another generation of the configuration
		n, err := strconv.Atoi(words[1])
		if err != nil {
			t.Fatal(err)
		}
		return Retune{Generation: 1, Expect: n}
	case "heard":
		return Heard{}
	case "synced":
		return Synced{OK: words[1] == "yes"}
	case "jumped":
		return Jumped{}
	case "leave":
		return Leave{}
	case "seen":
		return Seen{member(words[1], words[2])}
	case "lost", "left":
		m := member(words[1], "-")
		return Gone{m.Name, m.Life, words[0] == "left"}
	case "told": // "told lost a.3 0/1 5s": another member says so
		state := Lost
		if words[1] == "left" {
			state = Left
		}
		ago, err := time.ParseDuration(words[4])
		if err != nil {
			t.Fatal(err)
		}
		return Told{Past{Absent: []Absent{{member(words[2], words[3]), state, ago}}}}
	case "terms":
		var p Past
		for _, w := range words[1:] {
			n, err := strconv.ParseUint(w, 10, 64)
			if err != nil {
				t.Fatal(err)
			}
			p.Terms = append(p.Terms, n)
		}
		return Told{p}
	}
	t.Fatalf("unknown event %q", words)
	return nil
}

func show(a Action) string {
	claim := func(c Claim) string {
		if c.Place < 0 {
			return "-"
		}
		return fmt.Sprintf("%d/%d", c.Place, c.Term)
	}
	switch a := a.(type) {
	case Announce:
		return fmt.Sprintf("announce %s", claim(a.Self.Claim))
	case Sync:
		if a.Few {
			return "sync few"
		}
		return "sync"
	case Yield:
		return fmt.Sprintf("yield to life %d", a.To.Life)
	case Note:
		return "note " + a.Text
	case Stand:
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
		return fmt.Sprintf("stand %s alone=%v [%s]", claim(Claim{a.Place, a.Term}), a.Alone, strings.Join(names, " "))
	}
	return fmt.Sprintf("%T", a)
}
