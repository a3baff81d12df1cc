package language

import (
	"slices"
	"strings"
)

// Redact returns a text with secrets hidden, for a history. A text that does
// not parse has all its quoted parts masked.
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

// IsWhole reports whether a text that is typed line by line can be carried
// out: it ends with ';', and no quote and no begin is open.
func IsWhole(text string) bool {
	masked := maskQuoted(stripComments(text))
	if strings.Count(masked, "'")%2 == 1 || !strings.HasSuffix(strings.TrimSpace(masked), ";") {
		return false
	}
	open := false
	for _, statement := range strings.Split(masked, ";") {
		switch strings.ToLower(firstWord(statement)) {
		case "begin":
			open = true
		case "commit", "abort":
			open = false
		}
	}
	return !open
}

// stripComments removes what the grammar passes over, outside of quotes.
func stripComments(text string) string {
	var b strings.Builder
	quoted, comment := false, false
	for i := range len(text) {
		c := text[i]
		switch {
		case c == '\n':
			comment = false
		case comment:
			continue
		case c == '\'':
			quoted = !quoted
		case !quoted && (c == '#' || (c == '-' && strings.HasPrefix(text[i:], "--"))):
			comment = true
			continue
		}
		b.WriteByte(c)
	}
	return b.String()
}

// Completions returns the words that may stand next in a line, each as the
// whole line with the word completed.
func Completions(line string) []string {
	start := strings.LastIndexAny(line, " ,(;") + 1
	statement := line[strings.LastIndexByte(line, ';')+1:]
	typed := strings.Fields(strings.ToLower(strings.TrimSuffix(statement, line[start:])))
	var lines []string
	for _, word := range nextWords(typed) {
		if strings.HasPrefix(word, strings.ToLower(line[start:])) {
			lines = append(lines, line[:start]+word+" ")
		}
	}
	return lines
}

// nextWords returns the words that may follow those of one statement.
func nextWords(typed []string) []string {
	if len(typed) >= 2 && typed[0] == "dry" && typed[1] == "run" {
		typed = typed[2:]
	}
	if len(typed) == 0 {
		return statementWords
	}
	switch typed[0] {
	case "create", "alter":
		return nextOfWrite(typed)
	case "drop":
		if len(typed) == 1 {
			return append(kindNames(), "model", "setting")
		}
		return []string{"if"}
	case "drain", "undrain":
		return onlyAfter(typed, 1, "endpoint")
	case "serve":
		return onlyAfter(typed, 2, "on")
	case "set":
		return onlyAfter(typed, 2, "to")
	case "resolve":
		return append(onlyAfter(typed, 1, "booking"), onlyAfter(typed, 4, "as")...)
	case "explain":
		return onlyAfter(typed, 1, "request", "refusal", "placement")
	case "help":
		return topicNames()
	case "begin":
		return []string{"dry"}
	case "commit":
		return []string{"nowait"}
	case "dry":
		return []string{"run"}
	case "show", "watch":
		return nextOfShow(typed)
	default:
		return nil
	}
}

func onlyAfter(typed []string, count int, words ...string) []string {
	if len(typed) != count {
		return nil
	}
	return words
}

func nextOfWrite(typed []string) []string {
	if len(typed) == 1 {
		return kindNames()
	}
	kind, ok := findKind(typed[1])
	if !ok || len(typed) < 3 {
		return nil
	}
	var words []string
	for _, name := range kind.propertyNames() {
		if !slices.Contains(typed[3:], name) {
			words = append(words, name)
		}
	}
	return append(words, "if")
}

func nextOfShow(typed []string) []string {
	if len(typed) == 1 {
		return subjectNames()
	}
	var columns []string
	for _, c := range Subject(typed[1]).Columns() {
		columns = append(columns, c.Name)
	}
	switch typed[len(typed)-1] {
	case "where", "and", "or", "not", "by":
		return columns
	case "order":
		return []string{"by"}
	default:
		return []string{"where", "and", "or", "order", "limit", "desc", "every"}
	}
}
