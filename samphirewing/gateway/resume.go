package gateway

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/transport/mesh"

	"github.com/samphirewing/samphirewing/coordination/dispatch"
	"github.com/samphirewing/samphirewing/coordination/resume"
	"github.com/samphirewing/samphirewing/protocol/peerpb"
	"github.com/samphirewing/samphirewing/state/endpointset"
	"github.com/samphirewing/samphirewing/state/routing"
	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	// originLookups is how often the origin of a stream is looked up, originRetry the
	// time between two lookups: a list of its former daemon may be on its way.
	originLookups = 3
	originRetry   = 150 * time.Millisecond
	// originLookupTimeout bounds the time until the origin of a stream is in doubt.
	originLookupTimeout = 800 * time.Millisecond
	// unknownOriginRetryAfter is the retry delay returned for a stream in doubt.
	unknownOriginRetryAfter = 500 * time.Millisecond
	// streamReportInterval is the time between two lists that a daemon sends to its
	// parent, streamRepeatInterval that between two lists that are alike.
	streamReportInterval = 100 * time.Millisecond
	streamRepeatInterval = time.Second
)

// streams knows where streams began, and at which versions they may begin. It is safe
// for concurrent use.
type streams struct {
	mu         sync.Mutex
	table      *resume.Table
	admissions *resume.Admissions
	// resumable holds the pools of routes whose streams may be resumed.
	resumable map[structs.PoolName]bool
	listed    []endpointset.Endpoint
	// reported is the encoded list that was last sent to the parent, at reportAt. Only
	// the ticks of the exchange use them.
	reported string
	reportAt time.Time
}

func newStreams(now time.Time, firstStart bool) *streams {
	return &streams{table: resume.NewTable(), admissions: resume.NewAdmissions(now, firstStart), resumable: map[structs.PoolName]bool{}}
}

// Admits implements dispatch.AdmittedVersions.
func (s *streams) Admits(pool structs.PoolName, version string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admissions.Admits(pool, version)
}

// StreamsMayBegin reports whether streams may begin at some endpoint of each pool.
func (g *Gateway) StreamsMayBegin() bool {
	g.streams.mu.Lock()
	defer g.streams.mu.Unlock()
	return g.streams.admissions.MayBegin()
}

func (s *streams) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admissions.Tick(now)
}

func (s *streams) beginEpoch(epoch uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.admissions.BeginEpoch(epoch)
}

func (s *streams) setTable(now time.Time, t *routing.Table) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.resumable = t.ResumablePools()
	s.updateListedLocked(now)
}

func (s *streams) setEndpoints(now time.Time, listed []endpointset.Endpoint) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listed = listed
	s.updateListedLocked(now)
}

func (s *streams) updateListedLocked(now time.Time) {
	versions := map[structs.PoolName]map[string]bool{}
	for pool := range s.resumable {
		versions[pool] = map[string]bool{}
	}
	for _, e := range s.listed {
		if v := versions[e.Pool]; v != nil {
			v[e.Version] = true
		}
	}
	s.admissions.SetListed(now, versions)
}

// recorded reports whether the store has to know the streams of a pool.
func (s *streams) recorded(pool structs.PoolName) bool {
	_, single := s.admissions.Single(pool)
	return !single
}

// find returns where a stream began that an attempt of its caller names. singlePool is
// the pool of the request, whose only version counts only if it was looked up.
func (s *streams) find(attempt string, singlePool structs.PoolName, lookedUp bool) (resume.Origin, resume.Evidence, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if attempt != "" {
		if o, evidence, found := s.table.Find(resume.KeyOf(attempt)); found {
			return o, evidence, true
		}
	}
	if version, single := s.admissions.Single(singlePool); single && lookedUp {
		return resume.Origin{Pool: singlePool, Version: version}, resume.SingleVersion, true
	}
	return resume.Origin{}, "", false
}

