package operator

import (
	"fmt"
	"math"
	"math/big"
	"slices"
	"strings"

	"sloepick/internal/sloe"
)

// Load reads a file with all its includes and checks it. The Config is nil if any of the Diags is an error. The error is
// non-nil if the file could not be read.
func (s *Schema) Load(name string) (*Config, sloe.Diags, error) {
	tree, diags, err := sloe.Load(name)
	if err != nil {
		return nil, nil, err
	}
	c, checkDiags := s.Check(tree)
	diags = append(diags, checkDiags...)
	diags.Sort(tree.Sources())
	if diags.Failed() {
		return nil, diags, nil
	}
	return c, diags, nil
}

// checker checks a tree in one pass. Each error is reported once, and errors that follow from it are not reported.
type checker struct {
	schema          *Schema
	diags           sloe.Diags
	defines         map[string]*definition
	order           []*definition
	allDefines      map[string]*sloe.Define // all definitions of the tree, also those after their use
	refs            []blockRef
	usageUnknown    bool            // part of the tree was not checked and may use what seems to be unused
	incompleteTypes map[string]bool // types of blocks of which one may be missing because of a reported error
}

type definition struct {
	def  *sloe.Define
	used bool
}

// blockRef is a reference to the label of a block, resolved when all blocks are known.
type blockRef struct {
	key   *Key
	label string
	pos   sloe.Pos
}

// Check checks a tree and returns its configuration. The Config is complete only if neither the tree nor the check had
// errors.
func (s *Schema) Check(tree *sloe.Tree) (*Config, sloe.Diags) {
	c := &checker{schema: s, defines: map[string]*definition{}, allDefines: map[string]*sloe.Define{}, incompleteTypes: map[string]bool{}}
	cfg := s.Defaults()
	cfg.Sources = tree.Sources()
	if tree.Unbalanced {
		return cfg, nil // the nesting of blocks is unknown
	}
	for _, e := range tree.Entries {
		if d, ok := e.(*sloe.Define); ok && c.allDefines[d.Name.Name] == nil {
			c.allDefines[d.Name.Name] = d
		}
	}
	cfg.sections = c.entries(tree.Entries, s.blocks, cfg.sections, nil)
	c.checkReferences(cfg)
	for _, sec := range cfg.sections {
		c.checkSection(sec)
	}
	for _, d := range c.order {
		if !d.used && !c.usageUnknown {
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

// entries checks the statements of the block in, or of the top level if in is nil.
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
				c.errorf(e.Name.Pos, "the setting %q must be in a block", truncate(e.Name.Name))
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
		c.errorf(e.Name.Pos, "%q is defined twice", name).Notes = []sloe.Note{{Pos: first.def.Name.Pos, Msg: "first defined here"}}
		return
	}
	e.Value = c.resolve(e.Value)
	d := &definition{def: e}
	c.defines[name] = d
	c.order = append(c.order, d)
}

// resolve replaces references by the values that they name.
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
		} else if later := c.allDefines[v.Text]; later != nil {
			c.usageUnknown = true
			c.errorf(v.Pos, "$%s is used before it is defined", truncate(v.Text)).Notes = []sloe.Note{{Pos: later.Name.Pos, Msg: "defined here"}}
		} else {
			var names []string
			for n := range c.allDefines {
				names = append(names, n)
			}
			c.usageUnknown = true
			c.errorf(v.Pos, "$%s is not defined%s", truncate(v.Text), suggestion(v.Text, names, "$"))
		}
		return &w
	}
	return v
}

func (c *checker) block(e *sloe.Block, blocks []*Block, sections []*Section, in *Section, seen map[string]sloe.Pos) []*Section {
	b := findBlock(blocks, e.Type.Name)
	if b == nil {
		where, names := "", []string(nil)
		for _, b := range blocks {
			names = append(names, b.Name)
		}
		if in != nil {
			where = " in " + in.Block.Name
			if k := in.Block.key(e.Type.Name); k != nil {
				c.errorf(e.Type.Pos, "%q is a setting, not a block: write %s = %s", k.Name, k.Name, k.exampleValue())
				return sections
			}
		}
		c.errorf(e.Type.Pos, "unknown block %q%s%s", truncate(e.Type.Name), where, suggestion(e.Type.Name, names, ""))
		c.usageUnknown = true // its content is not checked and may use definitions and blocks
		c.incompleteTypes[closestMatch(e.Type.Name, names)] = true
		return sections
	}
	name, label := b.Name, ""
	switch {
	case b.Labeled && (e.Label == nil || e.Label.Name == ""):
		c.incompleteTypes[b.Name] = true
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
		c.errorf(e.Type.Pos, "the block %s is defined twice", name).Notes = []sloe.Note{{Pos: first, Msg: "first defined here"}}
		return sections
	}
	seen[name] = e.Type.Pos
	s := newSection(b, label, e.Type.Pos)
	s.subsections = c.entries(e.Entries, b.Blocks, s.subsections, s)
	c.checkRequired(s)
	if i := slices.IndexFunc(sections, func(o *Section) bool { return o.Block == b && !b.Labeled }); i >= 0 {
		sections[i] = s
		return sections
	}
	return append(sections, s)
}

