package load

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/samphirewing/samphirewing/standin/engine"
	"github.com/samphirewing/samphirewing/standin/service"
	"github.com/samphirewing/samphirewing/transport/edge"
)

// verifyModel compares an answer with that of the stand-in engine.
func verifyModel(r Request, text string) Verdict {
	want := engine.Answer(r.Target, r.Prompt, r.MaxTokens, r.Seed)
	switch {
	case text == want:
		return VerdictComplete
	case strings.HasPrefix(want, text):
		return VerdictTruncated
	case strings.HasPrefix(text, want):
		return VerdictDuplicated
	default:
		return VerdictWrong
	}
}

// verifyService compares an answer with that of the stand-in service. For a
// call without a key, any key that the system assigned is accepted.
func verifyService(r Request, body []byte) Verdict {
	var echoed struct {
		Key string `json:"key"`
	}
	if json.Unmarshal(body, &echoed) != nil {
		return VerdictWrong
	}
	if r.Key != "" && echoed.Key != edge.ScopedKey(r.Organisation, r.Key) {
		return VerdictWrong
	}
	if !bytes.Equal(bytes.TrimSpace(body), service.Answer(r.Target, echoed.Key, r.Body)) {
		return VerdictWrong
	}
	return VerdictComplete
}
