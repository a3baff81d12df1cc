package lease

import (
	"sort"
	"time"
)

// Held returns the leases held at now, sorted by name.
func (h *Holder) Held(now time.Time) []Grant {
	var grants []Grant
	for n, w := range h.wanted {
		if _, ok := h.Valid(now, n); ok {
			grants = append(grants, Grant{Name: n, Fencing: w.fencing, Until: w.until})
		}
	}
	sort.Slice(grants, func(i, j int) bool { return grants[i].Name < grants[j].Name })
	return grants
}

// Held returns the leases that this process holds now, sorted by name.
func (l *Leases) Held() []Grant {
	answer := make(chan []Grant, 1)
	l.post(func(now time.Time) { answer <- l.holder.Held(now) })
	select {
	case grants := <-answer:
		return grants
	case <-l.ctx.Done():
		return nil
	}
}