func (c *checker) checkRequired(s *Section) {
	for _, v := range s.values {
		if !v.isSet && !v.Key.Optional {
			s.valid = false
			if v.pos == (sloe.Pos{}) {
				c.errorf(s.pos, "the block %q needs %s, which is %s", s.Block.Name, v.Key.Name, v.Key.describe())
			}
		}
	}
}

func (c *checker) setting(e *sloe.Setting, in *Section, seen map[string]sloe.Pos) {
	name := e.Name.Name
	v := c.resolve(e.Value) // before any error, so that what it refers to counts as used
	i := slices.IndexFunc(in.values, func(v Value) bool { return v.Key.Name == name })
	if i < 0 {
		c.reportUnknownKey(e, in)
		return
	}
	if first, ok := seen[name]; ok {
		c.errorf(e.Name.Pos, "%s is set twice in this block", name).Notes = []sloe.Note{{Pos: first, Msg: "first set here"}}
		return
	}
	seen[name] = e.Name.Pos
	got, ok := c.value(in.values[i].Key, v)
	got.pos = e.Name.Pos
	in.values[i] = got
	in.valid = in.valid && ok
}

func (c *checker) reportUnknownKey(e *sloe.Setting, in *Section) {
	name := e.Name.Name
	if findBlock(in.Block.Blocks, name) != nil {
		c.errorf(e.Name.Pos, "%q is a block, not a setting: write %s { ... }", name, name)
		return
	}
	var names []string
	for _, k := range in.Block.Keys {
		names = append(names, k.Name)
	}
	hint := suggestion(name, names, "")
	if hint == "" { // it may be a key of a nested block
		for _, b := range in.Block.Blocks {
			if b.key(name) != nil {
				hint = fmt.Sprintf("; it is a key of the block %s within", b.Name)
			}
		}
	}
	c.errorf(e.Name.Pos, "unknown key %q in %s%s", truncate(name), in.Block.Name, hint)
}

// value checks a value against its key. It returns false if the value is invalid, which was then reported.
func (c *checker) value(k *Key, v *sloe.Value) (Value, bool) {
	out := Value{Key: k, definition: v.Definition}
	at := v.Pos
	if v.RefPos.Valid() {
		at = v.RefPos
	}
	if v.Kind == sloe.Invalid {
		out.pos = v.Pos
		return out, false
	}
	if k.List != (v.Kind == sloe.List) {
		c.errorf(at, "%s takes %s, not %s", k.Name, k.describe(), describeValue(v))
		return out, false
	}
	items := []*sloe.Value{v}
	if k.List {
		items = v.Items
	}
	ok := true
	for _, i := range items {
		pos := i.Pos
		if v.RefPos.Valid() {
			pos = v.RefPos
		} else if i.RefPos.Valid() {
			pos = i.RefPos
		}
		it, valid := c.item(k, i, pos)
		if valid && slices.ContainsFunc(out.items, func(o item) bool { return o.String() == it.String() }) && k.List {
			c.errorf(pos, "%s is in the list twice", it)
			valid = false
		}
		ok = ok && valid
		out.items = append(out.items, it)
	}
	out.isSet = ok
	return out, ok
}

func (c *checker) item(k *Key, v *sloe.Value, at sloe.Pos) (item, bool) {
	switch k.Kind {
	case Word:
		if v.Kind == sloe.Word && slices.Contains(k.AllowedWords, v.Text) {
			return item{text: v.Text}, true
		}
		if v.Kind == sloe.Word {
			c.errorf(at, "%s must be %s, not %q%s", k.Name, joinAlternatives(k.AllowedWords), truncate(v.Text), suggestion(v.Text, k.AllowedWords, ""))
			return item{}, false
		}
	case Text:
		if v.Kind == sloe.Text {
			return item{text: v.Text}, true
		}
	case Ref:
		if v.Kind == sloe.Text || v.Kind == sloe.Word {
			c.refs = append(c.refs, blockRef{k, v.Text, at})
			return item{text: v.Text}, true
		}
	default:
		return c.quantity(k, v, at)
	}
	c.errorf(at, "%s takes %s, not %s", k.Name, k.describeItem(), describeValue(v))
	return item{}, false
}

func (c *checker) quantity(k *Key, v *sloe.Value, at sloe.Pos) (item, bool) {
	q := v.Number
	switch {
	case v.Kind != sloe.Number:
		c.errorf(at, "%s takes %s, not %s", k.Name, k.describeItem(), describeValue(v))
	case q.Dimension == sloe.Count && k.Kind != Count:
		c.errorf(at, "%s needs a unit: %s takes %s", v.Raw, k.Name, k.describeItem())
	case q.Dimension != dimensions[k.Kind]:
		c.errorf(at, "%s takes %s, not %s", k.Name, k.describeItem(), describeValue(v))
	case q.Dimension == sloe.Rate && q.RateItem != k.RateItem:
		c.errorf(at, "%s counts %s, not %s", k.Name, k.RateItem, q.RateItem)
	case k.Kind != Share && k.Kind != Rate && !q.Value.IsInt():
		c.errorf(at, "%s is too precise for %s", v.Raw, k.Name)
	case q.Value.Cmp(new(big.Rat).SetInt64(math.MaxInt64)) > 0:
		c.errorf(at, "%s is too large", v.Raw)
	case k.minQuantity != nil && q.Value.Cmp(k.minQuantity.Value) < 0:
		c.errorf(at, "%s must be at least %s, not %s", k.Name, k.minQuantity, v.Raw)
	case k.maxQuantity != nil && q.Value.Cmp(k.maxQuantity.Value) > 0:
		c.errorf(at, "%s must be at most %s, not %s", k.Name, k.maxQuantity, v.Raw)
	default:
		return item{quantity: q}, true
	}
	return item{}, false
}

