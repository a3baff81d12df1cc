package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/samphirewing/samphirewing/standin/caller"
	"github.com/samphirewing/samphirewing/standin/operator"
)

const (
	// callers is how many callers ask at a time, cappedCallers how many of the
	// organisation with a quota.
	callers       = 24
	cappedCallers = 3
	// think is the mean time between an answer and the caller's next request.
	think       = 100 * time.Millisecond
	cappedThink = 60 * time.Millisecond
	// listAge is how long a caller keeps a list of addresses; some keep it
	// three times as long.
	listAge = time.Second
	// giveUp is when a caller no longer waits for an answer.
	giveUp = requestDeadline + time.Second
	// probeShare is one in how many requests uses the key of one version.
	probeShare = 4
	// probeBack is how far back the probed versions go; more versions are
	// published between two reads of the store.
	probeBack = 5
	// faithfulShare is one in how many callers keeps to its daemon until it
	// can't connect there.
	faithfulShare = 4
)

// client is one caller of the load.
type client struct {
	world  *world
	number int
	random *rand.Rand
	caller *caller.Caller

	addresses []string
	listed    time.Time
	chosen    string
	sent      int
}

func (w *world) newClient(n int) *client {
	return &client{world: w, number: n, random: rand.New(rand.NewPCG(w.options.Seed, uint64(n+2))), caller: caller.New(w.dial)}
}

// run asks until the context ends.
func (c *client) run(ctx context.Context) {
	defer c.caller.Close()
	pause := think
	if c.isCapped() {
		pause = cappedThink
	}
	for ctx.Err() == nil {
		if address := c.address(ctx); address != "" {
			c.ask(ctx, address)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(2 * c.random.Float64() * float64(pause))):
		}
	}
}

func (c *client) isCapped() bool { return c.number >= callers }

// address returns where the next request goes.
func (c *client) address(ctx context.Context) string {
	age := listAge
	if c.number%2 == 1 {
		age *= 3
	}
	if time.Since(c.listed) > age {
		c.resolve(ctx)
	}
	if c.chosen != "" && c.number%faithfulShare == 0 {
		return c.chosen
	}
	if len(c.addresses) > 0 {
		c.chosen = c.addresses[c.random.IntN(len(c.addresses))]
	}
	return c.chosen
}

func (c *client) resolve(ctx context.Context) {
	d := c.world.daemons[c.random.IntN(len(c.world.daemons))]
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	// A daemon that is away tells nothing; the old list is kept.
	if list, err := c.caller.Resolve(ctx, d.port(operator.DirectoryPort), operator.Host); err == nil {
		c.addresses, c.listed = list, time.Now()
	}
}

func (c *client) ask(ctx context.Context, address string) {
	d := c.world.byAddress[address]
	r := routes[c.random.IntN(len(routes))]
	c.sent++
	o := outcome{id: fmt.Sprintf("c%d-%d", c.number, c.sent), route: r.name, key: operator.Key, daemon: d.name, life: d.lifeNow(), capped: c.isCapped()}
	request := caller.Request{ID: o.id, Host: operator.Host, Path: "/" + r.name + "/" + o.id, Deadline: requestDeadline}
	switch {
	case o.capped:
		o.route, o.key, request.Tokens = "lookup", cappedKey, cappedTokens
		request.Path = "/lookup/" + o.id
	case c.random.IntN(probeShare) == 0:
		o.version = max(c.world.history.newest()-c.random.IntN(probeBack), 1)
		o.key = versionKey(o.version)
	}
	request.Key = o.key
	// A request that is under way when the load ends is waited for.
	asking, cancel := context.WithTimeout(context.WithoutCancel(ctx), giveUp)
	defer cancel()
	o.sent = time.Now()
	o.answer = c.caller.Ask(asking, address, request)
	o.ended = time.Now()
	if !o.answer.Dialled {
		c.chosen, c.listed = "", time.Time{}
	}
	if d.lifeNow() != o.life {
		o.life = 0
	}
	c.world.history.add(o)
}
