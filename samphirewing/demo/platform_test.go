package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/coordkit/events"

	"github.com/samphirewing/samphirewing/platform"
	"github.com/samphirewing/samphirewing/standin/metastore"
	"github.com/samphirewing/samphirewing/standin/operator"
)

// settleTimeout bounds how long a test waits for a condition.
const settleTimeout = 20 * time.Second

// staleDuration is how long the store returns stale listings.
const staleDuration = 1500 * time.Millisecond

func startPlatform(t *testing.T, daemons int) *PlatformSystem {
	s, err := StartPlatform(daemons, events.Discard{})
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	return s
}

var requestCount int

// sendRequest sends a request with a new id to a daemon and returns the status
// and body of the response.
func sendRequest(d *platform.Daemon, method, path, key string) (int, string, error) {
	requestCount++
	return sendRequestWithID(d, method, path, key, fmt.Sprintf("request-%d", requestCount))
}

// sendRequestWithID sends a request with the given attempt id. It also sends forged
// X-Tenant and X-Hold headers, which the daemon must ignore.
func sendRequestWithID(d *platform.Daemon, method, path, key, id string) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+d.Settings().FrontendAddress+path, strings.NewReader("body"))
	if err != nil {
		return 0, "", err
	}
	request.Host = operator.Host
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", "5000")
	request.Header.Set("X-Tenant", "someone-else")
	request.Header.Set("X-Hold", "forged")
	if key != "" {
		request.Header.Set("Authorization", "Bearer "+key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}

// eventually waits until the condition holds, and fails the test after
// settleTimeout.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(settleTimeout); !condition(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("condition not met after %v: %s", settleTimeout, description)
		}
	}
}

// resolvedAddresses returns the addresses that a daemon's directory resolves the
// host to, or none if it answers with an error.
func resolvedAddresses(t *testing.T, d *platform.Daemon) []string {
	response, err := http.Get("http://" + d.Settings().DirectoryAddress + "/samphirewing/resolve?Name=" + operator.Host)
	assert.NilError(t, err)
	defer response.Body.Close()
	var list struct{ Addresses []string }
	if response.StatusCode != http.StatusOK {
		return nil
	}
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&list))
	return list.Addresses
}

// runCount returns how often a request has run on all runners.
func runCount(s *PlatformSystem, id string) int {
	total := 0
	for _, r := range s.Runners {
		total += r.Runs()[id]
	}
	return total
}

func TestPlatformAnswersEachKindOfRequest(t *testing.T) {
	s := startPlatform(t, 1)
	d := s.Daemons[0]
	status, body, err := sendRequest(d, "POST", "/draft/a%2fb?z=1&a=2", operator.APIKey)
	assert.NilError(t, err)
	assert.Equal(t, status, 200)
	assert.Equal(t, strings.Count(body, "data: "), 5)
	status, body, err = sendRequest(d, "POST", "/confirm/a%2fb?z=1&a=2", operator.APIKey)
	assert.NilError(t, err)
	assert.Equal(t, status, 200)
	assert.Assert(t, strings.HasPrefix(body, "/confirm/a%2fb?z=1&a=2 by "), body)
	assert.Assert(t, strings.HasSuffix(body, " for shop\n"), "the organisation comes from the key, not from the caller's header: %s", body)
}

func TestPlatformDeniesUnknownKeysAndRoutes(t *testing.T) {
	d := startPlatform(t, 1).Daemons[0]
	status, _, err := sendRequest(d, "POST", "/confirm/1", "unknown")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusUnauthorized)
	status, _, err = sendRequest(d, "POST", "/nowhere/1", operator.APIKey)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusNotFound)
}

func TestPlatformAppliesNewConfigurations(t *testing.T) {
	s := startPlatform(t, 2)
	s.Operator.Publish(func(document map[string]any) {
		document["Tenants"] = []any{map[string]any{"Name": "shop", "ApiKeys": []string{"another"}}}
	})
	for _, d := range s.Daemons {
		eventually(t, "the old key is refused", func() bool {
			status, _, err := sendRequest(d, "POST", "/confirm/1", operator.APIKey)
			return err == nil && status == http.StatusUnauthorized
		})
	}
}

