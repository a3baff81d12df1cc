package configstore

// history is a ring buffer of the last HistoryLimit verdicts, indexed by change
// id.
type history struct {
	// entries holds at most HistoryLimit verdicts; next is the index of the
	// oldest one when it is full.
	entries []Verdict
	next    int
	byID    map[string]int
}

func newHistory() history { return history{byID: make(map[string]int)} }

func (h *history) add(v Verdict) {
	if len(h.entries) < HistoryLimit {
		h.byID[v.ChangeID] = len(h.entries)
		h.entries = append(h.entries, v)
		return
	}
	old := h.entries[h.next].ChangeID
	if h.byID[old] == h.next {
		delete(h.byID, old)
	}
	h.entries[h.next] = v
	h.byID[v.ChangeID] = h.next
	h.next = (h.next + 1) % HistoryLimit
}

func (h *history) find(changeID string) (Verdict, bool) {
	if changeID == "" {
		return Verdict{}, false
	}
	i, ok := h.byID[changeID]
	if !ok {
		return Verdict{}, false
	}
	return h.entries[i], true
}

func (h *history) all() []Verdict {
	out := make([]Verdict, 0, len(h.entries))
	out = append(out, h.entries[h.next:]...)
	return append(out, h.entries[:h.next]...)
}
