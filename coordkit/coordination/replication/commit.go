package replication

import (
	"sort"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/state/configstore"
	"github.com/samphirewing/coordkit/state/eventlog"
)

// ErrNotReady means that no state has been loaded yet, from the log or a peer.
const ErrNotReady = errors.ConstError("the configuration is not loaded yet; nothing was appended, try again in a few seconds")

// commitQueue holds the submitted changes that are not settled.
type commitQueue struct {
	// byID and byToken hold the same commits; a token is known while its
	// append is outstanding.
	byID      map[string]*commit
	byToken   map[uint64]*commit
	lastToken uint64
}

type commit struct {
	change     configstore.ChangeSet
	generation configstore.Generation
	appending  bool
	// uncertain is set when an append may have taken effect.
	uncertain bool
	retryAt   time.Time
}

func newCommitQueue() commitQueue {
	return commitQueue{byID: make(map[string]*commit), byToken: make(map[uint64]*commit)}
}

func (q *commitQueue) waiting() bool { return len(q.byID) > 0 }

func (q *commitQueue) remove(id string) { delete(q.byID, id) }

func (q *commitQueue) token() uint64 {
	q.lastToken++
	return q.lastToken
}

// sortedIDs returns the ids in a fixed order.
func (q *commitQueue) sortedIDs() []string {
	ids := make([]string, 0, len(q.byID))
	for id := range q.byID {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	return ids
}

func (r *Replica) submit(now time.Time, c configstore.ChangeSet) {
	if !r.loaded {
		r.emit(Settled{ChangeID: c.ID, Err: ErrNotReady})
		return
	}
	if v, ok := r.fold.store.Lookup(c.ID); ok {
		r.emit(Settled{ChangeID: c.ID, Verdict: v})
		return
	}
	k := &commit{change: c, generation: r.Revision().Generation()}
	r.commits.byID[c.ID] = k
	r.appendCommit(now, k)
}

func (r *Replica) appendCommit(now time.Time, k *commit) {
	data, err := configstore.EncodeChangeSet(k.generation, k.change)
	if err != nil {
		r.settleError(k, err)
		return
	}
	token := r.commits.token()
	k.appending = true
	r.commits.byToken[token] = k
	r.emit(AppendRecord{Token: token, Data: data})
}

func (r *Replica) appended(now time.Time, e Appended) {
	if r.snap.appended(now, e) {
		if r.snap.whole {
			r.snap.whole = false
			r.note(NoteSnapshot, "revision "+r.Revision().String())
			r.scheduleRead(now)
		}
		return
	}
	k := r.commits.byToken[e.Token]
	delete(r.commits.byToken, e.Token)
	if k == nil {
		return
	}
	k.appending = false
	switch {
	case e.Err == nil:
		k.uncertain = true
		k.retryAt = time.Time{}
		r.scheduleRead(now)
	case errors.Is(e.Err, eventlog.ErrUnavailable) && !k.uncertain:
		r.settleError(k, e.Err)
	default:
		k.uncertain = true
		k.retryAt = now.Add(appendRetry)
		r.scheduleRead(now)
	}
}

// retryCommits appends again what may have been lost. The fold counts a
// change id once, so a second record does no harm.
func (r *Replica) retryCommits(now time.Time) {
	for _, id := range r.commits.sortedIDs() {
		k := r.commits.byID[id]
		if k.appending || k.retryAt.IsZero() || now.Before(k.retryAt) {
			continue
		}
		k.retryAt = time.Time{}
		r.appendCommit(now, k)
	}
}

func (r *Replica) settleError(k *commit, err error) {
	r.commits.remove(k.change.ID)
	r.emit(Settled{ChangeID: k.change.ID, Err: err})
}

func (r *Replica) settle(v configstore.Verdict) {
	if _, ok := r.commits.byID[v.ChangeID]; !ok {
		return
	}
	r.commits.remove(v.ChangeID)
	r.emit(Settled{ChangeID: v.ChangeID, Verdict: v})
}

// settleFromHistory settles commits after a whole state was adopted. A commit
// for a generation that is gone will never be accepted.
func (r *Replica) settleFromHistory() {
	for _, id := range r.commits.sortedIDs() {
		if v, ok := r.fold.store.Lookup(id); ok {
			r.settle(v)
			continue
		}
		k := r.commits.byID[id]
		if k.generation != r.Revision().Generation() {
			r.settle(configstore.Verdict{
				ChangeID: id, Author: k.change.Author, Statement: k.change.Statement,
				Revision: r.Revision(),
				Conflict: &configstore.Conflict{Kind: configstore.ConflictGeneration},
			})
		}
	}
}
