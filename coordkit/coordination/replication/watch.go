package replication

import (
	"sync"

	"github.com/samphirewing/coordkit/state/configstore"
)

// watcherList holds the functions that are called with each new state.
type watcherList struct {
	mu    sync.Mutex
	funcs []func(configstore.View)
}

func (w *watcherList) add(f func(configstore.View)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.funcs = append(w.funcs, f)
}

func (w *watcherList) call(v configstore.View) {
	w.mu.Lock()
	funcs := w.funcs
	w.mu.Unlock()
	for _, f := range funcs {
		f(v)
	}
}
