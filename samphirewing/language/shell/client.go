// Package shell implements the operators' command line. It sends statements to a
// daemon's operator API and prints the answers.
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

// Exit codes. Scripts may rely on them.
const (
	ExitOK = 0
	// ExitUsage: the command line is wrong, such as a missing file.
	ExitUsage = 1
	// ExitInvalid: a statement is invalid.
	ExitInvalid = 2
	// ExitConflict: the change conflicts with another operator's change.
	ExitConflict = 3
	// ExitRefused: the change does not apply to the current objects.
	ExitRefused = 4
	// ExitUnauthorised: the token belongs to no operator.
	ExitUnauthorised = 5
	// ExitUnavailable: no daemon or no log could be reached; nothing was changed.
	ExitUnavailable = 6
	// ExitUnknown: the answer was lost; the change may have been made.
	ExitUnknown = 7
	// ExitIncomplete: the statements succeeded, but a daemon did not answer or
	// does not have the change in force yet.
	ExitIncomplete = 8
)

// Options configures the daemons' addresses, the credentials and the output.
type Options struct {
	// Addresses are base URLs such as "http://10.0.0.5:7002", tried in order
	// until a connection succeeds.
	Addresses []string
	// Token is the operator's bearer token.
	Token string
	// JSON selects JSON output instead of tables.
	JSON bool
	// TLS is the configuration for https addresses; nil means the defaults of
	// crypto/tls.
	TLS *tls.Config
	// HistoryFile stores the entered statements, with secrets masked. If it is
	// empty, none are stored.
	HistoryFile string
	// Out and Err default to standard output and standard error.
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
// code. It stops on an interrupt, which is how a watch ends.
func Execute(o Options, text string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	return ExecuteContext(ctx, o, text)
}

// ExecuteContext is Execute with a context of the caller instead of the
// interrupt handler.
func ExecuteContext(ctx context.Context, o Options, text string) int {
	o = o.withDefaults()
	client := newClient(o)
	defer client.http.CloseIdleConnections()
	return client.execute(ctx, text)
}

// ApplyFile executes the statements in a file, or those on standard input if the
// path is "-" or empty; kingpin passes "-" as an empty string.
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
		return c.reportTransportError(ctx, err)
	}
	defer func() { _ = response.Body.Close() }()
	out := c.options.Out
	if response.StatusCode != http.StatusOK && !c.options.JSON {
		out = c.options.Err
	}
	if _, err := io.Copy(out, response.Body); err != nil {
		return c.reportTransportError(ctx, err)
	}
	return exitCode(response)
}

// post sends the text to the first daemon that accepts a connection. It tries no
// other daemon after a connection succeeded, because the text may have been
// executed.
func (c *client) post(ctx context.Context, text string) (*http.Response, error) {
	err := error(errors.New("no address given; name a daemon's operator address"))
	for _, address := range c.options.Addresses {
		var response *http.Response
		response, err = c.postTo(ctx, address, text)
		if err == nil {
			return response, nil
		}
		if !isDialError(err) {
			break
		}
	}
	return nil, err
}

func (c *client) postTo(ctx context.Context, address, text string) (*http.Response, error) {
	url := strings.TrimSuffix(address, "/") + operatorapi.Path
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(text))
	if err != nil {
		return nil, errors.Trace(err)
	}
	request.Header.Set("Authorization", "Bearer "+c.options.Token)
	request.Header.Set("Accept", operatorapi.ContentText)
	if c.options.JSON {
		request.Header.Set("Accept", operatorapi.ContentJSON)
	}
	return c.http.Do(request)
}

// isDialError reports whether no connection was established, so that nothing was
// sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// reportTransportError prints an error of the exchange with the daemons and
// returns the exit code. A cancelled context is no error.
func (c *client) reportTransportError(ctx context.Context, err error) int {
	switch {
	case ctx.Err() != nil:
		return ExitOK
	case isDialError(err) || len(c.options.Addresses) == 0:
		fmt.Fprintf(c.options.Err, "error: no daemon can be reached: %v; check the addresses, nothing was sent\n", err)
		return ExitUnavailable
	default:
		fmt.Fprintf(c.options.Err, "error: the answer was lost: %v; look at `show history` before you repeat a change\n", err)
		return ExitUnknown
	}
}

func exitCode(response *http.Response) int {
	switch response.StatusCode {
	case http.StatusOK:
		if response.Header.Get(operatorapi.HeaderIncomplete) == "true" {
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
