package sloe

// Ident is a word of a file with its place.
type Ident struct {
	Pos  Pos
	Name string
}

// Comments are the comments of an entry or a value. A Lead of "" is a blank line.
type Comments struct {
	Leading  []string // the lines before it
	Trailing string   // behind it on its line, or ""
}

// Entry is a statement of a file: *Include, *Define, *Block or *Setting.
type Entry interface {
	notes() *Comments
	at() Pos
}

type (
	// Include stands for the entries of other files.
	Include struct {
		Comments
		Pos    Pos // of the word
		Target *Value
	}
	// Define gives a value a name: define NAME = VALUE, used as $NAME.
	Define struct {
		Comments
		Pos   Pos
		Name  Ident
		Value *Value
	}
	// Block is a named group of settings and blocks.
	Block struct {
		Comments
		Type        Ident
		Label       *Ident // or nil
		Quoted      bool   // the label stands in quotes
		OpenComment string // the comment behind the opening brace
		Entries     []Entry
		EndComments []string // comments before the closing brace
	}
	// Setting is NAME = VALUE.
	Setting struct {
		Comments
		Name  Ident
		Value *Value
	}
)

func (e *Include) notes() *Comments { return &e.Comments }
func (e *Define) notes() *Comments  { return &e.Comments }
func (e *Block) notes() *Comments   { return &e.Comments }
func (e *Setting) notes() *Comments { return &e.Comments }

func (e *Include) at() Pos { return e.Pos }
func (e *Define) at() Pos  { return e.Pos }
func (e *Block) at() Pos   { return e.Type.Pos }
func (e *Setting) at() Pos { return e.Name.Pos }

// ValueKind tells the shape of a value.
type ValueKind int

// The shapes.
const (
	Word ValueKind = iota // a bare name
	Text                  // a string in quotes
	Number
	List
	Reference
	Invalid // it was reported; nothing more is to be said of it
)

// Value is what stands behind an '='.
type Value struct {
	Comments    // inside a list
	Kind        ValueKind
	Pos         Pos
	Raw         string // as it is spelled, but for lists
	Text        string // of a word, a text, or the name that a reference names
	Number      Quantity
	Items       []*Value
	Multiline   bool     // a list that is written over several lines
	EndComments []string // comments before the closing bracket
	Definition  *Define  // the definition that a resolved reference came from
	RefPos      Pos      // where that reference stands
}

// File is a parsed source.
type File struct {
	Src         *Source
	Entries     []Entry
	EndComments []string // comments behind the last entry
	// Unbalanced: braces don't match, so what belongs to what is not known and nothing is to be said of meaning.
	Unbalanced bool
}
