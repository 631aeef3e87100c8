// Package operator gives the configuration language its meaning here: a schema, declared once as data, from which
// the checking of files, the defaults, the reference page and the diff by meaning all follow. A subsystem declares its
// blocks in its own package and nothing of this one changes. It does no I/O but through package sloe's loader.
package operator

import (
	"errors"
	"fmt"
	"slices"

	"sloepick/internal/sloe"
)

// Kind is what a key takes.
type Kind int

// The kinds.
const (
	Duration Kind = iota // 250ms
	Size                 // 64KiB
	Share                // 15%
	Count                // 3
	Rate                 // 8units/s, of what Key.Of names
	Word                 // one of Key.Words
	Text                 // "any text"
	Ref                  // the label of a block of the type Key.To
)

var kindNames = map[Kind]string{Duration: "a time", Size: "a size", Share: "a share", Count: "a count", Rate: "a rate",
	Word: "a word", Text: "a text in quotes", Ref: "a name"}

// examples are values that show a kind's form in messages.
var examples = map[Kind]string{Duration: "250ms", Size: "64KiB", Share: "15%", Count: "3"}

// dims are the dimensions of the kinds that are quantities.
var dims = map[Kind]sloe.Dimension{Duration: sloe.Time, Size: sloe.Size, Share: sloe.Share, Count: sloe.Count, Rate: sloe.Rate}

// ApplyTime tells when a changed value counts.
type ApplyTime int

// When a change is taken.
const (
	AtReload ApplyTime = iota
	AtRestart
)

func (t ApplyTime) String() string {
	if t == AtRestart {
		return "at restart"
	}
	return "at reload"
}

// Strictness tells what more of a value does to what it limits.
type Strictness int

// The senses.
const (
	Neutral Strictness = iota
	HigherIsLooser
	LowerIsLooser
)

// Key declares a setting. Default, Least and Most are written as in a file.
type Key struct {
	Name, Doc    string
	Kind         Kind
	List         bool // of such values, in brackets
	RateItem     string
	AllowedWords []string
	RefBlock     string
	Default      string // "": the key is required, or absent if Optional
	Optional     bool
	Min, Max     string
	Applied      ApplyTime
	Strictness   Strictness

	minQuantity, maxQuantity *sloe.Quantity
	value                    Value // the default
}

// Block declares a block. A block with Labels may come several times, each under a name of its own; one without
// stands at most once, and its defaults hold where it is left out.
type Block struct {
	Name, Doc    string
	Labeled      bool
	WarnIfUnused bool // one that no Ref names is warned of
	Keys         []Key
	Blocks       []*Block
	// Check tells what is wrong between the values of a block, each of which is good by itself.
	Check func(*Section) []Problem
}

// Problem is what a Check finds. It is told at the place of the key, or at the block's where the key has none.
type Problem struct {
	Key string // may name a key of a block within, as clients.idle
	Msg string
}

// Schema is all blocks that a program knows.
type Schema struct{ blocks []*Block }

// NewSchema holds a schema to itself: names are told once, references have a target, and every default is a value
// that the key takes.
func NewSchema(blocks ...*Block) (*Schema, error) {
	s := &Schema{blocks: blocks}
	if err := s.prepare(blocks, ""); err != nil {
		return nil, err
	}
	return s, nil
}

func (s *Schema) prepare(blocks []*Block, path string) error {
	var names []string
	for _, b := range blocks {
		if slices.Contains(names, b.Name) {
			return fmt.Errorf("the block %s%s is declared twice", path, b.Name)
		}
		names = append(names, b.Name)
		at := path + b.Name + "."
		var keys []string
		for i := range b.Keys {
			k := &b.Keys[i]
			if slices.Contains(keys, k.Name) {
				return fmt.Errorf("the key %s%s is declared twice", at, k.Name)
			}
			keys = append(keys, k.Name)
			if !b.Labeled && k.Default == "" && !k.Optional {
				return fmt.Errorf("the key %s%s has no default, and its block may be left out", at, k.Name)
			}
			if err := s.prepareKey(k); err != nil {
				return fmt.Errorf("the key %s%s: %w", at, k.Name, err)
			}
		}
		if err := s.prepare(b.Blocks, at); err != nil {
			return err
		}
	}
	return nil
}

func (s *Schema) prepareKey(k *Key) error {
	if k.Doc == "" {
		return errors.New("it has no words that explain it")
	}
	if k.Kind == Ref && !slices.ContainsFunc(s.blocks, func(b *Block) bool { return b.Name == k.RefBlock && b.Labeled }) {
		return fmt.Errorf("no block %q with labels is declared", k.RefBlock)
	}
	for _, bound := range []struct {
		text string
		to   **sloe.Quantity
	}{{k.Min, &k.minQuantity}, {k.Max, &k.maxQuantity}} {
		if bound.text == "" {
			continue
		}
		q, err := sloe.ParseQuantity(bound.text)
		if err != nil || q.Dimension != dims[k.Kind] {
			return fmt.Errorf("the bound %q: %w", bound.text, errors.Join(err, errors.New("not of its kind")))
		}
		*bound.to = &q
	}
	k.value = Value{Key: k}
	if k.Default == "" {
		return nil
	}
	f, diags := sloe.Parse(&sloe.Source{Name: "default", Text: []byte("x = " + k.Default + "\n")})
	if len(diags) > 0 {
		return diags
	}
	c := &checker{schema: s}
	v, ok := c.value(k, f.Entries[0].(*sloe.Setting).Value)
	if !ok {
		return c.diags
	}
	v.place = sloe.Pos{}
	k.value = v
	return nil
}

func (b *Block) key(name string) *Key {
	for i := range b.Keys {
		if b.Keys[i].Name == name {
			return &b.Keys[i]
		}
	}
	return nil
}

func find(blocks []*Block, name string) *Block {
	for _, b := range blocks {
		if b.Name == name {
			return b
		}
	}
	return nil
}

// form is what a key takes, in words for messages and for the reference page.
func (k *Key) form() string {
	what := kindNames[k.Kind]
	if ex := examples[k.Kind]; ex != "" {
		what += " such as " + ex
	}
	switch k.Kind {
	case Rate:
		what += " such as 8" + k.RateItem + "/s"
	case Word:
		what = "one of " + join(k.AllowedWords)
	case Ref:
		what = "the name of a block " + k.RefBlock
	}
	if k.List {
		return "a list in brackets, each " + what
	}
	return what
}
