package completions

import (
	"encoding/json"
	"flag"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/samphirewing/samphirewing/state/structs"
)

// randomSeed makes runs reproducible; -rapid.seed overrides it.
const randomSeed = "1"

func init() {
	if err := flag.Set("rapid.seed", randomSeed); err != nil {
		panic(err)
	}
}

func TestDecodeChatJoinsMessagesToPrompt(t *testing.T) {
	r, err := Decode(StyleChat, []byte(`{
		"model": "engraver-large", "stream": true, "stream_options": {"include_usage": true},
		"max_tokens": 5, "max_completion_tokens": 7, "temperature": 0.5, "seed": -3, "stop": "\n\n", "user": "ignored", "tools": [],
		"messages": [
			{"role": "system", "content": "Sos grabador."},
			{"role": "user", "content": [{"type": "text", "text": "Escudo "}, {"type": "text", "text": "de Paz"}]},
			{"role": "assistant", "content": null}
		]}`))
	assert.NilError(t, err)
	assert.DeepEqual(t, r, Request{
		Model:        "engraver-large",
		Prompt:       "system: Sos grabador.\nuser: Escudo de Paz\nassistant: \nassistant: ",
		MaxTokens:    7,
		Temperature:  0.5,
		Seed:         -3,
		Stop:         []string{"\n\n"},
		Stream:       true,
		IncludeUsage: true,
	})
}

func TestDecodeTextAcceptsStringOrList(t *testing.T) {
	for _, prompt := range []string{`"x"`, `["x"]`} {
		r, err := Decode(StyleText, []byte(`{"model":"m","prompt":`+prompt+`,"stop":["a","b"]}`))
		assert.NilError(t, err)
		assert.Equal(t, r.Prompt, "x")
		assert.DeepEqual(t, r.Stop, []string{"a", "b"})
	}
}

// TestChunkTextsConcatenateToAnswer checks in both styles that for arbitrary
// texts the encoded chunks decode to the same text.
func TestChunkTextsConcatenateToAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		texts := rapid.SliceOf(rapid.String().Filter(utf8.ValidString)).Draw(t, "texts")
		for _, style := range []Style{StyleChat, StyleText} {
			e := NewEncoder(style, "r\"1", "m<1>", 7)
			var decoded strings.Builder
			for i, text := range texts {
				var chunk Answer
				assert.NilError(t, json.Unmarshal(e.AppendText(nil, text, i == 0), &chunk))
				assert.Equal(t, chunk.ID, "r\"1")
				assert.Equal(t, chunk.Model, "m<1>")
				decoded.WriteString(chunk.ChunkText())
			}
			assert.Equal(t, decoded.String(), strings.Join(texts, ""))
		}
	})
}

func TestFinishAndUsageChunks(t *testing.T) {
	for _, style := range []Style{StyleChat, StyleText} {
		e := NewEncoder(style, "r1", "m", 7)
		var finish, usage Answer
		assert.NilError(t, json.Unmarshal(e.AppendFinish(nil, "length"), &finish))
		assert.Equal(t, *finish.Choices[0].FinishReason, "length")
		assert.Equal(t, finish.ChunkText(), "")
		assert.NilError(t, json.Unmarshal(e.AppendUsage(nil, NewUsage(5, 2, 3)), &usage))
		assert.Equal(t, usage.Usage.TotalTokens, structs.Tokens(8))
		assert.Equal(t, usage.Usage.Details.CachedTokens, structs.Tokens(2))
	}
}

func fuzzDecode(f *testing.F, style Style, seeds ...string) {
	for _, s := range seeds {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		r, err := Decode(style, data)
		if err != nil {
			var fieldErr *FieldError
			assert.Assert(t, errors.As(err, &fieldErr))
			assert.Assert(t, fieldErr.Remedy != "" && fieldErr.Field != "")
			return
		}
		assert.Assert(t, utf8.ValidString(r.Prompt) && r.Prompt != "")
		assert.Assert(t, r.Model != "" && r.MaxTokens >= 0 && r.MaxTokens <= MaxOutputTokens)
		assert.Assert(t, r.Temperature >= 0 && r.Temperature <= MaxTemperature)
	})
}

func FuzzDecodeChat(f *testing.F) {
	fuzzDecode(f, StyleChat,
		`{"model":"m","messages":[{"role":"user","content":"x"}]}`,
		`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"\ud800"}]}],"stop":null,"n":1}`,
		`{"model":"m","messages":[{"role":"tool","content":null}],"max_tokens":1e3,"tools":null}`,
		`{"messages":{}}`, "\xff", `[[[[`, `{"model":"m","messages":[null]}`)
}

func FuzzDecodeText(f *testing.F) {
	fuzzDecode(f, StyleText,
		`{"model":"m","prompt":"x","stop":["a"],"stream":true}`,
		`{"model":"m","prompt":[""],"temperature":2}`,
		`{"model":"m","prompt":["x"],"seed":9223372036854775808}`,
		`{"prompt":{}}`, `null`, `{"model":"m","prompt":null}`)
}

func BenchmarkDecodeChat(b *testing.B) {
	body := []byte(`{"model":"engraver-large","messages":[{"role":"user","content":"` + strings.Repeat("escudo de plata ", 250) + `"}]}`)
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		if _, err := Decode(StyleChat, body); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkAppendText(b *testing.B) {
	e := NewEncoder(StyleChat, "d1-17-204", "engraver-large", 1767225600)
	var buffer []byte
	for b.Loop() {
		buffer = e.AppendText(buffer[:0], " leones", false)
	}
}
