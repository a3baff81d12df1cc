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

// settle bounds how long a test waits for a change to take hold.
const settle = 20 * time.Second

// staleFor is how long listings stay behind.
const staleFor = 1500 * time.Millisecond

func startPlatform(t *testing.T, daemons int) *PlatformSystem {
	s, err := StartPlatform(daemons, events.Discard{})
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	return s
}

var requests int

// ask sends a request to a daemon and returns its status, body and error.
func ask(d *platform.Daemon, method, path, key string) (int, string, error) {
	requests++
	return askAs(d, method, path, key, fmt.Sprintf("request-%d", requests))
}

func askAs(d *platform.Daemon, method, path, key, id string) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), settle)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+d.Settings().FrontendAddress+path, strings.NewReader("body"))
	if err != nil {
		return 0, "", err
	}
	r.Host = operator.Host
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Deadline-Ms", "5000")
	r.Header.Set("X-Tenant", "someone-else")
	r.Header.Set("X-Hold", "forged")
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	return answer.StatusCode, string(body), err
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(settle); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("still not so after %v: %s", settle, what)
		}
	}
}

func addresses(t *testing.T, d *platform.Daemon) []string {
	answer, err := http.Get("http://" + d.Settings().DirectoryAddress + "/samphirewing/resolve?Name=" + operator.Host)
	assert.NilError(t, err)
	defer answer.Body.Close()
	var list struct{ Addresses []string }
	if answer.StatusCode != http.StatusOK {
		return nil
	}
	assert.NilError(t, json.NewDecoder(answer.Body).Decode(&list))
	return list.Addresses
}

func runsOf(s *PlatformSystem, id string) int {
	n := 0
	for _, r := range s.Runners {
		n += r.Runs()[id]
	}
	return n
}

func TestPlatformAnswersEachKindOfRequest(t *testing.T) {
	s := startPlatform(t, 1)
	d := s.Daemons[0]
	status, body, err := ask(d, "POST", "/draft/a%2fb?z=1&a=2", operator.Key)
	assert.NilError(t, err)
	assert.Equal(t, status, 200)
	assert.Equal(t, strings.Count(body, "data: "), 5)
	status, body, err = ask(d, "POST", "/confirm/a%2fb?z=1&a=2", operator.Key)
	assert.NilError(t, err)
	assert.Equal(t, status, 200)
	assert.Assert(t, strings.HasPrefix(body, "/confirm/a%2fb?z=1&a=2 by "), body)
	assert.Assert(t, strings.HasSuffix(body, " for shop\n"), "the organisation is the key's, not what the caller says: %s", body)
}

func TestPlatformDeniesUnknownKeysAndRoutes(t *testing.T) {
	d := startPlatform(t, 1).Daemons[0]
	status, _, err := ask(d, "POST", "/confirm/1", "unknown")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusUnauthorized)
	status, _, err = ask(d, "POST", "/nowhere/1", operator.Key)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusNotFound)
}

func TestPlatformPutsNewConfigurationsInForce(t *testing.T) {
	s := startPlatform(t, 2)
	s.Operator.Publish(func(document map[string]any) {
		document["Tenants"] = []any{map[string]any{"Name": "shop", "ApiKeys": []string{"another"}}}
	})
	for _, d := range s.Daemons {
		eventually(t, "the old key is refused", func() bool {
			status, _, err := ask(d, "POST", "/confirm/1", operator.Key)
			return err == nil && status == http.StatusUnauthorized
		})
	}
}

func TestUnreadableConfigurationLeavesTheOneInForce(t *testing.T) {
	s := startPlatform(t, 1)
	s.Store.Put(operator.Topic, operator.Document, []byte("{"))
	s.Operator.Publish(nil)
	eventually(t, "the next version is in force", func() bool { return s.Daemons[0].Version() == 2 })
	status, _, err := ask(s.Daemons[0], "POST", "/confirm/1", operator.Key)
	assert.NilError(t, err)
	assert.Equal(t, status, 200)
}

func TestLeavingEndpointsGetNothingNew(t *testing.T) {
	s := startPlatform(t, 1)
	leaving, staying := s.Runners[2], s.Runners[3]
	leaving.Register("draining")
	eventually(t, "only the other endpoint is used", func() bool {
		before := len(leaving.Runs())
		for range 8 {
			if status, _, err := ask(s.Daemons[0], "POST", "/confirm/1", operator.Key); err != nil || status != 200 {
				return false
			}
		}
		return len(leaving.Runs()) == before && len(staying.Runs()) > 0
	})
}

// Entries of other writers name no endpoint, and the others hold.
func TestForeignEntriesAreSkipped(t *testing.T) {
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
		status, _, err := ask(s.Daemons[0], "POST", "/confirm/1", operator.Key)
		assert.NilError(t, err)
		assert.Equal(t, status, 200)
	}
}

