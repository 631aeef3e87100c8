package operator

import (
	"fmt"
	"strings"

	"sloepick/internal/sloe"
)

const valueColumn = 40 // where the places of values stand in Show, if the values leave room

// Show is the whole configuration with includes and defaults in place, each value with where it came from. It is
// itself a file that can be used.
func (c *Config) Show() string {
	var b strings.Builder
	show(&b, c.sections, "")
	return b.String()
}

func show(b *strings.Builder, all []*Section, indent string) {
	for i, s := range all {
		if i > 0 || indent != "" && len(s.values) > 0 && b.Len() > 0 && !strings.HasSuffix(b.String(), "{\n") {
			b.WriteString("\n")
		}
		label := ""
		if s.Label != "" {
			label = " " + sloe.Quote(s.Label)
		}
		fmt.Fprintf(b, "%s%s%s {\n", indent, s.Block.Name, label)
		for _, v := range s.values {
			if v.set {
				line := fmt.Sprintf("%s    %s = %s", indent, v.Key.Name, v)
				fmt.Fprintf(b, "%-*s # %s\n", valueColumn, line, v.Origin())
			}
		}
		show(b, s.subs, indent+"    ")
		fmt.Fprintf(b, "%s}\n", indent)
	}
}

// ReferencePage is the reference page of the schema, in Markdown.
func (s *Schema) ReferencePage() string {
	var b strings.Builder
	b.WriteString("# Configuration reference\n\nMade by `sloectl doc` from the schema that also checks files.\n")
	doc(&b, s.blocks, "")
	return b.String()
}

func doc(b *strings.Builder, blocks []*Block, path string) {
	for _, k := range blocks {
		name, label := path+k.Name, ""
		if k.Labeled {
			label = " NAME"
		}
		fmt.Fprintf(b, "\n## `%s%s`\n\n%s\n", name, label, k.Doc)
		if len(k.Keys) > 0 {
			b.WriteString("\n| key | takes | default | bounds | a change counts | what it does |\n| --- | --- | --- | --- | --- | --- |\n")
		}
		for i := range k.Keys {
			key := &k.Keys[i]
			fmt.Fprintf(b, "| `%s` | %s | %s | %s | %s | %s |\n", key.Name, key.form(), key.defaultDoc(), key.bounds(), key.Applied, key.Doc)
		}
		doc(b, k.Blocks, name+".")
	}
}

func (k *Key) defaultDoc() string {
	switch {
	case k.Default != "":
		return "`" + k.value.String() + "`"
	case k.Optional:
		return "none"
	}
	return "required"
}

func (k *Key) bounds() string {
	switch {
	case k.minQuantity != nil && k.maxQuantity != nil:
		return fmt.Sprintf("%s to %s", k.minQuantity, k.maxQuantity)
	case k.minQuantity != nil:
		return fmt.Sprintf("%s at least", k.minQuantity)
	case k.maxQuantity != nil:
		return fmt.Sprintf("%s at most", k.maxQuantity)
	}
	return ""
}
