package load

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/standin/engine"
	"github.com/samphirewing/samphirewing/standin/service"
)

func TestVerdictsOnModelAnswers(t *testing.T) {
	r := Request{Target: "m", Prompt: "label the spring", MaxTokens: 50, Seed: 2}
	complete := engine.Answer("m", r.Prompt, 50, 2)
	other := engine.Answer("m", r.Prompt, 50, 3)
	for _, c := range []struct {
		text string
		want Verdict
	}{
		{complete, VerdictComplete},
		{complete[:len(complete)-1], VerdictTruncated},
		{complete + complete, VerdictDuplicated},
		{other, VerdictWrong},
	} {
		assert.Equal(t, verifyModel(r, c.text), c.want)
	}
}

func TestVerdictsOnServiceAnswers(t *testing.T) {
	r := Request{Organisation: "medina", Target: "parts-booking", Key: "k1", Body: json.RawMessage(`{"rib":2}`)}
	assert.Equal(t, verifyService(r, service.Answer(r.Target, "medina/k1", r.Body)), VerdictComplete)
	assert.Equal(t, verifyService(r, service.Answer(r.Target, "pikine/k1", r.Body)), VerdictWrong)
	assert.Equal(t, verifyService(r, service.Answer(r.Target, "medina/k1", []byte(`{}`))), VerdictWrong)
	assert.Equal(t, verifyService(r, []byte("not JSON")), VerdictWrong)
	r.Key = ""
	assert.Equal(t, verifyService(r, service.Answer(r.Target, "chosen", r.Body)), VerdictComplete)
}
