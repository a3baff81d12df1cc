package daemon

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/trace"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/transport/clock"
	"github.com/samphirewing/samphirewing/coordination/entry"
	"github.com/samphirewing/samphirewing/protocol/prefix"
	"github.com/samphirewing/samphirewing/state/catalogue"
	"github.com/samphirewing/samphirewing/state/structs"
	"github.com/samphirewing/samphirewing/transport/callerapi"
	"github.com/samphirewing/samphirewing/transport/edge"
)

// refusalRetryAfter is suggested when another entry or a little time helps.
const refusalRetryAfter = time.Second

// callerBackend checks submissions against the catalogue and hands them to
// the entry role. It is safe for use by several goroutines.
type callerBackend struct {
	self      instance.Process
	clock     clock.Clock
	settings  Settings
	entry     *entryRole
	answers   *answers
	catalogue *atomic.Pointer[catalogue.Catalogue]
	members   *memberRole
	shards    *shardTable
	tracer    trace.Tracer
	// stale tells that the configuration in force here is behind for too long.
	stale func(time.Time) bool
	// refusing is set when the daemon takes no new requests any more.
	refusing atomic.Bool
	counter  atomic.Uint64
}

// Entries returns the addresses that callers may use.
func (b *callerBackend) Entries(context.Context) callerapi.EntryList {
	return callerapi.EntryList{Entries: b.members.entries(), MaxAge: b.settings.EntriesKeepFor}
}

// Authenticate returns the organisation that a bearer token belongs to.
func (b *callerBackend) Authenticate(token string) (structs.OrganisationName, bool) {
	o, ok := b.catalogue.Load().OrganisationByToken(token)
	return o.Name, ok
}

// Lookup returns the answer of a request that this entry holds or held lately.
func (b *callerBackend) Lookup(organisation structs.OrganisationName, id structs.RequestID) (callerapi.Answer, bool) {
	a, ok := b.answers.get(id)
	if !ok || a.organisation != organisation {
		return nil, false
	}
	return a, true
}

// Submit checks a submission and holds it.
func (b *callerBackend) Submit(_ context.Context, s callerapi.Submission) (callerapi.Answer, error) {
	now := b.clock.Now()
	if b.refusing.Load() {
		return nil, structs.Refusal{Outcome: structs.OutcomeNotRun, Reason: structs.ReasonDraining, RetryAfter: refusalRetryAfter}
	}
	if b.stale(now) {
		return nil, structs.Refusal{Outcome: structs.OutcomeNotRun, Reason: structs.ReasonConfigStale, RetryAfter: refusalRetryAfter}
	}
	c := b.catalogue.Load()
	request, pool, err := b.resolve(c, &s, now)
	if err != nil {
		return nil, err
	}
	spans, parent := beginRequest(b.tracer, s.TraceParent)
	s.TraceParent, request.TraceParent = parent, parent
	a := newAnswer(request.ID, s, b.settings.ReconnectGrace, func(id structs.RequestID) {
		b.entry.step(entry.CallerDisconnected{Request: id})
	})
	a.accepted, a.spans = now, spans
	b.answers.put(a)
	shard := entry.Shard{Pool: pool.Name, Number: shardOfRequest(request, pool.Shards)}
	b.shards.use(shard)
	b.entry.step(entry.Accept{Request: request, Shard: shard})
	b.boundMemory()
	return a, nil
}

// boundMemory gives up waiting work, lowest tier first, above the bound.
func (b *callerBackend) boundMemory() {
	held := int(b.entry.held.Load())
	if held < b.settings.MaxHeld {
		return
	}
	running := held - int(b.entry.waiting.Load())
	b.entry.step(entry.ReleaseMemory{MaxWaiting: max(0, b.settings.MaxHeld-running)})
}

// resolve fills in what the caller left out and looks up every name.
func (b *callerBackend) resolve(c *catalogue.Catalogue, s *callerapi.Submission, now time.Time) (structs.Request, catalogue.Pool, error) {
	organisation, ok := c.Organisation(s.Organisation)
	if !ok {
		return structs.Request{}, catalogue.Pool{}, invalid(http.StatusForbidden, "organisation", "was removed", structs.ReasonOrganisationRemoved.Remedy())
	}
	tier, err := tierOf(c, organisation, s)
	if err != nil {
		return structs.Request{}, catalogue.Pool{}, err
	}
	pool, ok := c.PoolOf(s.Kind, s.Target)
	if !ok {
		return structs.Request{}, catalogue.Pool{}, unknownTarget(s)
	}
	if err := b.setDeadline(s, tier, now); err != nil {
		return structs.Request{}, catalogue.Pool{}, err
	}
	if err := checkKey(c, s); err != nil {
		return structs.Request{}, catalogue.Pool{}, err
	}
	return b.request(s, organisation, tier, pool), pool, nil
}

