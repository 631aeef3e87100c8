package sloe

import (
	"bytes"
	"fmt"
	"slices"
	"unicode/utf8"
)

// Bounds on a file. Each is told plainly when it is passed.
const (
	MaxFileSize = 1 << 20 // bytes of one file
	nestMost    = 16      // blocks within blocks, and lists within lists
	itemsMost   = 4096    // of a list
)

const keywordInclude, keywordDefine = "include", "define"

// parser reads one file. It goes on after an error with the next line, and says nothing twice.
type parser struct {
	src     *Source
	lex     lexer
	tok     token
	diags   Diags
	file    *File
	opens   []*Block // the blocks that are open
	culprit *Block   // the first whose end seems to be missing, going by the columns of braces
	halt    bool     // nothing more of the file is read
	cut     bool     // the file ends within a list, which was told
}

// Parse reads a source whole. What it finds wrong is in the Diags; the File holds all that could be read.
func Parse(src *Source) (*File, Diags) {
	p := &parser{src: src, file: &File{Src: src}}
	if !p.readable() {
		p.file.Unbalanced = true
		return p.file, p.diags
	}
	p.lex = lexer{src: src, report: p.errorf}
	if bytes.HasPrefix(src.Text, []byte("\xef\xbb\xbf")) {
		p.errorf(0, "the file begins with a byte-order mark: save it as UTF-8 without one")
		p.lex.at = 3
	}
	p.next()
	p.file.Entries, p.file.EndComments = p.entries(nil)
	p.unclosed()
	if len(bytes.TrimSpace(src.Text)) == 0 { // as an editor leaves it for a moment
		p.errorf(0, "the file is empty: it may be cut short (a comment makes it a file that says nothing)")
	}
	if t := src.Text; len(t) > 0 && t[len(t)-1] != '\n' && len(p.diags) == 0 {
		p.errorf(len(t)-1, "the last line has no line end: the file may be cut short")
	}
	return p.file, p.diags
}

// readable tells what no line of a file can be made of.
func (p *parser) readable() bool {
	t := p.src.Text
	if len(t) > MaxFileSize {
		p.errorf(0, "the file has more than %d KiB", MaxFileSize>>10)
		return false
	}
	if utf8.Valid(t) {
		return true
	}
	at := 0
	for at < len(t) {
		r, n := utf8.DecodeRune(t[at:])
		if r == utf8.RuneError && n <= 1 {
			break
		}
		at += n
	}
	p.errorf(at, "the file is not UTF-8: byte 0x%02X can't stand here", t[at])
	return false
}

func (p *parser) pos(off int) Pos { return Pos{p.src, off} }

func (p *parser) errorf(off int, format string, args ...any) {
	p.diags = append(p.diags, Diag{Pos: p.pos(off), Msg: fmt.Sprintf(format, args...)})
}

func (p *parser) next() { p.tok = p.lex.next() }

// lead reads line ends and comments on lines of their own.
func (p *parser) lead() (lines []string) {
	for breaks := 0; ; p.next() {
		switch p.tok.kind {
		case tNewline:
			if breaks++; breaks > 1 && (len(lines) == 0 || lines[len(lines)-1] != "") {
				lines = append(lines, "")
			}
		case tComment:
			lines = append(lines, p.tok.text)
			breaks = 0
		default:
			return lines
		}
	}
}

// entries reads statements to the end of the block, or of the file. Blank lines at the edges are no one's.
func (p *parser) entries(in *Block) (all []Entry, tail []string) {
	// A line has just ended, or the file begins: the first line end that comes is a blank line.
	for first := true; ; first = false {
		lead := p.lead()
		if first && len(lead) > 0 && lead[0] == "" {
			lead = lead[1:]
		}
		if p.tok.kind == tEOF || p.halt || p.tok.kind == tClose && in != nil {
			if n := len(lead); n > 0 && lead[n-1] == "" {
				lead = lead[:n-1]
			}
			return all, lead
		}
		if e := p.entry(); e != nil {
			e.notes().Leading = lead
			if p.tok.kind == tComment {
				e.notes().Trailing = p.tok.text
				p.next()
			}
			all = append(all, e)
		}
	}
}

// entry reads one statement to the end of its line, or returns nil when there is none to be had.
func (p *parser) entry() Entry {
	switch p.tok.kind {
	case tName:
	case tClose:
		p.errorf(p.tok.off, "this '}' closes nothing")
		p.file.Unbalanced = true
		p.next()
		return nil
	case tBad:
		p.skip()
		return nil
	default:
		p.errorf(p.tok.off, "found %s where a block or a setting begins with its name", p.tok)
		p.skip()
		return nil
	}
	word := p.tok
	p.next()
	var e Entry
	switch {
	case p.tok.kind == tEquals:
		e = p.setting(word)
	case word.text == keywordInclude:
		e = p.include(word)
	case word.text == keywordDefine:
		e = p.define(word)
	default:
		e = p.block(word)
	}
	if e != nil && !p.lineEnds() {
		p.errorf(p.tok.off, "found %s where the line should end", p.tok)
		p.skip()
	}
	return e
}