// StreamVersionsRead applies the versions at which streams may begin, as read from the
// store.
func (g *Gateway) StreamVersionsRead(readAt time.Time, epoch uint64, end int64, records map[structs.PoolName]resume.Record) {
	g.streams.mu.Lock()
	defer g.streams.mu.Unlock()
	g.streams.admissions.Read(readAt, epoch, end, records)
}

// StreamListsRead applies the lists of streams in the store, by the daemon that wrote them.
func (g *Gateway) StreamListsRead(lists map[string]resume.List) {
	g.streams.mu.Lock()
	defer g.streams.mu.Unlock()
	g.streams.table.SetStored(lists)
}

// InheritStreams takes over the list in the store of this daemon's earlier incarnation.
func (g *Gateway) InheritStreams(self instance.ID) {
	g.streams.mu.Lock()
	defer g.streams.mu.Unlock()
	g.streams.table.Inherit(time.Now(), g.streams.table.Stored(string(self)))
}

// StreamListsNeeded reports whether streams of any pool may have begun at several versions.
func (g *Gateway) StreamListsNeeded() bool {
	g.streams.mu.Lock()
	defer g.streams.mu.Unlock()
	for pool := range g.streams.resumable {
		if g.streams.recorded(pool) {
			return true
		}
	}
	return false
}

// StreamList returns the unfinished streams of this daemon and those that report to it.
func (g *Gateway) StreamList() resume.List {
	g.streams.mu.Lock()
	defer g.streams.mu.Unlock()
	return g.streams.table.List(time.Now(), g.streams.recorded)
}

// DueStreamVersions returns the versions to write to the store, and whether to read them
// first. Each write must be followed by StreamVersionsWritten.
func (g *Gateway) DueStreamVersions() (writes []resume.Write, read bool) {
	g.mu.Lock()
	ranks := map[structs.PoolName]int{}
	rank := func(pool structs.PoolName) int { return ranks[pool] }
	for pool := range g.streams.pools() {
		ranks[pool] = g.rollouts.Rank(pool)
	}
	g.mu.Unlock()
	g.streams.mu.Lock()
	defer g.streams.mu.Unlock()
	return g.streams.admissions.Due(time.Now(), rank)
}

func (s *streams) pools() map[structs.PoolName]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.resumable
}

// StreamVersionsWritten records the end of an attempt to write.
func (g *Gateway) StreamVersionsWritten(pool structs.PoolName) {
	g.streams.mu.Lock()
	defer g.streams.mu.Unlock()
	g.streams.admissions.Written(time.Now(), pool)
}

// isResumable reports whether the request's stream may be resumed.
func (x *exchange) isResumable() bool {
	return x.route.Streaming && x.route.RetrySafety == routing.Resumable
}

// bindStream finds out where a stream began that the caller takes up. It returns a
// failure if that is in doubt: a version that is merely the only one left proves nothing.
func (x *exchange) bindStream(ctx context.Context) *Failure {
	if !x.isResumable() {
		return nil
	}
	if x.request.LastEventID == "" || x.gateway.options.RefreshStreams == nil {
		x.scheduled.Binding.Begins = true
		return nil
	}
	origin, evidence, found := x.lookUpOrigin(ctx)
	if !found || !x.route.HasBackend(origin.Pool) {
		x.gateway.metrics.unknownOrigins.Inc(1)
		x.gateway.options.Events.Emit(EventStreamOriginUnknown,
			events.F("request", x.request.ID), events.F("resumes", x.request.Resumes), events.F("pool", string(x.pool)), events.F("found", found),
			events.F("held_ms", time.Since(x.request.Arrived).Milliseconds()))
		return &Failure{Kind: NotRun, Reason: "it is not known which version of the endpoints began the stream", RetryAfter: unknownOriginRetryAfter}
	}
	x.pool, x.scheduled.Pool = origin.Pool, origin.Pool
	x.bindTo(origin, string(evidence))
	return nil
}

