package operator

import (
	"fmt"
	"strings"

	"sloepick/internal/sloe"
)

const originColumn = 40 // column of the comments with origins in Show; longer lines push them to the right

// Show returns the whole configuration as a valid file, with includes expanded, defaults filled in and the origin of each
// value in a comment.
func (c *Config) Show() string {
	var b strings.Builder
	showSections(&b, c.sections, "")
	return b.String()
}

func showSections(b *strings.Builder, all []*Section, indent string) {
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
			if v.isSet {
				line := fmt.Sprintf("%s    %s = %s", indent, v.Key.Name, v)
				fmt.Fprintf(b, "%-*s # %s\n", originColumn, line, v.Origin())
			}
		}
		showSections(b, s.subsections, indent+"    ")
		fmt.Fprintf(b, "%s}\n", indent)
	}
}

// ReferencePage returns the reference page of the schema in Markdown.
func (s *Schema) ReferencePage() string {
	var b strings.Builder
	b.WriteString("# Configuration reference\n\nMade by `sloectl doc` from the schema that also checks files.\n")
	documentBlocks(&b, s.blocks, "")
	return b.String()
}

func documentBlocks(b *strings.Builder, blocks []*Block, path string) {
	for _, k := range blocks {
		name, label := path+k.Name, ""
		if k.Labeled {
			label = " NAME"
		}
		fmt.Fprintf(b, "\n## `%s%s`\n\n%s\n", name, label, k.Doc)
		if len(k.Keys) > 0 {
			b.WriteString("\n| key | takes | default | bounds | a change takes effect | what it does |\n| --- | --- | --- | --- | --- | --- |\n")
		}
		for i := range k.Keys {
			key := &k.Keys[i]
			fmt.Fprintf(b, "| `%s` | %s | %s | %s | %s | %s |\n", key.Name, key.describe(), key.describeDefault(), key.describeBounds(), key.Applied, key.Doc)
		}
		documentBlocks(b, k.Blocks, name+".")
	}
}

func (k *Key) describeDefault() string {
	switch {
	case k.Default != "":
		return "`" + k.defaultValue.String() + "`"
	case k.Optional:
		return "none"
	}
	return "required"
}

func (k *Key) describeBounds() string {
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
