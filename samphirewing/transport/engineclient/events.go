package engineclient

import (
	"context"
	"net"
	"os"

	"github.com/apex/log"
	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/samphirewing/transport/edge"
)

var (
	eventFrameMismatch = events.New(600, "engine-frame-mismatch", log.ErrorLevel)
	eventStreamSilent  = events.New(601, "engine-stream-silent", log.WarnLevel)
	eventStreamBroken  = events.New(602, "engine-stream-broken", log.WarnLevel)
	eventOrderFenced   = events.New(603, "engine-order-fenced", log.WarnLevel)
	eventOrderLost     = events.New(604, "engine-order-lost", log.WarnLevel)
)

// reportStream emits the event for the end of a stream that wasn't whole,
// unless this side ended it.
func (c *Client) reportStream(a edge.Attempt, after uint64, err error) {
	if endedHere(err) {
		return
	}
	fields := []events.Field{
		events.F("engine", c.name),
		events.F("request", a.Request),
		events.F("attempt", a.Number),
		events.F("sequence", after),
		events.F("error", err.Error()),
	}
	switch {
	case errors.Is(err, edge.ErrFrameMismatch):
		c.options.Events.Emit(eventFrameMismatch, fields...)
	case errors.Is(err, os.ErrDeadlineExceeded):
		c.options.Events.Emit(eventStreamSilent, fields...)
	case errors.Is(err, edge.ErrIndeterminate):
		c.options.Events.Emit(eventStreamBroken, fields...)
	}
}

// endedHere tells whether the context ended or the stream was closed.
func endedHere(err error) bool {
	return errors.Is(err, net.ErrClosed) || errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}

func (c *Client) reportOrder(fencing int64, err error) {
	fields := []events.Field{events.F("engine", c.name), events.F("fencing", fencing), events.F("error", err.Error())}
	switch {
	case errors.Is(err, edge.ErrFenced):
		c.options.Events.Emit(eventOrderFenced, fields...)
	case errors.Is(err, edge.ErrIndeterminate):
		c.options.Events.Emit(eventOrderLost, fields...)
	}
}
