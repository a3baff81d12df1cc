package httplimit

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/samphirewing/coordkit/events"

	"github.com/samphirewing/samphirewing/coordination/memorybudget"
	"github.com/samphirewing/samphirewing/telemetry"
)

// Guard applies Limits to the servers of a process. It is safe for concurrent use.
type Guard struct {
	limits  Limits
	account *memorybudget.Account
	bodies  *memorybudget.Bodies
	queues  *memorybudget.Queues
	// callers holds the connections of all listeners for callers.
	callers *connections
	events  events.Sink
	metrics guardMetrics

	mu sync.Mutex
	// counts holds the events that have not been logged yet, logged when each kind
	// was logged last.
	counts map[events.Event]int
	logged map[events.Event]time.Time
}

type guardMetrics struct {
	bodiesRefused, bodiesTooSlow, unread, headsRefused, evicted metrics.Counter
}

// eventInterval is the least time between two log lines of a kind.
const eventInterval = time.Second

// NewGuard returns a guard with the given limits.
func NewGuard(l Limits, sink events.Sink, registry metrics.Registry) *Guard {
	account := memorybudget.New(memorybudget.SizeFor(l.MemoryBytes, l.MaxBodyBytes))
	l = l.withDefaults(account.Size())
	if sink == nil {
		sink = events.Discard{}
	}
	if registry == nil {
		registry = metrics.NewRegistry()
	}
	g := &Guard{
		limits: l, account: account, queues: memorybudget.NewQueues(account), events: sink,
		bodies: memorybudget.NewBodies(account, memorybudget.BodyOptions{
			Max: l.MaxBodies, MaxPerPeer: l.MaxBodiesPerPeer, MinRate: l.MinBodyRate, Grace: bodyGrace, Timeout: l.BodyTimeout,
		}),
		metrics: guardMetrics{
			bodiesRefused: telemetry.Counter(registry, "client_bodies_refused_total"),
			bodiesTooSlow: telemetry.Counter(registry, "client_bodies_too_slow_total"),
			unread:        telemetry.Counter(registry, "client_responses_unread_total"),
			headsRefused:  telemetry.Counter(registry, "client_heads_refused_total"),
			evicted:       telemetry.Counter(registry, "client_connections_evicted_total"),
		},
		counts: map[events.Event]int{}, logged: map[events.Event]time.Time{},
	}
	g.callers = g.newConnections(l.MaxConnections)
	for c := memorybudget.Bulk; c <= memorybudget.Exchange; c++ {
		name := telemetry.Name("client_memory_bytes", telemetry.L("class", c.String()))
		// Register fails only if the name is taken, by the same figure.
		_ = registry.Register(name, metrics.NewFunctionalGauge(func() int64 { return account.Used(c) }))
	}
	_ = registry.Register(telemetry.Name("client_bodies"), metrics.NewFunctionalGauge(func() int64 { return int64(g.bodies.Len()) }))
	sink.Emit(EventLimitsDerived, events.F("account_bytes", account.Size()), events.F("connections", l.MaxConnections),
		events.F("bodies", l.MaxBodies), events.F("bodies_per_peer", l.MaxBodiesPerPeer), events.F("min_body_rate", l.MinBodyRate),
		events.F("unread_timeout_ms", l.UnreadTimeout.Milliseconds()))
	return g
}

// Account returns the account of the memory held for others.
func (g *Guard) Account() *memorybudget.Account { return g.account }

// Limits returns the limits with the defaults filled in.
func (g *Guard) Limits() Limits { return g.limits }

// emit logs an event at most once per eventInterval, with the number of times that it
// has happened.
func (g *Guard) emit(e events.Event, fields ...events.Field) {
	g.mu.Lock()
	now := time.Now()
	g.counts[e]++
	count := g.counts[e]
	due := now.Sub(g.logged[e]) >= eventInterval
	if due {
		g.counts[e], g.logged[e] = 0, now
	}
	g.mu.Unlock()
	if due {
		g.events.Emit(e, append(fields, events.F("count", count))...)
	}
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// Install makes a server tell the guard which requests its connections serve, and
// bounds the time to write its responses.
func (g *Guard) Install(s *http.Server) {
	next := s.Handler
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if outer, ok := c.(interface{ NetConn() net.Conn }); ok {
			c = outer.NetConn()
		}
		return context.WithValue(ctx, connectionKey{}, c)
	}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connectionKey{}).(*guardedConn); ok {
			c.beginRequest()
			defer c.endRequest(time.Now)
		}
		control := http.NewResponseController(w)
		if r.ContentLength != 0 {
			// net/http reads the body if the handler does not.
			_ = control.SetReadDeadline(time.Now().Add(g.limits.BodyTimeout))
		}
		// The second deadline bounds the write of what net/http has buffered when the
		// handler returns. A writer without deadlines is a test's.
		_ = control.SetWriteDeadline(time.Now().Add(g.limits.UnreadTimeout))
		defer func() { _ = control.SetWriteDeadline(time.Now().Add(g.limits.UnreadTimeout)) }()
		next.ServeHTTP(w, r)
	})
}
