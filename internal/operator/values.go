package operator

import (
	"fmt"
	"math/big"
	"strings"
	"time"

	"sloepick/internal/sloe"
)

// Value is the value of a setting, from a file or by default.
type Value struct {
	Key        *Key
	items      []item
	pos        sloe.Pos // invalid for a default
	definition *sloe.Define
	isSet      bool // false for an optional key that is left out and for an invalid value
}

// item is a single value, or one value of a list.
type item struct {
	quantity sloe.Quantity
	text     string // of a Word, a Text or a Ref
}

func (i item) String() string {
	if i.quantity.Value != nil {
		return i.quantity.String()
	}
	return i.text
}

// String returns the value in canonical form: equal values have the same string.
func (v Value) String() string {
	if !v.isSet {
		return "none"
	}
	var parts []string
	for _, i := range v.items {
		if v.Key.Kind == Text {
			parts = append(parts, sloe.Quote(i.text))
		} else {
			parts = append(parts, i.String())
		}
	}
	if v.Key.List {
		return "[" + strings.Join(parts, ", ") + "]"
	}
	return parts[0]
}

// Origin returns where the value came from, as FILE:LINE, or "default".
func (v Value) Origin() string {
	if !v.pos.Valid() {
		return "default"
	}
	from := fmt.Sprintf("%s:%d", v.pos.Src.Name, v.pos.Line())
	if v.definition != nil {
		from += fmt.Sprintf(", $%s of %s:%d", v.definition.Name.Name, v.definition.Pos.Src.Name, v.definition.Pos.Line())
	}
	return from
}

// Section is a block with its values: those set in the files, and defaults for the others.
type Section struct {
	Block       *Block
	Label       string
	pos         sloe.Pos // invalid if the block is left out
	values      []Value  // in the order of Block.Keys
	subsections []*Section
	valid       bool // all its values are valid, so that Block.Check can run
}

// Config is a checked configuration.
type Config struct {
	schema   *Schema
	sections []*Section
	Sources  []*sloe.Source
}

// Defaults returns the configuration of a program without a file.
func (s *Schema) Defaults() *Config {
	c := &Config{schema: s}
	for _, b := range s.blocks {
		if !b.Labeled {
			c.sections = append(c.sections, newSection(b, "", sloe.Pos{}))
		}
	}
	return c
}

func newSection(b *Block, label string, pos sloe.Pos) *Section {
	s := &Section{Block: b, Label: label, pos: pos, valid: true}
	for i := range b.Keys {
		s.values = append(s.values, b.Keys[i].defaultValue)
	}
	for _, sub := range b.Blocks {
		if !sub.Labeled {
			s.subsections = append(s.subsections, newSection(sub, "", sloe.Pos{}))
		}
	}
	return s
}

// Section returns the unlabeled block of that name, which the schema must declare.
func (c *Config) Section(name string) *Section { return findSection(c.sections, name) }

// Sections returns the labeled blocks of that name, in reading order.
func (c *Config) Sections(name string) []*Section { return findSections(c.sections, name) }

// Section returns the unlabeled block of that name within s, which the schema must declare.
func (s *Section) Section(name string) *Section { return findSection(s.subsections, name) }

// Sections returns the labeled blocks of that name within s, in reading order.
func (s *Section) Sections(name string) []*Section { return findSections(s.subsections, name) }

func findSection(in []*Section, name string) *Section {
	for _, s := range in {
		if s.Block.Name == name && !s.Block.Labeled {
			return s
		}
	}
	panic("operator: no block " + name + " is declared")
}

func findSections(in []*Section, name string) (out []*Section) {
	for _, s := range in {
		if s.Block.Name == name && s.Block.Labeled {
			out = append(out, s)
		}
	}
	return out
}

// Value returns the value of a key, which the schema must declare.
func (s *Section) Value(key string) Value {
	for _, v := range s.values {
		if v.Key.Name == key {
			return v
		}
	}
	panic("operator: no key " + key + " is declared in " + s.Block.Name)
}

// IsSet reports whether a key has a value. Only an optional key without a default can lack one.
func (s *Section) IsSet(key string) bool { return s.Value(key).isSet }

// Present reports whether the block occurs in a file.
func (s *Section) Present() bool { return s.pos.Valid() }

// Pos returns where a key or a nested block was set, or else the position of the block. A key of a nested block is
// written as in copy.after. The position of the block itself is Pos(""). It is invalid if the block is left out.
func (s *Section) Pos(key string) sloe.Pos {
	if key == "" {
		return s.pos
	}
	for _, sub := range s.subsections {
		if sub.Block.Name == key {
			return sub.pos
		}
	}
	if at := s.keyPos(key); at.Valid() {
		return at
	}
	return s.pos
}

func (s *Section) single(key string, kind Kind) item {
	v := s.Value(key)
	if v.Key.Kind != kind || v.Key.List || !v.isSet {
		panic("operator: " + key + " has another kind than the one read, or has no value")
	}
	return v.items[0]
}

// Duration returns the value of a key of the kind Duration.
func (s *Section) Duration(key string) time.Duration {
	return time.Duration(s.single(key, Duration).quantity.Value.Num().Int64())
}

// Size returns the value of a key of the kind Size, in bytes.
func (s *Section) Size(key string) int64 { return s.single(key, Size).quantity.Value.Num().Int64() }

// Count returns the value of a key of the kind Count.
func (s *Section) Count(key string) int {
	return int(s.single(key, Count).quantity.Value.Num().Int64())
}

// Share returns the value of a key of the kind Share, as a fraction of 1.
func (s *Section) Share(key string) float64 { return toFloat(s.single(key, Share).quantity.Value) }

// Rate returns the value of a key of the kind Rate, per second.
func (s *Section) Rate(key string) float64 { return toFloat(s.single(key, Rate).quantity.Value) }

// Text returns the value of a key of the kind Word, Text or Ref.
func (s *Section) Text(key string) string { return s.single(key, s.Value(key).Key.Kind).text }

// Texts returns the values of a key that takes a list of the kind Word, Text or Ref.
func (s *Section) Texts(key string) (all []string) {
	for _, i := range s.Value(key).items {
		all = append(all, i.text)
	}
	return all
}

func toFloat(v *big.Rat) float64 {
	f, _ := v.Float64()
	return f
}

// joinAlternatives joins words as in "a, b or c".
func joinAlternatives(words []string) string {
	if n := len(words); n > 1 {
		return strings.Join(words[:n-1], ", ") + " or " + words[n-1]
	}
	return strings.Join(words, "")
}
