package operator

import (
	"fmt"
	"math/big"
	"strings"
	"time"

	"sloepick/internal/sloe"
)

// Value is a setting's value: the one in the file, or the default.
type Value struct {
	Key   *Key
	items []item
	place sloe.Pos // zero: the default
	by    *sloe.Define
	set   bool // there is one: false for an optional key that is left out
}

// item is one value of a list, or the only one.
type item struct {
	q    sloe.Quantity
	text string // of words, texts and names
}

func (i item) String() string {
	if i.q.Value != nil {
		return i.q.String()
	}
	return i.text
}

// String is the value in its one usual spelling: two that mean the same are spelled the same.
func (v Value) String() string {
	if !v.set {
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

// Origin tells where the value came from, as FILE:LINE, or that it is the default.
func (v Value) Origin() string {
	if !v.place.Valid() {
		return "default"
	}
	from := fmt.Sprintf("%s:%d", v.place.Src.Name, v.place.Line())
	if v.by != nil {
		from += fmt.Sprintf(", $%s of %s:%d", v.by.Name.Name, v.by.Pos.Src.Name, v.by.Pos.Line())
	}
	return from
}

// Section is a block with its values: those of the file, and defaults for the rest.
type Section struct {
	Block  *Block
	Label  string
	pos    sloe.Pos // zero: left out
	values []Value  // in the order of Block.Keys
	subs   []*Section
	ok     bool // all its values are good, so that what is between them may be checked
}

// Config is a whole configuration, checked.
type Config struct {
	schema   *Schema
	sections []*Section
	Sources  []*sloe.Source
}

// Defaults is the configuration of a program without a file.
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
	s := &Section{Block: b, Label: label, pos: pos, ok: true}
	for i := range b.Keys {
		s.values = append(s.values, b.Keys[i].value)
	}
	for _, sub := range b.Blocks {
		if !sub.Labeled {
			s.subs = append(s.subs, newSection(sub, "", sloe.Pos{}))
		}
	}
	return s
}

// Section is the block without a label of that name, which the schema must declare.
func (c *Config) Section(name string) *Section { return one(c.sections, name) }

// Sections are the blocks with labels of that name, in the order of reading.
func (c *Config) Sections(name string) []*Section { return all(c.sections, name) }

// Section is the block without a label within this one.
func (s *Section) Section(name string) *Section { return one(s.subs, name) }

// Sections are the blocks with labels of that name within this one.
func (s *Section) Sections(name string) []*Section { return all(s.subs, name) }

func one(in []*Section, name string) *Section {
	for _, s := range in {
		if s.Block.Name == name && !s.Block.Labeled {
			return s
		}
	}
	panic("operator: no block " + name + " is declared")
}

func all(in []*Section, name string) (out []*Section) {
	for _, s := range in {
		if s.Block.Name == name && s.Block.Labeled {
			out = append(out, s)
		}
	}
	return out
}

// Value is that of a key, which the schema must declare.
func (s *Section) Value(key string) Value {
	for _, v := range s.values {
		if v.Key.Name == key {
			return v
		}
	}
	panic("operator: no key " + key + " is declared in " + s.Block.Name)
}

// IsSet reports whether a key has a value: always, but for an optional one that was left out.
func (s *Section) IsSet(key string) bool { return s.Value(key).set }

// Present reports whether the block stands in a file.
func (s *Section) Present() bool { return s.pos.Valid() }

// Pos is where a key was set, such as copy.after for one of a block within, or else the block. With "" it is the
// block itself. It is no place where the block was left out.
func (s *Section) Pos(key string) sloe.Pos {
	if key == "" {
		return s.pos
	}
	for _, sub := range s.subs {
		if sub.Block.Name == key {
			return sub.pos
		}
	}
	if at := s.placeOf(key); at.Valid() {
		return at
	}
	return s.pos
}

func (s *Section) only(key string, kind Kind) item {
	v := s.Value(key)
	if v.Key.Kind != kind || v.Key.List || !v.set {
		panic("operator: " + key + " is not read as it is declared, or has no value")
	}
	return v.items[0]
}

// Duration is the value of a key of that kind.
func (s *Section) Duration(key string) time.Duration {
	return time.Duration(s.only(key, Duration).q.Value.Num().Int64())
}

// Size is the value of a key of that kind, in bytes.
func (s *Section) Size(key string) int64 { return s.only(key, Size).q.Value.Num().Int64() }

// Count is the value of a key of that kind.
func (s *Section) Count(key string) int { return int(s.only(key, Count).q.Value.Num().Int64()) }

// Share is the value of a key of that kind, as a part of 1.
func (s *Section) Share(key string) float64 { return float(s.only(key, Share).q.Value) }

// Rate is the value of a key of that kind, a second.
func (s *Section) Rate(key string) float64 { return float(s.only(key, Rate).q.Value) }

// Text is the value of a key of the kinds Text, Text and Ref.
func (s *Section) Text(key string) string { return s.only(key, s.Value(key).Key.Kind).text }

// Texts are the values of a key that takes a list of words, texts or names.
func (s *Section) Texts(key string) (all []string) {
	for _, i := range s.Value(key).items {
		all = append(all, i.text)
	}
	return all
}

func float(v *big.Rat) float64 {
	f, _ := v.Float64()
	return f
}

// join lists words: a, b or c.
func join(words []string) string {
	if n := len(words); n > 1 {
		return strings.Join(words[:n-1], ", ") + " or " + words[n-1]
	}
	return strings.Join(words, "")
}