// In a larger deployment, few daemons read the store and pass its records on.
// The loss of a reader must not delay a configuration.
func TestFewDaemonsReadTheStoreForAll(t *testing.T) {
	const daemons, idle = 14, 4 * time.Second
	s := startPlatform(t, daemons)
	time.Sleep(2 * time.Second)
	before := s.Store.Calls()
	time.Sleep(idle)
	calls := s.Store.Calls() - before
	assert.Assert(t, calls < daemons, "%d calls in %v", calls, idle)
	for lost := range 2 {
		s.Operator.Publish(nil)
		for _, d := range s.Daemons {
			eventually(t, "the version is active", func() bool { return d.Version() == int64(2+lost) })
		}
		s.Daemons[0].Kill()
		s.Daemons = s.Daemons[1:]
	}
}

func TestMalformedConfigurationLeavesActiveOne(t *testing.T) {
	s := startPlatform(t, 1)
	s.Store.Put(operator.ConfigTopic, operator.ConfigKey, []byte("{"))
	s.Operator.Publish(nil)
	eventually(t, "the next version is active", func() bool { return s.Daemons[0].Version() == 2 })
	status, _, err := sendRequest(s.Daemons[0], "POST", "/confirm/1", operator.APIKey)
	assert.NilError(t, err)
	assert.Equal(t, status, 200)
}

func TestLeavingEndpointsGetNoNewRequests(t *testing.T) {
	s := startPlatform(t, 1)
	leaving, staying := s.Runners[2], s.Runners[3]
	leaving.Register("draining")
	eventually(t, "only the staying endpoint gets requests", func() bool {
		before := len(leaving.Runs())
		for range 8 {
			if status, _, err := sendRequest(s.Daemons[0], "POST", "/confirm/1", operator.APIKey); err != nil || status != 200 {
				return false
			}
		}
		return len(leaving.Runs()) == before && len(staying.Runs()) > 0
	})
}

// Records that don't describe an endpoint, such as those of other writers, are
// skipped; the remaining records stay in use.
func TestForeignRecordsAreSkipped(t *testing.T) {
	s := startPlatform(t, 1)
	for key, text := range map[string]string{
		"bytes": "\x00\xff", "number": "7", "types": `{"Service":7,"Address":[],"State":"ready"}`,
		"state": `{"Service":"orders","Address":"127.0.0.1:1","State":"odd"}`, "address": `{"Service":"orders","Address":"nowhere","State":"ready"}`,
	} {
		s.Store.Put("keyed.servers", key, []byte(text))
	}
	s.Operator.Publish(nil)
	eventually(t, "later records are read", func() bool { return s.Daemons[0].Version() == 2 })
	for range 8 {
		status, _, err := sendRequest(s.Daemons[0], "POST", "/confirm/1", operator.APIKey)
		assert.NilError(t, err)
		assert.Equal(t, status, 200)
	}
}

// After the store has compacted its history, its listings may be stale for a
// while. They must not bring back a leaving endpoint, and the daemon backs off
// between listings.
func TestStaleListingsAfterCompaction(t *testing.T) {
	s := startPlatform(t, 1)
	leaving := s.Runners[2]
	leaving.Register("draining")
	eventually(t, "the leaving endpoint gets no requests", func() bool {
		before := len(leaving.Runs())
		for range 8 {
			if _, _, err := sendRequest(s.Daemons[0], "POST", "/confirm/1", operator.APIKey); err != nil {
				return false
			}
		}
		return len(leaving.Runs()) == before
	})
	before := len(leaving.Runs())
	s.Store.SetFaults(metastore.Faults{HideRecords: true})
	const missedUpdates = 12
	for range missedUpdates {
		s.Store.Put("keyed.servers", "filler", []byte("x"))
		s.Operator.Publish(nil)
	}
	s.Store.Compact("keyed.servers")
	s.Store.Compact(operator.ConfigTopic)
	// These listings date from before the endpoint was marked as leaving.
	s.Store.SetFaults(metastore.Faults{StaleRecords: missedUpdates + 1})
	calls := s.Store.Calls()
	time.Sleep(staleDuration)
	// The reads of three topics that were in flight, and five listings for each of
	// two topics, with pauses of 0.1 s, 0.2 s and then 0.4 s.
	assert.Assert(t, s.Store.Calls()-calls <= 3+2*5, "%d calls in %v", s.Store.Calls()-calls, staleDuration)
	for range 20 {
		status, _, err := sendRequest(s.Daemons[0], "POST", "/confirm/1", operator.APIKey)
		assert.NilError(t, err)
		assert.Equal(t, status, 200)
	}
	assert.Equal(t, len(leaving.Runs()), before, "a stale listing brought back the leaving endpoint")
	s.Store.SetFaults(metastore.Faults{})
	s.Operator.Publish(nil)
	eventually(t, "changes are read again", func() bool { return s.Daemons[0].Version() == missedUpdates+2 })
}

