package operator

import (
	"fmt"
	"math"
	"math/big"
	"slices"
	"strings"

	"sloepick/internal/sloe"
)

// Load reads a file with all its includes and checks it. The Config is nil if any of the Diags is more than a
// warning. The error tells that the file could not be read at all.
func (s *Schema) Load(name string) (*Config, sloe.Diags, error) {
	tree, diags, err := sloe.Load(name)
	if err != nil {
		return nil, nil, err
	}
	c, more := s.Check(tree)
	diags = append(diags, more...)
	diags.Sort(tree.Sources())
	if diags.Failed() {
		return nil, diags, nil
	}
	return c, diags, nil
}

// checker goes through a tree once. What is wrong is told once, and nothing is told that follows from it.
type checker struct {
	schema  *Schema
	diags   sloe.Diags
	defines map[string]*defined
	order   []*defined
	later   map[string]*sloe.Define // all that the tree defines, also behind the place of use
	refs    []ref
	open    bool            // something could not be read: what seems to be unused may be used there
	unsure  map[string]bool // types of blocks of which one may be missing because of an error that was told
}

type defined struct {
	def  *sloe.Define
	used bool
}

// ref is a name that must be the label of a block, looked up when all blocks are known.
type ref struct {
	key *Key
	to  string
	pos sloe.Pos
}

// Check gives a tree its meaning. The Config is whole only if the tree had no errors and none comes back.
func (s *Schema) Check(tree *sloe.Tree) (*Config, sloe.Diags) {
	c := &checker{schema: s, defines: map[string]*defined{}, later: map[string]*sloe.Define{}, unsure: map[string]bool{}}
	cfg := s.Defaults()
	cfg.Sources = tree.Sources()
	if tree.Unbalanced {
		return cfg, nil // what belongs to what is not known
	}
	for _, e := range tree.Entries {
		if d, ok := e.(*sloe.Define); ok && c.later[d.Name.Name] == nil {
			c.later[d.Name.Name] = d
		}
	}
	cfg.sections = c.entries(tree.Entries, s.blocks, cfg.sections, nil)
	c.references(cfg)
	for _, sec := range cfg.sections {
		c.cross(sec)
	}
	for _, d := range c.order {
		if !d.used && !c.open {
			c.warn(d.def.Name.Pos, "the definition %q is never used", d.def.Name.Name)
		}
	}
	return cfg, c.diags
}

func (c *checker) errorf(at sloe.Pos, format string, args ...any) *sloe.Diag {
	c.diags = append(c.diags, sloe.Diag{Pos: at, Msg: fmt.Sprintf(format, args...)})
	return &c.diags[len(c.diags)-1]
}

func (c *checker) warn(at sloe.Pos, format string, args ...any) {
	c.errorf(at, format, args...).Warning = true
}

// entries checks the statements of a block (in), or of the whole tree (in is nil).
func (c *checker) entries(all []sloe.Entry, blocks []*Block, sections []*Section, in *Section) []*Section {
	seen := map[string]sloe.Pos{}
	for _, e := range all {
		switch e := e.(type) {
		case *sloe.Define:
			c.define(e)
		case *sloe.Block:
			sections = c.block(e, blocks, sections, in, seen)
		case *sloe.Setting:
			if in == nil {
				c.errorf(e.Name.Pos, "the setting %q stands outside of all blocks", clip(e.Name.Name))
				continue
			}
			c.setting(e, in, seen)
		}
	}
	return sections
}

func (c *checker) define(e *sloe.Define) {
	name := e.Name.Name
	if first := c.defines[name]; first != nil {
		c.errorf(e.Name.Pos, "the definition %q comes twice", name).Notes = []sloe.Note{{Pos: first.def.Name.Pos, Msg: "first defined here"}}
		return
	}
	e.Value = c.resolve(e.Value)
	d := &defined{def: e}
	c.defines[name] = d
	c.order = append(c.order, d)
}

