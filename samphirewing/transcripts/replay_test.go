// Package transcripts replays the pages of docs/transcripts against a complete
// system in the test process.
package transcripts

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"sort"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/demo"
	"github.com/samphirewing/samphirewing/language/shell"
)

const (
	pagesDir = "../../docs/transcripts"
	// settleTimeout bounds how long the output of a read-only command may take to
	// match the page.
	settleTimeout = 20 * time.Second
	settlePoll    = 50 * time.Millisecond
)

// step is one command of a page and its expected output.
type step struct {
	command string
	output  []string
}

// readSteps returns the steps of a page's console blocks: lines that begin
// with "$ " are commands, and the lines that follow are their expected output.
func readSteps(t *testing.T, path string) []step {
	t.Helper()
	data, err := os.ReadFile(path)
	assert.NilError(t, err)
	var steps []step
	for i, part := range strings.Split(string(data), "```") {
		block, ok := strings.CutPrefix(part, "console\n")
		if i%2 == 0 || !ok {
			continue
		}
		for _, line := range strings.Split(strings.TrimSuffix(block, "\n"), "\n") {
			if command, ok := strings.CutPrefix(line, "$ "); ok {
				steps = append(steps, step{command: command})
				continue
			}
			last := &steps[len(steps)-1]
			last.output = append(last.output, line)
		}
	}
	return steps
}

// replay executes the commands of one page.
type replay struct {
	t      *testing.T
	system *demo.System
	// variables are the values of $name and <name>, by name.
	variables map[string]string
}

func startReplay(t *testing.T) *replay {
	t.Helper()
	system, err := demo.Start(t.Context(), demo.Options{Deployment: demo.Gemelo})
	assert.NilError(t, err)
	t.Cleanup(system.Close)
	r := &replay{t: t, system: system, variables: map[string]string{
		"ENTRY": "http://" + system.Daemons[0].Addresses().Caller,
	}}
	r.setNow(time.Now())
	return r
}

// setNow sets NOW to the current time in whole seconds, the precision of a
// shell's date command. It waits until that time is after readyTime, the moment
// at which the system became ready.
func (r *replay) setNow(readyTime time.Time) {
	for {
		now := time.Now().UTC().Truncate(time.Second)
		if now.After(readyTime) {
			r.variables["NOW"] = now.Format(time.RFC3339)
			return
		}
		time.Sleep(settlePoll)
	}
}

var variablePattern = regexp.MustCompile(`\$(\w+)`)

// expand replaces each $name by the value of the variable.
func (r *replay) expand(text string) string {
	return variablePattern.ReplaceAllStringFunc(text, func(v string) string { return r.variables[v[1:]] })
}

// run executes a step and fails the test if the output does not match. Read-only
// commands are repeated until their output matches or settleTimeout has passed.
func (r *replay) run(s step) {
	r.t.Helper()
	pattern := outputPattern(s.output, r.variables)
	deadline := time.Now().Add(settleTimeout)
	for {
		got := r.execute(s.command)
		if match := pattern.FindStringSubmatch(normalise(got)); match != nil {
			r.bindVariables(pattern.SubexpNames(), match)
			return
		}
		if !isReadOnly(s.command) || time.Now().After(deadline) {
			r.t.Fatalf("$ %s\n%s\nwant:\n%s", s.command, got, strings.Join(s.output, "\n"))
		}
		time.Sleep(settlePoll)
	}
}

func (r *replay) bindVariables(names, match []string) {
	for i, name := range names {
		if name != "" {
			r.variables[name] = match[i]
		}
	}
}

// isReadOnly reports whether a command changes nothing and can be repeated until
// its output matches.
func isReadOnly(command string) bool {
	words := splitWords(command)
	statement := words[len(words)-1]
	return words[0] == "samphirewing" && (strings.HasPrefix(statement, "show ") || strings.HasPrefix(statement, "explain "))
}

// execute runs one line. Commands joined by " & " run concurrently, and their
// outputs are sorted; a trailing "&" runs the command in the background.
func (r *replay) execute(command string) string {
	if background, ok := strings.CutSuffix(command, " &"); ok {
		go r.executeSingle(background)
		return ""
	}
	parts := strings.Split(command, " & ")
	outputs := make([]string, len(parts))
	var wg sync.WaitGroup
	for i, part := range parts {
		wg.Add(1)
		go func() {
			defer wg.Done()
			outputs[i] = r.executeSingle(part)
		}()
	}
	wg.Wait()
	sort.Strings(outputs)
	return strings.Join(outputs, "")
}

func (r *replay) executeSingle(command string) string {
	words := splitWords(r.expand(command))
	switch words[0] {
	case "samphirewing":
		return r.executeStatements(words[2])
	case "curl":
		return r.curl(words[1:])
	case "kill":
		return r.kill(words[1])
	default:
		return "unknown command " + words[0]
	}
}

