package command

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"

	"github.com/samphirewing/samphirewing/daemon"
	"github.com/samphirewing/samphirewing/language/shell"
)

// statementFlags are the flags shared by the commands that send statements.
type statementFlags struct {
	options shell.Options
	output  string
	text    string
	path    string
	ca      string
}

func addStatementFlags(cmd *kingpin.CmdClause) *statementFlags {
	f := &statementFlags{}
	cmd.Flag("operator", "Operator address of a daemon; give several to try in order.").Required().Envar(daemon.EnvName("operator")).StringsVar(&f.options.Addresses)
	cmd.Flag("token", "Operator's bearer token.").Required().Envar(daemon.EnvName("token")).StringVar(&f.options.Token)
	cmd.Flag("ca", "File of the authority that signed the daemons' operator certificates.").Envar(daemon.EnvName("ca")).ExistingFileVar(&f.ca)
	cmd.Flag("output", "Output format: table or json.").Default(outputTable).EnumVar(&f.output, outputTable, outputJSON)
	return f
}

func addDo(app *kingpin.Application) *statementFlags {
	cmd := app.Command("do", "Run statements. Example: samphirewing do --operator http://127.0.0.1:7003 --token T 'show daemons'")
	f := addStatementFlags(cmd)
	cmd.Arg("statements", "One or more statements, separated by semicolons.").Required().StringVar(&f.text)
	return f
}

func addApply(app *kingpin.Application) *statementFlags {
	cmd := app.Command("apply", "Run the statements of a file.")
	f := addStatementFlags(cmd)
	cmd.Arg("file", "File of statements.").Required().StringVar(&f.path)
	return f
}

func addShell(app *kingpin.Application) *statementFlags {
	cmd := app.Command("shell", "Type statements, with history, completion and help.")
	f := addStatementFlags(cmd)
	cmd.Flag("history", "File that keeps typed statements; none when empty.").StringVar(&f.options.HistoryFile)
	return f
}

// run builds the shell options and calls send with them.
func (f *statementFlags) run(stdout, stderr io.Writer, send func(shell.Options) int) int {
	o, err := f.shellOptions(stdout, stderr)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return shell.ExitUsage
	}
	return send(o)
}

func (f *statementFlags) shellOptions(stdout, stderr io.Writer) (shell.Options, error) {
	o := f.options
	if f.ca != "" {
		text, err := os.ReadFile(f.ca)
		if err != nil {
			return o, errors.Annotate(err, "--ca")
		}
		o.TLS = &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: x509.NewCertPool()}
		if !o.TLS.RootCAs.AppendCertsFromPEM(text) {
			return o, errors.Errorf("--ca: %s holds no certificate; give certificates in PEM", f.ca)
		}
	}
	o.JSON = f.output == outputJSON
	o.Out = stdout
	o.Err = stderr
	return o, nil
}
