// Package prefix estimates prompt sizes and hashes prompt prefixes, so that
// placements can compare a prompt with what endpoints have cached.
package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	// BytesPerToken estimates how much text one token covers.
	BytesPerToken = 4
	// BlockTokens is the size of one hashed block in tokens.
	BlockTokens = 64
	// MaxBlocks bounds the hashes that one request carries.
	MaxBlocks = 128

	blockBytes = BlockTokens * BytesPerToken
)

// CountTokens estimates the tokens of a text, at least 1 for any text.
func CountTokens(text string) structs.Tokens {
	return structs.Tokens((len(text) + BytesPerToken - 1) / BytesPerToken)
}

// Hashes returns one hash for each whole block of the prompt for the given
// model, each covering the block and all before it, at most MaxBlocks.
func Hashes(model, prompt string) []structs.PrefixHash {
	blocks := min(len(prompt)/blockBytes, MaxBlocks)
	hashes := make([]structs.PrefixHash, 0, blocks)
	previous := xxhash.Sum64String(model)
	for i := range blocks {
		previous = chain(previous, prompt[i*blockBytes:(i+1)*blockBytes])
		hashes = append(hashes, structs.PrefixHash(previous))
	}
	return hashes
}

func chain(previous uint64, block string) uint64 {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], previous)
	d := xxhash.New()
	_, _ = d.Write(seed[:])
	_, _ = d.WriteString(block)
	return d.Sum64()
}
