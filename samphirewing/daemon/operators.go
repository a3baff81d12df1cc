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

// revisionPollInterval is the interval at which a waiting commit checks the
// peers' revisions.
const revisionPollInterval = 20 * time.Millisecond

// operatorBackend implements operatorapi.Backend; it also queries the other daemons.
type operatorBackend struct {
	daemon *Daemon
}

// View returns the configuration that this daemon currently applies.
func (b operatorBackend) View() configstore.View { return b.daemon.View() }

// Commit publishes a change set; see operatorapi.Backend.
func (b operatorBackend) Commit(ctx context.Context, c configstore.ChangeSet, wait bool) (operatorapi.CommitResult, error) {
	verdict, err := b.daemon.config.Commit(ctx, c)
	if err != nil {
		return operatorapi.CommitResult{}, err
	}
	result := operatorapi.CommitResult{Verdict: verdict}
	if wait && verdict.Accepted {
		result.Behind = b.awaitRevision(ctx, verdict.Revision)
	}
	return result, nil
}

// awaitRevision waits until every live daemon reports the revision, and returns
// those that are still behind when the context ends.
func (b operatorBackend) awaitRevision(ctx context.Context, revision configstore.Revision) []instance.ID {
	ticker := time.NewTicker(revisionPollInterval)
	defer ticker.Stop()
	for {
		behind := b.instancesBehind(revision)
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

func (b operatorBackend) instancesBehind(revision configstore.Revision) []instance.ID {
	var ids []instance.ID
	for _, m := range *b.daemon.members.live.Load() {
		if m.ID != b.daemon.self.ID && configstore.Revision(m.Revision) < revision {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// Query collects the rows of all daemons and lists the daemons that did not answer.
// The history is the same on every daemon, so it is read locally.
func (b operatorBackend) Query(ctx context.Context, q language.Query) (operatorapi.QueryResult, error) {
	if q.Subject == language.SubjectHistory {
		rows := b.daemon.localRows(ctx, q)
		return operatorapi.QueryResult{Answered: []operatorapi.DaemonRows{{Daemon: b.daemon.self.ID, Rows: rows}}}, nil
	}
	encoded, err := language.EncodeQuery(q)
	if err != nil {
		return operatorapi.QueryResult{}, errors.Trace(err)
	}
	return b.queryAll(ctx, q, encoded), nil
}

func (b operatorBackend) queryAll(ctx context.Context, q language.Query, encoded []byte) operatorapi.QueryResult {
	var (
		mu      sync.Mutex
		result  operatorapi.QueryResult
		pending sync.WaitGroup
	)
	for _, m := range *b.daemon.members.all.Load() {
		if m.State == membership.Dead {
			if m.Incarnation != 0 {
				result.Unresponsive = append(result.Unresponsive, operatorapi.UnresponsiveDaemon{Daemon: m.ID, Reason: "not heard from any more"})
			}
			continue
		}
		pending.Add(1)
		go func() {
			defer pending.Done()
			rows, err := b.queryOne(ctx, m.ID, q, encoded)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				result.Unresponsive = append(result.Unresponsive, operatorapi.UnresponsiveDaemon{Daemon: m.ID, Reason: err.Error()})
				return
			}
			result.Answered = append(result.Answered, operatorapi.DaemonRows{Daemon: m.ID, Rows: rows})
		}()
	}
	pending.Wait()
	sortResult(&result)
	return result
}

func sortResult(r *operatorapi.QueryResult) {
	sort.Slice(r.Answered, func(i, j int) bool { return r.Answered[i].Daemon < r.Answered[j].Daemon })
	sort.Slice(r.Unresponsive, func(i, j int) bool { return r.Unresponsive[i].Daemon < r.Unresponsive[j].Daemon })
}

func (b operatorBackend) queryOne(ctx context.Context, id instance.ID, q language.Query, encoded []byte) ([]language.Row, error) {
	if id == b.daemon.self.ID {
		return b.daemon.localRows(ctx, q), nil
	}
	response, err := b.daemon.mesh.Call(ctx, id, mesh.Message{Kind: kindQuery, Body: encoded})
	if err != nil {
		return nil, err
	}
	return language.DecodeRows(q.Subject, response.Body)
}

// handleQuery answers a query of another daemon.
func (d *Daemon) handleQuery(ctx context.Context, _ instance.Process, m mesh.Message) (mesh.Message, error) {
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

// Resolve settles a booking whose outcome is unknown. The key has the form
// organisation/key, as printed by show bookings.
func (b operatorBackend) Resolve(ctx context.Context, r operatorapi.Resolution) error {
	organisation, name, ok := strings.Cut(r.Key, "/")
	if !ok {
		return errors.Errorf("key %q names no organisation; give it as organisation/key, as show bookings prints it", r.Key)
	}
	key := journal.Key{Namespace: organisation + "/" + string(r.Service), Name: name}
	return b.daemon.bookings.journal.Resolve(ctx, key, journalOutcome(r.Outcome), r.Author)
}
