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

// commitQueue holds the submitted changes whose outcome is not known yet.
type commitQueue struct {
	// byID and byToken refer to the same commits; a token is present while its
	// append is outstanding.
	byID      map[string]*pendingCommit
	byToken   map[uint64]*pendingCommit
	lastToken uint64
}

type pendingCommit struct {
	change     configstore.ChangeSet
	generation configstore.Generation
	appending  bool
	// uncertain is set when the record may have been appended.
	uncertain bool
	retryAt   time.Time
}

func newCommitQueue() commitQueue {
	return commitQueue{byID: make(map[string]*pendingCommit), byToken: make(map[uint64]*pendingCommit)}
}

func (q *commitQueue) hasPending() bool { return len(q.byID) > 0 }

func (q *commitQueue) remove(id string) { delete(q.byID, id) }

func (q *commitQueue) nextToken() uint64 {
	q.lastToken++
	return q.lastToken
}

// sortedIDs returns the ids in ascending order.
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
		r.emit(CompleteCommit{ChangeID: c.ID, Err: ErrNotReady})
		return
	}
	if v, ok := r.applier.store.Lookup(c.ID); ok {
		r.emit(CompleteCommit{ChangeID: c.ID, Verdict: v})
		return
	}
	commit := &pendingCommit{change: c, generation: r.Revision().Generation()}
	r.commits.byID[c.ID] = commit
	r.appendCommit(now, commit)
}

func (r *Replica) appendCommit(now time.Time, commit *pendingCommit) {
	data, err := configstore.EncodeChangeSet(commit.generation, commit.change)
	if err != nil {
		r.failCommit(commit, err)
		return
	}
	token := r.commits.nextToken()
	commit.appending = true
	r.commits.byToken[token] = commit
	r.emit(AppendRecord{Token: token, Data: data})
}

func (r *Replica) handleAppend(now time.Time, e Appended) {
	if r.snap.handleAppend(now, e) {
		if r.snap.completed {
			r.snap.completed = false
			r.notify(NoticeSnapshot, "revision "+r.Revision().String())
			r.scheduleRead(now)
		}
		return
	}
	commit := r.commits.byToken[e.Token]
	delete(r.commits.byToken, e.Token)
	if commit == nil {
		return
	}
	commit.appending = false
	switch {
	case e.Err == nil:
		commit.uncertain = true
		commit.retryAt = time.Time{}
		r.scheduleRead(now)
	case errors.Is(e.Err, eventlog.ErrUnavailable) && !commit.uncertain:
		r.failCommit(commit, e.Err)
	default:
		commit.uncertain = true
		commit.retryAt = now.Add(appendRetryDelay)
		r.scheduleRead(now)
	}
}

// retryCommits repeats appends whose outcome is unknown. A change id is applied
// only once, so a duplicate record has no effect.
func (r *Replica) retryCommits(now time.Time) {
	for _, id := range r.commits.sortedIDs() {
		commit := r.commits.byID[id]
		if commit.appending || commit.retryAt.IsZero() || now.Before(commit.retryAt) {
			continue
		}
		commit.retryAt = time.Time{}
		r.appendCommit(now, commit)
	}
}

func (r *Replica) failCommit(commit *pendingCommit, err error) {
	r.commits.remove(commit.change.ID)
	r.emit(CompleteCommit{ChangeID: commit.change.ID, Err: err})
}

func (r *Replica) completeCommit(v configstore.Verdict) {
	if _, ok := r.commits.byID[v.ChangeID]; !ok {
		return
	}
	r.commits.remove(v.ChangeID)
	r.emit(CompleteCommit{ChangeID: v.ChangeID, Verdict: v})
}

// completeFromHistory completes commits after a state was adopted. A commit
// written for an earlier generation can no longer be accepted.
func (r *Replica) completeFromHistory() {
	for _, id := range r.commits.sortedIDs() {
		if v, ok := r.applier.store.Lookup(id); ok {
			r.completeCommit(v)
			continue
		}
		commit := r.commits.byID[id]
		if commit.generation != r.Revision().Generation() {
			r.completeCommit(configstore.Verdict{
				ChangeID: id, Author: commit.change.Author, Statement: commit.change.Statement,
				Revision: r.Revision(),
				Conflict: &configstore.Conflict{Kind: configstore.ConflictGeneration},
			})
		}
	}
}
