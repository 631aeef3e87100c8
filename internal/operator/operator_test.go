package operator_test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"sloepick/internal/operator"
	"sloepick/internal/sloe"
	"sloepick/internal/tuning"
)

var update = flag.Bool("update", false, "write what the broken files give as what they must give")

// fixture is the shipped schema and two blocks such as a later subsystem declares: routes that lead to pools.
func fixture(t testing.TB) *operator.Schema {
	t.Helper()
	pool := &operator.Block{Name: "pool", Doc: "Nodes.", Labeled: true, WarnIfUnused: true, Keys: []operator.Key{
		{Name: "nodes", Kind: operator.Text, List: true, Doc: "Their names."},
		{Name: "weight", Kind: operator.Share, Default: "100%", Doc: "Its weight.", Applied: operator.AtRestart}}}
	route := &operator.Block{Name: "route", Doc: "A route.", Labeled: true, Keys: []operator.Key{
		{Name: "to", Kind: operator.Ref, RefBlock: "pool", Doc: "Where it leads."},
		{Name: "limit", Kind: operator.Rate, RateItem: "units", Optional: true, Min: "1units/h", Doc: "Its limit.", Strictness: operator.HigherIsLooser},
		{Name: "wait", Kind: operator.Duration, Default: "0s", Doc: "A wait.", Strictness: operator.LowerIsLooser}}}
	level := &operator.Block{Name: "log", Doc: "The log.", Keys: []operator.Key{
		{Name: "level", Kind: operator.Word, AllowedWords: []string{"debug", "info", "warn", "error"}, Default: "info", Doc: "Its level."}}}
	s, err := operator.NewSchema(tuning.Block(), level, pool, route)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// unpack writes the files of a case: texts behind lines such as "-- name --". It returns what must come out.
func unpack(t testing.TB, text string) (want string) {
	t.Helper()
	for _, part := range strings.Split("\n"+text, "\n-- ")[1:] {
		name, body, ok := strings.Cut(part, " --\n")
		if !ok {
			name, body = strings.TrimSuffix(part, " --"), ""
		}
		switch {
		case name == "want":
			want = body
			continue
		case name == "cut": // the file before has no line end
			continue
		}
		if body != "" && !strings.Contains(text, "-- cut --") {
			body += "\n"
		}
		write(t, name, body)
	}
	return want
}

func write(t testing.TB, name, text string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(name), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// Every broken file gives exactly the words that stand beside it.
func TestBrokenFiles(t *testing.T) {
	files, err := filepath.Glob("testdata/broken/*.txt")
	if err != nil || len(files) < 60 {
		t.Fatalf("%d files, %v", len(files), err)
	}
	s := fixture(t)
	for _, file := range files {
		file, err := filepath.Abs(file)
		if err != nil {
			t.Fatal(err)
		}
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			t.Chdir(t.TempDir())
			want := strings.TrimRight(unpack(t, strings.TrimRight(string(text), "\n")+"\n"), "\n")
			c, diags, err := s.Load("main.sloe")
			if err != nil {
				t.Fatal(err)
			}
			got := strings.TrimRight(diags.Error(), "\n")
			if *update {
				input, _, _ := strings.Cut(string(text), "-- want --\n")
				if err := os.WriteFile(file, []byte(input+"-- want --\n"+got+"\n"), 0o600); err != nil {
					t.Fatal(err)
				}
			} else if got != want {
				t.Errorf("got\n%s\nwant\n%s", got, want)
			}
			if got == "" || diags.Failed() == (c != nil) {
				t.Errorf("failed %v, configuration %v", diags.Failed(), c != nil)
			}
		})
	}
}

func load(t *testing.T, s *operator.Schema, text string) (*operator.Config, sloe.Diags) {
	t.Helper()
	file := filepath.Join(t.TempDir(), "main.sloe")
	write(t, file, text+"# the end\n")
	c, diags, err := s.Load(file)
	if err != nil {
		t.Fatal(err)
	}
	return c, diags
}

func good(t *testing.T, s *operator.Schema, text string) *operator.Config {
	t.Helper()
	c, diags := load(t, s, text)
	if len(diags) > 0 {
		t.Fatal(diags)
	}
	return c
}

const pools = "pool main { nodes = [\"a\"] }\npool spare { nodes = [\"b\"] }\n"