// lineEnds reports whether a statement may end here.
func (p *parser) lineEnds() bool {
	switch p.tok.kind {
	case tNewline, tEOF, tComment:
		return true
	case tClose:
		return len(p.opens) > 0
	case tBad: // reported, and the only thing to be said of the line
		p.skip()
		return true
	}
	return p.halt
}

// skip goes to the end of the line, and past the blocks that begin on it: what is in them belongs to what could
// not be read.
func (p *parser) skip() {
	p.lex.muted = true
	defer func() { p.lex.muted = false }()
	for depth := 0; p.tok.kind != tEOF; p.next() {
		switch p.tok.kind {
		case tOpen:
			depth++
		case tClose:
			if depth == 0 {
				return
			}
			depth--
		case tNewline:
			if depth == 0 {
				return
			}
		}
	}
}

func (p *parser) setting(word token) Entry {
	p.next()
	v := p.value(0)
	return &Setting{Name: Ident{p.pos(word.off), word.text}, Value: v}
}

func (p *parser) include(word token) Entry {
	if len(p.opens) > 0 {
		p.errorf(word.off, "include stands outside of all blocks")
		p.skip()
		return nil
	}
	if p.tok.kind != tString {
		if p.tok.kind != tBad {
			p.errorf(p.tok.off, "found %s where include needs a file, a folder or a pattern in quotes", p.tok)
		}
		p.skip()
		return nil
	}
	return &Include{Pos: p.pos(word.off), Target: p.value(0)}
}

func (p *parser) define(word token) Entry {
	if len(p.opens) > 0 {
		p.errorf(word.off, "define stands outside of all blocks")
		p.skip()
		return nil
	}
	name := p.tok
	if p.expect(tName, "the name of the definition") && p.expect(tEquals, "'='") {
		return &Define{Pos: p.pos(word.off), Name: Ident{p.pos(name.off), name.text}, Value: p.value(0)}
	}
	return nil
}

// expect takes a token, or reports that another stands in its place and skips the line.
func (p *parser) expect(k kind, what string) bool {
	if p.tok.kind == k {
		p.next()
		return true
	}
	if p.tok.kind != tBad {
		p.errorf(p.tok.off, "found %s where %s should stand", p.tok, what)
	}
	p.skip()
	return false
}

func (p *parser) block(word token) Entry {
	b := &Block{Type: Ident{p.pos(word.off), word.text}}
	if p.tok.kind == tName || p.tok.kind == tString {
		b.Label = &Ident{p.pos(p.tok.off), p.tok.text}
		if p.tok.kind == tString {
			b.Label.Name, _, _ = unquote(p.tok.text)
			b.Quoted = true
		}
		p.next()
	}
	if p.tok.kind != tOpen {
		if p.tok.kind != tBad {
			p.errorf(p.tok.off, "found %s behind %q where '=' and a value, or '{' and a block, should stand", p.tok, clip(word.text))
		}
		p.skip()
		return nil
	}
	if len(p.opens) == nestMost {
		p.errorf(word.off, "blocks nest deeper than %d here; the rest of the file is not read", nestMost)
		p.file.Unbalanced, p.halt = true, true
		return nil
	}
	p.next()
	if p.tok.kind == tComment {
		b.OpenComment = p.tok.text
		p.next()
	}
	p.opens = append(p.opens, b)
	b.Entries, b.EndComments = p.entries(b)
	if p.tok.kind != tClose { // the end of the file: told once, for the block that seems to lack its end
		return b
	}
	if line := p.lineStart(p.tok.off); p.culprit == nil && p.firstOnLine(p.tok.off) && p.tok.off-line < p.indent(word.off) {
		p.culprit = b
	}
	p.opens = p.opens[:len(p.opens)-1]
	p.next()
	return b
}

// unclosed tells once that braces are missing, at the block whose end is likely to be the missing one.
func (p *parser) unclosed() {
	if len(p.opens) == 0 || p.halt {
		return
	}
	p.file.Unbalanced = true
	if p.cut {
		return
	}
	b := p.opens[len(p.opens)-1]
	if p.culprit != nil {
		b = p.culprit
	}
	p.diags = slices.DeleteFunc(p.diags, func(d Diag) bool {
		return d.Msg == "include stands outside of all blocks" || d.Msg == "define stands outside of all blocks"
	})
	p.errorf(b.Type.Pos.Off, "the block %q is not closed: a '}' is missing", clip(b.Type.Name))
}

