package sloe

import (
	"bytes"
	"fmt"
	"unicode/utf8"
)

type kind int

const (
	tEOF kind = iota
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
	tBad // was reported already
)

type token struct {
	kind kind
	off  int
	text string // as it stands in the file
}

const wordMost = 4096 // bytes of a word, a string or a comment: longer ones are no one's intent

// lexer cuts a source into tokens. It reports what is no token itself and hands it on as tBad.
type lexer struct {
	src    *Source
	at     int
	report func(off int, format string, args ...any)
	saidCR bool
	muted  bool // what is skipped over has nothing more to say
}

func isLetter(c byte) bool { return 'a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' }
func isDigit(c byte) bool  { return '0' <= c && c <= '9' }

// isWord tells the characters of names and numbers: those between delimiters.
func isWord(c byte) bool {
	return isLetter(c) || isDigit(c) || bytes.IndexByte([]byte("_-.%/+"), c) >= 0 || c >= utf8.RuneSelf
}

var single = map[byte]kind{'{': tOpen, '}': tClose, '[': tListOpen, ']': tListClose, '=': tEquals, ',': tComma, '\n': tNewline}

func (l *lexer) next() token {
	b := l.src.Text
	for l.at < len(b) && (b[l.at] == ' ' || b[l.at] == '\t' || b[l.at] == '\r') {
		if b[l.at] == '\r' && !l.carriage() {
			break
		}
		l.at++
	}
	if l.at >= len(b) {
		return token{tEOF, len(b), ""}
	}
	c, from := b[l.at], l.at
	if k, ok := single[c]; ok {
		l.at++
		return token{k, from, string(c)}
	}
	switch {
	case c == '#':
		for l.at < len(b) && b[l.at] != '\n' {
			l.at++
		}
		text := string(bytes.TrimRight(b[from:l.at], " \t\r"))
		return l.token(tComment, from, text)
	case c == '"':
		return l.quoted()
	case c == '$':
		l.at++
		l.word()
		if text := string(b[from+1 : l.at]); !nameShape(text) {
			return l.bad(from, "%q is no name of a definition: letters, digits, '-', '_' and '.', a letter first", clip(text))
		}
		return l.token(tRef, from, string(b[from:l.at]))
	case isWord(c):
		l.word()
		return l.wordToken(from)
	}
	r, n := utf8.DecodeRune(b[l.at:])
	l.at += n
	if r < ' ' || r == 0x7f {
		return l.bad(from, "a control character (U+%04X) can't stand here", r)
	}
	return l.bad(from, "%q can't stand here", string(r))
}

// carriage takes the CR of a CR LF, which is told once a file. Any other is no white space.
func (l *lexer) carriage() bool {
	if l.at+1 >= len(l.src.Text) || l.src.Text[l.at+1] != '\n' {
		return false
	}
	if !l.saidCR {
		l.report(l.at, "lines end in CR LF here: save the file with LF line ends")
		l.saidCR = true
	}
	return true
}

func (l *lexer) word() {
	for l.at < len(l.src.Text) && isWord(l.src.Text[l.at]) {
		l.at++
	}
}

func (l *lexer) wordToken(from int) token {
	text := string(l.src.Text[from:l.at])
	c := text[0]
	switch {
	case isDigit(c), len(text) > 1 && (c == '-' || c == '+' || c == '.') && (isDigit(text[1]) || text[1] == '.'):
		return l.token(tNumber, from, text)
	case nameShape(text):
		return l.token(tName, from, text)
	}
	return l.bad(from, "%q is no name: letters, digits, '-', '_' and '.', a letter first (other text stands in quotes)", clip(text))
}

// nameShape reports whether it is a letter with letters, digits, '-', '_' and '.' behind it.
func nameShape(s string) bool {
	for i := range len(s) {
		if c := s[i]; !isLetter(c) && (i == 0 || !isDigit(c) && c != '-' && c != '_' && c != '.') {
			return false
		}
	}
	return s != ""
}

func (l *lexer) token(k kind, from int, text string) token {
	if len(text) > wordMost {
		return l.bad(from, "%d characters in one piece; %d at most", len(text), wordMost)
	}
	return token{k, from, text}
}

func (l *lexer) bad(from int, format string, args ...any) token {
	if !l.muted {
		l.report(from, format, args...)
	}
	return token{tBad, from, string(l.src.Text[from:l.at])}
}

// quoted reads a string to its closing quote, which stands on the same line.
func (l *lexer) quoted() token {
	b, from := l.src.Text, l.at
	for l.at++; l.at < len(b) && b[l.at] != '\n'; l.at++ {
		switch {
		case b[l.at] == '"':
			l.at++
			return l.stringToken(from)
		case b[l.at] == '\\' && l.at+1 < len(b) && b[l.at+1] != '\n':
			l.at++
		}
	}
	return l.bad(from, "the string is not closed on its line")
}

func (l *lexer) stringToken(from int) token {
	text := string(l.src.Text[from:l.at])
	if _, at, err := unquote(text); err != nil {
		if !l.muted {
			l.report(from+at, "%v", err)
		}
		return token{tBad, from, text}
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

const clipMost = 40 // characters of a file's text in a message

// clip shortens what a message quotes.
func clip(s string) string {
	if r := []rune(s); len(r) > clipMost {
		return string(r[:clipMost]) + "..."
	}
	return s
}
