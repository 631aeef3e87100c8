package sloe

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// files writes texts by name into a folder of its own and goes there.
func files(t *testing.T, texts map[string]string) {
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

// wantDiags loads main.sloe and compares the heads of what is told: its places and messages.
func wantDiags(t *testing.T, want ...string) *Tree {
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

func link(t *testing.T, to, name string) {
	t.Helper()
	if err := os.Symlink(to, name); err != nil {
		t.Fatal(err)
	}
}

// A circle is found by the file, not by its name.
func TestCircleThroughALink(t *testing.T) {
	files(t, map[string]string{"main.sloe": "include \"a.sloe\"\n", "a.sloe": "\ninclude \"other.sloe\"\n"})
	link(t, "main.sloe", "other.sloe")
	wantDiags(t, "a.sloe:2:9: the includes go in a circle")
	_, diags, _ := Load("main.sloe")
	if got := diags.Error(); !strings.Contains(got, "main.sloe:1:9: main.sloe includes a.sloe\n") || !strings.Contains(got, "a.sloe:2:9: a.sloe includes other.sloe\n") {
		t.Errorf("got\n%s", got)
	}
}

func TestTwiceThroughALink(t *testing.T) {
	files(t, map[string]string{"main.sloe": "include \"a.sloe\"\ninclude \"b.sloe\"\n", "a.sloe": "x { }\n"})
	link(t, "a.sloe", "b.sloe")
	wantDiags(t, "main.sloe:2:9: b.sloe is included a second time")
}

// No link leads out of the folder of the first file; a link within it is followed.
func TestLinkOutOfTheFolder(t *testing.T) {
	outside := filepath.Join(t.TempDir(), "secret.sloe")
	if err := os.WriteFile(outside, []byte("x { }\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	files(t, map[string]string{"main.sloe": "include \"a.sloe\"\ninclude \"dir/secret.sloe\"\ninclude \"in.sloe\"\n", "real/in.sloe": "x { }\n"})
	link(t, outside, "a.sloe")
	link(t, filepath.Dir(outside), "dir")
	link(t, "real/in.sloe", "in.sloe")
	tree := wantDiags(t, "main.sloe:1:9: the include leads out of the folder .", "main.sloe:2:9: the include leads out of the folder .")
	if len(tree.Files) != 2 {
		t.Errorf("%d files were read", len(tree.Files))
	}
}

// The first file may itself be a link: what it includes lies beside the file that it leads to.
func TestFirstFileIsALink(t *testing.T) {
	files(t, map[string]string{"v2/main.sloe": "include \"a.sloe\"\n", "v2/a.sloe": "x { }\n"})
	link(t, "v2/main.sloe", "main.sloe")
	if tree := wantDiags(t); len(tree.Files) != 2 || len(tree.Entries) != 1 {
		t.Errorf("%d files", len(tree.Files))
	}
}

// A folder and a pattern are read in the order of names, without hidden files and other endings.
func TestFolderAndPattern(t *testing.T) {
	for _, include := range []string{"d", "d/*.sloe", "./d/"} {
		files(t, map[string]string{"main.sloe": "include \"" + include + "\"\n", "d/20.sloe": "b { }\n", "d/10.sloe": "a { }\n", "d/9.sloe": "c { }\n",
			"d/.hidden.sloe": "}\n", "d/readme": "}\n", "d/sub/x.sloe": "}\n"})
		tree := wantDiags(t)
		var names []string
		for _, e := range tree.Entries {
			names = append(names, e.(*Block).Type.Name)
		}
		if got := strings.Join(names, ""); got != "abc" {
			t.Errorf("%s: read in the order %s", include, got)
		}
	}
}

// What is huge, endless or no file ends soon and is told plainly.
func TestBounds(t *testing.T) {
	nest := func(n int) string { return strings.Repeat("a {\n", n) + strings.Repeat("}\n", n) }
	for name, tc := range map[string]struct {
		texts map[string]string
		want  []string
	}{
		"10 MB":         {map[string]string{"main.sloe": "include \"big.sloe\"\n", "big.sloe": strings.Repeat("x = 1\n", 10<<20/6)}, []string{"main.sloe:1:9: big.sloe: it has more than 1024 KiB"}},
		"1,000 levels":  {map[string]string{"main.sloe": nest(1000)}, []string{"main.sloe:17:1: blocks nest deeper than 16 here; the rest of the file is not read"}},
		"levels enough": {map[string]string{"main.sloe": nest(16)}, nil},
		"1,000 lists": {map[string]string{"main.sloe": "a {\nb = " + strings.Repeat("[", 1000) + strings.Repeat("]", 1000) + "\n}\n"},
			[]string{"main.sloe:2:21: lists nest deeper than 16 here; the rest of the file is not read"}},
		"a long list":            {map[string]string{"main.sloe": "a {\nb = [" + strings.Repeat("1, ", itemsMost+1) + "]\n}\n"}, []string{"main.sloe:2:12294: the list has more than 4096 items"}},
		"a long word":            {map[string]string{"main.sloe": "a {\nb = " + strings.Repeat("x", wordMost+1) + "\n}\n"}, []string{"main.sloe:2:5: 4097 characters in one piece; 4096 at most"}},
		"not UTF-8":              {map[string]string{"main.sloe": "a {\n  b = \"\xff\"\n}\n"}, []string{"main.sloe:2:8: the file is not UTF-8: byte 0xFF can't stand here"}},
		"cut within a character": {map[string]string{"main.sloe": "a {\n  b = \"\xc3"}, []string{"main.sloe:2:8: the file is not UTF-8: byte 0xC3 can't stand here"}},
		"a mark":                 {map[string]string{"main.sloe": "\xef\xbb\xbfa { }\n"}, []string{"main.sloe:1:1: the file begins with a byte-order mark: save it as UTF-8 without one"}},
		"CR LF":                  {map[string]string{"main.sloe": "a {\r\n  b = 1 # c\r\n}\r\n"}, []string{"main.sloe:1:4: lines end in CR LF here: save the file with LF line ends"}},
		"a lone CR":              {map[string]string{"main.sloe": "a {\n  b = 1\rc = 2\n}\n"}, []string{"main.sloe:2:8: a control character (U+000D) can't stand here"}},
		"a zero byte":            {map[string]string{"main.sloe": "a { b = \x00 }\n"}, []string{"main.sloe:1:9: a control character (U+0000) can't stand here"}},
		"empty":                  {map[string]string{"main.sloe": ""}, []string{"main.sloe:1:1: the file is empty: it may be cut short (a comment makes it a file that says nothing)"}},
	} {
		t.Run(name, func(t *testing.T) {
			files(t, tc.texts)
			wantDiags(t, tc.want...)
		})
	}
}

// A tree whose every file includes the next one twice is read once, and each second include is told. One that doubles
// 30 times ends at the bound on depth, with one error.
func TestDoublingTree(t *testing.T) {
	texts, want := map[string]string{}, []string(nil)
	for i := range 12 {
		texts[fmt.Sprintf("%d.sloe", i)] = fmt.Sprintf("include \"%d.sloe\"\ninclude \"%d.sloe\"\n", i+1, i+1)
		want = append(want, fmt.Sprintf("%d.sloe:2:9: %d.sloe is included a second time", i, i+1))
	}
	texts["12.sloe"], texts["main.sloe"] = "x { }\n", "include \"0.sloe\"\n"
	files(t, texts)
	if tree := wantDiags(t, want...); len(tree.Files) != 14 {
		t.Errorf("%d files were read", len(tree.Files))
	}
}

func TestTreeThatDoubles30Times(t *testing.T) {
	texts := map[string]string{"main.sloe": "include \"0.sloe\"\n"}
	for i := range 30 {
		texts[fmt.Sprintf("%d.sloe", i)] = fmt.Sprintf("include \"%d.sloe\"\ninclude \"%d.sloe\"\n", i+1, i+1)
	}
	files(t, texts)
	if tree := wantDiags(t, "15.sloe:1:9: includes go deeper than 16 files; nothing more is read"); len(tree.Files) > 17 {
		t.Errorf("%d files were read", len(tree.Files))
	}
}

// Distinct files are bounded in number, depth and bytes; the error comes once.
func TestManyFiles(t *testing.T) {
	texts := map[string]string{"main.sloe": "include \"d\"\n"}
	for i := range 300 {
		texts[fmt.Sprintf("d/%03d.sloe", i)] = "#\n"
	}
	files(t, texts)
	if tree := wantDiags(t, "main.sloe:1:9: more than 256 files; nothing more is read"); len(tree.Files) != 256 || !tree.Unbalanced {
		t.Errorf("%d files were read", len(tree.Files))
	}
	texts = map[string]string{"main.sloe": "include \"0.sloe\"\n"}
	for i := range 40 {
		texts[fmt.Sprintf("%d.sloe", i)] = fmt.Sprintf("include \"%d.sloe\"\n", i+1)
	}
	files(t, texts)
	wantDiags(t, "15.sloe:1:9: includes go deeper than 16 files; nothing more is read")
	texts = map[string]string{"main.sloe": "include \"d\"\n"}
	for i := range 12 {
		texts[fmt.Sprintf("d/%03d.sloe", i)] = strings.Repeat("#\n", 1<<19)
	}
	files(t, texts)
	wantDiags(t, "main.sloe:1:9: more than 8 MiB in all; nothing more is read")
}

// A pipe would keep its reader waiting, and a folder is no file.
func TestNoOrdinaryFile(t *testing.T) {
	files(t, map[string]string{"main.sloe": "include \"p.sloe\"\n"})
	if err := syscall.Mkfifo("p.sloe", 0o600); err != nil {
		t.Skip("no pipes here:", err)
	}
	wantDiags(t, "main.sloe:1:9: p.sloe: it is no ordinary file")
	for _, name := range []string{"none.sloe", ".", "p.sloe"} {
		if _, _, err := Load(name); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// A file cut at any byte never parses to something without an error that the whole did not mean, but where whole
// lines at its end, outside of all blocks, are missing.
func TestCutAtEveryByte(t *testing.T) {
	const text = "define x = 10s # c\ngateway {\n    clients {\n        idle = $x\n        list = [1, \"two\"]\n    }\n}\nlog { level = info }\n"
	for n := range len(text) {
		f, diags := parse(text[:n])
		whole := n > 0 && text[n-1] == '\n' && strings.Count(text[:n], "{") == strings.Count(text[:n], "}")
		if diags.Failed() == whole {
			t.Errorf("cut at %d: %v, %d entries", n, diags, len(f.Entries))
		}
	}
}

// Many errors are told up to a bound, in order.
func TestManyErrors(t *testing.T) {
	_, diags := parse(strings.Repeat("@\n", 1000))
	got := diags.Error()
	if len(diags) != 1000 || !strings.HasSuffix(got, "and 800 more\n") || strings.Count(got, "can't stand") != MaxShownDiags {
		t.Errorf("%d problems, told:\n%s", len(diags), got[len(got)-100:])
	}
}
