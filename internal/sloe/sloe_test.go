package sloe

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"unicode/utf8"

	"golang.org/x/exp/ebnf"

	"sloepick/internal/testbed/seeds"
)

func parse(text string) (*File, Diags) { return Parse(&Source{Name: "f.sloe", Text: []byte(text)}) }

// fenced returns the texts between ```lang and ``` in a page.
func fenced(t *testing.T, file, lang string) (all []string) {
	t.Helper()
	b, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	for _, part := range strings.Split(string(b), "\n```"+lang+"\n")[1:] {
		text, _, _ := strings.Cut(part, "\n```")
		all = append(all, text+"\n")
	}
	if len(all) == 0 {
		t.Fatalf("%s has no %s", file, lang)
	}
	return all
}

const note = "../../docs/design/configuration.md"

func grammar(t *testing.T) ebnf.Grammar {
	t.Helper()
	g, err := ebnf.Parse(note, strings.NewReader(fenced(t, note, "ebnf")[0]))
	if err != nil {
		t.Fatal(err)
	}
	if err := ebnf.Verify(g, "File"); err != nil {
		t.Fatal(err)
	}
	return g
}

// matcher tells whether a text is a sentence of the grammar, by trying every way.
type matcher struct {
	g    ebnf.Grammar
	text string
	used map[string]bool
	left int // steps, so that a text with countless ways ends
}

func lexical(name string) bool { return name[0] >= 'a' }

// match tries an expression at a place and goes on with each end of it until one leads to the end of the text.
func (m *matcher) match(e ebnf.Expression, at int, inToken bool, then func(int) bool) bool {
	if m.left--; m.left < 0 {
		return false
	}
	switch e := e.(type) {
	case nil:
		return then(at)
	case ebnf.Alternative:
		for _, x := range e {
			if m.match(x, at, inToken, then) {
				return true
			}
		}
		return false
	case ebnf.Sequence:
		if len(e) == 0 {
			return then(at)
		}
		return m.match(e[0], at, inToken, func(at int) bool { return m.match(e[1:], at, inToken, then) })
	case *ebnf.Group:
		return m.match(e.Body, at, inToken, then)
	case *ebnf.Option:
		return m.match(e.Body, at, inToken, then) || then(at)
	case *ebnf.Repetition:
		return m.match(e.Body, at, inToken, func(next int) bool { return next > at && m.match(e, next, inToken, then) }) || then(at)
	case *ebnf.Name:
		if !inToken && lexical(e.String) {
			at = m.blanks(at)
		}
		return m.match(m.g[e.String].Expr, at, inToken || lexical(e.String), func(end int) bool {
			if !then(end) {
				return false
			}
			m.used[e.String] = true
			return true
		})
	case *ebnf.Token:
		if !inToken {
			at = m.blanks(at)
		}
		return strings.HasPrefix(m.text[at:], e.String) && then(at+len(e.String))
	case *ebnf.Range:
		r, n := utf8.DecodeRuneInString(m.text[at:])
		from, _ := utf8.DecodeRuneInString(e.Begin.String)
		to, _ := utf8.DecodeRuneInString(e.End.String)
		return n > 0 && from <= r && r <= to && then(at+n)
	}
	panic(fmt.Sprintf("%T", e))
}

func (m *matcher) blanks(at int) int {
	for at < len(m.text) && (m.text[at] == ' ' || m.text[at] == '\t') {
		at++
	}
	return at
}

func (m *matcher) sentence(text string) bool {
	m.text, m.left = text, 1<<22
	ok := m.match(&ebnf.Name{String: "File"}, 0, false, func(at int) bool { return m.blanks(at) == len(m.text) })
	if m.left < 0 {
		panic("too many ways")
	}
	return ok
}

