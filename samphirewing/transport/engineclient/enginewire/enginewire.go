// Package enginewire defines the messages of the engines' HTTP interface.
//
// The response to a generation has one JSON object per line. An empty line is a
// keep-alive. docs/design/edge.md describes the interface.
package enginewire

import (
	"github.com/samphirewing/samphirewing/state/structs"
)

// The paths of the interface.
const (
	PathGenerate    = "/v1/generate"
	PathResume      = "/v1/resume"
	PathCancel      = "/v1/cancel"
	PathLoad        = "/v1/load"
	PathCacheEvents = "/v1/cache-events"
	PathOrder       = "/v1/order"
	PathState       = "/v1/state"
)

// Attempt identifies one dispatch of a request.
type Attempt struct {
	Request structs.RequestID `json:"request"`
	Attempt uint64            `json:"attempt"`
}

// Generate is the request body of PathGenerate.
type Generate struct {
	Attempt
	Model       string         `json:"model"`
	Prompt      string         `json:"prompt"`
	MaxTokens   structs.Tokens `json:"max_tokens"`
	Seed        int64          `json:"seed,omitempty"`
	Temperature float64        `json:"temperature,omitempty"`
	Stop        []string       `json:"stop,omitempty"`
}

// Resume is the request body of PathResume. After is the last sequence number that
// the client received.
type Resume struct {
	Attempt
	After uint64 `json:"after"`
}

// Frame is one line of an answer. A frame with Error set is the last one.
type Frame struct {
	Attempt
	Sequence     uint64         `json:"sequence"`
	Text         string         `json:"text"`
	Tokens       structs.Tokens `json:"tokens,omitempty"`
	Last         bool           `json:"last,omitempty"`
	FinishReason string         `json:"finish_reason,omitempty"`
	PromptTokens structs.Tokens `json:"prompt_tokens,omitempty"`
	CachedTokens structs.Tokens `json:"cached_tokens,omitempty"`
	OutputTokens structs.Tokens `json:"output_tokens,omitempty"`
	Error        string         `json:"error,omitempty"`
}

// Load is the response body of PathLoad.
type Load struct {
	AgeMillis     int64          `json:"age_ms"`
	Running       int            `json:"running"`
	Waiting       int            `json:"waiting"`
	TokensInUse   structs.Tokens `json:"tokens_in_use"`
	TokenCapacity structs.Tokens `json:"token_capacity"`
}

// CacheEvents is the response body of PathCacheEvents.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// CacheEvent is a change of the prefix cache.
type CacheEvent struct {
	Sequence uint64               `json:"sequence"`
	Stored   []structs.PrefixHash `json:"stored,omitempty"`
	Dropped  []structs.PrefixHash `json:"dropped,omitempty"`
	Cleared  bool                 `json:"cleared,omitempty"`
}

// Order is the request body of PathOrder. It holds the complete desired state.
type Order struct {
	Fencing  int64    `json:"fencing"`
	Models   []string `json:"models"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
}

// State is the response body of PathState and PathOrder.
type State struct {
	Models   []string `json:"models"`
	Adapters []string `json:"adapters"`
	Role     string   `json:"role"`
	Fencing  int64    `json:"fencing"`
}

// Error is the body of a response with a status other than 200.
type Error struct {
	Error string `json:"error"`
}
