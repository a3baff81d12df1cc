package completions

import (
	"encoding/json"
	"strconv"

	"github.com/samphirewing/samphirewing/state/structs"
)

// DoneMarker is the data of the event that ends a complete stream. A stream
// without it is truncated.
const DoneMarker = "[DONE]"

// ErrorEvent is the name of the event that ends a failed stream.
const ErrorEvent = "error"

// Usage is the number of tokens that one request used.
type Usage struct {
	PromptTokens     structs.Tokens `json:"prompt_tokens"`
	CompletionTokens structs.Tokens `json:"completion_tokens"`
	TotalTokens      structs.Tokens `json:"total_tokens"`
	Details          UsageDetails   `json:"prompt_tokens_details"`
}

// UsageDetails breaks down the prompt tokens.
type UsageDetails struct {
	// CachedTokens is how many prompt tokens the engine had cached.
	CachedTokens structs.Tokens `json:"cached_tokens"`
}

// NewUsage returns the usage for the given numbers of prompt tokens, cached
// prompt tokens and output tokens.
func NewUsage(prompt, cached, output structs.Tokens) Usage {
	return Usage{
		PromptTokens:     prompt,
		CompletionTokens: output,
		TotalTokens:      prompt + output,
		Details:          UsageDetails{CachedTokens: cached},
	}
}

// Answer is a complete, unstreamed answer of either style, or one chunk of a
// streamed answer.
type Answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is the only choice of an Answer. Text is set in the text style, Message
// in a complete chat answer and Delta in a chunk of a chat answer.
type Choice struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Message      *ChatMessage `json:"message,omitempty"`
	Delta        *ChatMessage `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

// ChatMessage is a message of the assistant, or a part of one in a chunk.
type ChatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// NewAnswer returns a complete answer. Created is in Unix seconds.
func NewAnswer(style Style, id structs.RequestID, model string, created int64, text, finish string, usage Usage) Answer {
	choice := Choice{FinishReason: &finish}
	object := "text_completion"
	if style == StyleChat {
		object = "chat.completion"
		choice.Message = &ChatMessage{Role: "assistant", Content: text}
	} else {
		choice.Text = &text
	}
	return Answer{
		ID:      string(id),
		Object:  object,
		Created: created,
		Model:   model,
		Choices: []Choice{choice},
		Usage:   &usage,
	}
}

// ChunkText returns the text of a chunk or complete answer of either style, or an
// empty string if it has none.
func (a Answer) ChunkText() string {
	if len(a.Choices) == 0 {
		return ""
	}
	c := a.Choices[0]
	switch {
	case c.Text != nil:
		return *c.Text
	case c.Delta != nil:
		return c.Delta.Content
	case c.Message != nil:
		return c.Message.Content
	default:
		return ""
	}
}

// Encoder encodes the chunks of one streamed answer as JSON.
type Encoder struct {
	style Style
	// prefix is the JSON up to the choices, which all chunks share.
	prefix []byte
}

// NewEncoder returns an Encoder for one answer. Created is in Unix seconds.
func NewEncoder(style Style, id structs.RequestID, model string, created int64) *Encoder {
	object := "text_completion"
	if style == StyleChat {
		object = "chat.completion.chunk"
	}
	prefix := append([]byte(nil), `{"id":`...)
	prefix = appendString(prefix, string(id))
	prefix = append(prefix, `,"object":"`...)
	prefix = append(prefix, object...)
	prefix = append(prefix, `","created":`...)
	prefix = strconv.AppendInt(prefix, created, 10)
	prefix = append(prefix, `,"model":`...)
	prefix = appendString(prefix, model)
	prefix = append(prefix, `,"choices":[`...)
	return &Encoder{style: style, prefix: prefix}
}

// AppendText appends a chunk with a piece of the answer's text. The first chunk
// of a chat answer carries the role, too.
func (e *Encoder) AppendText(dst []byte, text string, first bool) []byte {
	dst = append(dst, e.prefix...)
	switch {
	case e.style != StyleChat:
		dst = append(dst, `{"index":0,"text":`...)
		dst = appendString(dst, text)
		return append(dst, `,"finish_reason":null}]}`...)
	case first:
		dst = append(dst, `{"index":0,"delta":{"role":"assistant","content":`...)
	default:
		dst = append(dst, `{"index":0,"delta":{"content":`...)
	}
	dst = appendString(dst, text)
	return append(dst, `},"finish_reason":null}]}`...)
}

// AppendFinish appends the chunk with the finish reason.
func (e *Encoder) AppendFinish(dst []byte, finish string) []byte {
	dst = append(dst, e.prefix...)
	if e.style == StyleChat {
		dst = append(dst, `{"index":0,"delta":{},"finish_reason":`...)
	} else {
		dst = append(dst, `{"index":0,"text":"","finish_reason":`...)
	}
	dst = appendString(dst, finish)
	return append(dst, `}]}`...)
}

// AppendUsage appends the chunk with the usage and no choices.
func (e *Encoder) AppendUsage(dst []byte, u Usage) []byte {
	dst = append(dst, e.prefix...)
	dst = append(dst, `],"usage":`...)
	dst = appendJSON(dst, u)
	return append(dst, '}')
}

func appendString(dst []byte, s string) []byte { return appendJSON(dst, s) }

// appendJSON appends the JSON of a value that can always be encoded.
func appendJSON(dst []byte, v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return append(dst, data...)
}

// ModelList is the body of GET /v1/models.
type ModelList struct {
	Object string  `json:"object"`
	Data   []Model `json:"data"`
}

// Model is one entry of a ModelList.
type Model struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

// NewModelList returns the list of the models with the given names.
func NewModelList(names []structs.Target) ModelList {
	list := ModelList{Object: "list", Data: make([]Model, 0, len(names))}
	for _, n := range names {
		list.Data = append(list.Data, Model{ID: string(n), Object: "model"})
	}
	return list
}
