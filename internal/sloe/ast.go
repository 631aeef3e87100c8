package sloe

// Ident is a name with its position.
type Ident struct {
	Pos  Pos
	Name string
}

// Comments are the comments of an entry or a value. An element "" of Leading is a blank line.
type Comments struct {
	Leading  []string // on the lines before it
	Trailing string   // after it on the same line, or ""
}

// Entry is a statement of a file: *Include, *Define, *Block or *Setting.
type Entry interface {
	comments() *Comments
	position() Pos
}

type (
	// Include inserts the entries of other files.
	Include struct {
		Comments
		Pos    Pos // of the keyword
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
		Quoted      bool   // the label is quoted
		OpenComment string // comment after the opening brace
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

func (e *Include) comments() *Comments { return &e.Comments }
func (e *Define) comments() *Comments  { return &e.Comments }
func (e *Block) comments() *Comments   { return &e.Comments }
func (e *Setting) comments() *Comments { return &e.Comments }

func (e *Include) position() Pos { return e.Pos }
func (e *Define) position() Pos  { return e.Pos }
func (e *Block) position() Pos   { return e.Type.Pos }
func (e *Setting) position() Pos { return e.Name.Pos }

// ValueKind is the syntactic kind of a value.
type ValueKind int

// The kinds of values.
const (
	Word ValueKind = iota // an unquoted name
	Text                  // a quoted string
	Number
	List
	Reference
	Invalid // an error was already reported for it
)

// Value is the right-hand side of an '=', or an item of a list.
type Value struct {
	Comments    // only of a list item
	Kind        ValueKind
	Pos         Pos
	Raw         string // source text, except for lists
	Text        string // of a Word or a Text, or the name in a Reference
	Number      Quantity
	Items       []*Value
	Multiline   bool     // the list spans several lines
	EndComments []string // comments before the closing bracket
	Definition  *Define  // the definition that a reference was resolved to
	RefPos      Pos      // position of that reference
}

// File is a parsed source file.
type File struct {
	Src         *Source
	Entries     []Entry
	EndComments []string // comments after the last entry
	// Unbalanced reports mismatched braces: the nesting is unknown, so the file's meaning is not checked.
	Unbalanced bool
}
