package completions

import (
	"encoding/json"
	"strconv"

	"github.com/samphirewing/samphirewing/state/structs"
)

// DoneMarker is the data of the event that ends a whole stream. A stream
// without it was cut.
const DoneMarker = "[DONE]"

// ErrorEvent is the name of the event that ends a stream which failed.
const ErrorEvent = "error"

// Usage counts tokens.
type Usage struct {
	PromptTokens     structs.Tokens `json:"prompt_tokens"`
	CompletionTokens structs.Tokens `json:"completion_tokens"`
	TotalTokens      structs.Tokens `json:"total_tokens"`
	Details          UsageDetails   `json:"prompt_tokens_details"`
}

// UsageDetails says how much of the prompt an engine had cached.
type UsageDetails struct {
	CachedTokens structs.Tokens `json:"cached_tokens"`
}

// NewUsage returns the usage of one answer.
func NewUsage(prompt, cached, output structs.Tokens) Usage {
	return Usage{
		PromptTokens:     prompt,
		CompletionTokens: output,
		TotalTokens:      prompt + output,
		Details:          UsageDetails{CachedTokens: cached},
	}
}

// Answer is a whole, unstreamed answer of either style, or one chunk of a
// streamed one.
type Answer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []Choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

// Choice is the one choice of an Answer. Text is set in the text style,
// Message in whole chat answers and Delta in chunks of them.
type Choice struct {
	Index        int          `json:"index"`
	Text         *string      `json:"text,omitempty"`
	Message      *ChatMessage `json:"message,omitempty"`
	Delta        *ChatMessage `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

// ChatMessage is the assistant's message.
type ChatMessage struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// NewAnswer returns a whole answer. Created is in Unix seconds.
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

// ChunkText returns the text that a chunk of either style carries.
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

// Encoder writes the JSON of the chunks of one streamed answer. What all
// chunks share is encoded once.
type Encoder struct {
	style Style
	head  []byte
}

// NewEncoder returns an Encoder. Created is in Unix seconds.
func NewEncoder(style Style, id structs.RequestID, model string, created int64) *Encoder {
	object := "text_completion"
	if style == StyleChat {
		object = "chat.completion.chunk"
	}
	head := append([]byte(nil), `{"id":`...)
	head = appendString(head, string(id))
	head = append(head, `,"object":"`...)
	head = append(head, object...)
	head = append(head, `","created":`...)
	head = strconv.AppendInt(head, created, 10)
	head = append(head, `,"model":`...)
	head = appendString(head, model)
	head = append(head, `,"choices":[`...)
	return &Encoder{style: style, head: head}
}

// AppendText appends a chunk that carries a piece of the answer.
func (e *Encoder) AppendText(dst []byte, text string, first bool) []byte {
	dst = append(dst, e.head...)
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

// AppendFinish appends the chunk that carries the finish reason.
func (e *Encoder) AppendFinish(dst []byte, finish string) []byte {
	dst = append(dst, e.head...)
	if e.style == StyleChat {
		dst = append(dst, `{"index":0,"delta":{},"finish_reason":`...)
	} else {
		dst = append(dst, `{"index":0,"text":"","finish_reason":`...)
	}
	dst = appendString(dst, finish)
	return append(dst, `}]}`...)
}

// AppendUsage appends the chunk that carries the usage and no choice.
func (e *Encoder) AppendUsage(dst []byte, u Usage) []byte {
	dst = append(dst, e.head...)
	dst = append(dst, `],"usage":`...)
	dst = appendJSON(dst, u)
	return append(dst, '}')
}

func appendString(dst []byte, s string) []byte { return appendJSON(dst, s) }

// appendJSON appends values that always have a JSON form.
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

// Model is one line of a ModelList.
type Model struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

// NewModelList returns the body for the given names.
func NewModelList(names []structs.Target) ModelList {
	list := ModelList{Object: "list", Data: make([]Model, 0, len(names))}
	for _, n := range names {
		list.Data = append(list.Data, Model{ID: string(n), Object: "model"})
	}
	return list
}
