package eventlog_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"github.com/samphirewing/coordkit/state/eventlog"
	standin "github.com/samphirewing/samphirewing/standin/eventlog"
	"github.com/samphirewing/samphirewing/transport/platformclient"
)

const (
	testTimeout = 20 * time.Second
	testStream  = eventlog.Stream("catalogue/of dakar")
)

// manualClock is a clock that only advance moves.
type manualClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *manualClock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// forEachTransport runs a test against the log in this process and over HTTP.
func forEachTransport(t *testing.T, o standin.Options, test func(t *testing.T, memory *standin.Memory, log eventlog.Log, clock *manualClock)) {
	for _, remote := range []bool{false, true} {
		name := "memory"
		if remote {
			name = "http"
		}
		t.Run(name, func(t *testing.T) {
			clock := &manualClock{now: time.Unix(1_800_000_000, 0)}
			options := o
			options.Clock = clock
			memory := standin.NewMemory(options)
			if !remote {
				test(t, memory, memory, clock)
				return
			}
			server, err := standin.Serve("", memory)
			assert.NilError(t, err)
			defer server.Close()
			test(t, memory, platformclient.NewLog(server.URL(), platformclient.Options{}), clock)
		})
	}
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func TestReadReturnsRecordsInOrder(t *testing.T) {
	forEachTransport(t, standin.Options{}, func(t *testing.T, _ *standin.Memory, log eventlog.Log, clock *manualClock) {
		ctx := testContext(t)
		batch, err := log.Read(ctx, testStream, 1, 10)
		assert.NilError(t, err)
		assert.Equal(t, batch.Oldest, eventlog.Offset(1))
		assert.Equal(t, batch.Next, eventlog.Offset(1))
		for i, data := range []string{"a", "b", "\x00c"} {
			offset, err := log.Append(ctx, testStream, []byte(data))
			assert.NilError(t, err)
			assert.Equal(t, offset, eventlog.Offset(i+1))
		}
		batch, err = log.Read(ctx, testStream, 2, 1)
		assert.NilError(t, err)
		assert.Equal(t, len(batch.Records), 1)
		assert.Equal(t, string(batch.Records[0].Data), "b")
		assert.Assert(t, batch.Records[0].Time.Equal(clock.Now()))
		assert.Equal(t, batch.Next, eventlog.Offset(4))
		batch, err = log.Read(ctx, testStream, 3, 10)
		assert.NilError(t, err)
		assert.Equal(t, string(batch.Records[0].Data), "\x00c")
	})
}

func TestAppendRateIsLimited(t *testing.T) {
	forEachTransport(t, standin.Options{AppendsPerSecond: 2}, func(t *testing.T, _ *standin.Memory, log eventlog.Log, clock *manualClock) {
		ctx := testContext(t)
		for range 2 {
			_, err := log.Append(ctx, testStream, []byte("x"))
			assert.NilError(t, err)
		}
		_, err := log.Append(ctx, testStream, []byte("x"))
		assert.Assert(t, errors.Is(err, eventlog.ErrUnavailable), "%v", err)
		clock.advance(500 * time.Millisecond)
		offset, err := log.Append(ctx, testStream, []byte("x"))
		assert.NilError(t, err)
		assert.Equal(t, offset, eventlog.Offset(3))
	})
}

func TestRecordsExpireByAgeAndCount(t *testing.T) {
	forEachTransport(t, standin.Options{Retention: time.Minute, MaxRecords: 3}, func(t *testing.T, _ *standin.Memory, log eventlog.Log, clock *manualClock) {
		ctx := testContext(t)
		for range 5 {
			_, err := log.Append(ctx, testStream, []byte("x"))
			assert.NilError(t, err)
		}
		batch, err := log.Read(ctx, testStream, 2, 10)
		assert.Assert(t, errors.Is(err, eventlog.ErrExpired), "%v", err)
		assert.Equal(t, batch.Oldest, eventlog.Offset(3))
		assert.Equal(t, batch.Next, eventlog.Offset(6))
		clock.advance(2 * time.Minute)
		batch, err = log.Read(ctx, testStream, 6, 10)
		assert.NilError(t, err)
		assert.Equal(t, batch.Oldest, eventlog.Offset(6))
	})
}

func TestFaultSwitches(t *testing.T) {
	forEachTransport(t, standin.Options{}, func(t *testing.T, memory *standin.Memory, log eventlog.Log, _ *manualClock) {
		ctx := testContext(t)
		assert.NilError(t, memory.SetFaults(standin.Faults{LoseAnswers: 1}))
		_, err := log.Append(ctx, testStream, []byte("lost"))
		assert.Assert(t, errors.Is(err, eventlog.ErrIndeterminate), "%v", err)
		batch, err := log.Read(ctx, testStream, 1, 10)
		assert.NilError(t, err)
		assert.Equal(t, len(batch.Records), 1)

		assert.NilError(t, memory.SetFaults(standin.Faults{RefuseAppends: true}))
		_, err = log.Append(ctx, testStream, []byte("refused"))
		assert.Assert(t, errors.Is(err, eventlog.ErrUnavailable), "%v", err)

		assert.NilError(t, memory.SetFaults(standin.Faults{Down: true}))
		_, err = log.Read(ctx, testStream, 1, 10)
		assert.Assert(t, errors.Is(err, eventlog.ErrUnavailable), "%v", err)

		assert.NilError(t, memory.SetFaults(standin.Faults{}))
		memory.Reset()
		batch, err = log.Read(ctx, testStream, 1, 10)
		assert.NilError(t, err)
		assert.Equal(t, batch.Next, eventlog.Offset(1))
		assert.Equal(t, memory.Appends(), int64(1))
	})
}

func TestFaultyConnectionsAppendNothing(t *testing.T) {
	memory := standin.NewMemory(standin.Options{})
	server, err := standin.Serve("", memory)
	assert.NilError(t, err)
	defer server.Close()
	log := platformclient.NewLog(server.URL(), platformclient.Options{Timeout: 200 * time.Millisecond})
	assert.NilError(t, server.SetFaults(standin.ServerFaults{RefuseConnects: true}))
	_, err = log.Append(testContext(t), testStream, []byte("x"))
	assert.Assert(t, errors.Is(err, eventlog.ErrUnavailable), "%v", err)
	assert.NilError(t, server.SetFaults(standin.ServerFaults{SwallowNew: true}))
	_, err = log.Append(testContext(t), testStream, []byte("x"))
	assert.Assert(t, errors.Is(err, eventlog.ErrIndeterminate), "%v", err)
	assert.Equal(t, memory.Appends(), int64(0))
	assert.NilError(t, server.SetFaults(standin.ServerFaults{Faults: standin.Faults{Down: true}}))
	assert.Assert(t, memory.Faults().Down)
	_, err = log.Append(testContext(t), testStream, []byte("x"))
	assert.Assert(t, errors.Is(err, eventlog.ErrUnavailable), "%v", err)
}
