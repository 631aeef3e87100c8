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

// Limits on a configuration with its includes.
const (
	maxFiles         = 256     // number of files
	maxIncludeDepth  = 16      // nesting of includes
	maxTotalBytes    = 8 << 20 // bytes of all files
	maxFolderEntries = 4096    // names in a folder that is searched for a pattern
	extension        = ".sloe"
)

// Tree is a configuration with its includes expanded.
type Tree struct {
	Entries []Entry // in reading order, without includes
	Files   []*File // in reading order
	// Unbalanced reports mismatched braces in one of the files, or files that a limit left unread. The meaning of the
	// configuration is not checked then.
	Unbalanced bool
}

// Sources returns the sources of all files.
func (t *Tree) Sources() []*Source {
	var all []*Source
	for _, f := range t.Files {
		all = append(all, f.Src)
	}
	return all
}

// Load reads a file and all that it includes. Includes are relative to the file that contains them, and must not lead
// outside the folder of the first file, symbolic links included. Problems of the files are in the Diags; the error is
// non-nil if the first file could not be read.
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
	l := &loader{root: root, rootDisplayName: filepath.Dir(name), tree: &Tree{}}
	text, info, err := l.read(filepath.Base(real))
	if err != nil {
		return nil, nil, fmt.Errorf("reading the configuration: %s: %w", name, err)
	}
	l.parseFile(filepath.Base(real), name, text, info, nil)
	l.diags.Sort(l.tree.Sources())
	return l.tree, l.diags, nil
}

// includeStep is a file on the include path from the first file to the current one.
type includeStep struct {
	displayName string
	info        fs.FileInfo
	parent      *includeStep
	includePos  Pos // the include in this file that leads to the next one
}

type loader struct {
	root            *os.Root
	rootDisplayName string // the folder of the first file, as given by the caller
	tree            *Tree
	diags           Diags
	loaded          []*includeStep
	totalBytes      int
	stopped         bool // a limit on the whole configuration was exceeded and reported
}

func (l *loader) errorf(at Pos, format string, args ...any) {
	l.diags = append(l.diags, Diag{Pos: at, Msg: fmt.Sprintf(format, args...)})
}

var (
	errNotRegular = errors.New("it is not a regular file")
	errTooLarge   = fmt.Errorf("it is larger than %d KiB", MaxFileSize>>10)
)

// read reads a file by its path below the root.
func (l *loader) read(name string) ([]byte, fs.FileInfo, error) {
	info, err := l.root.Stat(name) // before Open, which would block on a pipe without a writer
	if err != nil {
		return nil, nil, err
	}
	switch {
	case !info.Mode().IsRegular():
		return nil, nil, errNotRegular
	case info.Size() > MaxFileSize:
		return nil, nil, errTooLarge
	}
	f, err := l.root.Open(name)
	if err != nil {
		return nil, nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, MaxFileSize+1))
	return text, info, err
}

// parseFile parses a text and follows its includes.
func (l *loader) parseFile(name, shown string, text []byte, info fs.FileInfo, by *includeStep) {
	current := &includeStep{displayName: shown, info: info, parent: by}
	l.loaded = append(l.loaded, current)
	f, diags := Parse(&Source{Name: shown, Text: text, Modified: info.ModTime()})
	l.tree.Files = append(l.tree.Files, f)
	l.tree.Unbalanced = l.tree.Unbalanced || f.Unbalanced
	l.diags = append(l.diags, diags...)
	for _, e := range f.Entries {
		if inc, ok := e.(*Include); ok {
			l.include(name, inc, current)
		} else {
			l.tree.Entries = append(l.tree.Entries, e)
		}
	}
}

func (l *loader) include(from string, inc *Include, current *includeStep) {
	target, at := inc.Target.Text, inc.Target.Pos
	if target == "" || path.IsAbs(target) || strings.ContainsAny(target, "\\\x00") {
		l.errorf(at, "an include names a file, a folder or a pattern relative to this file")
		return
	}
	name := path.Join(path.Dir(from), target)
	if name == ".." || strings.HasPrefix(name, "../") {
		l.errorf(at, "the include leads outside the folder %s", l.rootDisplayName)
		return
	}
	names, err := l.expand(name)
	if err != nil {
		l.errorf(at, "%s", l.describeError(err))
		return
	}
	if len(names) == 0 {
		l.errorf(at, "no file matches %q", target)
		return
	}
	for _, n := range names {
		l.includeFile(n, inc, current)
	}
}

