// Package prefix estimates prompt sizes and hashes prompt prefixes. Placement
// compares the hashes of a prompt with the prefixes that endpoints have cached.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	// BytesPerToken is the estimated average length of a token in bytes.
	BytesPerToken = 4
	// BlockTokens is the size of a hashed block in estimated tokens.
	BlockTokens = 64
	// MaxBlocks is the maximum number of hashes of a request.
	MaxBlocks = 128

	blockBytes = BlockTokens * BytesPerToken
)

// CountTokens returns the estimated number of tokens of a text, at least 1 for a
// non-empty text.
func CountTokens(text string) structs.Tokens {
	return structs.Tokens((len(text) + BytesPerToken - 1) / BytesPerToken)
}

// Hashes returns one hash for each complete block of the prompt, at most
// MaxBlocks. Each hash covers the model, the block and all blocks before it.
func Hashes(model, prompt string) []structs.PrefixHash {
	blocks := min(len(prompt)/blockBytes, MaxBlocks)
	hashes := make([]structs.PrefixHash, 0, blocks)
	previous := xxhash.Sum64String(model)
	for i := range blocks {
		previous = chainHash(previous, prompt[i*blockBytes:(i+1)*blockBytes])
		hashes = append(hashes, structs.PrefixHash(previous))
	}
	return hashes
}

// chainHash returns the hash of a block that follows blocks with the previous
// hash.
func chainHash(previous uint64, block string) uint64 {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], previous)
	d := xxhash.New()
	_, _ = d.Write(seed[:])
	_, _ = d.WriteString(block)
	return d.Sum64()
}
