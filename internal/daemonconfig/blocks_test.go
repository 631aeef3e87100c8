package daemonconfig

import (
	"bytes"
	"fmt"
	"io/fs"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"sloepick/deploy/example"
	"sloepick/internal/gateway"
	"sloepick/internal/sloe"
	"sloepick/internal/testbed"
	"sloepick/internal/tuning"
)

// The shipped example is good, in the usual form, and shows no value that is not one.
func TestExample(t *testing.T) {
	c, diags, err := Load("../../deploy/example/"+example.Root, clinic(t))
	if err != nil || len(diags) > 0 {
		t.Fatal(err, diags)
	}
	tuning.FromConfig(c)
	if len(c.Sources) < 2 {
		t.Error("the example includes nothing")
	}
	err = fs.WalkDir(example.Files, ".", func(name string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() {
			return err
		}
		text, err := example.Files.ReadFile(name)
		if err != nil {
			return err
		}
		f, _ := sloe.Parse(&sloe.Source{Name: name, Text: text})
		if !bytes.Equal(sloe.Format(f), text) {
			t.Errorf("%s is not in the usual form", name)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// The reference page is what the schema says, and the examples in the operators' page are good.
func TestPages(t *testing.T) {
	page, err := os.ReadFile("../../docs/operate/configuration-reference.md")
	if err != nil || string(page) != Schema().ReferencePage() {
		t.Errorf("docs/operate/configuration-reference.md is not what sloectl doc prints (%v)", err)
	}
	for _, name := range []string{"configuration.md", "duties.md", "fleet.md", "http2.md", "limits.md", "power.md", "routes.md"} {
		page, err = os.ReadFile("../../docs/operate/" + name)
		if err != nil {
			t.Fatal(err)
		}
		parts := strings.Split(string(page), "\n```sloe\n")[1:]
		for i, part := range parts {
			text, _, _ := strings.Cut(part, "\n```")
			file := filepath.Join(t.TempDir(), "main.sloe")
			if err := os.WriteFile(file, []byte(text+"\n"), 0o600); err != nil {
				t.Fatal(err)
			}
			if _, diags, err := Load(file, clinic(t)); err != nil || len(diags) > 0 {
				t.Errorf("example %d of %s: %v\n%v", i, name, err, diags)
			}
		}
		if len(parts) == 0 {
			t.Errorf("%s has no example", name)
		}
	}
}

// clinic is the demonstration's platform.
func clinic(t *testing.T) *gateway.Config {
	t.Helper()
	places := []testbed.Endpoint{{Listen: "127.0.0.1:1", Peer: "127.0.0.1:2"}}
	text, err := testbed.SmallPlatform().GatewayConfig(0, places, "127.0.0.1:3", 1, testbed.ServerList{})
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), "platform.json")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	c, err := gateway.LoadConfig(func(name string) string { return map[string]string{"GW_CONFIG": file}[name] })
	if err != nil {
		t.Fatal(err)
	}
	return &c
}

func TestLevel(t *testing.T) {
	if got := LogLevel(Schema().Defaults()); got != slog.LevelInfo {
		t.Errorf("got %v", got)
	}
}

// large writes 5,000 lines over 50 files.
func large(b *testing.B) string {
	b.Helper()
	dir := b.TempDir()
	main := "include \"d\"\n"
	for i := range 50 {
		var text strings.Builder
		for j := range 98 {
			fmt.Fprintf(&text, "define name-%d-%d = %dms # a comment\n", i, j, 100+j)
		}
		if i == 49 {
			text.WriteString("gateway { clients { idle = $name-0-1 } }\n")
		}
		if err := os.MkdirAll(filepath.Join(dir, "d"), 0o700); err != nil {
			b.Fatal(err)
		}
		if err := os.WriteFile(filepath.Join(dir, "d", fmt.Sprintf("%02d.sloe", i)), []byte(text.String()), 0o600); err != nil {
			b.Fatal(err)
		}
	}
	if err := os.WriteFile(filepath.Join(dir, "main.sloe"), []byte(main), 0o600); err != nil {
		b.Fatal(err)
	}
	return filepath.Join(dir, "main.sloe")
}

// BenchmarkCheck5000Lines reads and checks 4,900 lines of definitions and some more, over 50 files. B/op is all that
// was allocated, so the memory held at once is less.
func BenchmarkCheck5000Lines(b *testing.B) {
	file, s := large(b), Schema()
	b.ReportAllocs()
	for b.Loop() {
		if c, _, err := s.Load(file); err != nil || c == nil {
			b.Fatal(err)
		}
	}
}