func (p *parser) lineStart(off int) int { return bytes.LastIndexByte(p.src.Text[:off], '\n') + 1 }

func (p *parser) firstOnLine(off int) bool {
	return len(bytes.TrimLeft(p.src.Text[p.lineStart(off):off], " \t")) == 0
}

// indent is how far the line of a place is indented, in bytes.
func (p *parser) indent(off int) int {
	line := p.src.Text[p.lineStart(off):]
	return len(line) - len(bytes.TrimLeft(line, " \t"))
}

// value reads what stands behind an '='. It always returns one; what is wrong with it was reported.
func (p *parser) value(depth int) *Value {
	t := p.tok
	v := &Value{Pos: p.pos(t.off), Raw: t.text}
	switch t.kind {
	case tName:
		v.Kind, v.Text = Word, t.text
	case tRef:
		v.Kind, v.Text = Reference, t.text[1:]
	case tString:
		v.Kind = Text
		v.Text, _, _ = unquote(t.text) // the lexer has held it to its shape
	case tNumber:
		q, err := ParseQuantity(t.text)
		if v.Kind, v.Number = Number, q; err != nil {
			p.errorf(t.off, "%v", err)
			v.Kind = Invalid
		}
	case tListOpen:
		return p.list(v, depth)
	case tBad:
		v.Kind = Invalid
	default:
		p.errorf(t.off, "found %s where a value should stand", t)
		v.Kind = Invalid
		p.skip()
		return v
	}
	p.next()
	return v
}

func (p *parser) list(v *Value, depth int) *Value {
	v.Kind = List
	open := p.tok
	if depth == nestMost {
		p.errorf(open.off, "lists nest deeper than %d here; the rest of the file is not read", nestMost)
		p.file.Unbalanced, p.halt = true, true
		v.Kind = Invalid
		p.tok = token{kind: tEOF, off: open.off}
		return v
	}
	p.next()
	for first := true; ; first = false {
		start := p.tok.off
		lead := p.lead()
		v.Multiline = v.Multiline || p.tok.off > start && bytes.IndexByte(p.src.Text[start:p.tok.off], '\n') >= 0
		if len(lead) > 0 && first && lead[0] == "" {
			lead = lead[1:]
		}
		if p.tok.kind == tListClose {
			v.EndComments = append(v.EndComments, lead...)
			if n := len(v.EndComments); n > 0 && v.EndComments[n-1] == "" {
				v.EndComments = v.EndComments[:n-1]
			}
			p.next()
			return v
		}
		if p.tok.kind == tEOF || p.tok.kind == tEquals || p.tok.kind == tOpen || p.tok.kind == tClose || p.halt {
			if !p.halt {
				p.errorf(open.off, "the list is not closed: a ']' is missing")
				p.cut = p.tok.kind == tEOF
				p.skip()
			}
			v.Kind = Invalid
			return v
		}
		if len(v.Items) == itemsMost {
			p.errorf(p.tok.off, "the list has more than %d items", itemsMost)
			p.skip()
			v.Kind = Invalid
			return v
		}
		if !p.item(v, lead, depth, open.off) {
			return v
		}
	}
}

// item reads one value of a list and the comma behind it.
func (p *parser) item(v *Value, lead []string, depth, open int) bool {
	item := p.value(depth + 1)
	item.Leading = lead
	v.Items = append(v.Items, item)
	if item.Kind == Invalid {
		v.Kind = Invalid
	}
	comma := p.tok.kind == tComma
	if comma {
		p.next()
	}
	if p.tok.kind == tComment {
		item.Trailing, v.Multiline = p.tok.text, true
		p.next()
	}
	if comma || p.halt {
		return true
	}
	v.Multiline = v.Multiline || p.tok.kind == tNewline
	v.EndComments = p.lead()
	if p.tok.kind != tListClose {
		switch p.tok.kind {
		case tBad: // told
		case tClose, tEOF, tEquals:
			p.errorf(open, "the list is not closed: a ']' is missing")
			p.cut = p.tok.kind == tEOF
		default:
			if item.Kind != Invalid {
				p.errorf(p.tok.off, "found %s where ',' or ']' should stand", p.tok)
			}
		}
		v.Kind = Invalid
		p.skip()
		return false
	}
	return true
}

// String is the token in a message.
func (t token) String() string {
	switch t.kind {
	case tEOF:
		return "the end of the file"
	case tNewline, tComment:
		return "the end of the line"
	}
	return fmt.Sprintf("%q", clip(t.text))
}
