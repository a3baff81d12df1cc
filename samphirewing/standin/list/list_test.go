package list_test

import (
	"context"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/samphirewing/samphirewing/standin/list"
	"github.com/samphirewing/samphirewing/transport/edge"
	"github.com/samphirewing/samphirewing/transport/platformclient"
)

const testTimeout = 20 * time.Second

var (
	daemon   = edge.Member{Kind: edge.MemberDaemon, Name: "d1", Address: "127.0.0.1:7000", FailureDomain: "dkr-1"}
	endpoint = edge.Member{Kind: edge.MemberEndpoint, Name: "e1", Address: "127.0.0.1:8000", FailureDomain: "dkr-2"}
)

func start(t *testing.T, o list.Options) (*list.Server, edge.MembershipList) {
	t.Helper()
	s, err := list.Start(o)
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	return s, platformclient.NewMembershipList(s.URL(), platformclient.Options{Timeout: 5 * time.Second})
}

func testContext(t *testing.T) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	return ctx
}

func waitFor(t *testing.T, client edge.MembershipList, want ...edge.Member) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		members, err := client.Members(testContext(t))
		if err == nil && len(members) == len(want) && equal(members, want) {
			return poll.Success()
		}
		return poll.Continue("%v %v", members, err)
	}, poll.WithTimeout(testTimeout), poll.WithDelay(5*time.Millisecond))
}

func equal(a, b []edge.Member) bool {
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

func TestAnnouncedAndPutLinesAreListed(t *testing.T) {
	s, client := start(t, list.Options{})
	s.Put(endpoint)
	assert.NilError(t, client.Announce(testContext(t), daemon))
	waitFor(t, client, daemon, endpoint)
	assert.NilError(t, client.Retire(testContext(t), daemon))
	leaving := daemon
	leaving.Leaving = true
	waitFor(t, client, leaving, endpoint)
	s.Remove(edge.MemberEndpoint, endpoint.Name)
	waitFor(t, client, leaving)
}

func TestUnrenewedLinesExpire(t *testing.T) {
	_, client := start(t, list.Options{Expiry: 50 * time.Millisecond})
	assert.NilError(t, client.Announce(testContext(t), daemon))
	waitFor(t, client)
}

func TestChangesShowAfterTheLag(t *testing.T) {
	s, client := start(t, list.Options{Lag: time.Hour})
	s.Put(endpoint)
	members, err := client.Members(testContext(t))
	assert.NilError(t, err)
	assert.Equal(t, len(members), 0)

	s, client = start(t, list.Options{Lag: 50 * time.Millisecond})
	s.Put(endpoint)
	waitFor(t, client, endpoint)
}

func TestFaultsOfTheList(t *testing.T) {
	s, client := start(t, list.Options{})
	s.Put(endpoint)
	assert.NilError(t, s.SetFaults(list.Faults{Down: true}))
	_, err := client.Members(testContext(t))
	assert.Assert(t, errors.Is(err, platformclient.ErrListUnavailable), "%v", err)
	assert.NilError(t, s.SetFaults(list.Faults{Empty: true}))
	members, err := client.Members(testContext(t))
	assert.NilError(t, err)
	assert.Equal(t, len(members), 0)
	assert.NilError(t, s.SetFaults(list.Faults{}))
	waitFor(t, client, endpoint)
}
