package language

import (
	"slices"
	"strings"
)

// Redact returns a text with its secrets masked, for the shell's history. In a
// text that does not parse, all quoted parts are masked.
func Redact(text string) string {
	statements, err := Parse(text)
	if err != nil {
		return maskQuoted(text)
	}
	sources := make([]string, 0, len(statements))
	for _, s := range statements {
		sources = append(sources, s.Source())
	}
	return strings.Join(sources, "; ") + ";"
}

// IsComplete reports whether a text entered line by line is ready to execute:
// it ends with ';', and no quote and no begin is left open.
func IsComplete(text string) bool {
	masked := maskQuoted(stripComments(text))
	if strings.Count(masked, "'")%2 == 1 || !strings.HasSuffix(strings.TrimSpace(masked), ";") {
		return false
	}
	inChangeSet := false
	for _, statement := range strings.Split(masked, ";") {
		switch strings.ToLower(firstWord(statement)) {
		case "begin":
			inChangeSet = true
		case "commit", "abort":
			inChangeSet = false
		}
	}
	return !inChangeSet
}

// stripComments removes comments, but not comment markers inside quotes.
func stripComments(text string) string {
	var b strings.Builder
	inQuotes, inComment := false, false
	for i := range len(text) {
		c := text[i]
		switch {
		case c == '\n':
			inComment = false
		case inComment:
			continue
		case c == '\'':
			inQuotes = !inQuotes
		case !inQuotes && (c == '#' || (c == '-' && strings.HasPrefix(text[i:], "--"))):
			inComment = true
			continue
		}
		b.WriteByte(c)
	}
	return b.String()
}

// Completions returns the possible completions of the last word of a line, each
// as the whole line with that word completed.
func Completions(line string) []string {
	wordStart := strings.LastIndexAny(line, " ,(;") + 1
	statement := line[strings.LastIndexByte(line, ';')+1:]
	preceding := strings.Fields(strings.ToLower(strings.TrimSuffix(statement, line[wordStart:])))
	var lines []string
	for _, word := range nextWords(preceding) {
		if strings.HasPrefix(word, strings.ToLower(line[wordStart:])) {
			lines = append(lines, line[:wordStart]+word+" ")
		}
	}
	return lines
}

// nextWords returns the words that may follow the preceding words of a
// statement.
func nextWords(preceding []string) []string {
	if len(preceding) >= 2 && preceding[0] == "dry" && preceding[1] == "run" {
		preceding = preceding[2:]
	}
	if len(preceding) == 0 {
		return statementWords
	}
	switch preceding[0] {
	case "create", "alter":
		return nextWriteWords(preceding)
	case "drop":
		if len(preceding) == 1 {
			return append(kindNames(), "model", "setting")
		}
		return []string{"if"}
	case "drain", "undrain":
		return wordsAt(preceding, 1, "endpoint")
	case "serve":
		return wordsAt(preceding, 2, "on")
	case "set":
		return wordsAt(preceding, 2, "to")
	case "resolve":
		return append(wordsAt(preceding, 1, "booking"), wordsAt(preceding, 4, "as")...)
	case "explain":
		return wordsAt(preceding, 1, "request", "refusal", "placement")
	case "help":
		return topicNames()
	case "begin":
		return []string{"dry"}
	case "commit":
		return []string{"nowait"}
	case "dry":
		return []string{"run"}
	case "show", "watch":
		return nextShowWords(preceding)
	default:
		return nil
	}
}

// wordsAt returns the words if the next word is at the given position,
// counted from 0 at the start of the statement, and nil otherwise.
func wordsAt(preceding []string, position int, words ...string) []string {
	if len(preceding) != position {
		return nil
	}
	return words
}

func nextWriteWords(preceding []string) []string {
	if len(preceding) == 1 {
		return kindNames()
	}
	kind, ok := findKind(preceding[1])
	if !ok || len(preceding) < 3 {
		return nil
	}
	var words []string
	for _, name := range kind.propertyNames() {
		if !slices.Contains(preceding[3:], name) {
			words = append(words, name)
		}
	}
	return append(words, "if")
}

func nextShowWords(preceding []string) []string {
	if len(preceding) == 1 {
		return subjectNames()
	}
	var columns []string
	for _, c := range Subject(preceding[1]).Columns() {
		columns = append(columns, c.Name)
	}
	switch preceding[len(preceding)-1] {
	case "where", "and", "or", "not", "by":
		return columns
	case "order":
		return []string{"by"}
	default:
		return []string{"where", "and", "or", "order", "limit", "desc", "every"}
	}
}
