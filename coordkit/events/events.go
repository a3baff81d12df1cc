// Package events writes numbered log events.
//
// Every event has a fixed number and name, listed in docs/EVENTS.md, and
// structured fields. Events never contain secrets, prompts or answers.
package events

import (
	"github.com/apex/log"
)

// Event is one entry of the catalogue.
type Event struct {
	// Number is unique in the product and never reused.
	Number int
	// Name is a short stable identifier in lower case with dashes.
	Name  string
	Level log.Level
}

// Field is one structured value of an event.
type Field struct {
	Name  string
	Value any
}

// F returns a Field.
func F(name string, value any) Field { return Field{Name: name, Value: value} }

// Sink receives events.
type Sink interface {
	Emit(e Event, fields ...Field)
}

// Logger is a Sink that writes to an apex/log interface.
type Logger struct {
	Log log.Interface
}

// Emit writes the event with its number as the field "event".
func (l Logger) Emit(e Event, fields ...Field) {
	entry := l.Log.WithField("event", e.Number)
	for _, f := range fields {
		entry = entry.WithField(f.Name, plainValue(f.Value))
	}
	switch e.Level {
	case log.DebugLevel:
		entry.Debug(e.Name)
	case log.InfoLevel:
		entry.Info(e.Name)
	case log.WarnLevel:
		entry.Warn(e.Name)
	default:
		entry.Error(e.Name)
	}
}

// plainValue converts errors to their text, which every log format can write.
func plainValue(value any) any {
	if err, ok := value.(error); ok && err != nil {
		return err.Error()
	}
	return value
}

// Discard drops every event.
type Discard struct{}

// Emit does nothing.
func (Discard) Emit(Event, ...Field) {}
