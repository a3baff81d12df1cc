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
	"github.com/samphirewing/samphirewing/coordination/memorybudget"
	"github.com/samphirewing/samphirewing/protocol/prefix"
	"github.com/samphirewing/samphirewing/state/catalogue"
	"github.com/samphirewing/samphirewing/state/structs"
	"github.com/samphirewing/samphirewing/transport/callerapi"
	"github.com/samphirewing/samphirewing/transport/edge"
)

// refusalRetryAfter is the suggested delay before a retry; another entry may
// accept the request immediately.
const refusalRetryAfter = time.Second

// callerBackend validates submissions against the catalogue and passes them to
// the entry role. It is safe for concurrent use.
type callerBackend struct {
	self      instance.Process
	clock     clock.Clock
	settings  Settings
	entry     *entryRole
	answers   *answerStore
	catalogue *atomic.Pointer[catalogue.Catalogue]
	members   *memberRole
	shards    *ownerTracker
	tracer    trace.Tracer
	// memory counts the answers that are not complete or not read.
	memory *memorybudget.Account
	// configStale reports whether this daemon's configuration has been out of date
	// for too long.
	configStale func(time.Time) bool
	// draining is set once the daemon rejects new requests.
	draining       atomic.Bool
	requestCounter atomic.Uint64
}

// Entries returns the addresses that callers may use and how long callers may cache
// them.
func (b *callerBackend) Entries(context.Context) callerapi.EntryList {
	return callerapi.EntryList{Entries: b.members.entries(), MaxAge: b.settings.EntriesKeepFor}
}

// Authenticate returns the organisation of a bearer token.
func (b *callerBackend) Authenticate(token string) (structs.OrganisationName, bool) {
	o, ok := b.catalogue.Load().OrganisationByToken(token)
	return o.Name, ok
}

// Lookup returns the organisation's answer of that id if this entry holds the
// request or still retains its answer.
func (b *callerBackend) Lookup(organisation structs.OrganisationName, id structs.RequestID) (callerapi.Answer, bool) {
	a, ok := b.answers.get(id)
	if !ok || a.organisation != organisation {
		return nil, false
	}
	return a, true
}

// Submit validates a submission and passes the request to the entry role. It
// returns a structs.Refusal or a callerapi.InvalidError if it is not accepted.
func (b *callerBackend) Submit(_ context.Context, s callerapi.Submission) (callerapi.Answer, error) {
	now := b.clock.Now()
	if b.draining.Load() {
		return nil, structs.Refusal{Outcome: structs.OutcomeNotRun, Reason: structs.ReasonDraining, RetryAfter: refusalRetryAfter}
	}
	if b.configStale(now) {
		return nil, structs.Refusal{Outcome: structs.OutcomeNotRun, Reason: structs.ReasonConfigStale, RetryAfter: refusalRetryAfter}
	}
	if b.memory.Used(memorybudget.Response) > b.memory.Limit(memorybudget.Response) {
		return nil, structs.Refusal{Outcome: structs.OutcomeNotRun, Reason: structs.ReasonMemoryBound, RetryAfter: refusalRetryAfter}
	}
	c := b.catalogue.Load()
	request, pool, err := b.resolve(c, &s, now)
	if err != nil {
		return nil, err
	}
	spans, parent := startRequestSpans(b.tracer, s.TraceParent)
	s.TraceParent, request.TraceParent = parent, parent
	a := newAnswer(request.ID, s, b.settings.ReconnectGrace, func(id structs.RequestID) {
		b.entry.enqueue(entry.CallerDisconnected{Request: id})
	})
	a.acceptedAt, a.spans, a.memory = now, spans, b.memory
	b.answers.put(a)
	shard := entry.Shard{Pool: pool.Name, Number: shardNumberFor(request, pool.Shards)}
	b.shards.track(shard)
	b.entry.enqueue(entry.Accept{Request: request, Shard: shard})
	b.enforceMaxHeld()
	return a, nil
}

// enforceMaxHeld sheds waiting requests, lowest tier first, when the entry holds
// MaxHeld requests or more.
func (b *callerBackend) enforceMaxHeld() {
	held := int(b.entry.held.Load())
	if held < b.settings.MaxHeld {
		return
	}
	running := held - int(b.entry.waiting.Load())
	b.entry.enqueue(entry.ReleaseMemory{MaxWaiting: max(0, b.settings.MaxHeld-running)})
}

