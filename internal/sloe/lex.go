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
	tNumber // with its unit
	tOpen
	tClose
	tListOpen
	tListClose
	tEquals
	tComma
	tComment
	tInvalid // was reported already
)

type token struct {
	kind tokenKind
	off  int
	text string // as it stands in the file
}

const maxTokenBytes = 4096 // bytes of a word, a string or a comment: longer ones are no one's intent

// lexer cuts a source into tokens. It reports what is no token itself and hands it on as tBad.
type lexer struct {
	src          *Source
	offset       int
	report       func(off int, format string, args ...any)
	reportedCRLF bool
	silent       bool // what is skipped over has nothing more to say
}

func isLetter(c byte) bool { return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' }
func isDigit(c byte) bool  { return '0' <= c && c <= '9' }

// isWordByte tells the characters of names and numbers: those between delimiters.
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
			return l.invalid(from, "%q is no name of a definition: letters, digits, '-', '_' and '.', a letter first", truncate(text))
		}
		return l.token(tRef, from, string(b[from:l.offset]))
	case isWordByte(c):
		l.skipWord()
		return l.wordToken(from)
	}
	r, n := utf8.DecodeRune(b[l.offset:])
	l.offset += n
	if r < ' ' || r == 0x7f {
		return l.invalid(from, "a control character (U+%04X) can't stand here", r)
	}
	return l.invalid(from, "%q can't stand here", string(r))
}

// acceptCRLF takes the CR of a CR LF, which is told once a file. Any other is no white space.
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
	return l.invalid(from, "%q is no name: letters, digits, '-', '_' and '.', a letter first (other text stands in quotes)", truncate(text))
}

// isName reports whether it is a letter with letters, digits, '-', '_' and '.' behind it.
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
		return l.invalid(from, "%d characters in one piece; %d at most", len(text), maxTokenBytes)
	}
	return token{k, from, text}
}

func (l *lexer) invalid(from int, format string, args ...any) token {
	if !l.silent {
		l.report(from, format, args...)
	}
	return token{tInvalid, from, string(l.src.Text[from:l.offset])}
}

// quoted reads a string to its closing quote, which stands on the same line.
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

// unquote reads a string with its quotes. at is where it is wrong.
func unquote(text string) (value string, at int, err error) {
	var b []byte
	for i := 1; i < len(text)-1; i++ {
		c := text[i]
		if c == '\\' {
			e, ok := escapes[text[i+1]]
			if !ok {
				return "", i, fmt.Errorf(`\%c is no escape: \n, \t, \" and \\ are`, text[i+1])
			}
			c = e
			i++
		} else if c < ' ' || c == 0x7f {
			return "", i, fmt.Errorf("a control character (U+%04X) can't stand in a string", c)
		}
		b = append(b, c)
	}
	return string(b), 0, nil
}

// Quote is a string as the language writes it.
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

const maxQuotedChars = 40 // characters of a file's text in a message

// truncate shortens what a message quotes.
func truncate(s string) string {
	if r := []rune(s); len(r) > maxQuotedChars {
		return string(r[:maxQuotedChars]) + "..."
	}
	return s
}
