// Package operator defines the meaning of the operators' configuration files by a schema, declared as data. Checks,
// defaults, the reference page and the semantic diff are all derived from it. Each subsystem declares its blocks in its
// own package, without a change to this one. All I/O is done by the loader of package sloe.
package operator

import (
	"errors"
	"fmt"
	"slices"

	"sloepick/internal/sloe"
)

// Kind is the type of a key's value.
type Kind int

// The kinds of values.
const (
	Duration Kind = iota // 250ms
	Size                 // 64KiB
	Share                // 15%
	Count                // 3
	Rate                 // 8units/s, of what Key.RateItem names
	Word                 // one of Key.AllowedWords
	Text                 // "any text"
	Ref                  // the label of a block of the type Key.RefBlock
)

var kindNames = map[Kind]string{Duration: "a time", Size: "a size", Share: "a share", Count: "a count", Rate: "a rate",
	Word: "a word", Text: "a text in quotes", Ref: "a name"}

// examples are sample values for messages.
var examples = map[Kind]string{Duration: "250ms", Size: "64KiB", Share: "15%", Count: "3"}

// dimensions maps the kinds that are quantities to their dimensions.
var dimensions = map[Kind]sloe.Dimension{Duration: sloe.Time, Size: sloe.Size, Share: sloe.Share, Count: sloe.Count, Rate: sloe.Rate}

// ApplyTime is when a changed value takes effect.
type ApplyTime int

// The times at which a change takes effect.
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

// Strictness is the effect of a higher value on the limit that it sets.
type Strictness int

// The effects of a higher value.
const (
	Neutral Strictness = iota
	HigherIsLooser
	LowerIsLooser
)

// Key declares a setting. Default, Min and Max are written as in a file.
type Key struct {
	Name, Doc    string
	Kind         Kind
	List         bool // a list of such values, in brackets
	RateItem     string
	AllowedWords []string
	RefBlock     string
	Default      string // "": the key is required, or absent if Optional
	Optional     bool
	Min, Max     string
	Applied      ApplyTime
	Strictness   Strictness

	minQuantity, maxQuantity *sloe.Quantity
	defaultValue             Value // of Default; not set if there is none
}

// Block declares a block. A Labeled block may occur several times, each time with a different label; another one occurs
// at most once, and its defaults apply if it is left out.
type Block struct {
	Name, Doc    string
	Labeled      bool
	WarnIfUnused bool // warn of a block that no Ref names
	Keys         []Key
	Blocks       []*Block
	// Check reports conflicts between the values of a block, each of which is valid by itself.
	Check func(*Section) []Problem
}

// Problem is an error found by a Check. It is reported at the key, or at the block if the key is not set.
type Problem struct {
	Key string // may be a key of a nested block, such as clients.idle
	Msg string
}

// Schema holds all blocks that a program knows.
type Schema struct{ blocks []*Block }

// NewSchema returns a schema of these blocks after it has checked them: names are unique, references have a target and
// defaults are valid values of their keys.
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
		return errors.New("it has no description")
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
		if err != nil || q.Dimension != dimensions[k.Kind] {
			return fmt.Errorf("the bound %q: %w", bound.text, errors.Join(err, errors.New("not of its kind")))
		}
		*bound.to = &q
	}
	k.defaultValue = Value{Key: k}
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
	v.pos = sloe.Pos{}
	k.defaultValue = v
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

func findBlock(blocks []*Block, name string) *Block {
	for _, b := range blocks {
		if b.Name == name {
			return b
		}
	}
	return nil
}

// describe describes what a key takes, for messages and for the reference page.
func (k *Key) describe() string {
	what := kindNames[k.Kind]
	if ex := examples[k.Kind]; ex != "" {
		what += " such as " + ex
	}
	switch k.Kind {
	case Rate:
		what += " such as 8" + k.RateItem + "/s"
	case Word:
		what = "one of " + joinAlternatives(k.AllowedWords)
	case Ref:
		what = "the name of a block " + k.RefBlock
	}
	if k.List {
		return "a list in brackets, each " + what
	}
	return what
}
