package demo

import (
	"bytes"
	"context"
	"fmt"
	"strings"

	"github.com/juju/errors"

	"github.com/samphirewing/samphirewing/catalogues"
	"github.com/samphirewing/samphirewing/language"
	"github.com/samphirewing/samphirewing/language/shell"
	"github.com/samphirewing/samphirewing/state/structs"
)

// applyCatalogue sends the deployment's catalogue and endpoints to the first
// daemon through its operator interface.
func (s *System) applyCatalogue(ctx context.Context) error {
	return s.Execute(ctx, s.Daemons[0].Addresses().Operator, s.CatalogueText())
}

// Execute runs statements at the operator address of a daemon. It returns an
// error unless they succeed or their result is incomplete.
func (s *System) Execute(ctx context.Context, address, text string) error {
	var output bytes.Buffer
	code := shell.ExecuteContext(ctx, shell.Options{
		Addresses: []string{"http://" + address},
		Token:     OperatorToken,
		Out:       &output,
		Err:       &output,
	}, text)
	if code != shell.ExitOK && code != shell.ExitIncomplete {
		return errors.Errorf("statements failed with code %d: %s", code, output.String())
	}
	return nil
}

// CatalogueText returns the statements that declare the deployment and all of
// its running endpoints.
func (s *System) CatalogueText() string {
	var text strings.Builder
	text.WriteString(s.deployment.catalogue())
	text.WriteString("\nbegin;\n")
	engines := s.deployment.engines
	for i, e := range s.Engines {
		class := engines.classes[i%len(engines.classes)]
		s.writeEndpoint(&text, engines.name, i, e.URL(), class.name, class.fencing)
	}
	for i, server := range s.Services {
		s.writeEndpoint(&text, s.deployment.services.name, i, server.URL(), "plain", false)
	}
	text.WriteString("commit;\n")
	return text.String()
}

func (s *System) writeEndpoint(text *strings.Builder, pool structs.PoolName, i int, address, class string, fencing bool) {
	fencingValue := "no"
	if fencing {
		fencingValue = "yes"
	}
	fmt.Fprintf(text, "create endpoint %s pool %s address %s domain %s class %s fencing %s;\n",
		endpointName(pool, i), pool, language.Quote(address), s.deployment.domain(i), class, fencingValue)
}

func (d deployment) catalogue() string {
	if d.name == Parapluie {
		return catalogues.Parapluie
	}
	return catalogues.Gemelo
}