// The diff tells meaning: each change with its size, direction and when it counts; nothing else.
func TestDiff(t *testing.T) {
	s := fixture(t)
	for name, tc := range map[string]struct{ old, now, want string }{
		"spelling, order, comments, a definition": {
			"gateway { clients { idle = 2000ms } }\nroute r {\n to = main\n limit = 480units/m\n}\nroute q { to = spare }\n" + pools,
			"define i = 2s # why\n" + pools + "route q { to = \"spare\" }\nroute r {\n limit = 8units/s\n to = main\n}\ngateway {\n clients {\n  idle = $i\n }\n}\n", ""},
		"the default, spelled out": {"", "log { level = info }\ngateway { nodes { rest = 10ms } }\n", ""},
		"looser": {pools + "route r {\n to = main\n limit = 8units/s\n}\nroute q { to = spare }\n",
			pools + "route r {\n to = main\n limit = 10units/s\n}\nroute q { to = spare }\n",
			"route \"r\": limit 8units/s -> 10units/s, looser by 25%; at reload"},
		"less is looser": {pools + "route r {\n to = main\n wait = 10ms\n}\nroute q { to = spare }\n",
			pools + "route r {\n to = main\n wait = 5ms\n}\nroute q { to = spare }\n",
			"route \"r\": wait 10ms -> 5ms, looser by 50%; at reload"},
		"from nothing": {pools + "route r { to = main }\nroute q { to = spare }\n", pools + "route r {\n to = main\n wait = 5ms\n}\nroute q { to = spare }\n",
			"route \"r\": wait 0ns -> 5ms, tighter; at reload"},
		"restart": {"", "gateway { clients { accept-ahead = 32 } }\n", "gateway.clients: accept-ahead 16 -> 32; at restart"},
		"a limit taken away": {pools + "route r {\n to = main\n limit = 8units/s\n}\nroute q { to = spare }\n",
			pools + "route r { to = main }\nroute q { to = spare }\n", "route \"r\": limit 8units/s -> none; at reload"},
		"added and removed": {pools + "route r { to = main }\nroute q { to = spare }\n",
			pools + "route new { to = main }\nroute q { to = spare }\n",
			"route \"r\": removed, it had to main, wait 0ns; at reload\nroute \"new\": added, to main, wait 0ns; at reload"},
		"a pool, which needs a restart": {"pool main { nodes = [\"a\"] }\nroute q { to = main }\n", pools + "route q { to = main }\nroute r { to = spare }\n",
			"pool \"spare\": added, nodes [\"b\"], weight 100%; at restart\nroute \"r\": added, to spare, wait 0ns; at reload"},
	} {
		var lines []string
		for _, c := range operator.Diff(good(t, s, tc.old), good(t, s, tc.now)) {
			lines = append(lines, c.String())
		}
		if got := strings.Join(lines, "\n"); got != tc.want {
			t.Errorf("%s: got\n%s\nwant\n%s", name, got, tc.want)
		}
	}
}

// What Show prints is a file of the same meaning.
func TestShowIsAFile(t *testing.T) {
	s := fixture(t)
	a := good(t, s, "define i = 7s\ngateway { clients { idle = $i } }\nroute \"a \\\"b\" { to = main }\npool main { nodes = [\"x\", \"y\\n\"] }\n")
	text := a.Show()
	if b := good(t, s, text); len(operator.Diff(a, b)) > 0 {
		t.Errorf("%v\n%s", operator.Diff(a, b), text)
	}
	if !strings.Contains(text, "idle = 7s") || !strings.Contains(text, "main.sloe:2, $i of ") || !strings.Contains(text, "# default\n") {
		t.Errorf("got\n%s", text)
	}
	f, diags := sloe.Parse(&sloe.Source{Name: "show", Text: []byte(text)})
	if len(diags) > 0 || string(sloe.Format(f)) == "" {
		t.Error(diags)
	}
}

// A schema that is wrong by itself is no schema.
func TestSchemaIsHeldToItself(t *testing.T) {
	key := func(k operator.Key) *operator.Block {
		return &operator.Block{Name: "b", Keys: []operator.Key{k}}
	}
	for name, blocks := range map[string][]*operator.Block{
		"block twice":      {{Name: "b"}, {Name: "b"}},
		"key twice":        {{Name: "b", Keys: []operator.Key{{Name: "k", Doc: "d", Default: "1s"}, {Name: "k", Doc: "d", Default: "1s"}}}},
		"no words":         {key(operator.Key{Name: "k", Default: "1s"})},
		"bad default":      {key(operator.Key{Name: "k", Doc: "d", Default: "1"})},
		"default over":     {key(operator.Key{Name: "k", Doc: "d", Default: "2s", Max: "1s"})},
		"bad bound":        {key(operator.Key{Name: "k", Doc: "d", Default: "2s", Max: "1KiB"})},
		"no default":       {key(operator.Key{Name: "k", Doc: "d"})},
		"unknown target":   {key(operator.Key{Name: "k", Doc: "d", Kind: operator.Ref, RefBlock: "x", Optional: true})},
		"unparsed default": {key(operator.Key{Name: "k", Doc: "d", Default: "["})},
	} {
		if _, err := operator.NewSchema(blocks...); err == nil {
			t.Errorf("%s passes", name)
		}
	}
}

// What a formatter does never changes meaning, for whatever the checker takes.
func FuzzCheck(f *testing.F) {
	for _, s := range []string{"#\n", pools + "route r { to = main }\nroute s { to = spare }\n", "define x = 1s\ngateway { clients { idle = $x } }\n",
		"log { level = warn }\n", "gateway {\n stop { longest = 10m } }\n", "pool a { nodes = [\"\\\"\"] }\n", "define a = [1]\ndefine b = [$a, 2]\n"} {
		f.Add([]byte(s))
	}
	s := fixture(f)
	f.Fuzz(func(t *testing.T, text []byte) {
		check := func(text []byte) *operator.Config {
			file, diags := sloe.Parse(&sloe.Source{Name: "f", Text: text})
			var entries []sloe.Entry
			for _, e := range file.Entries {
				if _, ok := e.(*sloe.Include); !ok {
					entries = append(entries, e)
				}
			}
			c, more := s.Check(&sloe.Tree{Entries: entries, Files: []*sloe.File{file}, Unbalanced: file.Unbalanced})
			if append(diags, more...).Failed() {
				return nil
			}
			return c
		}
		a := check(text)
		if a == nil {
			return
		}
		file, _ := sloe.Parse(&sloe.Source{Name: "f", Text: text})
		formatted := sloe.Format(file)
		b := check(formatted)
		if b == nil || len(operator.Diff(a, b)) > 0 || len(operator.Diff(b, a)) > 0 {
			t.Fatalf("%q and %q differ: %v", text, formatted, b)
		}
		if c := check([]byte(a.Show())); c == nil || len(operator.Diff(a, c)) > 0 {
			t.Fatalf("%q and %q differ", text, a.Show())
		}
		tuning.FromConfig(a) // the daemon starts with it
	})
}