// After the store has dropped its history, listings may be behind for a while.
func TestHistoryDroppedAndStaleListings(t *testing.T) {
	s := startPlatform(t, 1)
	leaving := s.Runners[2]
	leaving.Register("draining")
	eventually(t, "the leaving is known", func() bool {
		before := len(leaving.Runs())
		for range 8 {
			if _, _, err := ask(s.Daemons[0], "POST", "/confirm/1", operator.Key); err != nil {
				return false
			}
		}
		return len(leaving.Runs()) == before
	})
	before := len(leaving.Runs())
	s.Store.SetFaults(metastore.Faults{Deaf: true})
	const unseen = 12
	for range unseen {
		s.Store.Put("keyed.servers", "filler", []byte("x"))
		s.Operator.Publish(nil)
	}
	s.Store.Compact("keyed.servers")
	s.Store.Compact(operator.Topic)
	// The listings are from before the leaving.
	s.Store.SetFaults(metastore.Faults{StaleRecords: unseen + 1})
	calls := s.Store.Calls()
	time.Sleep(staleFor)
	// The reads of three topics that were under way, and for two of them five
	// listings: with pauses of 0.1, 0.2 and from then on 0.4 s.
	assert.Assert(t, s.Store.Calls()-calls <= 3+2*5, "%d calls in %v", s.Store.Calls()-calls, staleFor)
	for range 20 {
		status, _, err := ask(s.Daemons[0], "POST", "/confirm/1", operator.Key)
		assert.NilError(t, err)
		assert.Equal(t, status, 200)
	}
	assert.Equal(t, len(leaving.Runs()), before, "a listing from before its leaving brought the endpoint back")
	s.Store.SetFaults(metastore.Faults{})
	s.Operator.Publish(nil)
	eventually(t, "changes are read again", func() bool { return s.Daemons[0].Version() == unseen+2 })
}

func serves(t *testing.T, d *platform.Daemon) {
	t.Helper()
	for _, path := range []string{"/draft/1", "/confirm/1", "/lookup/1"} {
		status, _, err := ask(d, "POST", path, operator.Key)
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
				serves(t, d)
				assert.Assert(t, d.Ready())
			}
			s.Store.SetFaults(metastore.Faults{})
			s.Operator.Publish(nil)
			for _, d := range s.Daemons {
				eventually(t, "the new version is in force", func() bool { return d.Version() == 2 })
			}
		})
	}
}

func TestServesWithoutPeers(t *testing.T) {
	s := startPlatform(t, 2)
	eventually(t, "both are listed", func() bool { return len(addresses(t, s.Daemons[0])) == 2 })
	s.Daemons[1].Kill()
	serves(t, s.Daemons[0])
	eventually(t, "the dead daemon is no longer listed", func() bool { return len(addresses(t, s.Daemons[0])) == 1 })
}

func TestServesWithNeitherStoreNorPeers(t *testing.T) {
	s := startPlatform(t, 2)
	s.Store.SetFaults(metastore.Faults{Silent: true})
	s.Daemons[1].Kill()
	serves(t, s.Daemons[0])
}

func TestDaemonWithoutConfigurationIsNotReadyAndDeniesNothing(t *testing.T) {
	s := startPlatform(t, 1)
	s.Store.SetFaults(metastore.Faults{Unavailable: true})
	late, err := s.StartDaemon("late")
	assert.NilError(t, err)
	status, _, err := ask(late, "POST", "/confirm/1", "unknown")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, len(addresses(t, late)), 0)
	s.Store.SetFaults(metastore.Faults{})
	eventually(t, "it is ready once the store is back", late.Ready)
}

// A daemon whose record was written though its answer was lost joins its peers.
func TestLostAnswersOfTheStoreDoNoHarm(t *testing.T) {
	s := startPlatform(t, 1)
	s.Store.SetFaults(metastore.Faults{LoseAnswers: true})
	late, err := s.StartDaemon("late")
	assert.NilError(t, err)
	eventually(t, "both are listed", func() bool { return len(addresses(t, s.Daemons[0])) == 2 })
	serves(t, late)
}

// Callers that hold a stopping daemon's address are served; others no longer
// get it.
func TestStopCutsNothing(t *testing.T) {
	s := startPlatform(t, 2)
	stopping, staying := s.Daemons[0], s.Daemons[1]
	eventually(t, "both are listed", func() bool { return len(addresses(t, staying)) == 2 })
	stopped := make(chan struct{})
	go func() {
		stopping.Stop()
		close(stopped)
	}()
	eventually(t, "the stopping daemon is not listed", func() bool { return len(addresses(t, staying)) == 1 })
	assert.Assert(t, !stopping.Ready())
	serves(t, stopping)
	<-stopped
	serves(t, staying)
}

func TestCallThatRunsAtMostOnceIsNotRepeatedWhenItsEndpointDies(t *testing.T) {
	s := startPlatform(t, 1)
	s.Runners[2].SetReject(true)
	s.Runners[3].SetReject(true)
	status, _, err := askAs(s.Daemons[0], "POST", "/confirm/1", operator.Key, "rejected")
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, runsOf(s, "rejected"), 0, "not run must be true")
}
