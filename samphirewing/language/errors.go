package language

import (
	"fmt"
	"strings"

	"github.com/samphirewing/coordkit/state/configstore"
)

// Position is a position in a text. Line and Column start at 1; Offset is in
// bytes and starts at 0.
type Position struct {
	Line   int
	Column int
	Offset int
}

// Error reports an invalid statement, where the error is and how to correct
// it.
type Error struct {
	Position Position
	Detail   string
	Remedy   string
	// Excerpt is the offending line, with quoted text masked, and below it a
	// caret under the position.
	Excerpt string
}

// Error returns the position, detail and remedy on one line.
func (e *Error) Error() string {
	return fmt.Sprintf("line %d, column %d: %s; %s", e.Position.Line, e.Position.Column, e.Detail, e.Remedy)
}

// ObjectError reports a statement that does not apply to the current state of
// its object.
type ObjectError struct {
	Position Position
	Key      configstore.Key
	Detail   string
	Remedy   string
}

// Error returns the position, object, detail and remedy on one line.
func (e *ObjectError) Error() string {
	return fmt.Sprintf("line %d, column %d: %s %s; %s", e.Position.Line, e.Position.Column, e.Key, e.Detail, e.Remedy)
}

// excerpt returns the line of a position with a caret below. Quoted text is
// masked because it may contain a token.
func excerpt(text string, p Position) string {
	lines := strings.Split(maskQuoted(text), "\n")
	if p.Line < 1 || p.Line > len(lines) {
		return ""
	}
	line := strings.ReplaceAll(lines[p.Line-1], "\t", " ")
	return line + "\n" + strings.Repeat(" ", max(p.Column-1, 0)) + "^"
}

// maskQuoted replaces the characters between quotes by asterisks.
func maskQuoted(text string) string {
	var b strings.Builder
	inQuotes := false
	for _, r := range text {
		switch {
		case r == '\'':
			inQuotes = !inQuotes
			b.WriteRune(r)
		case inQuotes && r != '\n':
			b.WriteByte('*')
		default:
			b.WriteRune(r)
		}
	}
	return b.String()
}

// closest returns the candidate that a misspelt word most likely means, or ""
// if none is similar enough.
func closest(word string, candidates []string) string {
	best, bestDistance := "", len(word)/3+2
	for _, c := range candidates {
		if d := editDistance(strings.ToLower(word), c); d < bestDistance {
			best, bestDistance = c, d
		}
	}
	return best
}

// editDistance returns the Levenshtein distance between two strings, in bytes.
func editDistance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			next := min(row[j]+1, row[j+1]+1, diagonal+cost)
			diagonal, row[j+1] = row[j+1], next
		}
	}
	return row[len(b)]
}

// suggest returns a remedy that lists the candidates, preceded by the one
// closest to the word, if any.
func suggest(word string, candidates []string) string {
	remedy := "use " + joinOr(candidates)
	if c := closest(word, candidates); c != "" {
		return "did you mean " + c + "? " + remedy
	}
	return remedy
}

func joinOr(words []string) string {
	if len(words) < 2 {
		return strings.Join(words, "")
	}
	last := len(words) - 1
	return strings.Join(words[:last], ", ") + " or " + words[last]
}