// lookUpOrigin looks for the origin of a stream, in the store if need be.
func (x *exchange) lookUpOrigin(ctx context.Context) (origin resume.Origin, evidence resume.Evidence, found bool) {
	s := x.gateway.streams
	if origin, evidence, found = s.find(x.request.Resumes, x.pool, false); found {
		return origin, evidence, true
	}
	ctx, cancel := context.WithTimeout(ctx, originLookupTimeout)
	defer cancel()
	for range originLookups {
		err := x.gateway.options.RefreshStreams(ctx)
		if origin, evidence, found = s.find(x.request.Resumes, x.pool, err == nil); found {
			return origin, evidence, true
		}
		if err != nil {
			// Without the store, waiting proves nothing.
			return origin, evidence, false
		}
		select {
		case <-ctx.Done():
			return origin, evidence, false
		case <-time.After(originRetry):
		}
	}
	return origin, evidence, false
}

// bindTo binds the rest of the stream to the version that began it.
func (x *exchange) bindTo(origin resume.Origin, evidence string) {
	x.scheduled.Binding = dispatch.Binding{Bound: true, Version: origin.Version}
	x.boundBy = evidence
	s := x.gateway.streams
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range x.streamIDs() {
		s.table.Begin(resume.KeyOf(id), origin)
	}
}

// streamIDs returns the IDs by which a caller may name the stream. It should name the
// attempt that brought the first event.
func (x *exchange) streamIDs() []string {
	if x.request.Resumes == "" || x.request.Resumes == x.request.ID {
		return []string{x.request.ID}
	}
	return []string{x.request.Resumes, x.request.ID}
}

// recordStreamBegan binds the stream to the version of the endpoint that has sent its
// first event.
func (x *exchange) recordStreamBegan(grant *dispatch.Grant) {
	if x.isResumable() && !x.scheduled.Binding.Bound {
		x.bindTo(resume.Origin{Pool: grant.Endpoint.Pool, Version: grant.Endpoint.Version}, "began")
	}
}

// recordStreamEnded records the end of this attempt at a stream.
func (x *exchange) recordStreamEnded(whole bool) {
	if !x.scheduled.Binding.Bound {
		return
	}
	s := x.gateway.streams
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range x.streamIDs() {
		s.table.End(time.Now(), resume.KeyOf(id), whole)
	}
}

// IsRoot reports whether this daemon reports to no other.
func (p *Peering) IsRoot() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	parent, root := p.node.Parent()
	return root || parent == ""
}

// reportStreams sends the list of unfinished streams to the parent, which keeps it in
// the store.
func (p *Peering) reportStreams(now time.Time) {
	p.mu.Lock()
	parent, root := p.node.Parent()
	p.mu.Unlock()
	s := p.gateway.streams
	if root || parent == "" || now.Sub(s.reportAt) < streamReportInterval {
		return
	}
	body, err := proto.Marshal(p.gateway.StreamList().Encode())
	if err != nil || string(body) == s.reported && (s.reported == "" || now.Sub(s.reportAt) < streamRepeatInterval) {
		return
	}
	s.reportAt, s.reported = now, string(body)
	// A list that is lost is replaced by the next one.
	_ = p.mesh.Send(parent, mesh.Message{Kind: kindStreams, Body: body})
}

func (p *Peering) receiveStreams(from instance.Process, m mesh.Message) {
	p.gateway.Guard("reported streams", func() {
		var message peerpb.Streams
		err := proto.Unmarshal(m.Body, &message)
		var list resume.List
		if err == nil {
			list, err = resume.DecodeList(&message)
		}
		if err != nil {
			p.gateway.options.Events.Emit(EventPeeringFault, events.F("instance", string(from.ID)), events.F("error", err))
			return
		}
		s := p.gateway.streams
		s.mu.Lock()
		defer s.mu.Unlock()
		s.table.PutReport(time.Now(), string(from.ID), uint64(from.Incarnation), list)
	})
}