// What the parser takes is a sentence of the written grammar, and every production of it is used by the example in
// the same page. What it does not take is none.
func TestGrammarHoldsTheParser(t *testing.T) {
	m := &matcher{g: grammar(t), used: map[string]bool{}}
	good := fenced(t, note, "sloe")
	for _, text := range good {
		if _, diags := parse(text); len(diags) > 0 {
			t.Errorf("an example in the note does not parse:\n%v", diags)
		}
		if !m.sentence(text) {
			t.Errorf("an example in the note is no sentence of the grammar")
		}
	}
	for name := range m.g {
		if !m.used[name] {
			t.Errorf("no example uses %s", name)
		}
	}
	in, err := os.ReadFile("testdata/good/comments.in")
	if err != nil {
		t.Fatal(err)
	}
	if !m.sentence(string(in)) {
		t.Error("comments.in is no sentence of the grammar")
	}
	for _, bad := range []string{"a = \n", "a { b = 1\n", "a = 1 b = 2\n", "a = [1 2]\n", "a = \"x\n", "a = 1q\n", "a\n", "= 1\n", "}\n",
		"a = 01\n", "a = 1.\n", "a = -1\n", "a = $1\n", "a = \"\\q\"\n", "a = 1s", "a = [1\n,2]\n", "include x\n", "define = \n", "a.b = é\n"} {
		if _, diags := parse(bad); !diags.Failed() {
			t.Errorf("%q parses", bad)
		}
		if m.sentence(bad) {
			t.Errorf("%q is a sentence of the grammar", bad)
		}
	}
}

// sentence draws a text from the grammar.
func draw(r *rand.Rand, g ebnf.Grammar, e ebnf.Expression, depth int, inToken bool, b *strings.Builder) {
	blank := func() {
		if !inToken {
			b.WriteString([]string{" ", "\t", "  "}[r.IntN(3)])
		}
	}
	switch e := e.(type) {
	case ebnf.Alternative:
		draw(r, g, e[r.IntN(len(e))], depth, inToken, b)
	case ebnf.Sequence:
		for _, x := range e {
			draw(r, g, x, depth, inToken, b)
		}
	case *ebnf.Group:
		draw(r, g, e.Body, depth, inToken, b)
	case *ebnf.Option:
		if r.IntN(2) == 0 && depth < 40 {
			draw(r, g, e.Body, depth+1, inToken, b)
		}
	case *ebnf.Repetition:
		for r.IntN(3) > 0 && depth < 40 {
			draw(r, g, e.Body, depth+1, inToken, b)
		}
	case *ebnf.Name:
		if lexical(e.String) {
			blank()
		} else if e.String == "List" && depth > 20 {
			b.WriteString(" 1ms") // so that it ends
			return
		} else if e.String == "Block" && depth > 20 {
			b.WriteString(" end = 1")
			return
		}
		draw(r, g, g[e.String].Expr, depth+1, inToken || lexical(e.String), b)
	case *ebnf.Token:
		blank()
		b.WriteString(e.String)
	case *ebnf.Range:
		from, _ := utf8.DecodeRuneInString(e.Begin.String)
		to, _ := utf8.DecodeRuneInString(e.End.String)
		b.WriteRune(from + r.Int32N(to-from+1))
	}
}

// Sentences drawn from the grammar parse, and survive formatting.
func TestDrawnSentencesParse(t *testing.T) {
	seeds.Run(t, []uint64{1}, func(t *testing.T, seed uint64) { drawnSentencesParse(t, seeds.Rand(seed), seeds.Rounds(3000)) })
}

func drawnSentencesParse(t *testing.T, r *rand.Rand, rounds int) {
	g := grammar(t)
	for range rounds {
		var b strings.Builder
		draw(r, g, &ebnf.Name{String: "File"}, 0, false, &b)
		text := b.String()
		f, diags := parse(text)
		if strings.TrimSpace(text) == "" {
			continue // a sentence, but more likely a file that is cut short
		}
		if strings.Contains(diags.Error(), "digits") {
			continue // a bound that the grammar does not write out
		}
		for _, d := range diags {
			t.Fatalf("%q: %v", text, d)
		}
		checkFormat(t, f)
	}
}

// checkFormat holds the formatter to: it parses, has the same meaning and comments, and formatting it again changes
// nothing.
func checkFormat(t *testing.T, f *File) {
	t.Helper()
	once := Format(f)
	g, diags := Parse(&Source{Name: "formatted", Text: once})
	if diags.Failed() {
		t.Fatalf("%q is formatted to\n%s\nwhich does not parse: %v", f.Src.Text, once, diags)
	}
	if twice := Format(g); !bytes.Equal(once, twice) {
		t.Fatalf("%q: formatted twice\n%q\n%q", f.Src.Text, once, twice)
	}
	if a, b := bones(f.Entries), bones(g.Entries); a != b {
		t.Fatalf("%q: meaning changed\n%s\n%s", f.Src.Text, a, b)
	}
	if a, b := comments(f.Src), comments(g.Src); a != b {
		t.Fatalf("%q: comments changed\n%s\n%s", f.Src.Text, a, b)
	}
}