// checkKey wants a key, and the time that it was made, for a call that may not
// be repeated: without the time an old key could not be told from a new one.
func checkKey(c *catalogue.Catalogue, s *callerapi.Submission) error {
	service, ok := c.Service(s.Target)
	if s.Kind != structs.WorkService || !ok || service.Repeatable {
		return nil
	}
	if s.CallerKey == "" {
		return invalid(http.StatusBadRequest, callerapi.HeaderIdempotencyKey, "is missing",
			"this service's calls may not be repeated; send a key of your own, the same one on each retry")
	}
	if s.KeyIssued.IsZero() {
		return invalid(http.StatusBadRequest, callerapi.HeaderKeyIssued, "is missing",
			"send the time at which you made the key, the same one on each retry")
	}
	return nil
}

func (b *callerBackend) request(s *callerapi.Submission, o catalogue.Organisation, t catalogue.Tier, p catalogue.Pool) structs.Request {
	r := structs.Request{
		ID:           b.nextID(),
		Entry:        b.self,
		Pool:         p.Name,
		Kind:         s.Kind,
		Target:       s.Target,
		Tier:         t.Name,
		Rank:         t.Rank,
		Organisation: o.Name,
		Weight:       o.Weight,
		WorkClass:    s.WorkClass,
		Deadline:     s.Deadline,
	}
	if s.Kind == structs.WorkModel {
		r.PromptTokens = prefix.CountTokens(s.Prompt)
		r.MaxOutputTokens = s.MaxTokens
		r.Prefix = prefix.Hashes(string(s.Target), s.Prompt)
		r.CallerKey = edge.ScopedKey(o.Name, s.CallerKey)
	}
	return r
}

// nextID names the entry, its life and a counter, so that ids never repeat.
func (b *callerBackend) nextID() structs.RequestID {
	n := b.counter.Add(1)
	life := strconv.FormatUint(uint64(b.self.Incarnation), 36)
	return structs.RequestID(string(b.self.ID) + "-" + life + "-" + strconv.FormatUint(n, 36))
}

// tierOf returns the tier that was named, or the least urgent one allowed.
func tierOf(c *catalogue.Catalogue, o catalogue.Organisation, s *callerapi.Submission) (catalogue.Tier, error) {
	if s.Tier == "" {
		if len(o.Tiers) == 0 {
			return catalogue.Tier{}, invalid(http.StatusForbidden, "tier", "the organisation may use no tier", "ask the operator to allow one")
		}
		s.Tier = o.Tiers[len(o.Tiers)-1]
	}
	tier, ok := c.Tier(s.Tier)
	if !ok {
		return catalogue.Tier{}, invalid(http.StatusBadRequest, "tier", "unknown tier "+strconv.Quote(string(s.Tier)), "use a tier that the operator declared")
	}
	if !o.Allows(s.Tier) {
		return catalogue.Tier{}, invalid(http.StatusForbidden, "tier", "the organisation may not use tier "+strconv.Quote(string(s.Tier)), "use a tier that it may use, or ask the operator")
	}
	return tier, nil
}

func (b *callerBackend) setDeadline(s *callerapi.Submission, t catalogue.Tier, now time.Time) error {
	if s.Deadline.IsZero() {
		after := t.DefaultDeadline
		if after <= 0 {
			after = b.settings.DefaultDeadline
		}
		s.Deadline = now.Add(after)
	}
	if !now.Before(s.Deadline) {
		return invalid(http.StatusBadRequest, "deadline", "has passed", "give a later deadline")
	}
	return nil
}

func unknownTarget(s *callerapi.Submission) error {
	field := "model"
	if s.Kind == structs.WorkService {
		field = "service"
	}
	return invalid(http.StatusNotFound, field, "unknown "+field+" "+strconv.Quote(string(s.Target)), "use one that the operator declared")
}

func invalid(status int, field, detail, remedy string) error {
	return &callerapi.InvalidError{Field: field, Detail: detail, Remedy: remedy, Status: status}
}

// Models returns the declared models in order; every organisation may ask for
// each of them.
func (b *callerBackend) Models(structs.OrganisationName) []structs.Target {
	return b.catalogue.Load().Models()
}
