// Package completions defines the request, answer and error bodies of the widely
// used completions API, so that existing clients work after a change of their
// base URL.
package completions

import (
	"bytes"
	"encoding/json"
	"math"
	"strings"
	"unicode/utf8"

	"github.com/juju/errors"

	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	// MaxOutputTokens is the maximum of max_tokens.
	MaxOutputTokens structs.Tokens = 1 << 20
	// MaxTemperature is the maximum of temperature.
	MaxTemperature = 2.0
	// MaxStopSequences is the maximum number of stop sequences of a request.
	MaxStopSequences = 16
	// MaxStopBytes is the maximum length of a stop sequence.
	MaxStopBytes = 256
	// MaxMessages is the maximum number of messages of a chat.
	MaxMessages = 4096
	// MaxModelBytes is the maximum length of a model name.
	MaxModelBytes = 64
)

// Style is the API style of a request: chat messages or a text prompt.
type Style int8

// The API styles.
const (
	StyleChat Style = iota + 1
	StyleText
)

// FieldError reports an invalid request body.
type FieldError struct {
	// Field is the JSON path of the invalid field, or "body".
	Field  string
	Detail string
	Remedy string
}

// Error returns the field, the detail and the remedy.
func (e *FieldError) Error() string { return e.Field + ": " + e.Detail + "; " + e.Remedy }

// Request is a decoded request of either style.
type Request struct {
	Model string
	// Prompt is the complete prompt for the engine.
	Prompt string
	// MaxTokens is zero if the caller sets no limit.
	MaxTokens structs.Tokens
	// Temperature and Seed are zero if the caller sends none.
	Temperature float64
	Seed        int64
	Stop        []string
	Stream      bool
	// IncludeUsage requests a usage chunk at the end of a stream.
	IncludeUsage bool
}

// Message is one message of a chat.
type Message struct {
	Role    string
	Content string
}

// JoinMessages returns the prompt for a chat: a line "role: content" for each
// message, then "assistant: ". Chats with a common beginning have prompts with a
// common prefix, so that endpoints can reuse cached prefixes.
func JoinMessages(messages []Message) string {
	size := len("assistant: ")
	for _, m := range messages {
		size += len(m.Role) + len(m.Content) + len(": \n")
	}
	var b strings.Builder
	b.Grow(size)
	for _, m := range messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	b.WriteString("assistant: ")
	return b.String()
}

// body has the fields common to both styles. Callers see the name of this type:
// encoding/json includes it in the path of a field with a wrong type, such as
// "body.model".
type body struct {
	Model               string          `json:"model"`
	MaxTokens           *int64          `json:"max_tokens"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
	Temperature         *float64        `json:"temperature"`
	Seed                *int64          `json:"seed"`
	Stop                stringOrList    `json:"stop"`
	Stream              bool            `json:"stream"`
	StreamOptions       *streamOptions  `json:"stream_options"`
	N                   *int64          `json:"n"`
	Tools               json.RawMessage `json:"tools"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatBody struct {
	body
	Messages []chatMessage `json:"messages"`
}

type chatMessage struct {
	Role    string      `json:"role"`
	Content chatContent `json:"content"`
}

type textBody struct {
	body
	Prompt stringOrList `json:"prompt"`
}

// Decode decodes and validates a request body of the given style. The error is
// a *FieldError.
func Decode(style Style, data []byte) (Request, error) {
	if !utf8.Valid(data) {
		return Request{}, &FieldError{Field: "body", Detail: "not valid UTF-8", Remedy: "encode the JSON as UTF-8"}
	}
	if style == StyleChat {
		return decodeChat(data)
	}
	return decodeText(data)
}

func decodeChat(data []byte) (Request, error) {
	var b chatBody
	if err := unmarshal(data, &b); err != nil {
		return Request{}, err
	}
	if len(b.Messages) == 0 {
		return Request{}, &FieldError{Field: "messages", Detail: "no messages", Remedy: "send at least one message"}
	}
	if len(b.Messages) > MaxMessages {
		return Request{}, &FieldError{Field: "messages", Detail: "more than 4096 messages", Remedy: "send fewer messages"}
	}
	messages := make([]Message, 0, len(b.Messages))
	for _, m := range b.Messages {
		if !isKnownRole(m.Role) {
			return Request{}, &FieldError{Field: "messages.role", Detail: "unknown role", Remedy: "use system, developer, user, assistant or tool"}
		}
		messages = append(messages, Message{Role: m.Role, Content: string(m.Content)})
	}
	return b.request(JoinMessages(messages))
}

func isKnownRole(role string) bool {
	switch role {
	case "system", "developer", "user", "assistant", "tool":
		return true
	default:
		return false
	}
}

func decodeText(data []byte) (Request, error) {
	var b textBody
	if err := unmarshal(data, &b); err != nil {
		return Request{}, err
	}
	if len(b.Prompt) != 1 || b.Prompt[0] == "" {
		return Request{}, &FieldError{Field: "prompt", Detail: "not exactly one text", Remedy: "send one prompt in each request"}
	}
	return b.request(b.Prompt[0])
}

// unmarshal decodes JSON and converts errors of encoding/json to *FieldError.
func unmarshal(data []byte, into any) error {
	err := json.Unmarshal(data, into)
	if err == nil {
		return nil
	}
	var fieldErr *FieldError
	if errors.As(err, &fieldErr) {
		return fieldErr
	}
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) && typeErr.Field != "" {
		return &FieldError{Field: typeErr.Field, Detail: "unexpected " + typeErr.Value, Remedy: "send a value of the documented type"}
	}
	return &FieldError{Field: "body", Detail: "not valid JSON: " + err.Error(), Remedy: "send one JSON object"}
}

