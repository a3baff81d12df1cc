package language

import (
	"fmt"
	"strings"

	"github.com/samphirewing/coordkit/state/configstore"
)

// Position is a place in a text. Line and Column start at 1; Offset counts
// bytes from 0.
type Position struct {
	Line   int
	Column int
	Offset int
}

// Error is a fault in a statement. It names the place and the remedy.
type Error struct {
	Position Position
	Detail   string
	Remedy   string
	// Excerpt is the line at fault with quoted text masked, and a mark below.
	Excerpt string
}

// Error returns place, fault and remedy in one line.
func (e *Error) Error() string {
	return fmt.Sprintf("line %d, column %d: %s; %s", e.Position.Line, e.Position.Column, e.Detail, e.Remedy)
}

// ObjectError is a statement that does not fit the objects as they are.
type ObjectError struct {
	Position Position
	Key      configstore.Key
	Detail   string
	Remedy   string
}

// Error returns place, object, fault and remedy in one line.
func (e *ObjectError) Error() string {
	return fmt.Sprintf("line %d, column %d: %s %s; %s", e.Position.Line, e.Position.Column, e.Key, e.Detail, e.Remedy)
}

// excerpt returns the line of a position with a mark below. Quoted text is
// masked, since it may hold a token.
func excerpt(text string, p Position) string {
	lines := strings.Split(maskQuoted(text), "\n")
	if p.Line < 1 || p.Line > len(lines) {
		return ""
	}
	line := strings.ReplaceAll(lines[p.Line-1], "\t", " ")
	return line + "\n" + strings.Repeat(" ", max(p.Column-1, 0)) + "^"
}

// maskQuoted replaces what stands between quotes by asterisks.
func maskQuoted(text string) string {
	var b strings.Builder
	quoted := false
	for _, r := range text {
		switch {
		case r == '\'':
			quoted = !quoted
			b.WriteRune(r)
		case quoted && r != '\n':
			b.WriteByte('*')
		default:
			b.WriteRune(r)
		}
	}
	return b.String()
}

// closest returns the candidate that a misspelt word most likely stands for,
// or empty.
func closest(word string, candidates []string) string {
	best, bestDistance := "", len(word)/3+2
	for _, c := range candidates {
		if d := editDistance(strings.ToLower(word), c); d < bestDistance {
			best, bestDistance = c, d
		}
	}
	return best
}

// editDistance returns the Levenshtein distance of two texts in bytes.
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

// suggest returns a remedy that lists the candidates, the closest first.
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
