package sloe

import (
	"bytes"
	"fmt"
	"slices"
	"unicode/utf8"
)

// Limits on a file. Exceeding one is reported as an error.
const (
	MaxFileSize  = 1 << 20 // bytes of one file
	maxNesting   = 16      // blocks within blocks, and lists within lists
	maxListItems = 4096    // in a list
)

const keywordInclude, keywordDefine = "include", "define"

// parser parses one file. After an error it continues with the next statement; errors that follow from a reported one
// are not reported.
type parser struct {
	src            *Source
	lex            lexer
	tok            token
	diags          Diags
	file           *File
	openBlocks     []*Block // the enclosing blocks, outermost first
	likelyUnclosed *Block   // the first block whose '}' seems to be missing, judged by the indentation of braces
	stopped        bool     // the rest of the file is not read
	endsInList     bool     // the file ends within a list; this was reported
}

// Parse parses a source. The Diags are the problems found; the File holds all that could be parsed.
func Parse(src *Source) (*File, Diags) {
	p := &parser{src: src, file: &File{Src: src}}
	if !p.checkEncoding() {
		p.file.Unbalanced = true
		return p.file, p.diags
	}
	p.lex = lexer{src: src, report: p.errorf}
	if bytes.HasPrefix(src.Text, []byte("\xef\xbb\xbf")) {
		p.errorf(0, "the file begins with a byte-order mark: save it as UTF-8 without one")
		p.lex.offset = 3
	}
	p.next()
	p.file.Entries, p.file.EndComments = p.entries(nil)
	p.reportUnclosed()
	if len(bytes.TrimSpace(src.Text)) == 0 { // as some editors leave a file for a moment while saving
		p.errorf(0, "the file is empty: it may be cut short (write a comment into a file without settings)")
	}
	if t := src.Text; len(t) > 0 && t[len(t)-1] != '\n' && len(p.diags) == 0 {
		p.errorf(len(t)-1, "the last line has no line end: the file may be cut short")
	}
	return p.file, p.diags
}