// resolve puts values in the place of references.
func (c *checker) resolve(v *sloe.Value) *sloe.Value {
	switch v.Kind {
	case sloe.List:
		w := *v
		w.Items = nil
		for _, i := range v.Items {
			r := c.resolve(i)
			if r.Kind == sloe.Invalid {
				w.Kind = sloe.Invalid
			}
			w.Items = append(w.Items, r)
		}
		return &w
	case sloe.Reference:
		w := *v
		w.Kind = sloe.Invalid
		if d := c.defines[v.Text]; d != nil {
			d.used = true
			w = *d.def.Value
			w.Definition, w.RefPos = d.def, v.Pos
		} else if later := c.later[v.Text]; later != nil {
			c.open = true
			c.errorf(v.Pos, "$%s is used before it is defined", clip(v.Text)).Notes = []sloe.Note{{Pos: later.Name.Pos, Msg: "defined here"}}
		} else {
			var names []string
			for n := range c.later {
				names = append(names, n)
			}
			c.open = true
			c.errorf(v.Pos, "$%s is not defined%s", clip(v.Text), near(v.Text, names, "$"))
		}
		return &w
	}
	return v
}

func (c *checker) block(e *sloe.Block, blocks []*Block, sections []*Section, in *Section, seen map[string]sloe.Pos) []*Section {
	b := find(blocks, e.Type.Name)
	if b == nil {
		where, names := "", []string(nil)
		for _, b := range blocks {
			names = append(names, b.Name)
		}
		if in != nil {
			where = " in " + in.Block.Name
			if k := in.Block.key(e.Type.Name); k != nil {
				c.errorf(e.Type.Pos, "%q is a setting, not a block: write %s = %s", k.Name, k.Name, k.sample())
				return sections
			}
		}
		c.errorf(e.Type.Pos, "unknown block %q%s%s", clip(e.Type.Name), where, near(e.Type.Name, names, ""))
		c.open = true // what it holds is not looked at, so it may be what uses something
		c.unsure[nearest(e.Type.Name, names)] = true
		return sections
	}
	name, label := b.Name, ""
	switch {
	case b.Labeled && (e.Label == nil || e.Label.Name == ""):
		c.unsure[b.Name] = true
	}
	switch {
	case b.Labeled && e.Label == nil:
		c.errorf(e.Type.Pos, "the block %q needs a name: %s NAME { ... }", b.Name, b.Name)
	case !b.Labeled && e.Label != nil:
		c.errorf(e.Label.Pos, "the block %q takes no name", b.Name)
	case b.Labeled && e.Label.Name == "":
		c.errorf(e.Label.Pos, "the name of the block %q is empty", b.Name)
	case b.Labeled:
		label = e.Label.Name
		name += " " + sloe.Quote(label)
	}
	if first, ok := seen[name]; ok && (label != "" || !b.Labeled) {
		c.errorf(e.Type.Pos, "the block %s comes twice", name).Notes = []sloe.Note{{Pos: first, Msg: "first defined here"}}
		return sections
	}
	seen[name] = e.Type.Pos
	s := newSection(b, label, e.Type.Pos)
	s.subs = c.entries(e.Entries, b.Blocks, s.subs, s)
	c.required(s)
	if i := slices.IndexFunc(sections, func(o *Section) bool { return o.Block == b && !b.Labeled }); i >= 0 {
		sections[i] = s
		return sections
	}
	return append(sections, s)
}

func (c *checker) required(s *Section) {
	for _, v := range s.values {
		if !v.set && !v.Key.Optional {
			s.ok = false
			if v.place == (sloe.Pos{}) {
				c.errorf(s.pos, "the block %q lacks %s, which is %s", s.Block.Name, v.Key.Name, v.Key.form())
			}
		}
	}
}

func (c *checker) setting(e *sloe.Setting, in *Section, seen map[string]sloe.Pos) {
	name := e.Name.Name
	v := c.resolve(e.Value) // first: what it refers to is used, whatever else is wrong
	i := slices.IndexFunc(in.values, func(v Value) bool { return v.Key.Name == name })
	if i < 0 {
		c.unknown(e, in)
		return
	}
	if first, ok := seen[name]; ok {
		c.errorf(e.Name.Pos, "%s comes twice in this block", name).Notes = []sloe.Note{{Pos: first, Msg: "first set here"}}
		return
	}
	seen[name] = e.Name.Pos
	got, ok := c.value(in.values[i].Key, v)
	got.place = e.Name.Pos
	in.values[i] = got
	in.ok = in.ok && ok
}

func (c *checker) unknown(e *sloe.Setting, in *Section) {
	name := e.Name.Name
	if find(in.Block.Blocks, name) != nil {
		c.errorf(e.Name.Pos, "%q is a block, not a setting: write %s { ... }", name, name)
		return
	}
	var names []string
	for _, k := range in.Block.Keys {
		names = append(names, k.Name)
	}
	hint := near(name, names, "")
	if hint == "" { // it may stand in the wrong block
		for _, b := range in.Block.Blocks {
			if b.key(name) != nil {
				hint = fmt.Sprintf("; the block %s within has it", b.Name)
			}
		}
	}
	c.errorf(e.Name.Pos, "unknown key %q in %s%s", clip(name), in.Block.Name, hint)
}