// assertServes checks that a daemon serves a request on each route.
func assertServes(t *testing.T, d *platform.Daemon) {
	t.Helper()
	for _, path := range []string{"/draft/1", "/confirm/1", "/lookup/1"} {
		status, _, err := sendRequest(d, "POST", path, operator.APIKey)
		assert.NilError(t, err)
		assert.Equal(t, status, 200, path)
	}
}

func TestServesWithoutTheStore(t *testing.T) {
	for name, faults := range map[string]metastore.Faults{"unavailable": {Unavailable: true}, "silent": {Silent: true}} {
		t.Run(name, func(t *testing.T) {
			s := startPlatform(t, 2)
			s.Store.SetFaults(faults)
			for _, d := range s.Daemons {
				assertServes(t, d)
				assert.Assert(t, d.Ready())
			}
			s.Store.SetFaults(metastore.Faults{})
			s.Operator.Publish(nil)
			for _, d := range s.Daemons {
				eventually(t, "the new version is active", func() bool { return d.Version() == 2 })
			}
		})
	}
}

func TestServesWithoutPeers(t *testing.T) {
	s := startPlatform(t, 2)
	eventually(t, "both are listed", func() bool { return len(resolvedAddresses(t, s.Daemons[0])) == 2 })
	s.Daemons[1].Kill()
	assertServes(t, s.Daemons[0])
	eventually(t, "the dead daemon is no longer listed", func() bool { return len(resolvedAddresses(t, s.Daemons[0])) == 1 })
}

func TestServesWithNeitherStoreNorPeers(t *testing.T) {
	s := startPlatform(t, 2)
	s.Store.SetFaults(metastore.Faults{Silent: true})
	s.Daemons[1].Kill()
	assertServes(t, s.Daemons[0])
}

func TestDaemonWithoutConfigurationIsNotReadyAndDeniesNothing(t *testing.T) {
	s := startPlatform(t, 1)
	s.Store.SetFaults(metastore.Faults{Unavailable: true})
	late, err := s.StartDaemon("late")
	assert.NilError(t, err)
	status, _, err := sendRequest(late, "POST", "/confirm/1", "unknown")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, len(resolvedAddresses(t, late)), 0)
	s.Store.SetFaults(metastore.Faults{})
	eventually(t, "the daemon is ready once the store is available", late.Ready)
}

// A daemon joins its peers if its record was written although the answer of the
// store was lost.
func TestDaemonJoinsDespiteLostStoreAnswers(t *testing.T) {
	s := startPlatform(t, 1)
	s.Store.SetFaults(metastore.Faults{LoseAnswers: true})
	late, err := s.StartDaemon("late")
	assert.NilError(t, err)
	eventually(t, "both are listed", func() bool { return len(resolvedAddresses(t, s.Daemons[0])) == 2 })
	assertServes(t, late)
}

// A stopping daemon serves callers that still have its address, and its peers no
// longer list it.
func TestStopInterruptsNoRequests(t *testing.T) {
	s := startPlatform(t, 2)
	stopping, staying := s.Daemons[0], s.Daemons[1]
	eventually(t, "both are listed", func() bool { return len(resolvedAddresses(t, staying)) == 2 })
	stopped := make(chan struct{})
	go func() {
		stopping.Stop()
		close(stopped)
	}()
	eventually(t, "the stopping daemon is not listed", func() bool { return len(resolvedAddresses(t, staying)) == 1 })
	assert.Assert(t, !stopping.Ready())
	assertServes(t, stopping)
	<-stopped
	assertServes(t, staying)
}

func TestRejectedCallGets503AndDoesNotRun(t *testing.T) {
	s := startPlatform(t, 1)
	s.Runners[2].SetReject(true)
	s.Runners[3].SetReject(true)
	status, _, err := sendRequestWithID(s.Daemons[0], "POST", "/confirm/1", operator.APIKey, "rejected")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, runCount(s, "rejected"), 0, "the call ran although it got 503")
}
