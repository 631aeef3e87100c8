package sloe

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path"
	"path/filepath"
	"slices"
	"strings"
)

// Bounds on a configuration of many files.
const (
	filesMost   = 256     // files in all
	depthMost   = 16      // includes within includes
	totalMost   = 8 << 20 // bytes in all
	entriesMost = 4096    // names looked at in a folder that a pattern names
	extension   = ".sloe"
)

// Tree is a configuration with its includes in place.
type Tree struct {
	Entries []Entry // in the order of reading; no includes
	Files   []*File // in the order of reading
	// Unbalanced: in one of the files braces don't match.
	Unbalanced bool
}

// Sources are the files as they were read.
func (t *Tree) Sources() []*Source {
	var all []*Source
	for _, f := range t.Files {
		all = append(all, f.Src)
	}
	return all
}

// Load reads a file and all that it includes. Includes are relative to the file that they stand in, and none leads
// out of the folder of the first file, by whatever links. What is wrong with the files is in the Diags; the error
// tells that the first one could not be read at all.
func Load(name string) (*Tree, Diags, error) {
	real, err := filepath.EvalSymlinks(name)
	if err != nil {
		return nil, nil, fmt.Errorf("reading the configuration: %w", err)
	}
	root, err := os.OpenRoot(filepath.Dir(real))
	if err != nil {
		return nil, nil, fmt.Errorf("reading the configuration: %w", err)
	}
	defer root.Close()
	l := &loader{root: root, shown: filepath.Dir(name), tree: &Tree{}}
	text, info, err := l.read(filepath.Base(real))
	if err != nil {
		return nil, nil, fmt.Errorf("reading the configuration: %s: %w", name, err)
	}
	l.file(filepath.Base(real), name, text, info, nil)
	l.diags.Sort(l.tree.Sources())
	return l.tree, l.diags, nil
}

// step is a file on the way from the first one to the one that is being read.
type step struct {
	shown string
	info  fs.FileInfo
	from  *step
	by    Pos // the include that led to it
}

type loader struct {
	root  *os.Root
	shown string // the folder of the first file, as the caller named it
	tree  *Tree
	diags Diags
	seen  []*step
	bytes int
	full  bool // a bound on the whole was passed, and told
}

func (l *loader) errorf(at Pos, format string, args ...any) {
	l.diags = append(l.diags, Diag{Pos: at, Msg: fmt.Sprintf(format, args...)})
}

var (
	errKind  = errors.New("it is no ordinary file")
	errLarge = fmt.Errorf("it has more than %d KiB", MaxFileSize>>10)
)

// read opens a file by its path below the root.
func (l *loader) read(name string) ([]byte, fs.FileInfo, error) {
	info, err := l.root.Stat(name) // first: opening a pipe would wait for its writer
	if err != nil {
		return nil, nil, err
	}
	switch {
	case !info.Mode().IsRegular():
		return nil, nil, errKind
	case info.Size() > MaxFileSize:
		return nil, nil, errLarge
	}
	f, err := l.root.Open(name)
	if err != nil {
		return nil, nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, MaxFileSize+1))
	return text, info, err
}

// file parses a text and follows its includes.
func (l *loader) file(name, shown string, text []byte, info fs.FileInfo, by *step) {
	here := &step{shown: shown, info: info, from: by}
	l.seen = append(l.seen, here)
	f, diags := Parse(&Source{Name: shown, Text: text, Modified: info.ModTime()})
	l.tree.Files = append(l.tree.Files, f)
	l.tree.Unbalanced = l.tree.Unbalanced || f.Unbalanced
	l.diags = append(l.diags, diags...)
	for _, e := range f.Entries {
		if inc, ok := e.(*Include); ok {
			l.include(name, inc, here)
		} else {
			l.tree.Entries = append(l.tree.Entries, e)
		}
	}
}

func (l *loader) include(from string, inc *Include, here *step) {
	target, at := inc.Target.Text, inc.Target.Pos
	if target == "" || path.IsAbs(target) || strings.ContainsAny(target, "\\\x00") {
		l.errorf(at, "an include names a file, a folder or a pattern relative to this file")
		return
	}
	name := path.Join(path.Dir(from), target)
	if name == ".." || strings.HasPrefix(name, "../") {
		l.errorf(at, "the include leads out of the folder %s", l.shown)
		return
	}
	names, err := l.expand(name)
	if err != nil {
		l.errorf(at, "%s", l.reason(err))
		return
	}
	if len(names) == 0 {
		l.errorf(at, "no file matches %q", target)
		return
	}
	for _, n := range names {
		l.one(n, inc, here)
	}
}

