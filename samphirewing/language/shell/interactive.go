package shell

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"

	"github.com/juju/errors"
	"github.com/peterh/liner"

	"github.com/samphirewing/samphirewing/language"
)

const (
	firstPrompt    = "samphirewing> "
	continuePrompt = "          ...> "
)

// prompter reads lines from the operator; *liner.State implements it.
type prompter interface {
	Prompt(string) (string, error)
	AppendHistory(string)
}

// Run executes statements entered on the terminal until the end of the input,
// `quit` or `exit`, and returns the exit code of the last execution.
func Run(o Options) int {
	o = o.withDefaults()
	terminal := liner.NewLiner()
	defer func() { _ = terminal.Close() }()
	terminal.SetCtrlCAborts(true)
	terminal.SetCompleter(language.Completions)
	loadHistory(terminal, o.HistoryFile)
	defer saveHistory(terminal, o)
	fmt.Fprintln(o.Out, "Statements end with ';'. `help;` lists them, `quit` leaves.")
	return runLoop(o, terminal)
}

// runLoop reads and executes statements. An interrupt at the prompt discards the
// text entered so far.
func runLoop(o Options, p prompter) int {
	client := newClient(o)
	defer client.http.CloseIdleConnections()
	code := ExitOK
	for {
		text, err := readStatements(p)
		if errors.Is(err, liner.ErrPromptAborted) {
			continue
		}
		if err != nil {
			return code
		}
		if text == "" {
			continue
		}
		p.AppendHistory(language.Redact(text))
		code = executeInterruptibly(client, text)
	}
}

// readStatements reads lines until they form complete statements. It returns an
// empty text for an empty line, and io.EOF when the operator quits.
func readStatements(p prompter) (string, error) {
	var text strings.Builder
	prompt := firstPrompt
	for {
		line, err := p.Prompt(prompt)
		if err != nil {
			return "", err
		}
		if text.Len() == 0 {
			switch word := strings.ToLower(strings.Trim(line, " \t;")); {
			case word == "quit" || word == "exit":
				return "", io.EOF
			case word == "":
				return "", nil
			case word == "help" || strings.HasPrefix(word, "help "):
				return word + ";", nil
			}
		}
		text.WriteString(line)
		text.WriteByte('\n')
		if language.IsComplete(text.String()) {
			return strings.TrimSpace(text.String()), nil
		}
		prompt = continuePrompt
	}
}

func executeInterruptibly(c *client, text string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	return c.execute(ctx, text)
}

func loadHistory(terminal *liner.State, path string) {
	if path == "" {
		return
	}
	data, err := os.ReadFile(path)
	if err != nil {
		return
	}
	_, _ = terminal.ReadHistory(bytes.NewReader(data))
}

// saveHistory writes the history to a file that only its owner can read.
func saveHistory(terminal *liner.State, o Options) {
	if o.HistoryFile == "" {
		return
	}
	var history bytes.Buffer
	if _, err := terminal.WriteHistory(&history); err != nil {
		return
	}
	if err := os.WriteFile(o.HistoryFile, history.Bytes(), 0o600); err != nil {
		fmt.Fprintf(o.Err, "history not kept: %v\n", err)
	}
}
