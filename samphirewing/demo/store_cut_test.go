package demo

import (
	"fmt"
	"io"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/protocol/instance"

	"github.com/samphirewing/samphirewing/platform"
	"github.com/samphirewing/samphirewing/standin/operator"
)

// storePath is one daemon's network path to the store. While it is cut, bytes are
// held back in both directions.
type storePath struct {
	listener net.Listener
	target   string

	mu sync.Mutex
	// transferred counts the bytes in both directions.
	transferred int64
	// healed is closed when the path is no longer cut; nil while it is not cut.
	healed chan struct{}
	// refused is set while the store turns the daemon away: it closes all connections.
	refused bool
	clients []net.Conn
}

func startStorePath(t *testing.T, target string) *storePath {
	listener, err := net.Listen("tcp", loopbackAddress)
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	p := &storePath{listener: listener, target: target}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p
}

func (p *storePath) serve(client net.Conn) {
	defer client.Close()
	p.mu.Lock()
	p.clients = append(p.clients, client)
	refused := p.refused
	p.mu.Unlock()
	if refused {
		return
	}
	store, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer store.Close()
	go p.copy(store, client)
	p.copy(client, store)
}

func (p *storePath) copy(to io.WriteCloser, from io.Reader) {
	defer to.Close()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.Lock()
		p.transferred += int64(n)
		healed := p.healed
		p.mu.Unlock()
		if healed != nil {
			<-healed
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (p *storePath) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.healed = make(chan struct{})
}

func (p *storePath) heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.healed)
}

func (p *storePath) refuse() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refused = true
	for _, client := range p.clients {
		client.Close()
	}
}

func (p *storePath) bytes() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.transferred
}

// startPlatformWithPaths starts daemons in two failure domains, each with a path of its own
// to the store.
func startPlatformWithPaths(t *testing.T, daemons int) (*PlatformSystem, map[*platform.Daemon]*storePath) {
	s := startPlatform(t, 1)
	paths := map[*platform.Daemon]*storePath{}
	for n := range daemons {
		path := startStorePath(t, s.Store.Address())
		d, err := platform.Start(platform.Options{Events: events.Discard{}, Settings: platform.Settings{
			Instance: instance.ID(fmt.Sprint("relayed-", n)), FailureDomain: instance.FailureDomain(fmt.Sprint("domain-", n%2)), Region: "r", IP: "127.0.0.1",
			FrontendAddress: loopbackAddress, ReadyAddress: loopbackAddress, DirectoryAddress: loopbackAddress, StoreAddress: path.listener.Addr().String(),
			ContactWindow: 3 * time.Second, PropagationBound: 2 * time.Second,
			FirstStart: true, DrainGrace: 8 * time.Second, RetryRatio: 0.2, RetryAllowance: 50,
		}})
		assert.NilError(t, err)
		s.Daemons = append(s.Daemons, d)
		paths[d] = path
	}
	// The first daemon would read the store for its domain.
	s.Daemons[0].Kill()
	s.Daemons = s.Daemons[1:]
	assert.NilError(t, s.awaitReady())
	time.Sleep(3 * time.Second)
	return s, paths
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
	s, paths := startPlatformWithPaths(t, daemons)
	for _, d := range s.Daemons[daemons-turnedAway:] {
		paths[d].refuse()
	}
	for range versions {
		published := time.Now()
		version := s.Operator.Publish(func(document map[string]any) { operator.AddRoutes(document, 1150) })
		for _, d := range s.Daemons {
			awaitVersion(t, d, 1, version, published, bound)
		}
	}
}

// Guards against a large configuration that each daemon reads from the store, over links
// that take seconds for a few versions of it.
func TestLargeConfigurationsAreRelayed(t *testing.T) {
	const daemons, versions, configurationBytes = 14, 3, 200_000
	s, paths := startPlatformWithPaths(t, daemons)
	// The reads that each daemon began at its start end first.
	time.Sleep(3 * time.Second)
	before := map[*platform.Daemon]int64{}
	for d, path := range paths {
		before[d] = path.bytes()
	}
	for range versions {
		version := s.Operator.Publish(func(document map[string]any) { operator.AddRoutes(document, 1150) })
		for d := range paths {
			eventually(t, "the new version is active", func() bool { return d.Version() == int64(version) })
		}
	}
	readers := 0
	for d, path := range paths {
		if path.bytes()-before[d] >= configurationBytes {
			readers++
		}
	}
	assert.Assert(t, readers < daemons/2, "%d of %d daemons have read a large configuration from the store", readers, daemons)
}

// Guards against daemons that reach the store and yet learn of changes too late,
// because the daemons that read it for them are cut off and don't know it yet.
func TestCutOffReadersDoNotDelayTheOthers(t *testing.T) {
	const (
		daemons = 14
		bound   = 2 * time.Second
		// observed is long enough to tell the daemons that read for others.
		observed = 3 * time.Second
	)
	s, paths := startPlatformWithPaths(t, daemons)

	before, busiest := map[*platform.Daemon]int64{}, int64(0)
	for d, path := range paths {
		before[d] = path.bytes()
	}
	time.Sleep(observed)
	for d, path := range paths {
		busiest = max(busiest, path.bytes()-before[d])
	}
	cut := 0
	for d, path := range paths {
		if path.bytes()-before[d] > busiest/2 {
			path.cut()
			defer path.heal()
			delete(paths, d)
			cut++
		}
	}
	t.Logf("%d of %d daemons read the store", cut, daemons)
	assert.Assert(t, cut > 0 && cut < daemons/2, "%d daemons read the store", cut)
	published := time.Now()
	s.Operator.Publish(nil)
	for d := range paths {
		eventually(t, "the new version is active", func() bool { return d.Version() == 2 })
	}
	elapsed := time.Since(published)
	assert.Assert(t, elapsed < bound, "%v until daemons that reach the store had the new version", elapsed)
}