// request validates the common fields and returns the request with the prompt.
func (b *body) request(prompt string) (Request, error) {
	r := Request{Model: b.Model, Prompt: prompt, Stop: b.Stop, Stream: b.Stream}
	if b.Model == "" || len(b.Model) > MaxModelBytes {
		return r, &FieldError{Field: "model", Detail: "missing or longer than 64 bytes", Remedy: "name a model of GET /v1/models"}
	}
	if b.N != nil && *b.N != 1 {
		return r, &FieldError{Field: "n", Detail: "only one answer for each request", Remedy: "leave n out and send several requests"}
	}
	if len(b.Tools) > 0 && !bytes.Equal(b.Tools, []byte("null")) && !bytes.Equal(b.Tools, []byte("[]")) {
		return r, &FieldError{Field: "tools", Detail: "tools are not supported", Remedy: "leave tools out"}
	}
	if b.StreamOptions != nil {
		r.IncludeUsage = b.StreamOptions.IncludeUsage
	}
	if b.Seed != nil {
		r.Seed = *b.Seed
	}
	if err := b.setMaxTokens(&r); err != nil {
		return r, err
	}
	if err := b.setTemperature(&r); err != nil {
		return r, err
	}
	return r, b.validateStop()
}

func (b *body) setMaxTokens(r *Request) error {
	limit := b.MaxCompletionTokens
	if limit == nil {
		limit = b.MaxTokens
	}
	if limit == nil {
		return nil
	}
	if *limit < 1 || *limit > int64(MaxOutputTokens) {
		return &FieldError{Field: "max_tokens", Detail: "not between 1 and 1048576", Remedy: "send a limit in that range or leave it out"}
	}
	r.MaxTokens = structs.Tokens(*limit)
	return nil
}

func (b *body) setTemperature(r *Request) error {
	if b.Temperature == nil {
		return nil
	}
	t := *b.Temperature
	if math.IsNaN(t) || t < 0 || t > MaxTemperature {
		return &FieldError{Field: "temperature", Detail: "not between 0 and 2", Remedy: "send a value in that range or leave it out"}
	}
	r.Temperature = t
	return nil
}

func (b *body) validateStop() error {
	if len(b.Stop) > MaxStopSequences {
		return &FieldError{Field: "stop", Detail: "more than 16 sequences", Remedy: "send fewer stop sequences"}
	}
	for _, s := range b.Stop {
		if s == "" || len(s) > MaxStopBytes {
			return &FieldError{Field: "stop", Detail: "a sequence is empty or longer than 256 bytes", Remedy: "shorten or drop it"}
		}
	}
	return nil
}

// stringOrList decodes a string, a list of strings or null.
type stringOrList []string

// UnmarshalJSON implements json.Unmarshaler.
func (l *stringOrList) UnmarshalJSON(data []byte) error {
	if isNull(data) {
		return nil
	}
	if isString(data) {
		*l = make(stringOrList, 1)
		return json.Unmarshal(data, &(*l)[0])
	}
	var list []string
	if err := json.Unmarshal(data, &list); err != nil {
		return &FieldError{Field: "prompt or stop", Detail: "neither a text nor a list of texts", Remedy: "send text, not token numbers"}
	}
	*l = list
	return nil
}

// chatContent decodes a string, null, or a list of text parts, which it
// concatenates.
type chatContent string

// UnmarshalJSON implements json.Unmarshaler.
func (c *chatContent) UnmarshalJSON(data []byte) error {
	if isNull(data) {
		return nil
	}
	if isString(data) {
		return json.Unmarshal(data, (*string)(c))
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return &FieldError{Field: "messages.content", Detail: "neither a text nor a list of parts", Remedy: "send text"}
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return &FieldError{Field: "messages.content", Detail: "a part that is not text", Remedy: "send parts of type text only"}
		}
		b.WriteString(p.Text)
	}
	*c = chatContent(b.String())
	return nil
}

// isNull reports whether a JSON value is null. The first byte decides, because
// encoding/json passes only complete, valid values to UnmarshalJSON.
func isNull(data []byte) bool { return data[0] == 'n' }

// isString reports whether a JSON value is a string, like isNull by its first
// byte.
func isString(data []byte) bool { return data[0] == '"' }
