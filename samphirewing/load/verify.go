package load

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/samphirewing/samphirewing/standin/engine"
	"github.com/samphirewing/samphirewing/standin/service"
	"github.com/samphirewing/samphirewing/transport/edge"
)

// verifyModel compares an answer with what the stand-in engine produces.
func verifyModel(r Request, text string) Verdict {
	want := engine.Answer(r.Target, r.Prompt, r.MaxTokens, r.Seed)
	switch {
	case text == want:
		return VerdictWhole
	case strings.HasPrefix(want, text):
		return VerdictCut
	case strings.HasPrefix(text, want):
		return VerdictDoubled
	default:
		return VerdictWrong
	}
}

// verifyService compares an answer with what the stand-in service produces.
// The system may choose the key of a call that has none.
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
	return VerdictWhole
}
