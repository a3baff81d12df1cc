package operatorapi

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/catalogues"
)

const (
	organisations = 9700
	// organisationsPerChange keeps each change set below the log's record size.
	organisationsPerChange = 970
)

// largeCatalogue returns change sets that create all organisations. Each starts
// with the statement begin.
func largeCatalogue(begin string) string {
	var b strings.Builder
	for i := range organisations {
		if i%organisationsPerChange == 0 {
			b.WriteString(begin + ";\n")
		}
		fmt.Fprintf(&b, "create organisation org-%04d weight %d tiers counter, bench token 'token-%d';\n", i, 1+i%3, i)
		if i%organisationsPerChange == organisationsPerChange-1 {
			b.WriteString("commit;\n")
		}
	}
	return b.String()
}

func serveLargeCatalogue(b *testing.B) string {
	url := serve(b, newFakeBackend())
	for _, text := range []string{catalogues.Gemelo, largeCatalogue("begin")} {
		r, body := post(b, url, "lucia-token", "", text)
		assert.Equal(b, r.StatusCode, 200, body)
	}
	return url
}

func benchmarkStatement(b *testing.B, accept, text string) {
	url := serveLargeCatalogue(b)
	for b.Loop() {
		r, _ := post(b, url, "lucia-token", accept, text)
		if r.StatusCode != 200 {
			b.Fatal(r.Status)
		}
	}
}

// The benchmarks below run statements over HTTP on a catalogue of 9,700
// organisations.

func BenchmarkShowAllOrganisations(b *testing.B) {
	benchmarkStatement(b, "", "show organisations")
}

func BenchmarkShowSortedOrganisationsJSON(b *testing.B) {
	benchmarkStatement(b, ContentJSON, "show organisations where weight > 1 and tiers contains counter order by weight desc, name desc")
}

func BenchmarkShowOneOrganisation(b *testing.B) {
	benchmarkStatement(b, "", "show organisations where name = org-0042")
}

func BenchmarkDryRunOfOneChange(b *testing.B) {
	benchmarkStatement(b, "", "dry run alter organisation org-0042 weight 7")
}

func BenchmarkDryRunOfNewTier(b *testing.B) {
	benchmarkStatement(b, "", "dry run create tier night rank 9")
}

func BenchmarkCreateAllOrganisations(b *testing.B) {
	text := largeCatalogue("begin dry run")
	url := serve(b, newFakeBackend())
	post(b, url, "lucia-token", "", catalogues.Gemelo)
	for b.Loop() {
		r, body := post(b, url, "lucia-token", "", text)
		assert.Equal(b, r.StatusCode, 200, body)
	}
}
