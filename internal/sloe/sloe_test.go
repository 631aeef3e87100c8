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

// codeBlocks returns the code blocks of a language in a Markdown page.
func codeBlocks(t *testing.T, file, lang string) (all []string) {
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

const designPage = "../../docs/design/configuration.md"

func grammar(t *testing.T) ebnf.Grammar {
	t.Helper()
	g, err := ebnf.Parse(designPage, strings.NewReader(codeBlocks(t, designPage, "ebnf")[0]))
	if err != nil {
		t.Fatal(err)
	}
	if err := ebnf.Verify(g, "File"); err != nil {
		t.Fatal(err)
	}
	return g
}

// matcher decides by backtracking whether a text is a sentence of the grammar.
type matcher struct {
	g         ebnf.Grammar
	text      string
	used      map[string]bool
	stepsLeft int // steps left, since backtracking can take exponential time
}

func isLexical(name string) bool { return name[0] >= 'a' }

// match matches an expression at an offset and calls then with each offset where it can end, until then returns true.
func (m *matcher) match(e ebnf.Expression, at int, inToken bool, then func(int) bool) bool {
	if m.stepsLeft--; m.stepsLeft < 0 {
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
		if !inToken && isLexical(e.String) {
			at = m.blanks(at)
		}
		return m.match(m.g[e.String].Expr, at, inToken || isLexical(e.String), func(end int) bool {
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

func (m *matcher) accepts(text string) bool {
	m.text, m.stepsLeft = text, 1<<22
	ok := m.match(&ebnf.Name{String: "File"}, 0, false, func(at int) bool { return m.blanks(at) == len(m.text) })
	if m.stepsLeft < 0 {
		panic("too many backtracking steps")
	}
	return ok
}

// The parser and the grammar in the design page agree on the examples of the page and on invalid texts, and the examples
// use every production.
func TestParserMatchesGrammar(t *testing.T) {
	m := &matcher{g: grammar(t), used: map[string]bool{}}
	examples := codeBlocks(t, designPage, "sloe")
	for _, text := range examples {
		if _, diags := parse(text); len(diags) > 0 {
			t.Errorf("an example in the page does not parse:\n%v", diags)
		}
		if !m.accepts(text) {
			t.Errorf("an example in the page is not a sentence of the grammar")
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
	if !m.accepts(string(in)) {
		t.Error("comments.in is not a sentence of the grammar")
	}
	for _, bad := range []string{"a = \n", "a { b = 1\n", "a = 1 b = 2\n", "a = [1 2]\n", "a = \"x\n", "a = 1q\n", "a\n", "= 1\n", "}\n",
		"a = 01\n", "a = 1.\n", "a = -1\n", "a = $1\n", "a = \"\\q\"\n", "a = 1s", "a = [1\n,2]\n", "include x\n", "define = \n", "a.b = é\n"} {
		if _, diags := parse(bad); !diags.Failed() {
			t.Errorf("%q parses", bad)
		}
		if m.accepts(bad) {
			t.Errorf("%q is a sentence of the grammar", bad)
		}
	}
}

// generate writes a random sentence of the grammar.
func generate(r *rand.Rand, g ebnf.Grammar, e ebnf.Expression, depth int, inToken bool, b *strings.Builder) {
	blank := func() {
		if !inToken {
			b.WriteString([]string{" ", "\t", "  "}[r.IntN(3)])
		}
	}
	switch e := e.(type) {
	case ebnf.Alternative:
		generate(r, g, e[r.IntN(len(e))], depth, inToken, b)
	case ebnf.Sequence:
		for _, x := range e {
			generate(r, g, x, depth, inToken, b)
		}
	case *ebnf.Group:
		generate(r, g, e.Body, depth, inToken, b)
	case *ebnf.Option:
		if r.IntN(2) == 0 && depth < 40 {
			generate(r, g, e.Body, depth+1, inToken, b)
		}
	case *ebnf.Repetition:
		for r.IntN(3) > 0 && depth < 40 {
			generate(r, g, e.Body, depth+1, inToken, b)
		}
	case *ebnf.Name:
		if isLexical(e.String) {
			blank()
		} else if e.String == "List" && depth > 20 {
			b.WriteString(" 1ms") // limits the nesting
			return
		} else if e.String == "Block" && depth > 20 {
			b.WriteString(" end = 1")
			return
		}
		generate(r, g, g[e.String].Expr, depth+1, inToken || isLexical(e.String), b)
	case *ebnf.Token:
		blank()
		b.WriteString(e.String)
	case *ebnf.Range:
		from, _ := utf8.DecodeRuneInString(e.Begin.String)
		to, _ := utf8.DecodeRuneInString(e.End.String)
		b.WriteRune(from + r.Int32N(to-from+1))
	}
}

// Random sentences of the grammar parse and keep their meaning when formatted.
func TestGeneratedSentencesParse(t *testing.T) {
	seeds.Run(t, []uint64{1}, func(t *testing.T, seed uint64) { generatedSentencesParse(t, seeds.Rand(seed), seeds.Rounds(3000)) })
}

func generatedSentencesParse(t *testing.T, r *rand.Rand, rounds int) {
	g := grammar(t)
	for range rounds {
		var b strings.Builder
		generate(r, g, &ebnf.Name{String: "File"}, 0, false, &b)
		text := b.String()
		f, diags := parse(text)
		if strings.TrimSpace(text) == "" {
			continue // valid in the grammar, but the parser reports an empty file as truncated
		}
		if strings.Contains(diags.Error(), "digits") {
			continue // the limit on digits is not part of the grammar
		}
		for _, d := range diags {
			t.Fatalf("%q: %v", text, d)
		}
		checkFormat(t, f)
	}
}

// checkFormat checks that the formatted file parses, has the same meaning and comments, and is not changed by formatting
// it again.
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
	if a, b := structure(f.Entries), structure(g.Entries); a != b {
		t.Fatalf("%q: meaning changed\n%s\n%s", f.Src.Text, a, b)
	}
	if a, b := comments(f.Src), comments(g.Src); a != b {
		t.Fatalf("%q: comments changed\n%s\n%s", f.Src.Text, a, b)
	}
}

// comments returns the comments of a source in order.
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

// structure returns the content of a file without comments and positions.
func structure(all []Entry) string {
	var b strings.Builder
	for _, e := range all {
		switch e := e.(type) {
		case *Include:
			fmt.Fprintf(&b, "include %q;", e.Target.Text)
		case *Define:
			fmt.Fprintf(&b, "define %s=%s;", e.Name.Name, valueStructure(e.Value))
		case *Setting:
			fmt.Fprintf(&b, "%s=%s;", e.Name.Name, valueStructure(e.Value))
		case *Block:
			fmt.Fprintf(&b, "%s %+v %v{%s}", e.Type.Name, e.Label != nil, e.Quoted, structure(e.Entries))
			if e.Label != nil {
				fmt.Fprintf(&b, "%q", e.Label.Name)
			}
		}
	}
	return b.String()
}

func valueStructure(v *Value) string {
	var items []string
	for _, i := range v.Items {
		items = append(items, valueStructure(i))
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

// Quantities are exact and have a canonical form.
func TestQuantities(t *testing.T) {
	for text, want := range map[string]string{"1000ms": "1s", "1.5s": "1500ms", "90s": "90s", "60s": "1m", "0.5ms": "500us", "0s": "0ns",
		"480units/m": "8units/s", "1units/m": "1units/m", "0.5units/s": "0.5units/s", "1024B": "1KiB", "1.5KiB": "1536B", "15%": "15%",
		"0.125%": "0.125%", "12": "12", "0.1ns": "0.1ns", "1units/h": "1units/h", "7d": "7d", "24h": "1d", "36h": "36h"} {
		q, err := ParseQuantity(text)
		if err != nil || q.String() != want {
			t.Errorf("%s: got %v, %v, want %s", text, q, err, want)
			continue
		}
		reparsed, err := ParseQuantity(q.String())
		if err != nil || reparsed.Value.Cmp(q.Value) != 0 || reparsed.Dimension != q.Dimension {
			t.Errorf("%s: %s is parsed as %v, %v", text, q, reparsed, err)
		}
	}
	for _, text := range []string{"1m30s", "5sec", "8unit/s", "10KB", "-1s", "+1s", "01", "1.", ".5s", "1e9", "1234567890123456789", "8/s", "5units", "5units/d", "1%s", "٣"} {
		if q, err := ParseQuantity(text); err == nil {
			t.Errorf("%s is parsed as %v", text, q)
		}
	}
}
