package platform

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"gotest.tools/v3/assert"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/protocol/instance"

	"github.com/samphirewing/samphirewing/standin/metastore"
	"github.com/samphirewing/samphirewing/standin/operator"
)

func startTestDaemon(t *testing.T, name instance.ID, store string, port int) *Daemon {
	t.Helper()
	d, err := Start(Options{Events: events.Discard{}, Settings: Settings{
		Instance: name, FailureDomain: "a", Region: "r", IP: "127.0.0.1", FrontendAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0",
		DirectoryAddress: "127.0.0.1:0", FirstPort: port, StoreAddress: store, DrainGrace: 8 * time.Second, RetryRatio: 0.2, RetryAllowance: 50,
	}})
	assert.NilError(t, err)
	t.Cleanup(d.Kill)
	return d
}

func freePort(t *testing.T) int {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().(*net.TCPAddr).Port
}

// Guards against daemons that don't serve although another daemon has read what they
// need: after a common restart the store is out of reach for some of them.
func TestDaemonWithoutStoreServesFromRelayedListings(t *testing.T) {
	const timeout = 15 * time.Second
	store, err := metastore.Start()
	assert.NilError(t, err)
	defer store.Close()
	operator.New(store).Publish(nil)
	unavailable := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }))
	defer unavailable.Close()

	cutOff := startTestDaemon(t, "cut-off", unavailable.Listener.Addr().String(), freePort(t))
	time.Sleep(300 * time.Millisecond)
	assert.Assert(t, !cutOff.Ready())
	// The record of the daemon's earlier incarnation names the same address.
	record, err := json.Marshal(instanceEntry{Incarnation: 1, PeerAddress: cutOff.peering.Load().Address(), CallerAddress: "127.0.0.1:1", FailureDomain: "a"})
	assert.NilError(t, err)
	store.Put(topicInstances, "cut-off", record)
	startTestDaemon(t, "reader", store.Address(), freePort(t))
	for end := time.Now().Add(timeout); !cutOff.Ready(); time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "not ready after %v", timeout)
	}
}

// Guards against listings that begin anew at each failure of one of their pages, so
// that daemons which start together ask a busy store for the same pages again and
// again.
func TestFailedPageIsReadAgainAlone(t *testing.T) {
	var first, second atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get("After") == "" {
			first.Add(1)
			_, _ = w.Write([]byte(`{"Items":[{"Key":"a","Value":"","Offset":1}],"HasMore":true,"EndOffset":7}`))
			return
		}
		if second.Add(1) <= maxPageFailures {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		_, _ = w.Write([]byte(`{"Items":[{"Key":"b","Value":"","Offset":2}],"HasMore":false,"EndOffset":9}`))
	}))
	defer server.Close()
	l, err := newStoreClient(server.Listener.Addr().String(), metrics.NewRegistry()).newestRecords(t.Context(), topicEndpoints)
	assert.NilError(t, err)
	assert.Equal(t, len(l.records), 2)
	assert.Equal(t, l.end, int64(7))
	assert.Equal(t, first.Load(), int32(1))
}
