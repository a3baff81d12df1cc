package structs

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
)

// PromptPart identifies a part of a prompt that several requests may share.
type PromptPart uint64

// maxPartIDBytes bounds the IDs that are accepted; callers choose them.
const maxPartIDBytes = 64

// ParsePromptPart parses a hexadecimal ID. One of more than 64 bits is replaced
// by its hash. Other text is an error.
func ParsePromptPart(id string) (PromptPart, error) {
	if id == "" || len(id) > maxPartIDBytes {
		return 0, errors.NotValidf("prompt part ID of %d characters; 1 to %d are accepted:", len(id), maxPartIDBytes)
	}
	for i := range len(id) {
		if c := id[i] | 0x20; (c < '0' || c > '9') && (c < 'a' || c > 'f') {
			return 0, errors.NotValidf("prompt part ID %q, which is not hexadecimal:", id)
		}
	}
	if number, err := strconv.ParseUint(id, 16, 64); err == nil {
		return PromptPart(number), nil
	}
	return PromptPart(xxhash.Sum64String(id)), nil
}

// String returns the ID in hexadecimal, as logs show it.
func (p PromptPart) String() string { return strconv.FormatUint(uint64(p), 16) }

// maxLoggedParts bounds the parts of one prompt in a log line.
const maxLoggedParts = 16

// PromptParts is a list of parts, as logs show it.
type PromptParts []PromptPart

// String returns the first parts and the number of the others.
func (p PromptParts) String() string {
	if len(p) <= maxLoggedParts {
		return fmt.Sprint([]PromptPart(p))
	}
	return fmt.Sprintf("%v and %d more", []PromptPart(p[:maxLoggedParts]), len(p)-maxLoggedParts)
}
