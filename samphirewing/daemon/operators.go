package daemon

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/coordination/journal"
	"github.com/samphirewing/coordkit/coordination/membership"
	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/state/configstore"
	"github.com/samphirewing/coordkit/transport/mesh"
	"github.com/samphirewing/samphirewing/language"
	"github.com/samphirewing/samphirewing/transport/operatorapi"
)

// inForcePoll is how often a waiting commit looks at the others' revisions.
const inForcePoll = 20 * time.Millisecond

// operatorBackend serves operators from this daemon and asks the others.
type operatorBackend struct {
	daemon *Daemon
}

// View returns the configuration in force here.
func (b operatorBackend) View() configstore.View { return b.daemon.View() }

// Commit publishes a change set; see operatorapi.Backend.
func (b operatorBackend) Commit(ctx context.Context, c configstore.ChangeSet, wait bool) (operatorapi.CommitResult, error) {
	verdict, err := b.daemon.config.Commit(ctx, c)
	if err != nil {
		return operatorapi.CommitResult{}, err
	}
	result := operatorapi.CommitResult{Verdict: verdict}
	if wait && verdict.Accepted {
		result.Behind = b.awaitInForce(ctx, verdict.Revision)
	}
	return result, nil
}

// awaitInForce waits until every live daemon reports the revision, and
// returns those that do not when the context ends.
func (b operatorBackend) awaitInForce(ctx context.Context, revision configstore.Revision) []instance.ID {
	ticker := time.NewTicker(inForcePoll)
	defer ticker.Stop()
	for {
		behind := b.behind(revision)
		if len(behind) == 0 {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return behind
		}
	}
}

func (b operatorBackend) behind(revision configstore.Revision) []instance.ID {
	var ids []instance.ID
	for _, m := range *b.daemon.members.live.Load() {
		if m.ID != b.daemon.self.ID && configstore.Revision(m.Revision) < revision {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// Query asks every daemon for its rows and names those that did not answer.
func (b operatorBackend) Query(ctx context.Context, q language.Query) (operatorapi.QueryResult, error) {
	if q.Subject == language.SubjectHistory {
		rows := b.daemon.localRows(ctx, q)
		return operatorapi.QueryResult{Answered: []operatorapi.DaemonRows{{Daemon: b.daemon.self.ID, Rows: rows}}}, nil
	}
	encoded, err := language.EncodeQuery(q)
	if err != nil {
		return operatorapi.QueryResult{}, errors.Trace(err)
	}
	return b.askAll(ctx, q, encoded), nil
}

func (b operatorBackend) askAll(ctx context.Context, q language.Query, encoded []byte) operatorapi.QueryResult {
	var (
		mu      sync.Mutex
		result  operatorapi.QueryResult
		waiting sync.WaitGroup
	)
	for _, m := range *b.daemon.members.all.Load() {
		if m.State == membership.Dead {
			if m.Incarnation != 0 {
				result.Unresponsive = append(result.Unresponsive, operatorapi.UnresponsiveDaemon{Daemon: m.ID, Reason: "not heard from any more"})
			}
			continue
		}
		waiting.Add(1)
		go func() {
			defer waiting.Done()
			rows, err := b.askOne(ctx, m.ID, q, encoded)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				result.Unresponsive = append(result.Unresponsive, operatorapi.UnresponsiveDaemon{Daemon: m.ID, Reason: err.Error()})
				return
			}
			result.Answered = append(result.Answered, operatorapi.DaemonRows{Daemon: m.ID, Rows: rows})
		}()
	}
	waiting.Wait()
	sortResult(&result)
	return result
}

func sortResult(r *operatorapi.QueryResult) {
	sort.Slice(r.Answered, func(i, j int) bool { return r.Answered[i].Daemon < r.Answered[j].Daemon })
	sort.Slice(r.Unresponsive, func(i, j int) bool { return r.Unresponsive[i].Daemon < r.Unresponsive[j].Daemon })
}

func (b operatorBackend) askOne(ctx context.Context, id instance.ID, q language.Query, encoded []byte) ([]language.Row, error) {
	if id == b.daemon.self.ID {
		return b.daemon.localRows(ctx, q), nil
	}
	answer, err := b.daemon.mesh.Call(ctx, id, mesh.Message{Kind: kindQuery, Body: encoded})
	if err != nil {
		return nil, err
	}
	return language.DecodeRows(q.Subject, answer.Body)
}

// onQuery answers another daemon's question.
func (d *Daemon) onQuery(ctx context.Context, _ instance.Process, m mesh.Message) (mesh.Message, error) {
	q, err := language.DecodeQuery(m.Body)
	if err != nil {
		return mesh.Message{}, err
	}
	rows := q.Select(d.localRows(ctx, q))
	body, err := language.EncodeRows(rows)
	if err != nil {
		return mesh.Message{}, err
	}
	return mesh.Message{Kind: kindQuery, Body: body}, nil
}

// Resolve settles a booking whose outcome is unknown. The key is given as
// organisation/key, as show bookings prints it.
func (b operatorBackend) Resolve(ctx context.Context, r operatorapi.Resolution) error {
	organisation, name, ok := strings.Cut(r.Key, "/")
	if !ok {
		return errors.Errorf("key %q names no organisation; give it as organisation/key, as show bookings prints it", r.Key)
	}
	key := journal.Key{Namespace: organisation + "/" + string(r.Service), Name: name}
	return b.daemon.bookings.journal.Resolve(ctx, key, journalOutcome(r.Outcome), r.Author)
}