// expand returns the files that an include names: the file itself, the *.sloe files of a folder, or the files that match
// a pattern in the last part of the path, sorted by name.
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
		return nil, errors.New("a pattern is only allowed in the last part of a path")
	}
	if _, err := path.Match(pattern, ""); err != nil {
		return nil, errors.New("the pattern is malformed")
	}
	return l.matchingFiles(path.Clean("./"+dir), pattern)
}

func (l *loader) matchingFiles(dir, pattern string) ([]string, error) {
	d, err := l.root.Open(dir)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	entries, err := d.ReadDir(maxFolderEntries + 1)
	if err != nil && !errors.Is(err, io.EOF) {
		return nil, err
	}
	if len(entries) > maxFolderEntries {
		return nil, fmt.Errorf("the folder contains more than %d names", maxFolderEntries)
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

// describeError returns the message for a file system error at an include, without the path, which the position shows.
func (l *loader) describeError(err error) string {
	var pe *fs.PathError
	switch {
	case errors.Is(err, fs.ErrNotExist):
		return "there is no such file or folder"
	case errors.As(err, &pe) && strings.Contains(pe.Err.Error(), "escapes"):
		return "the include leads outside the folder " + l.rootDisplayName
	case errors.As(err, &pe):
		return fmt.Sprintf("cannot read it: %v", pe.Err)
	}
	return err.Error()
}

// includeFile loads one file, unless it is part of an include cycle or was included before.
func (l *loader) includeFile(name string, inc *Include, current *includeStep) {
	if l.stopped {
		return
	}
	at, shown := inc.Target.Pos, filepath.Join(l.rootDisplayName, name)
	text, info, err := l.read(name)
	if err != nil {
		l.errorf(at, "%s: %s", shown, l.describeError(err))
		return
	}
	by := &includeStep{displayName: current.displayName, info: current.info, parent: current.parent, includePos: at}
	if l.reportCycle(shown, info, by) || l.reportDuplicate(shown, info, at) {
		return
	}
	depth := 0
	for s := by; s != nil; s = s.parent {
		depth++
	}
	l.totalBytes += len(text)
	l.stopped = true
	switch {
	case depth > maxIncludeDepth:
		l.errorf(at, "includes are nested deeper than %d files; nothing more is read", maxIncludeDepth)
	case len(l.loaded) >= maxFiles:
		l.errorf(at, "more than %d files; nothing more is read", maxFiles)
	case l.totalBytes > maxTotalBytes:
		l.errorf(at, "more than %d MiB in total; nothing more is read", maxTotalBytes>>20)
	default:
		l.stopped = false
		l.parseFile(name, shown, text, info, by)
	}
	if l.stopped {
		l.tree.Unbalanced = true // files are missing, so the meaning can't be checked
	}
}

// reportCycle reports a file that includes itself, directly or not and by any name, with the path of includes.
func (l *loader) reportCycle(shown string, info fs.FileInfo, by *includeStep) bool {
	names, chain := []string{shown}, []Note(nil)
	for s := by; s != nil; s = s.parent {
		chain = append(chain, Note{s.includePos, fmt.Sprintf("%s includes %s", s.displayName, names[len(names)-1])})
		names = append(names, s.displayName)
		if os.SameFile(s.info, info) {
			slices.Reverse(chain)
			l.diags = append(l.diags, Diag{Pos: by.includePos, Msg: "the includes form a cycle", Notes: chain})
			return true
		}
	}
	return false
}

// reportDuplicate reports a file that was included before, by any name.
func (l *loader) reportDuplicate(shown string, info fs.FileInfo, at Pos) bool {
	for _, s := range l.loaded {
		if os.SameFile(s.info, info) {
			d := Diag{Pos: at, Msg: fmt.Sprintf("%s is included twice", shown)}
			if s.parent != nil {
				d.Notes = []Note{{s.parent.includePos, "first included here"}}
			}
			l.diags = append(l.diags, d)
			return true
		}
	}
	return false
}
