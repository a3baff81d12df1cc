package engine

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirewing/samphirewing/protocol/prefix"
	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	// shortPromptBytes separates one-line work from long briefs.
	shortPromptBytes = 240

	// Answer lengths are log-normal around these medians, in tokens.
	shortMedianTokens = 10
	longMedianTokens  = 120
	lengthSigma       = 0.6
	maxAnswerTokens   = 800

	// tagTokens is the length of the tag that opens every answer, so that
	// the answers of two requests differ from the first frame on.
	tagTokens = 2
)

// pieces are the words of an answer. Each covers one token, that is
// prefix.BytesPerToken bytes.
var pieces = [...]string{
	"oro ", "sol ", "luz ", "par ", "fin ", "aro ", "rim ", "rib ",
	"tip ", "cap ", "rod ", "fit ", "cut ", "hem ", "set ", "arc ",
	"dé ", "né ", "el, ", "la, ", "un, ", "mm, ", "x 4 ", "2x, ",
	"pin ", "lug ", "axe ", "bas ", "fil ", "mat ", "vis ", "ok. ",
}

// Answer returns the whole answer that the stand-in produces for a request.
// It depends on nothing else. Its length varies with the prompt's length and
// content and is at most maxTokens tokens.
func Answer(model, prompt string, maxTokens int64, seed int64) string {
	sum := answerSum(model, prompt, seed)
	rng := rand.New(rand.NewPCG(sum, uint64(seed)))
	tokens := min(answerTokens(rng, len(prompt)), maxTokens)
	var b strings.Builder
	b.Grow(int(tokens) * prefix.BytesPerToken)
	tag := fmt.Sprintf("%08x", uint32(sum>>32))
	for i := range tokens {
		if i < tagTokens {
			b.WriteString(tag[i*prefix.BytesPerToken : (i+1)*prefix.BytesPerToken])
			continue
		}
		b.WriteString(pieces[rng.IntN(len(pieces))])
	}
	return b.String()
}

func answerSum(model, prompt string, seed int64) uint64 {
	d := xxhash.New()
	_, _ = fmt.Fprintf(d, "%d %s\n", seed, model)
	_, _ = d.WriteString(prompt)
	return d.Sum64()
}

func answerTokens(rng *rand.Rand, promptBytes int) int64 {
	median := float64(longMedianTokens)
	if promptBytes < shortPromptBytes {
		median = shortMedianTokens
	}
	tokens := int64(median * math.Exp(lengthSigma*rng.NormFloat64()))
	return min(max(tokens, tagTokens+1), maxAnswerTokens)
}

// answerTokensOf returns the text of n tokens of an answer from token from on.
func answerTokensOf(answer string, from, n structs.Tokens) string {
	return answer[from*prefix.BytesPerToken : (from+n)*prefix.BytesPerToken]
}

// finishReason tells whether an answer ended by itself.
func finishReason(answer string, maxTokens structs.Tokens) string {
	if prefix.CountTokens(answer) >= maxTokens {
		return "length"
	}
	return "stop"
}
