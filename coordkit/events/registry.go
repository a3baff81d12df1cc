package events

import (
	"fmt"
	"sort"
	"sync"

	"github.com/apex/log"
)

var (
	registryMu sync.Mutex
	registry   []Event
)

// New registers an event of the catalogue. It is called from package variables
// only and panics when the number is already registered.
func New(number int, name string, level log.Level) Event {
	registryMu.Lock()
	defer registryMu.Unlock()
	for _, e := range registry {
		if e.Number == number {
			panic(fmt.Sprintf("event number %d is taken by %s", number, e.Name))
		}
	}
	e := Event{Number: number, Name: name, Level: level}
	registry = append(registry, e)
	return e
}

// All returns the registered events, sorted by number.
func All() []Event {
	registryMu.Lock()
	defer registryMu.Unlock()
	all := append([]Event(nil), registry...)
	sort.Slice(all, func(i, j int) bool { return all[i].Number < all[j].Number })
	return all
}
