package language

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestCompletions(t *testing.T) {
	cases := map[string][]string{
		"und":                          {"undrain "},
		"show ru":                      {"show running "},
		"show running where or":        {"show running where organisation "},
		"create po":                    {"create pool "},
		"create pool p queue 5 sh":     {"create pool p queue 5 shards "},
		"create pool p queue 5 qu":     nil,
		"show tiers; dry run drop ti":  {"show tiers; dry run drop tier "},
		"explain re":                   {"explain request ", "explain refusal "},
		"resolve booking s k a":        {"resolve booking s k as "},
		"show tiers order ":            {"show tiers order by "},
		"show tiers order by rank, na": nil,
		"frobnicate x":                 nil,
	}
	for line, want := range cases {
		assert.DeepEqual(t, Completions(line), want)
	}
}

func TestIsComplete(t *testing.T) {
	for _, text := range []string{"show tiers;", "begin; drop tier x; commit;", "set x to 'a;'; -- done", "begin; abort;"} {
		assert.Assert(t, IsComplete(text), text)
	}
	for _, text := range []string{"show tiers", "set x to 'a;", "begin; drop tier x;", "show tiers -- ;", ""} {
		assert.Assert(t, !IsComplete(text), text)
	}
}

func TestRedactMasksSecrets(t *testing.T) {
	assert.Equal(t, Redact("create organisation o tiers a token 'secret'; show tiers"),
		"create organisation o tiers a token '***'; show tiers;")
	assert.Equal(t, Redact("creat organisation o token 'secret'"), "creat organisation o token '******'")
}
