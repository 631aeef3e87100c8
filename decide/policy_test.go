package decide

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"
	"unicode/utf8"
)

// TestPolicyFilesAreListedAndSmall keeps the files that make the decisions small, and all of them listed in the
// deploy file: each file here except the interface and the state.
func TestPolicyFilesAreListedAndSmall(t *testing.T) {
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	list := regexp.MustCompile(`(?m)^policy = \[(.*)\]`).FindSubmatch(deploy)
	if list == nil {
		t.Fatal("the deploy file has no policy list")
	}
	var policy []string
	for _, name := range strings.Split(string(list[1]), ",") {
		policy = append(policy, strings.Trim(name, ` "`))
	}
	here, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range here {
		if name == "api.go" || name == "state.go" || strings.HasSuffix(name, "_test.go") {
			continue
		}
		if !slices.Contains(policy, "decide/"+name) {
			t.Errorf("decide/%s is missing in the policy list of the deploy file", name)
		}
	}
	lines := 0
	for _, name := range policy {
		text, err := os.ReadFile("../" + name)
		if err != nil {
			t.Fatal(err)
		}
		for i, l := range strings.Split(string(text), "\n") {
			if strings.TrimSpace(l) != "" {
				lines++
			}
			if n := utf8.RuneCountInString(strings.ReplaceAll(l, "\t", "    ")); n > 140 {
				t.Errorf("%s:%d has %d columns, want 140 at most", name, i+1, n)
			}
		}
	}
	if lines > 1200 {
		t.Errorf("the policy files have %d lines that are not blank, want 1200 at most", lines)
	}
}
