package journal_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/samphirewing/coordkit/coordination/internal/localmesh"
	"github.com/samphirewing/coordkit/coordination/journal"
	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/state/eventlog/memlog"
	"github.com/samphirewing/coordkit/transport/clock"
)

var testLimits = journal.Limits{
	Partitions: 2, AppendsPerSecond: 1000, MaxFuture: time.Millisecond, ResolveMargin: time.Millisecond,
}

type fixture struct {
	log      *memlog.Log
	journals []*journal.Journal
	owner    atomic.Int64
}

func start(t testing.TB, n int) *fixture {
	f := &fixture{log: memlog.New(clock.System{})}
	net := localmesh.New()
	for i := range n {
		id := instance.ID(fmt.Sprintf("d%d", i))
		j, err := journal.Start(journal.Options{
			Log: f.log, StreamPrefix: "bookings", Self: instance.Process{ID: id, Incarnation: 1}, Limits: testLimits,
			OwnerOf: func(int) instance.ID { return instance.ID(fmt.Sprintf("d%d", f.owner.Load())) },
			Mesh:    net.Join(id),
		})
		assert.NilError(t, err)
		t.Cleanup(j.Close)
		f.journals = append(f.journals, j)
	}
	f.awaitOpen(t)
	return f
}

// awaitOpen waits until new keys are later than the journal's first record.
func (f *fixture) awaitOpen(t testing.TB) {
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for i := range 2 * testLimits.Partitions {
			b, err := f.begin(0, fmt.Sprintf("open-%d-%d", i, time.Now().UnixNano()))
			if err != nil {
				return poll.Continue("%v", err)
			}
			if err := f.journals[0].End(context.Background(), b.Permit, journal.OutcomeNotRun, nil); err != nil {
				return poll.Error(err)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
}

func (f *fixture) begin(i int, key string) (journal.Begun, error) {
	now := time.Now()
	return f.beginIssued(i, key, now)
}

func (f *fixture) beginIssued(i int, key string, issued time.Time) (journal.Begun, error) {
	return f.journals[i].Begin(context.Background(), journal.Intent{
		Key: journal.Key{Namespace: "org", Name: key}, Issued: issued, SendBy: time.Now().Add(10 * time.Second),
	})
}

func TestOneOfManyAttemptsWins(t *testing.T) {
	f := start(t, 4)
	issued := time.Now()
	type result struct {
		begun journal.Begun
		err   error
	}
	results := make(chan result)
	for i := range 4 {
		go func() {
			b, err := f.beginIssued(i, "ribs", issued)
			results <- result{b, err}
		}()
	}
	permits := 0
	for range 4 {
		r := <-results
		assert.NilError(t, r.err)
		if r.begun.Permit != nil {
			permits++
			assert.Assert(t, r.begun.Permit.StartSend(time.Now()))
			assert.Assert(t, !r.begun.Permit.StartSend(time.Now()))
			assert.NilError(t, f.journals[0].End(context.Background(), r.begun.Permit, journal.OutcomeDone, []byte("42")))
			continue
		}
		assert.Assert(t, r.begun.Settled.Outcome != journal.OutcomeNotRun)
	}
	assert.Equal(t, permits, 1)
	f.owner.Store(3)
	b, err := f.beginIssued(2, "ribs", issued)
	assert.NilError(t, err)
	assert.Equal(t, b.Settled.Outcome, journal.OutcomeDone)
	assert.Equal(t, string(b.Settled.Summary), "42")
}

func TestNotRunFreesTheKey(t *testing.T) {
	f := start(t, 1)
	issued := time.Now()
	b, err := f.beginIssued(0, "cloth", issued)
	assert.NilError(t, err)
	assert.NilError(t, f.journals[0].End(context.Background(), b.Permit, journal.OutcomeNotRun, nil))
	b, err = f.beginIssued(0, "cloth", issued)
	assert.NilError(t, err)
	assert.Assert(t, b.Permit != nil)
}

func TestLogDownIsNotRun(t *testing.T) {
	f := start(t, 1)
	f.log.SetFault(func(bool) memlog.Fault { return memlog.FaultDown })
	_, err := f.begin(0, "cloth")
	assert.Assert(t, errors.Is(err, journal.ErrLogUnavailable), "%v", err)
}

func TestOldAndFutureKeysAreRefused(t *testing.T) {
	f := start(t, 1)
	_, err := f.beginIssued(0, "old", time.Now().Add(-2*journal.DefaultLimits.Window))
	assert.Assert(t, errors.Is(err, journal.ErrKeyExpired), "%v", err)
	_, err = f.beginIssued(0, "early", time.Now().Add(time.Hour))
	assert.Assert(t, errors.Is(err, journal.ErrKeyFromFuture), "%v", err)
}

func TestUnknownStaysUntilResolved(t *testing.T) {
	f := start(t, 2)
	ctx := context.Background()
	issued := time.Now()
	key := journal.Key{Namespace: "org", Name: "pair"}
	sendBy := issued.Add(300 * time.Millisecond)
	b, err := f.journals[1].Begin(ctx, journal.Intent{Key: key, Issued: issued, SendBy: sendBy})
	assert.NilError(t, err)
	assert.Assert(t, b.Permit.StartSend(time.Now()))
	err = f.journals[0].Resolve(ctx, key, journal.OutcomeDone, "lucia")
	assert.Assert(t, errors.Is(err, journal.ErrTooEarly), "%v", err)
	b, err = f.beginIssued(0, "pair", issued)
	assert.NilError(t, err)
	assert.Equal(t, b.Settled.Outcome, journal.OutcomeUnknown)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if err := f.journals[0].Resolve(ctx, key, journal.OutcomeDone, "lucia"); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	rows, err := f.journals[1].Show(ctx, journal.Filter{Key: key})
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 1)
	assert.Equal(t, rows[0].Outcome, journal.OutcomeDone)
	assert.Equal(t, rows[0].Operator, "lucia")
}

func TestLostStreamRefusesKeysIssuedBefore(t *testing.T) {
	f := start(t, 1)
	issued := time.Now()
	b, err := f.beginIssued(0, "pair", issued)
	assert.NilError(t, err)
	assert.Assert(t, b.Permit.StartSend(time.Now()))
	assert.NilError(t, f.journals[0].End(context.Background(), b.Permit, journal.OutcomeDone, nil))
	f.log.Lose()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		b, err := f.beginIssued(0, "pair", issued)
		if err == nil {
			assert.Assert(t, b.Permit == nil, "ran twice")
		}
		if errors.Is(err, journal.ErrKeyExpired) {
			return poll.Success()
		}
		return poll.Continue("%v", err)
	}, poll.WithTimeout(20*time.Second))
}
