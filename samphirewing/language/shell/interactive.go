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

// prompter reads lines from an operator.
type prompter interface {
	Prompt(string) (string, error)
	AppendHistory(string)
}

// Run reads statements line by line until the end of the input, `quit` or
// `exit`, and returns the exit code of the last one.
func Run(o Options) int {
	o = o.withDefaults()
	terminal := liner.NewLiner()
	defer func() { _ = terminal.Close() }()
	terminal.SetCtrlCAborts(true)
	terminal.SetCompleter(language.Completions)
	loadHistory(terminal, o.HistoryFile)
	defer saveHistory(terminal, o)
	fmt.Fprintln(o.Out, "Statements end with ';'. `help;` lists them, `quit` leaves.")
	return loop(o, terminal)
}

// loop reads and carries out statements. An interrupt drops what was typed.
func loop(o Options, p prompter) int {
	client := newClient(o)
	defer client.http.CloseIdleConnections()
	code := ExitOK
	for {
		text, err := readText(p)
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

// readText reads lines until they make whole statements. It returns io.EOF
// when the operator leaves.
func readText(p prompter) (string, error) {
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
		if language.IsWhole(text.String()) {
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

// saveHistory writes the history for its owner only.
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