// comments are those of a source, in order.
func comments(src *Source) string {
	var all []string
	l := lexer{src: src, report: func(int, string, ...any) {}}
	for tok := l.next(); tok.kind != tEOF; tok = l.next() {
		if tok.kind == tComment {
			all = append(all, tok.text)
		}
	}
	return strings.Join(all, "\n")
}

// bones is what a file means, without notes and places.
func bones(all []Entry) string {
	var b strings.Builder
	for _, e := range all {
		switch e := e.(type) {
		case *Include:
			fmt.Fprintf(&b, "include %q;", e.Target.Text)
		case *Define:
			fmt.Fprintf(&b, "define %s=%s;", e.Name.Name, valueBones(e.Value))
		case *Setting:
			fmt.Fprintf(&b, "%s=%s;", e.Name.Name, valueBones(e.Value))
		case *Block:
			fmt.Fprintf(&b, "%s %+v %v{%s}", e.Type.Name, e.Label != nil, e.Quoted, bones(e.Entries))
			if e.Label != nil {
				fmt.Fprintf(&b, "%q", e.Label.Name)
			}
		}
	}
	return b.String()
}

func valueBones(v *Value) string {
	var items []string
	for _, i := range v.Items {
		items = append(items, valueBones(i))
	}
	return fmt.Sprintf("%d %q %v %v", v.Kind, v.Text, v.Number, items)
}

func TestFormat(t *testing.T) {
	files, err := filepath.Glob("testdata/good/*.in")
	if err != nil || len(files) == 0 {
		t.Fatal(err, len(files))
	}
	for _, name := range files {
		in, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		want, err := os.ReadFile(strings.TrimSuffix(name, ".in") + ".out")
		if err != nil {
			t.Fatal(err)
		}
		f, diags := parse(string(in))
		if len(diags) > 0 {
			t.Errorf("%s: %v", name, diags)
		}
		if got := Format(f); !bytes.Equal(got, want) {
			t.Errorf("%s: got\n%s", name, got)
		}
		checkFormat(t, f)
	}
}

func FuzzParse(f *testing.F) {
	for _, s := range []string{"", "a = 1\n", "a { b = [1, # c\n2] }\n", "include \"x\"\n#\n", "a \"b\" {\n\n\n# c\n}\n# d", "\xef\xbb\xbfa = 1\r\n",
		"a = [[[\n", "}}}{{{", "define x = $y\n", "a = [ # x\n # y\n 1 # z\n # w\n ]\n", "a{b{c{d=\"\\n\"}}}\n", "a = \xff\n", "a = [1,\n\n\n]\n"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		file, diags := Parse(&Source{Name: "f", Text: text})
		_ = diags.Error()
		if !diags.Failed() {
			checkFormat(t, file)
		}
	})
}

// Quantities are exact, and each has one spelling of its own.
func TestQuantities(t *testing.T) {
	for text, want := range map[string]string{"1000ms": "1s", "1.5s": "1500ms", "90s": "90s", "60s": "1m", "0.5ms": "500us", "0s": "0ns",
		"480units/m": "8units/s", "1units/m": "1units/m", "0.5units/s": "0.5units/s", "1024B": "1KiB", "1.5KiB": "1536B", "15%": "15%",
		"0.125%": "0.125%", "12": "12", "0.1ns": "0.1ns", "1units/h": "1units/h", "7d": "7d", "24h": "1d", "36h": "36h"} {
		q, err := ParseQuantity(text)
		if err != nil || q.String() != want {
			t.Errorf("%s: got %v, %v, want %s", text, q, err, want)
			continue
		}
		again, err := ParseQuantity(q.String())
		if err != nil || again.Value.Cmp(q.Value) != 0 || again.Dimension != q.Dimension {
			t.Errorf("%s: %s reads as %v, %v", text, q, again, err)
		}
	}
	for _, text := range []string{"1m30s", "5sec", "8unit/s", "10KB", "-1s", "+1s", "01", "1.", ".5s", "1e9", "1234567890123456789", "8/s", "5units", "5units/d", "1%s", "٣"} {
		if q, err := ParseQuantity(text); err == nil {
			t.Errorf("%s reads as %v", text, q)
		}
	}
}
