package replication_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/samphirewing/coordkit/coordination/internal/localmesh"
	"github.com/samphirewing/coordkit/coordination/replication"
	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/state/configstore"
	"github.com/samphirewing/coordkit/state/eventlog/memlog"
	"github.com/samphirewing/coordkit/transport/clock"
)

const stream = "configuration"

func startRunner(t testing.TB, log *memlog.Log, net *localmesh.Network, id instance.ID) *replication.Runner {
	r, err := replication.Start(replication.Options{
		Log: log, Stream: stream, Config: replication.Config{Self: id},
		Mesh: net.Join(id), Peers: net.Members,
	})
	assert.NilError(t, err)
	t.Cleanup(r.Close)
	return r
}

func awaitRevision(t testing.TB, r *replication.Runner, want configstore.Revision) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if r.Revision() >= want {
			return poll.Success()
		}
		return poll.Continue("at revision %s, want %s", r.Revision(), want)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
}

func create(id, key string) configstore.ChangeSet {
	return configstore.ChangeSet{
		ID:       id,
		Author:   "operator",
		Requires: []configstore.Precondition{{Key: configstore.Key(key)}},
		Writes:   []configstore.Write{{Key: configstore.Key(key), Value: []byte(id)}},
	}
}

func TestCommitReachesEveryRunner(t *testing.T) {
	log, net := memlog.New(clock.System{}), localmesh.New()
	var runners []*replication.Runner
	for i := range 3 {
		runners = append(runners, startRunner(t, log, net, instance.ID(fmt.Sprintf("d%d", i))))
	}
	for _, r := range runners {
		<-r.Ready()
	}
	v, err := runners[0].Commit(context.Background(), create("c1", "tier/gold"))
	assert.NilError(t, err)
	assert.Assert(t, v.Accepted)
	for _, r := range runners {
		awaitRevision(t, r, v.Revision)
		o, ok := r.View().Get("tier/gold")
		assert.Assert(t, ok)
		assert.Equal(t, o.ChangeID, "c1")
	}
	v, err = runners[1].Commit(context.Background(), create("c2", "tier/gold"))
	assert.NilError(t, err)
	assert.Assert(t, !v.Accepted)
	assert.Equal(t, v.Conflict.ChangeID, "c1")
}

func TestNewRunnerLoadsFromPeersWhileLogIsDown(t *testing.T) {
	log, net := memlog.New(clock.System{}), localmesh.New()
	first := startRunner(t, log, net, "d0")
	<-first.Ready()
	v, err := first.Commit(context.Background(), create("c1", "tier/gold"))
	assert.NilError(t, err)
	log.SetFault(func(bool) memlog.Fault { return memlog.FaultDown })
	joining := startRunner(t, log, net, "d1")
	awaitRevision(t, joining, v.Revision)
	_, err = joining.Commit(context.Background(), create("c2", "tier/silver"))
	assert.ErrorContains(t, err, "nothing was appended")
}

func TestCommitSucceedsWhenAppendAnswersAreLost(t *testing.T) {
	log, net := memlog.New(clock.System{}), localmesh.New()
	r := startRunner(t, log, net, "d0")
	<-r.Ready()
	log.SetFault(func(appending bool) memlog.Fault {
		if appending {
			return memlog.FaultAnswerLost
		}
		return memlog.FaultNone
	})
	v, err := r.Commit(context.Background(), create("c1", "tier/gold"))
	assert.NilError(t, err)
	assert.Assert(t, v.Accepted)
}
