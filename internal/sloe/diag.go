// Package sloe is the operators' configuration language: its lexer, parser, syntax tree, formatter and loader of
// included files. It knows the shapes of the language and nothing of what a setting means; package operator does.
// The grammar stands in docs/design/configuration.md and a test holds the parser to it.
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

// Source is a file as it was read.
type Source struct {
	Name string // as shown to people
	Text []byte
	// Modified is when the file was last written, as the file system tells.
	Modified time.Time
	lines    []int // offsets at which lines begin; made when first asked for
}

// Pos is a place in a source. The zero value is no place.
type Pos struct {
	Src *Source
	Off int // bytes from the start
}

// Valid reports whether it is a place at all.
func (p Pos) Valid() bool { return p.Src != nil }

// Line is the number of its line, from 1.
func (p Pos) Line() int {
	line, _ := p.Src.locate(p.Off)
	return line
}

// Col is the number of its character in the line, from 1.
func (p Pos) Col() int {
	_, start := p.Src.locate(p.Off)
	return utf8.RuneCount(p.Src.Text[start:p.Off]) + 1
}

// String is FILE:LINE:COL.
func (p Pos) String() string {
	if !p.Valid() {
		return "-"
	}
	return fmt.Sprintf("%s:%d:%d", p.Src.Name, p.Line(), p.Col())
}

func (s *Source) locate(off int) (line, start int) {
	if s.lines == nil {
		s.lines = []int{0}
		for i, c := range s.Text {
			if c == '\n' {
				s.lines = append(s.lines, i+1)
			}
		}
	}
	i := sort.SearchInts(s.lines, off+1) - 1
	return i + 1, s.lines[i]
}

// Note points from a problem to a second place.
type Note struct {
	Pos Pos
	Msg string
}

// Diag is a problem of a file.
type Diag struct {
	Pos     Pos
	Msg     string
	Warning bool // the file can be used all the same
	Notes   []Note
	order   int // of its source among those read
}

const (
	excerptMost = 160 // bytes of a source line that are shown
	// MaxShownDiags is how many problems are told in one run; the rest are counted.
	MaxShownDiags = 200
)

// String is FILE:LINE:COL: message, the line with a caret below the place, and a line for each note.
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

// excerpt is the source line and a caret. Tabs stay tabs on both lines, so that the caret stands where it should.
func (p Pos) excerpt() string {
	_, start := p.Src.locate(p.Off)
	line := p.Src.Text[start:]
	if i := bytes.IndexByte(line, '\n'); i >= 0 {
		line = line[:i]
	}
	if p.Off-start > excerptMost {
		return "" // the place lies beyond what can be shown
	}
	line = bytes.TrimRight(line, "\r")
	if len(line) > excerptMost {
		line = append(slices.Clone(line[:excerptMost]), "..."...)
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

// Diags are problems, in the order of reading.
type Diags []Diag

// Failed reports whether one of them keeps the file from being used.
func (ds Diags) Failed() bool {
	return slices.ContainsFunc(ds, func(d Diag) bool { return !d.Warning })
}

// Sort puts them in the order of their places: files as they were first read, then lines.
func (ds Diags) Sort(files []*Source) {
	rank := map[*Source]int{}
	for i, f := range files {
		rank[f] = i
	}
	for i := range ds {
		ds[i].order = rank[ds[i].Pos.Src]
	}
	slices.SortStableFunc(ds, func(a, b Diag) int {
		if a.order != b.order {
			return a.order - b.order
		}
		return a.Pos.Off - b.Pos.Off
	})
}

// Error is all of them, one after the other.
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

// SameSources reports whether two readings brought the same files with the same texts, which nobody wrote in between.
func SameSources(a, b []*Source) bool {
	return slices.EqualFunc(a, b, func(a, b *Source) bool {
		return a.Name == b.Name && bytes.Equal(a.Text, b.Text) && a.Modified.Equal(b.Modified)
	})
}
