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

// TestPolicyFilesAreListedAndSmall keeps what decides short enough to be read aloud, and all of it named in the deploy file: each file here but the
// interface and the types of what is kept.
func TestPolicyFilesAreListedAndSmall(t *testing.T) {
	deploy, err := os.ReadFile("../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	list := regexp.MustCompile(`(?m)^policy = \[(.*)\]`).FindSubmatch(deploy)
	if list == nil {
		t.Fatal("the deploy file names no policy")
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
			t.Errorf("decide/%s decides and is not named under policy", name)
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
		t.Errorf("%d lines that are not blank decide, want 1200 at most", lines)
	}
}
