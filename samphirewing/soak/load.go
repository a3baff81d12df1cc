package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/samphirewing/samphirewing/standin/caller"
	"github.com/samphirewing/samphirewing/standin/operator"
)

const (
	// callerCount is the number of concurrent callers without a quota,
	// cappedCallerCount that of the organisation with a quota.
	callerCount       = 24
	cappedCallerCount = 3
	// meanThinkTime is the mean time between an answer and the caller's next
	// request.
	meanThinkTime       = 100 * time.Millisecond
	cappedMeanThinkTime = 60 * time.Millisecond
	// addressListTTL is how long a caller uses an address list before it
	// resolves again. Callers with an odd number use it three times as long.
	addressListTTL = time.Second
	// callerTimeout bounds a caller's wait for an answer.
	callerTimeout = requestDeadline + time.Second
	// versionProbeEvery: on average, one in this many requests uses a key that
	// is valid in a single configuration version.
	versionProbeEvery = 4
	// versionProbeDepth is the number of most recent versions that are probed.
	// More versions than this are published between two reads of the store.
	versionProbeDepth = 5
	// stickyCallerEvery: one in this many callers sends all requests to the
	// same daemon until a connection to it fails.
	stickyCallerEvery = 4
)

// client generates the load of one caller.
type client struct {
	env    *environment
	number int
	random *rand.Rand
	caller *caller.Caller

	addresses  []string
	resolvedAt time.Time
	target     string
	sentCount  int
}

func (env *environment) newClient(n int) *client {
	return &client{env: env, number: n, random: rand.New(rand.NewPCG(env.options.Seed, uint64(n+2))), caller: caller.New(env.dial)}
}

// run sends requests until the context ends.
func (c *client) run(ctx context.Context) {
	defer c.caller.Close()
	pause := meanThinkTime
	if c.isCapped() {
		pause = cappedMeanThinkTime
	}
	for ctx.Err() == nil {
		if address := c.pickAddress(ctx); address != "" {
			c.send(ctx, address)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(2 * c.random.Float64() * float64(pause))):
		}
	}
}

func (c *client) isCapped() bool { return c.number >= callerCount }

// pickAddress returns the address for the next request, or "" when none is
// known.
func (c *client) pickAddress(ctx context.Context) string {
	age := addressListTTL
	if c.number%2 == 1 {
		age *= 3
	}
	if time.Since(c.resolvedAt) > age {
		c.resolve(ctx)
	}
	if c.target != "" && c.number%stickyCallerEvery == 0 {
		return c.target
	}
	if len(c.addresses) > 0 {
		c.target = c.addresses[c.random.IntN(len(c.addresses))]
	}
	return c.target
}

func (c *client) resolve(ctx context.Context) {
	d := c.env.daemons[c.random.IntN(len(c.env.daemons))]
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	// When the daemon is unavailable, the previous list stays in use.
	if list, err := c.caller.Resolve(ctx, d.port(operator.DirectoryPort), operator.Host); err == nil {
		c.addresses, c.resolvedAt = list, time.Now()
	}
}

// promptParts returns a prompt of two shared parts and one of its own. The second
// may be a part that crashes endpoints. Every second prompt is a long conversation,
// with many parts of its own before the second shared one.
func (c *client) promptParts(id string) string {
	second := fmt.Sprintf("b%d", c.random.IntN(4))
	if part := c.env.poison.part(); part != "" && c.random.Float64() < poisonShare {
		second = part
	}
	turns := ""
	if c.sentCount%2 == 0 {
		for n := range longPromptTurns {
			turns += fmt.Sprintf("%x%02x:20,", id, n)
		}
	}
	return fmt.Sprintf("a%d:60,%s%s:400,%x:100", c.random.IntN(2), turns, second, id)
}

// longPromptTurns is the number of parts that only a long prompt has.
const longPromptTurns = 24

// maxTakeUps is how often a caller takes up a stream that has broken off.
const maxTakeUps = 6

func (c *client) send(ctx context.Context, address string) {
	r := routes[c.random.IntN(len(routes))]
	c.sentCount++
	d := c.env.daemonByAddress[address]
	o := outcome{id: fmt.Sprintf("c%d-%d", c.number, c.sentCount), route: r.name, key: operator.APIKey, daemon: d.name, incarnation: d.currentIncarnation(), capped: c.isCapped()}
	request := caller.Request{ID: o.id, Host: operator.Host, Path: "/" + r.name + "/" + o.id, Deadline: requestDeadline}
	switch {
	case o.capped:
		o.route, o.key, request.Tokens = "lookup", cappedKey, cappedTokens
		request.Path = "/lookup/" + o.id
	case c.random.IntN(versionProbeEvery) == 0:
		o.version = max(c.env.history.newestVersion()-c.random.IntN(versionProbeDepth), 1)
		o.key = versionKey(o.version)
	}
	request.Key = o.key
	if r.pool == operator.Engines && !o.capped {
		request.PromptParts = c.promptParts(o.id)
	}
	o = c.sendOnce(ctx, address, request, o)
	if !r.resumable || o.capped {
		return
	}
	first, last := o.id, o.eventsReceived()
	for n := 1; n <= maxTakeUps && o.answer.Err != nil && last > 0 && last < streamEvents; n++ {
		time.Sleep(time.Duration(c.random.Float64() * float64(takeUpPause)))
		if address = c.pickAddress(ctx); address == "" {
			continue
		}
		d = c.env.daemonByAddress[address]
		o = outcome{id: fmt.Sprintf("%s-%d", first, n), route: o.route, key: o.key, version: o.version, daemon: d.name, incarnation: d.currentIncarnation(), resumes: first, lastEvent: last}
		request.ID, request.Path, request.LastEventID, request.Resumes = o.id, "/"+r.name+"/"+o.id, fmt.Sprint(last), first
		o = c.sendOnce(ctx, address, request, o)
		last += o.eventsReceived()
	}
}

// takeUpPause bounds the time until a caller takes up a stream.
const takeUpPause = 800 * time.Millisecond

// eventsReceived returns the number of complete events in the answer.
func (o outcome) eventsReceived() (n int) {
	if o.answer.Status != http.StatusOK {
		return 0
	}
	for _, e := range caller.ParseEvents(o.answer.Body) {
		if e.Complete {
			n++
		}
	}
	return n
}

// sendOnce sends a request and records its outcome.
func (c *client) sendOnce(ctx context.Context, address string, request caller.Request, o outcome) outcome {
	d := c.env.daemonByAddress[address]
	// Requests in flight when the load ends run to completion.
	requestCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), callerTimeout)
	defer cancel()
	o.sentAt = time.Now()
	o.answer = c.caller.Send(requestCtx, address, request)
	o.endedAt = time.Now()
	if !o.answer.Dialled {
		c.target, c.resolvedAt = "", time.Time{}
	}
	if d.currentIncarnation() != o.incarnation {
		o.incarnation = 0
	}
	c.env.history.addOutcome(o)
	return o
}
