package main

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"sloepick/internal/testbed"
)

// TestMain lets the test binary run as the program, because the demo starts its own executable as the gateways.
func TestMain(m *testing.M) {
	if os.Getenv(runMainEnv) != "" {
		main()
	}
	os.Exit(m.Run())
}

// call runs a subcommand and returns its exit code and output.
func call(args ...string) (code int, out, errs string) {
	var o, e bytes.Buffer
	code = run(args, &o, &e)
	return code, o.String(), e.String()
}

func write(t *testing.T, name, text string) string {
	t.Helper()
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

const examplePath = "../../deploy/example/sloepick.sloe"

// TestSubcommands checks the subcommands' exit codes, and whether they write to standard output or error, for valid, invalid and missing files.
func TestSubcommands(t *testing.T) {
	dir := t.TempDir()
	bad := write(t, filepath.Join(dir, "bad.sloe"), "lgo { }\n")
	warned := write(t, filepath.Join(dir, "warned.sloe"), "define x = 1s\n")
	other := write(t, filepath.Join(dir, "other.sloe"), "log { level = warn }\n")
	none := filepath.Join(dir, "none.sloe")
	for _, tc := range []struct {
		args      string
		code      int
		out, errs string // a substring, or "" for no output
	}{
		{"check " + examplePath, 0, "", ""},
		{"check " + bad, 1, "", "bad.sloe:1:1: unknown block \"lgo\"; did you mean \"log\"?\n    lgo { }\n    ^\n"},
		{"check " + warned, 0, "", "warned.sloe:1:8: warning: the definition"},
		{"check " + none, 2, "", "sloectl: reading the configuration"},
		{"check", 2, "", "sloectl check: got 0 files, want 1"},
		{"check --jsn x", 2, "", "flag provided but not defined"},
		{"check --json " + examplePath, 0, "[]\n", ""},
		{"fmt " + examplePath, 0, "log {\n", ""},
		{"fmt -l " + examplePath, 0, "", ""},
		{"fmt " + bad, 0, "lgo {\n}\n", ""},
		{"fmt -l " + bad + " " + warned, 1, "bad.sloe\n", ""},
		{"fmt " + none, 2, "", "none.sloe"},
		{"fmt " + dir, 2, "", "not a regular file"},
		{"diff " + examplePath + " " + examplePath, 0, "", ""},
		{"diff " + examplePath + " " + other, 1, "log: level info -> warn; at reload\n", ""},
		{"diff --json " + examplePath + " " + examplePath, 0, "[]\n", ""},
		{"diff " + examplePath + " " + bad, 2, "", "unknown block"},
		{"diff " + none + " " + examplePath, 2, "", "none.sloe"},
		{"diff " + examplePath, 2, "", "got 1 files, want 2"},
		{"show " + examplePath, 0, "sloepick.sloe:13\n", ""},
		{"show " + bad, 2, "", "unknown block"},
		{"check --platform " + none + " " + examplePath, 2, "", "none.sloe"},
		{"route", 2, "", "the only verb is explain"},
		{"route explain " + examplePath, 2, "", "--platform is missing"},
		{"doc", 0, "## `gateway.clients`", ""},
		{"doc x", 2, "", "got 1 files"},
		{"demo --seconds 1", 2, "", "--seconds is 10 to 600"},
		{"demo --fleet 1", 2, "", "--fleet is 2 to 20"},
		{"fleet", 2, "", "usage: sloectl fleet status|duties SOCKET"},
		{"fleet status no/such.sock", 2, "", "asking a daemon"},
		{"fleet duties no/such.sock", 2, "", "asking a daemon"},
		{"power show no/such.file", 1, "", "no such file"},
		{"help", 0, "usage: sloectl VERB", ""},
		{"chekc", 2, "", "unknown verb \"chekc\""},
		{"", 2, "", "usage: sloectl VERB"},
	} {
		code, out, errs := call(strings.Fields(tc.args)...)
		if code != tc.code || !strings.Contains(out, tc.out) || !strings.Contains(errs, tc.errs) || (tc.out == "") != (out == "") || (tc.errs == "") != (errs == "") {
			t.Errorf("%s: code %d, out %q, errs %q", tc.args, code, out, errs)
		}
	}
}

// TestJSON checks the fields of the JSON output of check and diff.
func TestJSON(t *testing.T) {
	dir := t.TempDir()
	a := write(t, filepath.Join(dir, "a.sloe"), "log { level = info }\nlog { level = \"<b>\" }\n")
	_, out, _ := call("check", "--json", a)
	var got []struct {
		File, Severity, Message string
		Line, Col               int
		Notes                   []struct {
			Line    int
			Message string
		}
	}
	if err := json.Unmarshal([]byte(out), &got); err != nil || len(got) != 1 || got[0].File != a || got[0].Line != 2 || got[0].Col != 1 ||
		got[0].Severity != "error" || len(got[0].Notes) != 1 || got[0].Notes[0].Line != 1 {
		t.Errorf("%v\n%s", err, out)
	}
	b, c := write(t, filepath.Join(dir, "b.sloe"), "gateway { clients { idle = 4s } }\n"), write(t, filepath.Join(dir, "c.sloe"), "#\n")
	_, out, _ = call("diff", "--json", b, c)
	var changes []map[string]string
	if err := json.Unmarshal([]byte(out), &changes); err != nil || len(changes) != 1 || changes[0]["key"] != "idle" || changes[0]["old"] != "4s" ||
		changes[0]["new"] != "5s" || changes[0]["direction"] != "looser by 25%" || changes[0]["takes"] != "at reload" {
		t.Errorf("%v\n%s", err, out)
	}
}

// TestRoutesWithAPlatform checks that check validates routes against a platform's file, and that explain says which route a request
// gets and why no other.
func TestRoutesWithAPlatform(t *testing.T) {
	dir := t.TempDir()
	endpoints := []testbed.Endpoint{{Listen: "127.0.0.1:1", Peer: "127.0.0.1:2"}}
	text, err := testbed.SmallPlatform().GatewayConfig(0, endpoints, "127.0.0.1:3", 1, testbed.ServerList{})
	if err != nil {
		t.Fatal(err)
	}
	platform := write(t, filepath.Join(dir, "platform.json"), string(text))
	late := write(t, filepath.Join(dir, "late.sloe"), "route r {\n    whole = 3s\n}\n")
	for _, tc := range []struct {
		args      string
		code      int
		out, errs string
	}{
		{"check --platform " + platform + " " + examplePath, 0, "", ""},
		{"check " + late, 0, "", ""},
		{"check --platform " + platform + " " + late, 1, "", "late.sloe:2:5: route r, class slot-lookup: whole is 3s, but clients wait 1.2s"},
		{"route explain --platform " + platform + " " + late, 2, "", "whole at most 1.19s"},
		{"route explain --platform " + platform + " --class slot-book --patience 3s " + examplePath, 0,
			"class slot-book, plan basic, customer 0000000000000000, patience 3s\nroute bookings (" + exampleRoutesPath + ":18:1) matches\n  whole: 5s, cut to the request's patience of 3s\n  attempt: 2s\n", ""},
		{"route explain --platform " + platform + " --class slot-book " + examplePath, 0, "not look-ups: class slot-book is not in its list\n", ""},
		{"route explain --platform " + platform + " --class none " + examplePath, 2, "", "no class \"none\""},
		{"route explain --platform " + examplePath + " " + examplePath, 2, "", "invalid character"},
	} {
		code, out, errs := call(strings.Fields(tc.args)...)
		if code != tc.code || !strings.Contains(out, tc.out) || !strings.Contains(errs, tc.errs) || (tc.out == "") != (out == "") || (tc.errs == "") != (errs == "") {
			t.Errorf("%s: code %d, out %q, errs %q", tc.args, code, out, errs)
		}
	}
}

const exampleRoutesPath = "../../deploy/example/routes.sloe"

// TestFormatWrites checks that fmt -w writes through a symbolic link, keeps the file's mode, leaves a file that does not parse
// unchanged and removes its temporary file.
func TestFormatWrites(t *testing.T) {
	dir := t.TempDir()
	file := write(t, filepath.Join(dir, "a.sloe"), "log{level=info}")
	if err := os.Symlink("a.sloe", filepath.Join(dir, "link.sloe")); err != nil {
		t.Fatal(err)
	}
	if code, _, errs := call("fmt", "-w", file); code != 1 || !strings.Contains(errs, "no line end") {
		t.Errorf("a truncated file: %d, %s", code, errs)
	}
	write(t, file, "log{level=info}\n")
	if err := os.Chmod(file, 0o640); err != nil {
		t.Fatal(err)
	}
	code, out, errs := call("fmt", "-l", "-w", filepath.Join(dir, "link.sloe"))
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	info, err := os.Lstat(filepath.Join(dir, "link.sloe"))
	if err != nil {
		t.Fatal(err)
	}
	mode, err := os.Stat(file)
	if err != nil {
		t.Fatal(err)
	}
	if code != 1 || !strings.HasSuffix(out, "link.sloe\n") || errs != "" || string(text) != "log {\n    level = info\n}\n" ||
		info.Mode()&os.ModeSymlink == 0 || mode.Mode().Perm() != 0o640 {
		t.Errorf("%d %q %q, the file is %q %v, the link %v", code, out, errs, text, mode.Mode(), info.Mode())
	}
	left, err := filepath.Glob(filepath.Join(dir, ".sloectl-*"))
	if err != nil || len(left) > 0 {
		t.Errorf("left behind: %v, %v", left, err)
	}
}

// TestDemo checks that the demo, with real gateway processes, breaks no rule and leaves no files behind.
func TestDemo(t *testing.T) {
	for fleet, wantKept := range map[string]int{"0": 5, "3": 6} { // the five rules of the audit, and in a fleet the check of what members know of each other
		t.Setenv("TMPDIR", t.TempDir())
		code, out, errs := call("demo", "--plain", "--seconds", "10", "--seed", "3", "--fleet", fleet)
		if code != 0 || errs != "" || strings.Count(out, "kept    ") != wantKept || strings.Contains(out, "BROKEN") {
			t.Errorf("fleet %s: code %d\n%s%s", fleet, code, out, errs)
		}
		if left, err := os.ReadDir(os.Getenv("TMPDIR")); err != nil || len(left) > 0 {
			t.Errorf("fleet %s: left behind: %v, %v", fleet, left, err)
		}
	}
}

// TestDemoReportsBrokenRule checks that a broken rule is printed with its examples and fails the verdict.
func TestDemoReportsBrokenRule(t *testing.T) {
	site, err := testbed.NewSite(testbed.SmallPlatform(), 1)
	if err != nil {
		t.Fatal(err)
	}
	defer site.Close()
	d := &demonstration{site: site, results: []testbed.RequestResult{{ID: "a", Plan: "plus", Outcome: testbed.OutcomeLost, Detail: "gone"}}}
	var out bytes.Buffer
	if d.printVerdict(&out) || !strings.Contains(out.String(), "BROKEN  one answer in time") || !strings.Contains(out.String(), "a got no answer: gone") {
		t.Errorf("got %s", out.String())
	}
}

// TestDemoWithABadFile checks that an invalid operators' file ends the demo with the gateway's error.
func TestDemoWithABadFile(t *testing.T) {
	bad := write(t, filepath.Join(t.TempDir(), "bad.sloe"), "lgo { }\n")
	code, _, errs := call("demo", "--plain", "--seconds", "10", "--operator", bad)
	if code != 2 || !strings.Contains(errs, "unknown block") {
		t.Errorf("code %d, %s", code, errs)
	}
}
