package netfault

import (
	"encoding/json"
	"net/http"
	"sync"
)

// maxSwitchBytes bounds the body of a PUT of fault switches.
const maxSwitchBytes = 64 << 10

// Switches holds the fault switches of one stand-in. The zero value holds a
// zero T. It is safe for concurrent use.
type Switches[T any] struct {
	mu      sync.Mutex
	value   T
	changed chan struct{}
}

// Get returns the switches and a channel that is closed when they change.
func (s *Switches[T]) Get() (T, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.value, s.changed
}

// Set replaces the switches.
func (s *Switches[T]) Set(value T) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.value = value
	if s.changed != nil {
		close(s.changed)
	}
	s.changed = make(chan struct{})
}

// SwitchHandler returns the switches on GET and replaces all of them on PUT. A
// PUT of {} clears all faults.
func SwitchHandler[T any](get func() T, set func(T) error) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPut {
			var value T
			decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxSwitchBytes))
			decoder.DisallowUnknownFields()
			if err := decoder.Decode(&value); err != nil {
				WriteError(w, http.StatusBadRequest, err.Error())
				return
			}
			if err := set(value); err != nil {
				WriteError(w, http.StatusInternalServerError, err.Error())
				return
			}
		}
		WriteJSON(w, http.StatusOK, get())
	})
}

// DumpHandler serves a value as JSON.
func DumpHandler[T any](get func() T) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { WriteJSON(w, http.StatusOK, get()) })
}

// ActionHandler performs an action on POST.
func ActionHandler(act func()) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost {
			WriteError(w, http.StatusMethodNotAllowed, "use POST")
			return
		}
		act()
		w.WriteHeader(http.StatusNoContent)
	})
}

// WriteJSON writes a response with a status and a JSON body.
func WriteJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// errorBody is the body of an error response.
type errorBody struct {
	Error string `json:"error"`
}

// WriteError writes an error response with a status and a message.
func WriteError(w http.ResponseWriter, status int, message string) {
	WriteJSON(w, status, errorBody{Error: message})
}
