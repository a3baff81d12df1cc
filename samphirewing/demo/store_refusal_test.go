package demo

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/protocol/instance"

	"github.com/samphirewing/samphirewing/platform"
	"github.com/samphirewing/samphirewing/standin/operator"
)

// storeGate is one daemon's access to the store, which may be refused.
type storeGate struct {
	listener net.Listener
	refuses  atomic.Bool
	// calls ends when the store begins to refuse.
	calls    context.Context
	cutCalls context.CancelFunc
}

func startStoreGate(t *testing.T, target string) *storeGate {
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: target})
	listener, err := net.Listen("tcp", loopbackAddress)
	assert.NilError(t, err)
	g := &storeGate{listener: listener}
	g.calls, g.cutCalls = context.WithCancel(context.Background())
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.refuses.Load() {
			http.Error(w, "refused", http.StatusServiceUnavailable)
			return
		}
		ctx, cancel := context.WithCancel(r.Context())
		defer cancel()
		defer context.AfterFunc(g.calls, cancel)()
		proxy.ServeHTTP(w, r.WithContext(ctx))
	}), ErrorLog: log.New(io.Discard, "", 0)}
	proxy.ErrorLog = server.ErrorLog
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { server.Close() })
	return g
}

// refuse also breaks off the calls that wait.
func (g *storeGate) refuse() {
	g.refuses.Store(true)
	g.cutCalls()
}

// startGatedPlatform starts daemons in two failure domains, each with a gate of its own
// before the store.
func startGatedPlatform(t *testing.T, daemons int) (*PlatformSystem, map[*platform.Daemon]*storeGate) {
	s := startPlatform(t, 1)
	gates := map[*platform.Daemon]*storeGate{}
	for n := range daemons {
		gate := startStoreGate(t, s.Store.Address())
		d, err := platform.Start(platform.Options{Events: events.Discard{}, Settings: platform.Settings{
			Instance: instance.ID(fmt.Sprint("gated-", n)), FailureDomain: instance.FailureDomain(fmt.Sprint("domain-", n%2)), Region: "r", IP: "127.0.0.1",
			FrontendAddress: loopbackAddress, ReadyAddress: loopbackAddress, DirectoryAddress: loopbackAddress, StoreAddress: gate.listener.Addr().String(),
			ContactWindow: 3 * time.Second, PropagationBound: 2 * time.Second,
			FirstStart: true, DrainGrace: 8 * time.Second, RetryRatio: 0.2, RetryAllowance: 50,
		}})
		assert.NilError(t, err)
		s.Daemons = append(s.Daemons, d)
		gates[d] = gate
	}
	s.Daemons[0].Kill()
	s.Daemons = s.Daemons[1:]
	assert.NilError(t, s.awaitReady())
	time.Sleep(3 * time.Second)
	return s, gates
}

// The store turns some daemons away and serves the others while the configuration has
// hundreds of kilobytes. Guards against daemons that go on with the older version, since
// large records were not relayed and relayed ones were ignored after a failed read.
func TestDaemonsThatTheStoreTurnsAwayApplyLargeConfigurations(t *testing.T) {
	const (
		daemons, turnedAway = 14, 5
		bound               = 3 * time.Second
		versions            = 3
	)
	s, gates := startGatedPlatform(t, daemons)
	for _, d := range s.Daemons[daemons-turnedAway:] {
		gates[d].refuse()
	}
	for range versions {
		published := time.Now()
		version := s.Operator.Publish(func(document map[string]any) { operator.AddRoutes(document, 1150) })
		for _, d := range s.Daemons {
			for d.Version() != int64(version) {
				assert.Assert(t, time.Since(published) < bound, "%s has version %d, not %d, after %v", d.Settings().Instance, d.Version(), version, bound)
				time.Sleep(10 * time.Millisecond)
			}
		}
	}
}
