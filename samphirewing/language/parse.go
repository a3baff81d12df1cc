package language

import (
	"strings"
	"unicode/utf8"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/juju/errors"
)

// MaxTextBytes is the maximum size of a text passed to Parse.
const MaxTextBytes = 8 << 20

var statementWords = []string{
	"create", "alter", "drop", "serve", "drain", "undrain", "set", "begin", "commit", "abort",
	"resolve", "show", "explain", "watch", "help", "dry",
}

// Parse parses a text of statements separated by ';'. The error is an *Error.
func Parse(text string) ([]Statement, error) {
	if len(text) > MaxTextBytes {
		return nil, &Error{Position: Position{Line: 1, Column: 1}, Detail: "the text is larger than 8 MiB", Remedy: "split it"}
	}
	if !utf8.ValidString(text) {
		return nil, &Error{Position: Position{Line: 1, Column: 1}, Detail: "the text is not valid UTF-8", Remedy: "encode it as UTF-8"}
	}
	script, err := parser.ParseString("", text)
	if err != nil {
		return nil, syntaxError(text, err)
	}
	c := converter{text: text}
	statements := make([]Statement, 0, len(script.Statements))
	for _, node := range script.Statements {
		statement, convertErr := c.statement(node)
		if convertErr != nil {
			convertErr.Excerpt = excerpt(text, convertErr.Position)
			return nil, convertErr
		}
		statements = append(statements, statement)
	}
	return statements, nil
}

// Quote returns the word as a quoted string that Parse reads as the same word.
func Quote(word string) string {
	return "'" + strings.ReplaceAll(word, "'", "''") + "'"
}

func toPosition(p lexer.Position) Position {
	return Position{Line: p.Line, Column: p.Column, Offset: p.Offset}
}

// syntaxError converts an error of the parser into an *Error with an excerpt
// and a remedy.
func syntaxError(text string, err error) *Error {
	var parseErr participle.Error
	if !errors.As(err, &parseErr) {
		return &Error{Position: Position{Line: 1, Column: 1}, Detail: err.Error(), Remedy: "see `help`"}
	}
	p := toPosition(parseErr.Position())
	e := &Error{Position: p, Excerpt: excerpt(text, p)}
	e.Detail, e.Remedy = explainSyntax(text, p, parseErr)
	return e
}

// explainSyntax returns the detail and remedy for a syntax error at a position.
func explainSyntax(text string, p Position, syntaxErr participle.Error) (detail, remedy string) {
	rest := text[min(p.Offset, len(text)):]
	if strings.HasPrefix(rest, "'") && strings.Count(rest, "'")%2 == 1 {
		return "a quoted text has no end", "close it with ' and write a quote inside it twice"
	}
	if atStatementStart(text, p.Offset) {
		word := firstWord(rest)
		return "no statement begins with " + Quote(word), suggest(word, statementWords)
	}
	return syntaxErr.Message(), "end the statement with ';' or see `help " + strings.ToLower(firstWord(lastStatement(text, p.Offset))) + "`"
}

// lastStatement returns the part of the statement at an offset that precedes
// the offset.
func lastStatement(text string, offset int) string {
	before := text[:min(offset, len(text))]
	return strings.TrimSpace(before[strings.LastIndexByte(before, ';')+1:])
}

// atStatementStart reports whether only comments and white space separate the
// offset from the start of its statement.
func atStatementStart(text string, offset int) bool {
	for _, line := range strings.Split(lastStatement(text, offset), "\n") {
		line = strings.TrimSpace(line)
		if line != "" && !strings.HasPrefix(line, "--") && !strings.HasPrefix(line, "#") {
			return false
		}
	}
	return true
}

func firstWord(text string) string {
	fields := strings.FieldsFunc(text, func(r rune) bool { return strings.ContainsRune(" \t\r\n;,()'", r) })
	if len(fields) == 0 {
		return ""
	}
	return fields[0]
}
