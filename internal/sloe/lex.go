package sloe

import (
	"bytes"
	"fmt"
	"unicode/utf8"
)

type tokenKind int

const (
	tEOF tokenKind = iota
	tNewline
	tName
	tRef // $name
	tString
	tNumber // with its unit, if any
	tOpen
	tClose
	tListOpen
	tListClose
	tEquals
	tComma
	tComment
	tInvalid // an error was already reported
)

type token struct {
	kind tokenKind
	off  int
	text string // source text
}

const maxTokenBytes = 4096 // bytes of a word, a string or a comment; longer ones are taken for mistakes

// lexer splits a source into tokens. It reports invalid input itself and returns it as tInvalid.
type lexer struct {
	src          *Source
	offset       int
	report       func(off int, format string, args ...any)
	reportedCRLF bool
	silent       bool // set while input is skipped: nothing is reported
}

func isLetter(c byte) bool { return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' }
func isDigit(c byte) bool  { return '0' <= c && c <= '9' }

// isWordByte reports whether c can be part of a name or a number, valid or not: it is no delimiter.
func isWordByte(c byte) bool {
	return isLetter(c) || isDigit(c) || bytes.IndexByte([]byte("_-.%/+"), c) >= 0 || c >= utf8.RuneSelf
}

var singleByteTokens = map[byte]tokenKind{'{': tOpen, '}': tClose, '[': tListOpen, ']': tListClose, '=': tEquals, ',': tComma, '\n': tNewline}

func (l *lexer) next() token {
	b := l.src.Text
	for l.offset < len(b) && (b[l.offset] == ' ' || b[l.offset] == '\t' || b[l.offset] == '\r') {
		if b[l.offset] == '\r' && !l.acceptCRLF() {
			break
		}
		l.offset++
	}
	if l.offset >= len(b) {
		return token{tEOF, len(b), ""}
	}
	c, from := b[l.offset], l.offset
	if k, ok := singleByteTokens[c]; ok {
		l.offset++
		return token{k, from, string(c)}
	}
	switch {
	case c == '#':
		for l.offset < len(b) && b[l.offset] != '\n' {
			l.offset++
		}
		text := string(bytes.TrimRight(b[from:l.offset], " \t\r"))
		return l.token(tComment, from, text)
	case c == '"':
		return l.quoted()
	case c == '$':
		l.offset++
		l.skipWord()
		if text := string(b[from+1 : l.offset]); !isName(text) {
			return l.invalid(from, "%q is not a valid name of a definition: letters, digits, '-', '_' and '.', a letter first", truncate(text))
		}
		return l.token(tRef, from, string(b[from:l.offset]))
	case isWordByte(c):
		l.skipWord()
		return l.wordToken(from)
	}
	r, n := utf8.DecodeRune(b[l.offset:])
	l.offset += n
	if r < ' ' || r == 0x7f {
		return l.invalid(from, "a control character (U+%04X) is not allowed here", r)
	}
	return l.invalid(from, "%q is not allowed here", string(r))
}

// acceptCRLF reports whether the CR is part of a CR LF, and reports the first of these in a file as an error. Any other
// CR is not white space.
func (l *lexer) acceptCRLF() bool {
	if l.offset+1 >= len(l.src.Text) || l.src.Text[l.offset+1] != '\n' {
		return false
	}
	if !l.reportedCRLF {
		l.report(l.offset, "lines end in CR LF here: save the file with LF line ends")
		l.reportedCRLF = true
	}
	return true
}

func (l *lexer) skipWord() {
	for l.offset < len(l.src.Text) && isWordByte(l.src.Text[l.offset]) {
		l.offset++
	}
}

func (l *lexer) wordToken(from int) token {
	text := string(l.src.Text[from:l.offset])
	c := text[0]
	switch {
	case isDigit(c), len(text) > 1 && (c == '-' || c == '+' || c == '.') && (isDigit(text[1]) || text[1] == '.'):
		return l.token(tNumber, from, text)
	case isName(text):
		return l.token(tName, from, text)
	}
	return l.invalid(from, "%q is not a valid name: letters, digits, '-', '_' and '.', a letter first (put other text in quotes)", truncate(text))
}

// isName reports whether s is a letter followed by letters, digits, '-', '_' and '.'.
func isName(s string) bool {
	for i := range len(s) {
		if c := s[i]; !isLetter(c) && (i == 0 || !isDigit(c) && c != '-' && c != '_' && c != '.') {
			return false
		}
	}
	return s != ""
}

func (l *lexer) token(k tokenKind, from int, text string) token {
	if len(text) > maxTokenBytes {
		return l.invalid(from, "a word, string or comment of %d bytes is too long; the limit is %d", len(text), maxTokenBytes)
	}
	return token{k, from, text}
}

func (l *lexer) invalid(from int, format string, args ...any) token {
	if !l.silent {
		l.report(from, format, args...)
	}
	return token{tInvalid, from, string(l.src.Text[from:l.offset])}
}

// quoted reads a string up to its closing quote, which must be on the same line.
func (l *lexer) quoted() token {
	b, from := l.src.Text, l.offset
	for l.offset++; l.offset < len(b) && b[l.offset] != '\n'; l.offset++ {
		switch {
		case b[l.offset] == '"':
			l.offset++
			return l.stringToken(from)
		case b[l.offset] == '\\' && l.offset+1 < len(b) && b[l.offset+1] != '\n':
			l.offset++
		}
	}
	return l.invalid(from, "the string is not closed on its line")
}

func (l *lexer) stringToken(from int) token {
	text := string(l.src.Text[from:l.offset])
	if _, at, err := unquote(text); err != nil {
		if !l.silent {
			l.report(from+at, "%v", err)
		}
		return token{tInvalid, from, text}
	}
	return l.token(tString, from, text)
}

var escapes = map[byte]byte{'n': '\n', 't': '\t', '"': '"', '\\': '\\'}

// unquote decodes a quoted string. In case of an error, at is its offset in text.
func unquote(text string) (value string, at int, err error) {
	var b []byte
	for i := 1; i < len(text)-1; i++ {
		c := text[i]
		if c == '\\' {
			e, ok := escapes[text[i+1]]
			if !ok {
				return "", i, fmt.Errorf(`\%c is not a valid escape; use \n, \t, \" or \\`, text[i+1])
			}
			c = e
			i++
		} else if c < ' ' || c == 0x7f {
			return "", i, fmt.Errorf("a control character (U+%04X) is not allowed in a string", c)
		}
		b = append(b, c)
	}
	return string(b), 0, nil
}

// Quote returns a string with quotes and escapes, as written in a file.
func Quote(s string) string {
	b := []byte{'"'}
	for i := range len(s) {
		switch c := s[i]; c {
		case '\n':
			b = append(b, `\n`...)
		case '\t':
			b = append(b, `\t`...)
		case '"', '\\':
			b = append(b, '\\', c)
		default:
			b = append(b, c)
		}
	}
	return string(append(b, '"'))
}

const maxQuotedChars = 40 // characters of a file's text quoted in a message

// truncate shortens a text for use in a message.
func truncate(s string) string {
	if r := []rune(s); len(r) > maxQuotedChars {
		return string(r[:maxQuotedChars]) + "..."
	}
	return s
}