// value holds a value to its key. What is wrong was told where it returns false.
func (c *checker) value(k *Key, v *sloe.Value) (Value, bool) {
	out := Value{Key: k, by: v.Definition}
	at := v.Pos
	if v.RefPos.Valid() {
		at = v.RefPos
	}
	if v.Kind == sloe.Invalid {
		out.place = v.Pos
		return out, false
	}
	if k.List != (v.Kind == sloe.List) {
		c.errorf(at, "%s takes %s, not %s", k.Name, k.form(), shape(v))
		return out, false
	}
	items := []*sloe.Value{v}
	if k.List {
		items = v.Items
	}
	ok := true
	for _, i := range items {
		place := i.Pos
		if v.RefPos.Valid() {
			place = v.RefPos
		} else if i.RefPos.Valid() {
			place = i.RefPos
		}
		it, good := c.item(k, i, place)
		if good && slices.ContainsFunc(out.items, func(o item) bool { return o.String() == it.String() }) && k.List {
			c.errorf(place, "%s stands in the list twice", it)
			good = false
		}
		ok = ok && good
		out.items = append(out.items, it)
	}
	out.set = ok
	return out, ok
}

func (c *checker) item(k *Key, v *sloe.Value, at sloe.Pos) (item, bool) {
	switch k.Kind {
	case Word:
		if v.Kind == sloe.Word && slices.Contains(k.AllowedWords, v.Text) {
			return item{text: v.Text}, true
		}
		if v.Kind == sloe.Word {
			c.errorf(at, "%s is %s, not %q%s", k.Name, join(k.AllowedWords), clip(v.Text), near(v.Text, k.AllowedWords, ""))
			return item{}, false
		}
	case Text:
		if v.Kind == sloe.Text {
			return item{text: v.Text}, true
		}
	case Ref:
		if v.Kind == sloe.Text || v.Kind == sloe.Word {
			c.refs = append(c.refs, ref{k, v.Text, at})
			return item{text: v.Text}, true
		}
	default:
		return c.quantity(k, v, at)
	}
	c.errorf(at, "%s takes %s, not %s", k.Name, k.each(), shape(v))
	return item{}, false
}

func (c *checker) quantity(k *Key, v *sloe.Value, at sloe.Pos) (item, bool) {
	q := v.Number
	switch {
	case v.Kind != sloe.Number:
		c.errorf(at, "%s takes %s, not %s", k.Name, k.each(), shape(v))
	case q.Dimension == sloe.Count && k.Kind != Count:
		c.errorf(at, "%s needs a unit: %s takes %s", v.Raw, k.Name, k.each())
	case q.Dimension != dims[k.Kind]:
		c.errorf(at, "%s takes %s, not %s", k.Name, k.each(), shape(v))
	case q.Dimension == sloe.Rate && q.RateItem != k.RateItem:
		c.errorf(at, "%s counts %s, not %s", k.Name, k.RateItem, q.RateItem)
	case k.Kind != Share && k.Kind != Rate && !q.Value.IsInt():
		c.errorf(at, "%s is finer than %s can be", v.Raw, k.Name)
	case q.Value.Cmp(new(big.Rat).SetInt64(math.MaxInt64)) > 0:
		c.errorf(at, "%s is larger than any value can be", v.Raw)
	case k.minQuantity != nil && q.Value.Cmp(k.minQuantity.Value) < 0:
		c.errorf(at, "%s is %s at least, not %s", k.Name, k.minQuantity, v.Raw)
	case k.maxQuantity != nil && q.Value.Cmp(k.maxQuantity.Value) > 0:
		c.errorf(at, "%s is %s at most, not %s", k.Name, k.maxQuantity, v.Raw)
	default:
		return item{q: q}, true
	}
	return item{}, false
}

// each is form for one value of a list.
func (k *Key) each() string {
	one := *k
	one.List = false
	return one.form()
}

// sample is a value that the key takes.
func (k *Key) sample() string {
	if k.Default != "" {
		return k.Default
	}
	return strings.TrimPrefix(k.form(), "one of ")
}