// expand tells the files that an include means: itself, the *.sloe files of a folder, or what matches a pattern in
// its last part, in the order of their names' bytes.
func (l *loader) expand(name string) ([]string, error) {
	dir, pattern := path.Split(name)
	if !strings.ContainsAny(name, "*?[") {
		info, err := l.root.Stat(name)
		if err != nil {
			return nil, err
		}
		if !info.IsDir() {
			return []string{name}, nil
		}
		dir, pattern = name, "*"+extension
	}
	if strings.ContainsAny(dir, "*?[") {
		return nil, errors.New("a pattern may stand in the last part of a path only")
	}
	if _, err := path.Match(pattern, ""); err != nil {
		return nil, errors.New("the pattern is malformed")
	}
	return l.match(path.Clean("./"+dir), pattern)
}

func (l *loader) match(dir, pattern string) ([]string, error) {
	d, err := l.root.Open(dir)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	entries, err := d.ReadDir(entriesMost + 1)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	if len(entries) > entriesMost {
		return nil, fmt.Errorf("the folder holds more than %d names", entriesMost)
	}
	var names []string
	for _, e := range entries {
		if ok, _ := path.Match(pattern, e.Name()); ok && !strings.HasPrefix(e.Name(), ".") && !e.IsDir() {
			names = append(names, path.Join(dir, e.Name()))
		}
	}
	slices.Sort(names)
	return names, nil
}

// reason words an error of the file system for the place of the include, without the path that stands there.
func (l *loader) reason(err error) string {
	var pe *fs.PathError
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return "there is no such file or folder"
	case errors.As(err, &pe) && strings.Contains(pe.Err.Error(), "escapes"):
		return "the include leads out of the folder " + l.shown
	case errors.As(err, &pe):
		return fmt.Sprintf("it can't be read: %v", pe.Err)
	}
	return err.Error()
}

// one includes one file, if that is neither a circle nor a second time.
func (l *loader) one(name string, inc *Include, here *step) {
	if l.full {
		return
	}
	at, shown := inc.Target.Pos, filepath.Join(l.shown, name)
	text, info, err := l.read(name)
	if err != nil {
		l.errorf(at, "%s: %s", shown, l.reason(err))
		return
	}
	by := &step{shown: here.shown, info: here.info, from: here.from, by: at}
	if l.circle(shown, info, by) || l.twice(shown, info, at) {
		return
	}
	depth := 0
	for s := by; s != nil; s = s.from {
		depth++
	}
	l.bytes += len(text)
	l.full = true
	switch {
	case depth > depthMost:
		l.errorf(at, "includes go deeper than %d files; nothing more is read", depthMost)
	case len(l.seen) >= filesMost:
		l.errorf(at, "more than %d files; nothing more is read", filesMost)
	case l.bytes > totalMost:
		l.errorf(at, "more than %d MiB in all; nothing more is read", totalMost>>20)
	default:
		l.full = false
		l.file(name, shown, text, info, by)
	}
	if l.full {
		l.tree.Unbalanced = true // what is missing is not known, so nothing is to be said of meaning
	}
}

// circle reports a file that includes itself, by whatever names, with the whole way.
func (l *loader) circle(shown string, info fs.FileInfo, by *step) bool {
	names, way := []string{shown}, []Note(nil)
	for s := by; s != nil; s = s.from {
		way = append(way, Note{s.by, fmt.Sprintf("%s includes %s", s.shown, names[len(names)-1])})
		names = append(names, s.shown)
		if os.SameFile(s.info, info) {
			slices.Reverse(way)
			l.diags = append(l.diags, Diag{Pos: by.by, Msg: "the includes go in a circle", Notes: way})
			return true
		}
	}
	return false
}

// twice reports a file that was included before.
func (l *loader) twice(shown string, info fs.FileInfo, at Pos) bool {
	for _, s := range l.seen {
		if os.SameFile(s.info, info) {
			d := Diag{Pos: at, Msg: fmt.Sprintf("%s is included a second time", shown)}
			if s.from != nil {
				d.Notes = []Note{{s.from.by, "first included here"}}
			}
			l.diags = append(l.diags, d)
			return true
		}
	}
	return false
}