func (r *replay) executeStatements(text string) string {
	var out bytes.Buffer
	o := shell.Options{Token: demo.OperatorToken, Out: &out, Err: &out}
	for _, d := range r.system.Daemons {
		o.Addresses = append(o.Addresses, "http://"+d.Addresses().Operator)
	}
	shell.Execute(o, text)
	return out.String()
}

// kill kills a daemon of the demo without a graceful stop, like `kill -9`.
func (r *replay) kill(name string) string {
	for _, d := range r.system.Daemons {
		if string(d.Self().ID) == name {
			d.Kill()
			return ""
		}
	}
	return "no daemon " + name
}

// curl sends a request as curl does. It supports -s, -N, -i, -H and -d.
func (r *replay) curl(words []string) string {
	var url, body string
	headers := http.Header{}
	includeHead := false
	for i := 0; i < len(words); i++ {
		switch words[i] {
		case "-s", "-N":
		case "-i":
			includeHead = true
		case "-H":
			i++
			name, value, _ := strings.Cut(words[i], ": ")
			headers.Set(name, value)
		case "-d":
			i++
			body = words[i]
		default:
			url = words[i]
		}
	}
	return sendRequest(url, body, headers, includeHead)
}

func sendRequest(url, body string, headers http.Header, includeHead bool) string {
	method := http.MethodGet
	if body != "" {
		method = http.MethodPost
	}
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	if err != nil {
		return err.Error()
	}
	request.Header = headers
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err.Error()
	}
	if includeHead {
		return formatHead(response) + string(data)
	}
	return string(data)
}

// formatHead returns the status line and the headers, sorted by name.
func formatHead(r *http.Response) string {
	var lines []string
	for name, values := range r.Header {
		lines = append(lines, name+": "+strings.Join(values, ", "))
	}
	sort.Strings(lines)
	return r.Proto + " " + r.Status + "\n" + strings.Join(lines, "\n") + "\n\n"
}

// splitWords splits a command into words as a POSIX shell does, honouring single
// and double quotes.
func splitWords(command string) []string {
	var words []string
	var word strings.Builder
	quote, inWord := rune(0), false
	for _, c := range command {
		switch {
		case quote != 0 && c == quote:
			quote = 0
		case quote == 0 && (c == '\'' || c == '"'):
			quote, inWord = c, true
		case quote == 0 && c == ' ':
			if inWord {
				words = append(words, word.String())
			}
			word.Reset()
			inWord = false
		default:
			word.WriteRune(c)
			inWord = true
		}
	}
	if inWord {
		words = append(words, word.String())
	}
	return words
}

// normalise collapses runs of white space and drops empty lines, since column
// widths depend on addresses and ids.
func normalise(text string) string {
	var lines []string
	for _, line := range strings.Split(text, "\n") {
		if fields := strings.Fields(line); len(fields) > 0 {
			lines = append(lines, strings.Join(fields, " "))
		}
	}
	return strings.Join(lines, "\n") + "\n"
}

var placeholderPattern = regexp.MustCompile(`<(\w+)>`)

// outputPattern returns the pattern of an expected output. A line "..." matches
// any number of lines, <any> matches any text in a line, <n> a number, and any
// other <name> one word, which is the same in all later uses of the name.
func outputPattern(output []string, variables map[string]string) *regexp.Regexp {
	seen := make(map[string]bool)
	var expr strings.Builder
	expr.WriteString(`\A`)
	for _, line := range strings.Split(strings.TrimSuffix(normalise(strings.Join(output, "\n")), "\n"), "\n") {
		switch line {
		case "":
		case "...":
			expr.WriteString(`(?:.*\n)*`)
		default:
			expr.WriteString(linePattern(line, variables, seen) + `\n`)
		}
	}
	expr.WriteString(`\n?\z`)
	return regexp.MustCompile(expr.String())
}

func linePattern(line string, variables map[string]string, seen map[string]bool) string {
	var expr strings.Builder
	for {
		loc := placeholderPattern.FindStringSubmatchIndex(line)
		if loc == nil {
			return expr.String() + regexp.QuoteMeta(line)
		}
		expr.WriteString(regexp.QuoteMeta(line[:loc[0]]))
		name := line[loc[2]:loc[3]]
		line = line[loc[1]:]
		value, bound := variables[name]
		switch {
		case name == "any":
			expr.WriteString(`.*?`)
		case name == "n":
			expr.WriteString(`\d+`)
		case bound:
			expr.WriteString(regexp.QuoteMeta(value))
		case seen[name]:
			expr.WriteString(`[^\s"]+`)
		default:
			seen[name] = true
			expr.WriteString(`(?P<` + name + `>[^\s"]+)`)
		}
	}
}

func TestTranscriptPages(t *testing.T) {
	paths, err := filepath.Glob(pagesDir + "/*.md")
	assert.NilError(t, err)
	assert.Assert(t, len(paths) >= 2)
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			steps := readSteps(t, path)
			assert.Assert(t, len(steps) > 0)
			r := startReplay(t)
			for _, s := range steps {
				start := time.Now()
				r.run(s)
				t.Logf("%s: %.60s", time.Since(start).Round(time.Millisecond), s.command)
			}
		})
	}
}
