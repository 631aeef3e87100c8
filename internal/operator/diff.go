package operator

import (
	"fmt"
	"math/big"
	"strings"
)

// Change is a semantic difference between two configurations.
type Change struct {
	Block string `json:"block"` // such as gateway.clients, or route "book"
	Key   string `json:"key,omitempty"`
	Old   string `json:"old,omitempty"` // "" if a block is added
	New   string `json:"new,omitempty"` // "" if a block is removed
	// Direction is looser or tighter with the relative size of the change, or "" if neither applies.
	Direction string `json:"direction,omitempty"`
	Applied   string `json:"takes"` // at reload, or at restart
}

// String returns the change in one line.
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

// Diff returns the semantic changes from one configuration to another of the same schema. The order of blocks, spelling,
// comments and the division into files make no difference.
func Diff(from, to *Config) []Change { return diffSections(from.sections, to.sections, "") }

func diffSections(from, to []*Section, path string) (out []Change) {
	for _, a := range from {
		name := path + a.name()
		b := a.findIn(to)
		if b == nil {
			out = append(out, Change{Block: name, Old: a.summary(), Applied: a.applied().String()})
			continue
		}
		for i, v := range a.values {
			if w := b.values[i]; v.String() != w.String() {
				out = append(out, Change{Block: name, Key: v.Key.Name, Old: v.String(), New: w.String(),
					Direction: direction(v, w), Applied: v.Key.Applied.String()})
			}
		}
		out = append(out, diffSections(a.subsections, b.subsections, name+".")...)
	}
	for _, b := range to {
		if b.findIn(from) == nil {
			out = append(out, Change{Block: path + b.name(), New: b.summary(), Applied: b.applied().String()})
		}
	}
	return out
}

// name returns the block's name with its label.
func (s *Section) name() string {
	if s.Label == "" {
		return s.Block.Name
	}
	return s.Block.Name + " " + fmt.Sprintf("%q", s.Label)
}

func (s *Section) findIn(all []*Section) *Section {
	for _, o := range all {
		if o.Block.Name == s.Block.Name && o.Label == s.Label {
			return o
		}
	}
	return nil
}

// summary lists all values of a block that is added or removed, with those of the blocks within it.
func (s *Section) summary() string {
	var parts []string
	for _, v := range s.values {
		if v.isSet {
			parts = append(parts, v.Key.Name+" "+v.String())
		}
	}
	for _, sub := range s.subsections {
		if t := sub.summary(); t != "" {
			parts = append(parts, sub.name()+" ("+t+")")
		}
	}
	return strings.Join(parts, ", ")
}

// applied returns AtRestart if any key in the block or the blocks within it needs a restart.
func (s *Section) applied() ApplyTime {
	t := AtReload
	for _, v := range s.values {
		t = max(t, v.Key.Applied)
	}
	for _, sub := range s.subsections {
		t = max(t, sub.applied())
	}
	return t
}

// direction returns whether a change is looser or tighter, and by how much relative to the old value.
func direction(old, now Value) string {
	k := old.Key
	if k.Strictness == Neutral || k.List || !old.isSet || !now.isSet || old.items[0].quantity.Value == nil {
		return ""
	}
	a, b := old.items[0].quantity.Value, now.items[0].quantity.Value
	change := "tighter"
	if (b.Cmp(a) > 0) == (k.Strictness == HigherIsLooser) {
		change = "looser"
	}
	if a.Sign() == 0 {
		return change
	}
	part := new(big.Rat).Sub(b, a)
	f, _ := part.Quo(part.Abs(part), a).Float64()
	if f < 0.01 {
		return change + " by less than 1%"
	}
	return fmt.Sprintf("%s by %.0f%%", change, 100*f)
}
