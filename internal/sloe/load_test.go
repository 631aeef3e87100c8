package sloe

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// writeFiles writes files into a temporary folder and makes it the working directory.
func writeFiles(t *testing.T, texts map[string]string) {
	t.Helper()
	t.Chdir(t.TempDir())
	for name, text := range texts {
		if err := os.MkdirAll(filepath.Dir(name), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
}

// expectDiags loads main.sloe and compares the positions and messages of its problems.
func expectDiags(t *testing.T, want ...string) *Tree {
	t.Helper()
	tree, diags, err := Load("main.sloe")
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, d := range diags {
		got = append(got, fmt.Sprintf("%s: %s", d.Pos, d.Msg))
	}
	if strings.Join(got, "\n") != strings.Join(want, "\n") {
		t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
	return tree
}

func symlink(t *testing.T, to, name string) {
	t.Helper()
	if err := os.Symlink(to, name); err != nil {
		t.Fatal(err)
	}
}

// An include cycle is detected by file identity, not by name.
func TestIncludeCycleThroughSymlink(t *testing.T) {
	writeFiles(t, map[string]string{"main.sloe": "include \"a.sloe\"\n", "a.sloe": "\ninclude \"other.sloe\"\n"})
	symlink(t, "main.sloe", "other.sloe")
	expectDiags(t, "a.sloe:2:9: the includes form a cycle")
	_, diags, _ := Load("main.sloe")
	if got := diags.Error(); !strings.Contains(got, "main.sloe:1:9: main.sloe includes a.sloe\n") || !strings.Contains(got, "a.sloe:2:9: a.sloe includes other.sloe\n") {
		t.Errorf("got\n%s", got)
	}
}

func TestDuplicateIncludeThroughSymlink(t *testing.T) {
	writeFiles(t, map[string]string{"main.sloe": "include \"a.sloe\"\ninclude \"b.sloe\"\n", "a.sloe": "x { }\n"})
	symlink(t, "a.sloe", "b.sloe")
	expectDiags(t, "main.sloe:2:9: b.sloe is included twice")
}

// A symbolic link out of the folder of the first file is refused; one within it is followed.
func TestSymlinkOutsideRoot(t *testing.T) {
	outside := filepath.Join(t.TempDir(), "secret.sloe")
	if err := os.WriteFile(outside, []byte("x { }\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	writeFiles(t, map[string]string{"main.sloe": "include \"a.sloe\"\ninclude \"dir/secret.sloe\"\ninclude \"in.sloe\"\n", "real/in.sloe": "x { }\n"})
	symlink(t, outside, "a.sloe")
	symlink(t, filepath.Dir(outside), "dir")
	symlink(t, "real/in.sloe", "in.sloe")
	tree := expectDiags(t, "main.sloe:1:9: the include leads outside the folder .", "main.sloe:2:9: the include leads outside the folder .")
	if len(tree.Files) != 2 {
		t.Errorf("%d files were read", len(tree.Files))
	}
}

// The first file may be a symbolic link: its includes are relative to the link's target.
func TestFirstFileIsSymlink(t *testing.T) {
	writeFiles(t, map[string]string{"v2/main.sloe": "include \"a.sloe\"\n", "v2/a.sloe": "x { }\n"})
	symlink(t, "v2/main.sloe", "main.sloe")
	if tree := expectDiags(t); len(tree.Files) != 2 || len(tree.Entries) != 1 {
		t.Errorf("%d files", len(tree.Files))
	}
}

// Files of a folder or a pattern are read in the order of their names, without hidden files and other suffixes.
func TestFolderAndPatternOrder(t *testing.T) {
	for _, include := range []string{"d", "d/*.sloe", "./d/"} {
		writeFiles(t, map[string]string{"main.sloe": "include \"" + include + "\"\n", "d/20.sloe": "b { }\n", "d/10.sloe": "a { }\n", "d/9.sloe": "c { }\n",
			"d/.hidden.sloe": "}\n", "d/readme": "}\n", "d/sub/x.sloe": "}\n"})
		tree := expectDiags(t)
		var names []string
		for _, e := range tree.Entries {
			names = append(names, e.(*Block).Type.Name)
		}
		if got := strings.Join(names, ""); got != "abc" {
			t.Errorf("%s: read in order %s", include, got)
		}
	}
}

// Input that is too large, nested too deep or not text is reported with one error.
func TestFileLimits(t *testing.T) {
	nest := func(n int) string { return strings.Repeat("a {\n", n) + strings.Repeat("}\n", n) }
	for name, tc := range map[string]struct {
		texts map[string]string
		want  []string
	}{
		"10 MB":        {map[string]string{"main.sloe": "include \"big.sloe\"\n", "big.sloe": strings.Repeat("x = 1\n", 10<<20/6)}, []string{"main.sloe:1:9: big.sloe: it is larger than 1024 KiB"}},
		"1,000 levels": {map[string]string{"main.sloe": nest(1000)}, []string{"main.sloe:17:1: blocks are nested deeper than 16 here; the rest of the file is not read"}},
		"16 levels":    {map[string]string{"main.sloe": nest(16)}, nil},
		"1,000 lists": {map[string]string{"main.sloe": "a {\nb = " + strings.Repeat("[", 1000) + strings.Repeat("]", 1000) + "\n}\n"},
			[]string{"main.sloe:2:21: lists are nested deeper than 16 here; the rest of the file is not read"}},
		"long list":          {map[string]string{"main.sloe": "a {\nb = [" + strings.Repeat("1, ", maxListItems+1) + "]\n}\n"}, []string{"main.sloe:2:12294: the list has more than 4096 items"}},
		"long word":          {map[string]string{"main.sloe": "a {\nb = " + strings.Repeat("x", maxTokenBytes+1) + "\n}\n"}, []string{"main.sloe:2:5: a word, string or comment of 4097 bytes is too long; the limit is 4096"}},
		"not UTF-8":          {map[string]string{"main.sloe": "a {\n  b = \"\xff\"\n}\n"}, []string{"main.sloe:2:8: the file is not UTF-8: byte 0xFF is not valid here"}},
		"cut in a character": {map[string]string{"main.sloe": "a {\n  b = \"\xc3"}, []string{"main.sloe:2:8: the file is not UTF-8: byte 0xC3 is not valid here"}},
		"byte-order mark":    {map[string]string{"main.sloe": "\xef\xbb\xbfa { }\n"}, []string{"main.sloe:1:1: the file begins with a byte-order mark: save it as UTF-8 without one"}},
		"CR LF":              {map[string]string{"main.sloe": "a {\r\n  b = 1 # c\r\n}\r\n"}, []string{"main.sloe:1:4: lines end in CR LF here: save the file with LF line ends"}},
		"lone CR":            {map[string]string{"main.sloe": "a {\n  b = 1\rc = 2\n}\n"}, []string{"main.sloe:2:8: a control character (U+000D) is not allowed here"}},
		"zero byte":          {map[string]string{"main.sloe": "a { b = \x00 }\n"}, []string{"main.sloe:1:9: a control character (U+0000) is not allowed here"}},
		"empty":              {map[string]string{"main.sloe": ""}, []string{"main.sloe:1:1: the file is empty: it may be cut short (write a comment into a file without settings)"}},
	} {
		t.Run(name, func(t *testing.T) {
			writeFiles(t, tc.texts)
			expectDiags(t, tc.want...)
		})
	}
}

// If every file includes the next one twice, each file is read once and each second include is reported.
func TestDuplicateIncludeTree(t *testing.T) {
	texts, want := map[string]string{}, []string(nil)
	for i := range 12 {
		texts[fmt.Sprintf("%d.sloe", i)] = fmt.Sprintf("include \"%d.sloe\"\ninclude \"%d.sloe\"\n", i+1, i+1)
		want = append(want, fmt.Sprintf("%d.sloe:2:9: %d.sloe is included twice", i, i+1))
	}
	texts["12.sloe"], texts["main.sloe"] = "x { }\n", "include \"0.sloe\"\n"
	writeFiles(t, texts)
	if tree := expectDiags(t, want...); len(tree.Files) != 14 {
		t.Errorf("%d files were read", len(tree.Files))
	}
}

// Files that include the next one twice, 30 levels deep, stop at the depth limit with one error instead of growing
// exponentially.
func TestIncludeDepthLimit(t *testing.T) {
	texts := map[string]string{"main.sloe": "include \"0.sloe\"\n"}
	for i := range 30 {
		texts[fmt.Sprintf("%d.sloe", i)] = fmt.Sprintf("include \"%d.sloe\"\ninclude \"%d.sloe\"\n", i+1, i+1)
	}
	writeFiles(t, texts)
	if tree := expectDiags(t, "15.sloe:1:9: includes are nested deeper than 16 files; nothing more is read"); len(tree.Files) > 17 {
		t.Errorf("%d files were read", len(tree.Files))
	}
}

// The number of files, the include depth and the total size are limited; exceeding a limit is reported once.
func TestTotalLimits(t *testing.T) {
	texts := map[string]string{"main.sloe": "include \"d\"\n"}
	for i := range 300 {
		texts[fmt.Sprintf("d/%03d.sloe", i)] = "#\n"
	}
	writeFiles(t, texts)
	if tree := expectDiags(t, "main.sloe:1:9: more than 256 files; nothing more is read"); len(tree.Files) != 256 || !tree.Unbalanced {
		t.Errorf("%d files were read", len(tree.Files))
	}
	texts = map[string]string{"main.sloe": "include \"0.sloe\"\n"}
	for i := range 40 {
		texts[fmt.Sprintf("%d.sloe", i)] = fmt.Sprintf("include \"%d.sloe\"\n", i+1)
	}
	writeFiles(t, texts)
	expectDiags(t, "15.sloe:1:9: includes are nested deeper than 16 files; nothing more is read")
	texts = map[string]string{"main.sloe": "include \"d\"\n"}
	for i := range 12 {
		texts[fmt.Sprintf("d/%03d.sloe", i)] = strings.Repeat("#\n", 1<<19)
	}
	writeFiles(t, texts)
	expectDiags(t, "main.sloe:1:9: more than 8 MiB in total; nothing more is read")
}

// A pipe, which would block the reader, and a folder are refused.
func TestNonRegularFile(t *testing.T) {
	writeFiles(t, map[string]string{"main.sloe": "include \"p.sloe\"\n"})
	if err := syscall.Mkfifo("p.sloe", 0o600); err != nil {
		t.Skip("cannot create a pipe:", err)
	}
	expectDiags(t, "main.sloe:1:9: p.sloe: it is not a regular file")
	for _, name := range []string{"none.sloe", ".", "p.sloe"} {
		if _, _, err := Load(name); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// A file truncated at any byte is reported as an error, unless only complete lines outside of blocks are missing at its
// end, which can't be detected.
func TestTruncatedFile(t *testing.T) {
	const text = "define x = 10s # c\ngateway {\n    clients {\n        idle = $x\n        list = [1, \"two\"]\n    }\n}\nlog { level = info }\n"
	for n := range len(text) {
		f, diags := parse(text[:n])
		complete := n > 0 && text[n-1] == '\n' && strings.Count(text[:n], "{") == strings.Count(text[:n], "}")
		if diags.Failed() == complete {
			t.Errorf("cut at %d: %v, %d entries", n, diags, len(f.Entries))
		}
	}
}

// Only the first MaxShownDiags of many errors are printed, followed by the number of the rest.
func TestDiagnosticsLimit(t *testing.T) {
	_, diags := parse(strings.Repeat("@\n", 1000))
	got := diags.Error()
	if len(diags) != 1000 || !strings.HasSuffix(got, "and 800 more\n") || strings.Count(got, "is not allowed") != MaxShownDiags {
		t.Errorf("%d problems, printed:\n%s", len(diags), got[len(got)-100:])
	}
}