// checkEncoding reports a file that is too large or not UTF-8; such a file is not parsed.
func (p *parser) checkEncoding() bool {
	t := p.src.Text
	if len(t) > MaxFileSize {
		p.errorf(0, "the file is larger than %d KiB", MaxFileSize>>10)
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
	p.errorf(at, "the file is not UTF-8: byte 0x%02X is not valid here", t[at])
	return false
}

func (p *parser) pos(off int) Pos { return Pos{p.src, off} }

func (p *parser) errorf(off int, format string, args ...any) {
	p.diags = append(p.diags, Diag{Pos: p.pos(off), Msg: fmt.Sprintf(format, args...)})
}

func (p *parser) next() { p.tok = p.lex.next() }

// leadingComments reads line ends and comments on lines of their own. It returns blank lines as "".
func (p *parser) leadingComments() (lines []string) {
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

// entries parses statements up to the end of the block or the file. Blank lines at its start and end are dropped.
func (p *parser) entries(in *Block) (all []Entry, tail []string) {
	for first := true; ; first = false {
		lead := p.leadingComments()
		if first && len(lead) > 0 && lead[0] == "" { // a blank line at the start of the block or file
			lead = lead[1:]
		}
		if p.tok.kind == tEOF || p.stopped || p.tok.kind == tClose && in != nil {
			if n := len(lead); n > 0 && lead[n-1] == "" {
				lead = lead[:n-1]
			}
			return all, lead
		}
		if e := p.entry(); e != nil {
			e.comments().Leading = lead
			if p.tok.kind == tComment {
				e.comments().Trailing = p.tok.text
				p.next()
			}
			all = append(all, e)
		}
	}
}

// entry parses one statement up to the end of its line. It returns nil if there is none that is valid.
func (p *parser) entry() Entry {
	switch p.tok.kind {
	case tName:
	case tClose:
		p.errorf(p.tok.off, "this '}' has no matching '{'")
		p.file.Unbalanced = true
		p.next()
		return nil
	case tInvalid:
		p.skipStatement()
		return nil
	default:
		p.errorf(p.tok.off, "found %s, expected the name of a block or a setting", p.tok)
		p.skipStatement()
		return nil
	}
	name := p.tok
	p.next()
	var e Entry
	switch {
	case p.tok.kind == tEquals:
		e = p.setting(name)
	case name.text == keywordInclude:
		e = p.include(name)
	case name.text == keywordDefine:
		e = p.define(name)
	default:
		e = p.block(name)
	}
	if e != nil && !p.atStatementEnd() {
		p.errorf(p.tok.off, "found %s, expected the end of the line", p.tok)
		p.skipStatement()
	}
	return e
}

// atStatementEnd reports whether a statement may end at the current token.
func (p *parser) atStatementEnd() bool {
	switch p.tok.kind {
	case tNewline, tEOF, tComment:
		return true
	case tClose:
		return len(p.openBlocks) > 0
	case tInvalid: // already reported; the rest of the line is skipped without another error
		p.skipStatement()
		return true
	}
	return p.stopped
}

// skipStatement skips to the end of the line, and past the blocks that begin on it, since they belong to a statement
// that could not be parsed.
func (p *parser) skipStatement() {
	p.lex.silent = true
	defer func() { p.lex.silent = false }()
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

func (p *parser) setting(name token) Entry {
	p.next()
	v := p.value(0)
	return &Setting{Name: Ident{p.pos(name.off), name.text}, Value: v}
}

func (p *parser) include(keyword token) Entry {
	if len(p.openBlocks) > 0 {
		p.errorf(keyword.off, "include is only allowed outside of blocks")
		p.skipStatement()
		return nil
	}
	if p.tok.kind != tString {
		if p.tok.kind != tInvalid {
			p.errorf(p.tok.off, "found %s, expected a file, a folder or a pattern in quotes after include", p.tok)
		}
		p.skipStatement()
		return nil
	}
	return &Include{Pos: p.pos(keyword.off), Target: p.value(0)}
}

func (p *parser) define(keyword token) Entry {
	if len(p.openBlocks) > 0 {
		p.errorf(keyword.off, "define is only allowed outside of blocks")
		p.skipStatement()
		return nil
	}
	name := p.tok
	if p.expect(tName, "the name of the definition") && p.expect(tEquals, "'='") {
		return &Define{Pos: p.pos(keyword.off), Name: Ident{p.pos(name.off), name.text}, Value: p.value(0)}
	}
	return nil
}

// expect consumes a token of kind k, or reports the token found instead and skips the statement.
func (p *parser) expect(k tokenKind, what string) bool {
	if p.tok.kind == k {
		p.next()
		return true
	}
	if p.tok.kind != tInvalid {
		p.errorf(p.tok.off, "found %s, expected %s", p.tok, what)
	}
	p.skipStatement()
	return false
}

func (p *parser) block(name token) Entry {
	b := &Block{Type: Ident{p.pos(name.off), name.text}}
	if p.tok.kind == tName || p.tok.kind == tString {
		b.Label = &Ident{p.pos(p.tok.off), p.tok.text}
		if p.tok.kind == tString {
			b.Label.Name, _, _ = unquote(p.tok.text)
			b.Quoted = true
		}
		p.next()
	}
	if p.tok.kind != tOpen {
		if p.tok.kind != tInvalid {
			p.errorf(p.tok.off, "found %s after %q, expected '=' and a value, or '{' and a block", p.tok, truncate(name.text))
		}
		p.skipStatement()
		return nil
	}
	if len(p.openBlocks) == maxNesting {
		p.errorf(name.off, "blocks are nested deeper than %d here; the rest of the file is not read", maxNesting)
		p.file.Unbalanced, p.stopped = true, true
		return nil
	}
	p.next()
	if p.tok.kind == tComment {
		b.OpenComment = p.tok.text
		p.next()
	}
	p.openBlocks = append(p.openBlocks, b)
	b.Entries, b.EndComments = p.entries(b)
	if p.tok.kind != tClose { // the end of the file, reported once by reportUnclosed
		return b
	}
	if line := p.lineStart(p.tok.off); p.likelyUnclosed == nil && p.firstOnLine(p.tok.off) && p.tok.off-line < p.indent(name.off) {
		p.likelyUnclosed = b
	}
	p.openBlocks = p.openBlocks[:len(p.openBlocks)-1]
	p.next()
	return b
}

// reportUnclosed reports missing braces once, at the block that most likely lacks its '}'.
func (p *parser) reportUnclosed() {
	if len(p.openBlocks) == 0 || p.stopped {
		return
	}
	p.file.Unbalanced = true
	if p.endsInList {
		return
	}
	b := p.openBlocks[len(p.openBlocks)-1]
	if p.likelyUnclosed != nil {
		b = p.likelyUnclosed
	}
	p.diags = slices.DeleteFunc(p.diags, func(d Diag) bool {
		return d.Msg == "include is only allowed outside of blocks" || d.Msg == "define is only allowed outside of blocks"
	})
	p.errorf(b.Type.Pos.Off, "the block %q is not closed: a '}' is missing", truncate(b.Type.Name))
}

func (p *parser) lineStart(off int) int { return bytes.LastIndexByte(p.src.Text[:off], '\n') + 1 }

func (p *parser) firstOnLine(off int) bool {
	return len(bytes.TrimLeft(p.src.Text[p.lineStart(off):off], " \t")) == 0
}

// indent returns the indentation, in bytes, of the line that contains an offset.
func (p *parser) indent(off int) int {
	line := p.src.Text[p.lineStart(off):]
	return len(line) - len(bytes.TrimLeft(line, " \t"))
}

// value parses a value. It never returns nil: an Invalid value was already reported.
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
		v.Text, _, _ = unquote(t.text) // the lexer has already validated it
	case tNumber:
		q, err := ParseQuantity(t.text)
		if v.Kind, v.Number = Number, q; err != nil {
			p.errorf(t.off, "%v", err)
			v.Kind = Invalid
		}
	case tListOpen:
		return p.list(v, depth)
	case tInvalid:
		v.Kind = Invalid
	default:
		p.errorf(t.off, "found %s, expected a value", t)
		v.Kind = Invalid
		p.skipStatement()
		return v
	}
	p.next()
	return v
}

func (p *parser) list(v *Value, depth int) *Value {
	v.Kind = List
	open := p.tok
	if depth == maxNesting {
		p.errorf(open.off, "lists are nested deeper than %d here; the rest of the file is not read", maxNesting)
		p.file.Unbalanced, p.stopped = true, true
		v.Kind = Invalid
		p.tok = token{kind: tEOF, off: open.off}
		return v
	}
	p.next()
	for first := true; ; first = false {
		start := p.tok.off
		lead := p.leadingComments()
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
		if p.tok.kind == tEOF || p.tok.kind == tEquals || p.tok.kind == tOpen || p.tok.kind == tClose || p.stopped {
			if !p.stopped {
				p.errorf(open.off, "the list is not closed: a ']' is missing")
				p.endsInList = p.tok.kind == tEOF
				p.skipStatement()
			}
			v.Kind = Invalid
			return v
		}
		if len(v.Items) == maxListItems {
			p.errorf(p.tok.off, "the list has more than %d items", maxListItems)
			p.skipStatement()
			v.Kind = Invalid
			return v
		}
		if !p.item(v, lead, depth, open.off) {
			return v
		}
	}
}

// item parses one value of a list and the comma after it. It returns false if the list ended with an error.
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
	if comma || p.stopped {
		return true
	}
	v.Multiline = v.Multiline || p.tok.kind == tNewline
	v.EndComments = p.leadingComments()
	if p.tok.kind != tListClose {
		switch p.tok.kind {
		case tInvalid: // already reported
		case tClose, tEOF, tEquals:
			p.errorf(open, "the list is not closed: a ']' is missing")
			p.endsInList = p.tok.kind == tEOF
		default:
			if item.Kind != Invalid {
				p.errorf(p.tok.off, "found %s, expected ',' or ']'", p.tok)
			}
		}
		v.Kind = Invalid
		p.skipStatement()
		return false
	}
	return true
}

// String describes the token in a message.
func (t token) String() string {
	switch t.kind {
	case tEOF:
		return "the end of the file"
	case tNewline, tComment:
		return "the end of the line"
	}
	return fmt.Sprintf("%q", truncate(t.text))
}
