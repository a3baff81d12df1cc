package language

import (
	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// The grammar only describes the shape of statements. The converter in
// convert.go checks the words themselves, such as kinds, properties and values,
// so that its errors can report the position and a remedy.
//
// Operators see the names of the node types: participle's syntax errors list
// them as expected, such as "WordNode".

var tokens = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Comment", Pattern: `--[^\n]*|#[^\n]*`},
	{Name: "Space", Pattern: `\s+`},
	{Name: "String", Pattern: `'(?:[^']|'')*'`},
	{Name: "Word", Pattern: `-?[A-Za-z0-9][A-Za-z0-9_.:@/-]*`},
	{Name: "Operator", Pattern: `!=|<=|>=|=|<|>`},
	{Name: "Mark", Pattern: `[;,()]`},
})

var parser = participle.MustBuild[scriptNode](
	participle.Lexer(tokens),
	participle.CaseInsensitive("Word"),
	participle.Elide("Comment", "Space"),
	participle.UseLookahead(2),
)

type scriptNode struct {
	Statements []*statementNode `parser:"@@? ( ';' @@? )*"`
}

type statementNode struct {
	Pos    lexer.Position
	EndPos lexer.Position
	DryRun bool `parser:"@( 'dry' 'run' )?"`

	Begin   *beginNode   `parser:"( @@"`
	Commit  *commitNode  `parser:"| @@"`
	Abort   bool         `parser:"| @'abort'"`
	Write   *writeNode   `parser:"| @@"`
	Drop    *dropNode    `parser:"| @@"`
	Serve   *serveNode   `parser:"| @@"`
	Drain   *drainNode   `parser:"| @@"`
	Set     *setNode     `parser:"| @@"`
	Resolve *resolveNode `parser:"| @@"`
	Show    *showNode    `parser:"| 'show' @@"`
	Explain *explainNode `parser:"| @@"`
	Watch   *watchNode   `parser:"| @@"`
	Help    *helpNode    `parser:"| @@ )"`
}

type beginNode struct {
	Begin  bool `parser:"@'begin'"`
	DryRun bool `parser:"@( 'dry' 'run' )?"`
}

type commitNode struct {
	Commit bool `parser:"@'commit'"`
	NoWait bool `parser:"@'nowait'?"`
}

type wordNode struct {
	Pos    lexer.Position
	EndPos lexer.Position
	Text   string `parser:"@( Word | String )"`
}

type writeNode struct {
	Verb       string          `parser:"@( 'create' | 'alter' )"`
	Kind       *wordNode       `parser:"@@"`
	Name       *wordNode       `parser:"@@"`
	Properties []*propertyNode `parser:"( (?! 'if' 'revision' ) @@ )*"`
	Revision   *wordNode       `parser:"( 'if' 'revision' @@ )?"`
}

type propertyNode struct {
	Name   *wordNode   `parser:"@@"`
	Values []*wordNode `parser:"@@ ( ',' @@ )*"`
}

type dropNode struct {
	Kind     *wordNode `parser:"'drop' @@"`
	Name     *wordNode `parser:"@@"`
	Revision *wordNode `parser:"( 'if' 'revision' @@ )?"`
}

type serveNode struct {
	Model    *wordNode `parser:"'serve' @@"`
	Pool     *wordNode `parser:"'on' @@"`
	Revision *wordNode `parser:"( 'if' 'revision' @@ )?"`
}

type drainNode struct {
	Verb     string    `parser:"@( 'drain' | 'undrain' ) 'endpoint'?"`
	Name     *wordNode `parser:"@@"`
	Revision *wordNode `parser:"( 'if' 'revision' @@ )?"`
}

type setNode struct {
	Name     *wordNode `parser:"'set' @@ 'to'?"`
	Value    *wordNode `parser:"@@"`
	Revision *wordNode `parser:"( 'if' 'revision' @@ )?"`
}

type resolveNode struct {
	Service *wordNode `parser:"'resolve' 'booking' @@"`
	Key     *wordNode `parser:"@@"`
	Outcome *wordNode `parser:"'as' @@"`
}

type showNode struct {
	Pos     lexer.Position
	EndPos  lexer.Position
	Subject *wordNode    `parser:"@@"`
	Where   *orNode      `parser:"( 'where' @@ )?"`
	Order   []*orderNode `parser:"( 'order' 'by' @@ ( ',' @@ )* )?"`
	Limit   *wordNode    `parser:"( 'limit' @@ )?"`
}

type orderNode struct {
	Column     *wordNode `parser:"@@"`
	Descending bool      `parser:"( @'desc' | 'asc' )?"`
}

type orNode struct {
	Any []*andNode `parser:"@@ ( 'or' @@ )*"`
}

type andNode struct {
	All []*termNode `parser:"@@ ( 'and' @@ )*"`
}

type termNode struct {
	Not     bool         `parser:"@'not'?"`
	Group   *orNode      `parser:"( '(' @@ ')'"`
	Compare *compareNode `parser:"| @@ )"`
}

type compareNode struct {
	Column   *wordNode `parser:"@@"`
	Operator string    `parser:"@( Operator | 'contains' )"`
	Value    *wordNode `parser:"@@"`
}

type explainNode struct {
	Aspect *wordNode `parser:"'explain' @@"`
	ID     *wordNode `parser:"@@"`
}

type watchNode struct {
	Show  *showNode `parser:"'watch' @@"`
	Every *wordNode `parser:"( 'every' @@ )?"`
}

type helpNode struct {
	Help  bool      `parser:"@'help'"`
	Topic *wordNode `parser:"@@?"`
}