// shape is what a value looks like, in words for messages.
func shape(v *sloe.Value) string {
	switch v.Kind {
	case sloe.Word:
		return fmt.Sprintf("the word %s", clip(v.Text))
	case sloe.Text:
		return fmt.Sprintf("the text %s", sloe.Quote(clip(v.Text)))
	case sloe.List:
		return "a list"
	}
	names := map[sloe.Dimension]string{sloe.Time: "the time", sloe.Size: "the size", sloe.Share: "the share", sloe.Count: "the count",
		sloe.Rate: "the rate"}
	return names[v.Number.Dimension] + " " + v.Raw
}

// references looks up what keys of the kind Ref name, and finds blocks that serve nobody.
func (c *checker) references(cfg *Config) {
	used := map[string]bool{}
	for _, r := range c.refs {
		var names []string
		for _, s := range cfg.Sections(r.key.RefBlock) {
			names = append(names, s.Label)
		}
		used[r.key.RefBlock+" "+r.to] = true
		if !slices.Contains(names, r.to) && !c.unsure[r.key.RefBlock] {
			c.open = true
			c.errorf(r.pos, "there is no block %s %s%s", r.key.RefBlock, sloe.Quote(clip(r.to)), near(r.to, names, ""))
		}
	}
	for _, s := range cfg.sections {
		if s.Block.WarnIfUnused && s.Label != "" && !used[s.Block.Name+" "+s.Label] && !c.open {
			c.warn(s.pos, "the block %s %s is never used", s.Block.Name, sloe.Quote(s.Label))
		}
	}
}

// cross checks what is between the values of a block and of those within it.
func (c *checker) cross(s *Section) (ok bool) {
	ok = s.ok
	for _, sub := range s.subs {
		ok = c.cross(sub) && ok
	}
	if !ok || s.Block.Check == nil {
		return ok
	}
	for _, p := range s.Block.Check(s) {
		at := s.placeOf(p.Key)
		if !at.Valid() {
			at = s.pos
		}
		c.errorf(at, "%s", p.Msg)
		ok = false
	}
	return ok
}

// placeOf is where a key was set, or the block within that could have set it.
func (s *Section) placeOf(key string) sloe.Pos {
	if block, rest, ok := strings.Cut(key, "."); ok {
		sub := s.Section(block)
		if at := sub.placeOf(rest); at.Valid() {
			return at
		}
		return sub.pos
	}
	return s.Value(key).place
}

const clipMost = 40 // characters of a file's text in a message

func clip(s string) string {
	if r := []rune(s); len(r) > clipMost {
		return string(r[:clipMost]) + "..."
	}
	return s
}

// near names the word that was probably meant: one that is at most two slips away, and less than half of it.
func near(got string, words []string, prefix string) string {
	if best := nearest(got, words); best != "" {
		return fmt.Sprintf("; did you mean %q?", prefix+best)
	}
	return ""
}

// nearest is the word that was probably meant, or "".
func nearest(got string, words []string) string {
	best, least := "", 3
	sorted := slices.Clone(words)
	slices.Sort(sorted)
	for _, w := range sorted {
		if d := slips(got, w); d < least && 2*d < max(len(w), 3) {
			best, least = w, d
		}
	}
	return best
}

const slipsMost = 64 // bytes of words that are compared

// Suggest is a hint at the word that was probably meant, or "".
func Suggest(got string, words []string) string { return near(got, words, "") }

// slips counts the letters to insert, drop, change or swap between two words (optimal string alignment).
func slips(a, b string) int {
	a, b = strings.ToLower(a), strings.ToLower(b)
	if len(a) > slipsMost || len(b) > slipsMost {
		return slipsMost
	}
	rows := make([][]int, len(a)+1)
	for i := range rows {
		rows[i] = make([]int, len(b)+1)
		rows[i][0] = i
	}
	for j := range rows[0] {
		rows[0][j] = j
	}
	for i := 1; i <= len(a); i++ {
		for j := 1; j <= len(b); j++ {
			cost := 1
			if a[i-1] == b[j-1] {
				cost = 0
			}
			rows[i][j] = min(rows[i-1][j]+1, rows[i][j-1]+1, rows[i-1][j-1]+cost)
			if i > 1 && j > 1 && a[i-1] == b[j-2] && a[i-2] == b[j-1] {
				rows[i][j] = min(rows[i][j], rows[i-2][j-2]+1)
			}
		}
	}
	return rows[len(a)][len(b)]
}
