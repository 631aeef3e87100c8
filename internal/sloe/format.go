package sloe

import "bytes"

const indentUnit = "    "

// Format returns a file in canonical form: an indent of four spaces, one space around '=', at most one consecutive
// blank line, every block over several lines. Comments and the spelling of values are kept.
func Format(f *File) []byte {
	w := &formatter{}
	w.entries(f.Entries, "")
	w.commentLines(f.EndComments, "", len(f.Entries) == 0)
	return w.Bytes()
}

type formatter struct{ bytes.Buffer }

func (w *formatter) line(parts ...string) {
	for _, p := range parts {
		w.WriteString(p)
	}
	w.WriteByte('\n')
}

// commentLines writes comments and blank lines; a blank line at the start of a group is dropped.
func (w *formatter) commentLines(lines []string, indent string, first bool) {
	for _, l := range lines {
		if l == "" {
			if !first {
				w.line()
			}
		} else {
			w.line(indent, l)
		}
		first = false
	}
}

func trailing(comment string) string {
	if comment == "" {
		return ""
	}
	return " " + comment
}

func (w *formatter) entries(all []Entry, indent string) {
	for i, e := range all {
		n := e.comments()
		w.commentLines(n.Leading, indent, i == 0)
		switch e := e.(type) {
		case *Include:
			w.line(indent, keywordInclude, " ", Quote(e.Target.Text), trailing(n.Trailing))
		case *Define:
			w.WriteString(indent + keywordDefine + " " + e.Name.Name + " = ")
			w.value(e.Value, indent)
			w.line(trailing(n.Trailing))
		case *Setting:
			w.WriteString(indent + e.Name.Name + " = ")
			w.value(e.Value, indent)
			w.line(trailing(n.Trailing))
		case *Block:
			w.block(e, indent)
		}
	}
}

func (w *formatter) block(b *Block, indent string) {
	w.WriteString(indent + b.Type.Name)
	if b.Label != nil {
		if label := b.Label.Name; b.Quoted {
			w.WriteString(" " + Quote(label))
		} else {
			w.WriteString(" " + label)
		}
	}
	w.line(" {", trailing(b.OpenComment))
	w.entries(b.Entries, indent+indentUnit)
	w.commentLines(b.EndComments, indent+indentUnit, len(b.Entries) == 0)
	w.line(indent, "}", trailing(b.Trailing))
}

func (w *formatter) value(v *Value, indent string) {
	switch {
	case v.Kind == Text:
		w.WriteString(Quote(v.Text))
	case v.Kind != List:
		w.WriteString(v.Raw)
	case v.needsLines():
		w.line("[")
		for i, item := range v.Items {
			w.commentLines(item.Leading, indent+indentUnit, i == 0)
			w.WriteString(indent + indentUnit)
			w.value(item, indent+indentUnit)
			w.line(",", trailing(item.Trailing))
		}
		w.commentLines(v.EndComments, indent+indentUnit, len(v.Items) == 0)
		w.WriteString(indent + "]")
	default:
		w.WriteString("[")
		for i, item := range v.Items {
			if i > 0 {
				w.WriteString(", ")
			}
			w.value(item, indent)
		}
		w.WriteString("]")
	}
}

// needsLines reports whether a list is written over several lines: it was before, or a list within it is.
func (v *Value) needsLines() bool {
	if v.Multiline && len(v.Items)+len(v.EndComments) > 0 {
		return true
	}
	for _, i := range v.Items {
		if i.Kind == List && i.needsLines() {
			return true
		}
	}
	return false
}
