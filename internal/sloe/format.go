package sloe

import "bytes"

const indentBy = "    "

// Format writes a file in the one usual form: an indent of four spaces, one space round '=', at most one blank
// line in a row, every block over several lines. Comments and the spelling of values stay.
func Format(f *File) []byte {
	w := &writer{}
	w.entries(f.Entries, "")
	w.lead(f.EndComments, "", len(f.Entries) == 0)
	return w.Bytes()
}

type writer struct{ bytes.Buffer }

func (w *writer) line(parts ...string) {
	for _, p := range parts {
		w.WriteString(p)
	}
	w.WriteByte('\n')
}

// lead writes comments and blank lines; a blank one at the start of a group is dropped.
func (w *writer) lead(lines []string, indent string, first bool) {
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

func behind(comment string) string {
	if comment == "" {
		return ""
	}
	return " " + comment
}

func (w *writer) entries(all []Entry, indent string) {
	for i, e := range all {
		n := e.notes()
		w.lead(n.Leading, indent, i == 0)
		switch e := e.(type) {
		case *Include:
			w.line(indent, keywordInclude, " ", Quote(e.Target.Text), behind(n.Trailing))
		case *Define:
			w.WriteString(indent + keywordDefine + " " + e.Name.Name + " = ")
			w.value(e.Value, indent)
			w.line(behind(n.Trailing))
		case *Setting:
			w.WriteString(indent + e.Name.Name + " = ")
			w.value(e.Value, indent)
			w.line(behind(n.Trailing))
		case *Block:
			w.block(e, indent)
		}
	}
}

func (w *writer) block(b *Block, indent string) {
	w.WriteString(indent + b.Type.Name)
	if b.Label != nil {
		if label := b.Label.Name; b.Quoted {
			w.WriteString(" " + Quote(label))
		} else {
			w.WriteString(" " + label)
		}
	}
	w.line(" {", behind(b.OpenComment))
	w.entries(b.Entries, indent+indentBy)
	w.lead(b.EndComments, indent+indentBy, len(b.Entries) == 0)
	w.line(indent, "}", behind(b.Trailing))
}

func (w *writer) value(v *Value, indent string) {
	switch {
	case v.Kind == Text:
		w.WriteString(Quote(v.Text))
	case v.Kind != List:
		w.WriteString(v.Raw)
	case v.spread():
		w.line("[")
		for i, item := range v.Items {
			w.lead(item.Leading, indent+indentBy, i == 0)
			w.WriteString(indent + indentBy)
			w.value(item, indent+indentBy)
			w.line(",", behind(item.Trailing))
		}
		w.lead(v.EndComments, indent+indentBy, len(v.Items) == 0)
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

// spread reports whether a list takes more than a line: as it did, or because a comment in it needs one.
func (v *Value) spread() bool {
	if v.Multiline && len(v.Items)+len(v.EndComments) > 0 {
		return true
	}
	for _, i := range v.Items {
		if i.Kind == List && i.spread() {
			return true
		}
	}
	return false
}
