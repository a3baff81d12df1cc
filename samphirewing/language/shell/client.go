// Package shell is the operators' command line: it sends statements to a
// daemon's operator interface and prints the answers.
package shell

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"

	"github.com/juju/errors"

	"github.com/samphirewing/samphirewing/transport/operatorapi"
)

// The exit codes, which scripts may rely on.
const (
	ExitOK = 0
	// ExitUsage: the command itself is at fault, such as a missing file.
	ExitUsage = 1
	// ExitInvalid: a statement can't be read.
	ExitInvalid = 2
	// ExitConflict: another operator was faster.
	ExitConflict = 3
	// ExitRefused: the change does not fit the objects as they are.
	ExitRefused = 4
	// ExitUnauthorised: the token belongs to no operator.
	ExitUnauthorised = 5
	// ExitUnavailable: no daemon or no log could be reached; nothing was changed.
	ExitUnavailable = 6
	// ExitUnknown: the answer was lost; a change may stand.
	ExitUnknown = 7
	// ExitIncomplete: all went well, but a daemon did not answer or does not
	// have the change in force yet.
	ExitIncomplete = 8
)

// Options says which daemons to ask, as whom, and how to print.
type Options struct {
	// Addresses are base URLs such as "http://10.0.0.5:7002", tried in order
	// until one can be connected to.
	Addresses []string
	// Token is the operator's bearer token.
	Token string
	// JSON prints JSON instead of tables.
	JSON bool
	// TLS is used for https addresses; nil takes the system's defaults.
	TLS *tls.Config
	// HistoryFile keeps typed statements, with secrets hidden; empty keeps none.
	HistoryFile string
	// Out and Err are standard output and standard error when nil.
	Out io.Writer
	Err io.Writer
}

func (o Options) withDefaults() Options {
	if o.Out == nil {
		o.Out = os.Stdout
	}
	if o.Err == nil {
		o.Err = os.Stderr
	}
	return o
}

// Execute sends a text of statements, prints the answer and returns the exit
// code. An interrupt ends a watch.
func Execute(o Options, text string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	return ExecuteContext(ctx, o, text)
}

// ExecuteContext is Execute for callers that end it themselves.
func ExecuteContext(ctx context.Context, o Options, text string) int {
	o = o.withDefaults()
	client := newClient(o)
	defer client.http.CloseIdleConnections()
	return client.execute(ctx, text)
}

// ApplyFile sends the statements of a file, or of standard input for "-",
// which kingpin hands on as an empty text.
func ApplyFile(o Options, path string) int {
	text, err := readFile(path)
	if err != nil {
		fmt.Fprintf(o.withDefaults().Err, "error: %v; give a file of statements\n", err)
		return ExitUsage
	}
	return Execute(o, text)
}

func readFile(path string) (string, error) {
	if path == "-" || path == "" {
		data, err := io.ReadAll(os.Stdin)
		return string(data), errors.Trace(err)
	}
	data, err := os.ReadFile(path)
	return string(data), errors.Trace(err)
}

type client struct {
	options Options
	http    *http.Client
}

func newClient(o Options) *client {
	transport := &http.Transport{TLSClientConfig: o.TLS}
	return &client{options: o, http: &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

func (c *client) execute(ctx context.Context, text string) int {
	response, err := c.post(ctx, text)
	if err != nil {
		return c.reportLost(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	out := c.options.Out
	if response.StatusCode != http.StatusOK && !c.options.JSON {
		out = c.options.Err
	}
	if _, err := io.Copy(out, response.Body); err != nil {
		return c.reportLost(ctx, err)
	}
	return exitCode(response)
}

// post sends the text to the first daemon that can be connected to. Once the
// text may have been read no other daemon is tried.
func (c *client) post(ctx context.Context, text string) (*http.Response, error) {
	err := error(errors.New("no address given; name a daemon's operator address"))
	for _, address := range c.options.Addresses {
		var response *http.Response
		response, err = c.postTo(ctx, address, text)
		if err == nil {
			return response, nil
		}
		if !notConnected(err) {
			break
		}
	}
	return nil, err
}

func (c *client) postTo(ctx context.Context, address, text string) (*http.Response, error) {
	url := strings.TrimSuffix(address, "/") + operatorapi.Path
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(text))
	if err != nil {
		return nil, errors.Trace(err)
	}
	r.Header.Set("Authorization", "Bearer "+c.options.Token)
	r.Header.Set("Accept", operatorapi.ContentText)
	if c.options.JSON {
		r.Header.Set("Accept", operatorapi.ContentJSON)
	}
	return c.http.Do(r)
}

// notConnected reports whether nothing was sent.
func notConnected(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func (c *client) reportLost(ctx context.Context, err error) int {
	switch {
	case ctx.Err() != nil:
		return ExitOK
	case notConnected(err) || len(c.options.Addresses) == 0:
		fmt.Fprintf(c.options.Err, "error: no daemon can be reached: %v; check the addresses, nothing was sent\n", err)
		return ExitUnavailable
	default:
		fmt.Fprintf(c.options.Err, "error: the answer was lost: %v; look at `show history` before you repeat a change\n", err)
		return ExitUnknown
	}
}

func exitCode(r *http.Response) int {
	switch r.StatusCode {
	case http.StatusOK:
		if r.Header.Get(operatorapi.HeaderIncomplete) == "true" {
			return ExitIncomplete
		}
		return ExitOK
	case operatorapi.FailureUnauthorised.Status():
		return ExitUnauthorised
	case operatorapi.FailureConflict.Status():
		return ExitConflict
	case operatorapi.FailureRefused.Status():
		return ExitRefused
	case operatorapi.FailureUnavailable.Status():
		return ExitUnavailable
	case operatorapi.FailureUnknown.Status():
		return ExitUnknown
	default:
		return ExitInvalid
	}
}