// resolve looks up the organisation, tier and pool of a submission and fills in
// the defaults that it leaves open.
func (b *callerBackend) resolve(c *catalogue.Catalogue, s *callerapi.Submission, now time.Time) (structs.Request, catalogue.Pool, error) {
	organisation, ok := c.Organisation(s.Organisation)
	if !ok {
		return structs.Request{}, catalogue.Pool{}, invalidError(http.StatusForbidden, "organisation", "was removed", structs.ReasonOrganisationRemoved.Remedy())
	}
	tier, err := resolveTier(c, organisation, s)
	if err != nil {
		return structs.Request{}, catalogue.Pool{}, err
	}
	pool, ok := c.PoolOf(s.Kind, s.Target)
	if !ok {
		return structs.Request{}, catalogue.Pool{}, unknownTargetError(s)
	}
	if err := b.setDeadline(s, tier, now); err != nil {
		return structs.Request{}, catalogue.Pool{}, err
	}
	if err := checkCallerKey(c, s); err != nil {
		return structs.Request{}, catalogue.Pool{}, err
	}
	return b.newRequest(s, organisation, tier, pool), pool, nil
}

// checkCallerKey requires an idempotency key and its issue time for a call to a
// service that is not repeatable. Without the issue time, an expired key can't
// be distinguished from a new one.
func checkCallerKey(c *catalogue.Catalogue, s *callerapi.Submission) error {
	service, ok := c.Service(s.Target)
	if s.Kind != structs.WorkService || !ok || service.Repeatable {
		return nil
	}
	if s.CallerKey == "" {
		return invalidError(http.StatusBadRequest, callerapi.HeaderIdempotencyKey, "is missing",
			"this service's calls may not be repeated; send a key of your own, the same one on each retry")
	}
	if s.KeyIssued.IsZero() {
		return invalidError(http.StatusBadRequest, callerapi.HeaderKeyIssued, "is missing",
			"send the time at which you made the key, the same one on each retry")
	}
	return nil
}

func (b *callerBackend) newRequest(s *callerapi.Submission, o catalogue.Organisation, t catalogue.Tier, p catalogue.Pool) structs.Request {
	r := structs.Request{
		ID:           b.nextRequestID(),
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

// nextRequestID composes the instance id, the incarnation and a counter, so that
// ids are never reused.
func (b *callerBackend) nextRequestID() structs.RequestID {
	count := b.requestCounter.Add(1)
	incarnation := strconv.FormatUint(uint64(b.self.Incarnation), 36)
	return structs.RequestID(string(b.self.ID) + "-" + incarnation + "-" + strconv.FormatUint(count, 36))
}

// resolveTier returns the requested tier, or the organisation's least urgent one
// if none is requested.
func resolveTier(c *catalogue.Catalogue, o catalogue.Organisation, s *callerapi.Submission) (catalogue.Tier, error) {
	if s.Tier == "" {
		if len(o.Tiers) == 0 {
			return catalogue.Tier{}, invalidError(http.StatusForbidden, "tier", "the organisation may use no tier", "ask the operator to allow one")
		}
		s.Tier = o.Tiers[len(o.Tiers)-1]
	}
	tier, ok := c.Tier(s.Tier)
	if !ok {
		return catalogue.Tier{}, invalidError(http.StatusBadRequest, "tier", "unknown tier "+strconv.Quote(string(s.Tier)), "use a tier that the operator declared")
	}
	if !o.Allows(s.Tier) {
		return catalogue.Tier{}, invalidError(http.StatusForbidden, "tier", "the organisation may not use tier "+strconv.Quote(string(s.Tier)), "use a tier that it may use, or ask the operator")
	}
	return tier, nil
}

// setDeadline applies the default deadline of the tier or of the settings to a
// submission without one, and rejects a deadline in the past.
func (b *callerBackend) setDeadline(s *callerapi.Submission, t catalogue.Tier, now time.Time) error {
	if s.Deadline.IsZero() {
		after := t.DefaultDeadline
		if after <= 0 {
			after = b.settings.DefaultDeadline
		}
		s.Deadline = now.Add(after)
	}
	if !now.Before(s.Deadline) {
		return invalidError(http.StatusBadRequest, "deadline", "has passed", "give a later deadline")
	}
	return nil
}

func unknownTargetError(s *callerapi.Submission) error {
	field := "model"
	if s.Kind == structs.WorkService {
		field = "service"
	}
	return invalidError(http.StatusNotFound, field, "unknown "+field+" "+strconv.Quote(string(s.Target)), "use one that the operator declared")
}

func invalidError(status int, field, detail, remedy string) error {
	return &callerapi.InvalidError{Field: field, Detail: detail, Remedy: remedy, Status: status}
}

// Models returns the declared models in order; they are the same for every
// organisation.
func (b *callerBackend) Models(structs.OrganisationName) []structs.Target {
	return b.catalogue.Load().Models()
}
