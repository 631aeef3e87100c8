package operator

import (
	"fmt"
	"math/big"
	"strings"
)

// Change is a difference in meaning between two configurations.
type Change struct {
	Block string `json:"block"` // such as gateway.clients, or route "book"
	Key   string `json:"key,omitempty"`
	Old   string `json:"old,omitempty"` // "" where a block is added
	New   string `json:"new,omitempty"` // "" where a block is removed
	// Direction is looser or tighter with its size, or "" where neither says anything.
	Direction string `json:"direction,omitempty"`
	Applied   string `json:"takes"` // at reload, or at restart
}

// String is the change in one line.
func (c Change) String() string {
	switch {
	case c.Key == "" && c.Old == "":
		return fmt.Sprintf("%s: added, %s; %s", c.Block, c.New, c.Applied)
	case c.Key == "":
		return fmt.Sprintf("%s: removed, it had %s; %s", c.Block, c.Old, c.Applied)
	}
	dir := ""
	if c.Direction != "" {
		dir = ", " + c.Direction
	}
	return fmt.Sprintf("%s: %s %s -> %s%s; %s", c.Block, c.Key, c.Old, c.New, dir, c.Applied)
}

// Diff tells what changes in meaning from one configuration to another of the same schema. The order of blocks,
// spellings, comments and files are no difference.
func Diff(from, to *Config) []Change { return diff(from.sections, to.sections, "") }

func diff(from, to []*Section, path string) (out []Change) {
	for _, a := range from {
		name := path + a.name()
		b := a.among(to)
		if b == nil {
			out = append(out, Change{Block: name, Old: a.summary(), Applied: a.takes().String()})
			continue
		}
		for i, v := range a.values {
			if w := b.values[i]; v.String() != w.String() {
				out = append(out, Change{Block: name, Key: v.Key.Name, Old: v.String(), New: w.String(),
					Direction: direction(v, w), Applied: v.Key.Applied.String()})
			}
		}
		out = append(out, diff(a.subs, b.subs, name+".")...)
	}
	for _, b := range to {
		if b.among(from) == nil {
			out = append(out, Change{Block: path + b.name(), New: b.summary(), Applied: b.takes().String()})
		}
	}
	return out
}

// name is the block with its label.
func (s *Section) name() string {
	if s.Label == "" {
		return s.Block.Name
	}
	return s.Block.Name + " " + fmt.Sprintf("%q", s.Label)
}

func (s *Section) among(all []*Section) *Section {
	for _, o := range all {
		if o.Block.Name == s.Block.Name && o.Label == s.Label {
			return o
		}
	}
	return nil
}

// summary are all values of a block that is added or removed, and of those within it.
func (s *Section) summary() string {
	var parts []string
	for _, v := range s.values {
		if v.set {
			parts = append(parts, v.Key.Name+" "+v.String())
		}
	}
	for _, sub := range s.subs {
		if t := sub.summary(); t != "" {
			parts = append(parts, sub.name()+" ("+t+")")
		}
	}
	return strings.Join(parts, ", ")
}

// takes is AtRestart if anything in the block needs one.
func (s *Section) takes() ApplyTime {
	t := AtReload
	for _, v := range s.values {
		t = max(t, v.Key.Applied)
	}
	for _, sub := range s.subs {
		t = max(t, sub.takes())
	}
	return t
}

// direction tells whether a change lets more through, and by how much of the old value.
func direction(old, now Value) string {
	k := old.Key
	if k.Strictness == Neutral || k.List || !old.set || !now.set || old.items[0].q.Value == nil {
		return ""
	}
	a, b := old.items[0].q.Value, now.items[0].q.Value
	word := "tighter"
	if (b.Cmp(a) > 0) == (k.Strictness == HigherIsLooser) {
		word = "looser"
	}
	if a.Sign() == 0 {
		return word
	}
	part := new(big.Rat).Sub(b, a)
	f, _ := part.Quo(part.Abs(part), a).Float64()
	if f < 0.01 {
		return word + " by less than 1%"
	}
	return fmt.Sprintf("%s by %.0f%%", word, 100*f)
}
