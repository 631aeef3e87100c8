// Package sloe implements the syntax of the operators' configuration language: lexer, parser, syntax tree, formatter
// and the loader for included files. Package operator defines what the settings mean. The grammar is in
// docs/design/configuration.md; a test checks the parser against it.
package sloe

import (
	"bytes"
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"
	"unicode/utf8"
)

// Source is the text of a file as it was read.
type Source struct {
	Name string // as shown in messages
	Text []byte
	// Modified is the file's modification time.
	Modified   time.Time
	lineStarts []int // offsets of line starts, computed on first use
}

// Pos is a position in a source. The zero value is invalid.
type Pos struct {
	Src *Source
	Off int // byte offset
}

// Valid reports whether p refers to a source.
func (p Pos) Valid() bool { return p.Src != nil }

// Line returns the line number, counted from 1.
func (p Pos) Line() int {
	line, _ := p.Src.locate(p.Off)
	return line
}

// Col returns the column in characters, counted from 1.
func (p Pos) Col() int {
	_, start := p.Src.locate(p.Off)
	return utf8.RuneCount(p.Src.Text[start:p.Off]) + 1
}

// String returns FILE:LINE:COL, or "-" for an invalid position.
func (p Pos) String() string {
	if !p.Valid() {
		return "-"
	}
	return fmt.Sprintf("%s:%d:%d", p.Src.Name, p.Line(), p.Col())
}

func (s *Source) locate(off int) (line, start int) {
	if s.lineStarts == nil {
		s.lineStarts = []int{0}
		for i, c := range s.Text {
			if c == '\n' {
				s.lineStarts = append(s.lineStarts, i+1)
			}
		}
	}
	i := sort.SearchInts(s.lineStarts, off+1) - 1
	return i + 1, s.lineStarts[i]
}

// Note refers to a second position that is related to a problem.
type Note struct {
	Pos Pos
	Msg string
}

// Diag is an error or a warning in a file.
type Diag struct {
	Pos         Pos
	Msg         string
	Warning     bool // the file can still be used
	Notes       []Note
	sourceIndex int // index of its source in reading order
}

const (
	maxExcerptBytes = 160 // bytes shown of a source line
	// MaxShownDiags is the number of problems printed in one run; the rest are only counted.
	MaxShownDiags = 200
)

// String returns FILE:LINE:COL: message, the source line with a caret below the position, and a line for each note.
func (d Diag) String() string {
	var b strings.Builder
	kind := ""
	if d.Warning {
		kind = "warning: "
	}
	fmt.Fprintf(&b, "%s: %s%s\n", d.Pos, kind, d.Msg)
	if d.Pos.Valid() {
		b.WriteString(d.Pos.excerpt())
	}
	for _, n := range d.Notes {
		fmt.Fprintf(&b, "    %s: %s\n", n.Pos, n.Msg)
	}
	return b.String()
}

// excerpt returns the source line and a line with a caret. Tabs are kept on both lines, so that the caret is aligned.
func (p Pos) excerpt() string {
	_, start := p.Src.locate(p.Off)
	line := p.Src.Text[start:]
	if i := bytes.IndexByte(line, '\n'); i >= 0 {
		line = line[:i]
	}
	if p.Off-start > maxExcerptBytes {
		return "" // the position is beyond the part that is shown
	}
	line = bytes.TrimRight(line, "\r")
	if len(line) > maxExcerptBytes {
		line = append(slices.Clone(line[:maxExcerptBytes]), "..."...)
	}
	var text, caret strings.Builder
	for i, r := range string(line) {
		if r != '\t' && (r < ' ' || r == 0x7f || r == utf8.RuneError) {
			r = '?'
		}
		text.WriteRune(r)
		if start+i < p.Off {
			if r != '\t' {
				r = ' '
			}
			caret.WriteRune(r)
		}
	}
	return fmt.Sprintf("    %s\n    %s^\n", text.String(), caret.String())
}

// Diags are the problems of a configuration.
type Diags []Diag

// Failed reports whether any of them is an error rather than a warning.
func (ds Diags) Failed() bool {
	return slices.ContainsFunc(ds, func(d Diag) bool { return !d.Warning })
}

// Sort orders the problems by file, in reading order, and then by offset.
func (ds Diags) Sort(files []*Source) {
	index := map[*Source]int{}
	for i, f := range files {
		index[f] = i
	}
	for i := range ds {
		ds[i].sourceIndex = index[ds[i].Pos.Src]
	}
	slices.SortStableFunc(ds, func(a, b Diag) int {
		if a.sourceIndex != b.sourceIndex {
			return a.sourceIndex - b.sourceIndex
		}
		return a.Pos.Off - b.Pos.Off
	})
}

// Error returns the text of all problems, up to MaxShownDiags of them.
func (ds Diags) Error() string {
	var b strings.Builder
	for i, d := range ds {
		if i == MaxShownDiags {
			fmt.Fprintf(&b, "and %d more\n", len(ds)-i)
			break
		}
		b.WriteString(d.String())
	}
	return b.String()
}

// SameSources reports whether two loads read the same files with the same texts and modification times.
func SameSources(a, b []*Source) bool {
	return slices.EqualFunc(a, b, func(a, b *Source) bool {
		return a.Name == b.Name && bytes.Equal(a.Text, b.Text) && a.Modified.Equal(b.Modified)
	})
}
