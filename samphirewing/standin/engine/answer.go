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
	// shortPromptBytes separates one-line prompts from long ones.
	shortPromptBytes = 240

	// Answer lengths in tokens follow a log-normal distribution with these
	// medians and this standard deviation of the logarithm.
	shortMedianTokens = 10
	longMedianTokens  = 120
	lengthSigma       = 0.6
	maxAnswerTokens   = 800

	// tagTokens is the length of the hash tag at the start of every answer.
	// It makes the answers of two requests differ from the first frame on.
	tagTokens = 2
)

// vocabulary holds the words of an answer. Each word is one token of
// prefix.BytesPerToken bytes.
var vocabulary = [...]string{
	"oro ", "sol ", "luz ", "par ", "fin ", "aro ", "rim ", "rib ",
	"tip ", "cap ", "rod ", "fit ", "cut ", "hem ", "set ", "arc ",
	"dé ", "né ", "el, ", "la, ", "un, ", "mm, ", "x 4 ", "2x, ",
	"pin ", "lug ", "axe ", "bas ", "fil ", "mat ", "vis ", "ok. ",
}

// Answer returns the complete answer of the stand-in to a request. It is a
// pure function of its arguments. The length depends on the prompt's length
// and content and is at most maxTokens tokens.
func Answer(model, prompt string, maxTokens int64, seed int64) string {
	hash := answerHash(model, prompt, seed)
	rng := rand.New(rand.NewPCG(hash, uint64(seed)))
	tokens := min(drawAnswerTokens(rng, len(prompt)), maxTokens)
	var b strings.Builder
	b.Grow(int(tokens) * prefix.BytesPerToken)
	tag := fmt.Sprintf("%08x", uint32(hash>>32))
	for i := range tokens {
		if i < tagTokens {
			b.WriteString(tag[i*prefix.BytesPerToken : (i+1)*prefix.BytesPerToken])
			continue
		}
		b.WriteString(vocabulary[rng.IntN(len(vocabulary))])
	}
	return b.String()
}

func answerHash(model, prompt string, seed int64) uint64 {
	digest := xxhash.New()
	_, _ = fmt.Fprintf(digest, "%d %s\n", seed, model)
	_, _ = digest.WriteString(prompt)
	return digest.Sum64()
}

func drawAnswerTokens(rng *rand.Rand, promptBytes int) int64 {
	median := float64(longMedianTokens)
	if promptBytes < shortPromptBytes {
		median = shortMedianTokens
	}
	tokens := int64(median * math.Exp(lengthSigma*rng.NormFloat64()))
	return min(max(tokens, tagTokens+1), maxAnswerTokens)
}

// answerText returns n tokens of an answer, starting at token from.
func answerText(answer string, from, n structs.Tokens) string {
	return answer[from*prefix.BytesPerToken : (from+n)*prefix.BytesPerToken]
}

// finishReason returns "length" if the answer reached maxTokens, else "stop".
func finishReason(answer string, maxTokens structs.Tokens) string {
	if prefix.CountTokens(answer) >= maxTokens {
		return "length"
	}
	return "stop"
}