// describeItem is like describe, for one value of a list.
func (k *Key) describeItem() string {
	one := *k
	one.List = false
	return one.describe()
}

// exampleValue returns a value that shows what the key takes.
func (k *Key) exampleValue() string {
	if k.Default != "" {
		return k.Default
	}
	return strings.TrimPrefix(k.describe(), "one of ")
}

// describeValue describes a value for messages.
func describeValue(v *sloe.Value) string {
	switch v.Kind {
	case sloe.Word:
		return fmt.Sprintf("the word %s", truncate(v.Text))
	case sloe.Text:
		return fmt.Sprintf("the text %s", sloe.Quote(truncate(v.Text)))
	case sloe.List:
		return "a list"
	}
	names := map[sloe.Dimension]string{sloe.Time: "the time", sloe.Size: "the size", sloe.Share: "the share", sloe.Count: "the count",
		sloe.Rate: "the rate"}
	return names[v.Number.Dimension] + " " + v.Raw
}

// checkReferences resolves the references to blocks, and warns of blocks that must be referenced but are not.
func (c *checker) checkReferences(cfg *Config) {
	used := map[string]bool{}
	for _, r := range c.refs {
		var names []string
		for _, s := range cfg.Sections(r.key.RefBlock) {
			names = append(names, s.Label)
		}
		used[r.key.RefBlock+" "+r.label] = true
		if !slices.Contains(names, r.label) && !c.incompleteTypes[r.key.RefBlock] {
			c.usageUnknown = true
			c.errorf(r.pos, "there is no block %s %s%s", r.key.RefBlock, sloe.Quote(truncate(r.label)), suggestion(r.label, names, ""))
		}
	}
	for _, s := range cfg.sections {
		if s.Block.WarnIfUnused && s.Label != "" && !used[s.Block.Name+" "+s.Label] && !c.usageUnknown {
			c.warn(s.pos, "the block %s %s is never used", s.Block.Name, sloe.Quote(s.Label))
		}
	}
}

// checkSection runs the Check functions of a block and of the blocks within it, if all their values are valid.
func (c *checker) checkSection(s *Section) (ok bool) {
	ok = s.valid
	for _, sub := range s.subsections {
		ok = c.checkSection(sub) && ok
	}
	if !ok || s.Block.Check == nil {
		return ok
	}
	for _, p := range s.Block.Check(s) {
		at := s.keyPos(p.Key)
		if !at.Valid() {
			at = s.pos
		}
		c.errorf(at, "%s", p.Msg)
		ok = false
	}
	return ok
}

// keyPos returns where a key was set, or the nested block in which it could have been set.
func (s *Section) keyPos(key string) sloe.Pos {
	if block, rest, ok := strings.Cut(key, "."); ok {
		sub := s.Section(block)
		if at := sub.keyPos(rest); at.Valid() {
			return at
		}
		return sub.pos
	}
	return s.Value(key).pos
}

const maxQuotedChars = 40 // characters of a file's text quoted in a message

func truncate(s string) string {
	if r := []rune(s); len(r) > maxQuotedChars {
		return string(r[:maxQuotedChars]) + "..."
	}
	return s
}

// suggestion returns "; did you mean ...?" with the closest match, or "".
func suggestion(got string, words []string, prefix string) string {
	if best := closestMatch(got, words); best != "" {
		return fmt.Sprintf("; did you mean %q?", prefix+best)
	}
	return ""
}

// closestMatch returns the word with the least edit distance, which is at most 2 and less than half of the word's length
// (words below 3 letters count as 3), or "".
func closestMatch(got string, words []string) string {
	best, distance := "", 3
	sorted := slices.Clone(words)
	slices.Sort(sorted)
	for _, w := range sorted {
		if d := editDistance(got, w); d < distance && 2*d < max(len(w), 3) {
			best, distance = w, d
		}
	}
	return best
}

const maxComparedBytes = 64 // longer words are not compared

// Suggest returns a hint for a message that names the word probably meant, or "".
func Suggest(got string, words []string) string { return suggestion(got, words, "") }

// editDistance counts the insertions, deletions, substitutions and transpositions between two words, regardless of case
// (optimal string alignment distance).
func editDistance(a, b string) int {
	a, b = strings.ToLower(a), strings.ToLower(b)
	if len(a) > maxComparedBytes || len(b) > maxComparedBytes {
		return maxComparedBytes
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
