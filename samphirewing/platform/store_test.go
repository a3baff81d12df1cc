package platform

import (
	"context"
	"encoding/binary"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/samphirewing/samphirewing/transport/httpcall"
)

// slowStore answers every read with some records of a size, over a link of 10 Mbit/s
// that goes silent after a number of bytes.
func slowStore(t *testing.T, records, recordBytes, silentAfter int) *storeClient {
	const piece, interval = 32 << 10, 26 * time.Millisecond
	content := binary.BigEndian.AppendUint64(nil, uint64(records))
	content = binary.BigEndian.AppendUint64(content, 0)
	for range records {
		record := "\x01k" + strings.Repeat("v", recordBytes)
		content = append(binary.BigEndian.AppendUint32(content, uint32(len(record))), record...)
	}
	done := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		for sent := 0; sent < len(content); {
			if sent >= silentAfter {
				select {
				case <-r.Context().Done():
				case <-done:
				}
				return
			}
			n, err := w.Write(content[sent:min(sent+piece, len(content))])
			if err != nil {
				return
			}
			_ = http.NewResponseController(w).Flush()
			sent += n
			time.Sleep(interval)
		}
	}))
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(done) })
	return newStoreClient(strings.TrimPrefix(server.URL, "http://"), metrics.NewRegistry())
}

// Guards against a daemon that never catches up, since the changes of a large
// configuration that it has missed take longer to transfer than a call may take to be
// answered.
func TestLargeAnswerOfTheStoreMayTakeItsTime(t *testing.T) {
	const records, recordBytes = 4, 230 << 10
	started := time.Now()
	answer, err := slowStore(t, records, recordBytes, 1<<30).readRecords(context.Background(), topicOperator, 0, 0)
	assert.NilError(t, err)
	assert.Equal(t, len(answer.records), records)
	assert.Equal(t, answer.next, answer.end)
	took, begun := time.Since(started), answer.begunAt.Sub(started)
	assert.Assert(t, begun < took/2, "the answer counts as current at %v of %v", begun, took)
}

// Guards against a call that waits for the rest of an answer on a connection which has
// gone silent.
func TestAnswerOfTheStoreThatStallsIsGivenUp(t *testing.T) {
	started := time.Now()
	_, err := slowStore(t, 4, 230<<10, 100<<10).readRecords(context.Background(), topicOperator, 0, 0)
	assert.Assert(t, errors.Is(err, ErrStoreUnavailable), "%v", err)
	assert.Assert(t, time.Since(started) < 3*httpcall.StallTimeout, "given up after %v", time.Since(started))
}
