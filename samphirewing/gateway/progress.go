package gateway

import (
	"context"
	"time"

	"github.com/juju/errors"
)

// errStalled ends the connection to an endpoint whose stream makes no progress.
var errStalled = errors.New("no complete event arrived for as long as callers wait")

// progressGuard ends a context if nothing is recorded for a time limit. Bytes that
// do not complete an event are no progress.
type progressGuard struct {
	limit  time.Duration
	timer  *time.Timer
	cancel context.CancelCauseFunc
}

// guardProgress returns a context that ends if the guard is not reset within the
// limit. A limit of zero sets none. The caller must call stop.
func guardProgress(ctx context.Context, limit time.Duration) (context.Context, *progressGuard) {
	ctx, cancel := context.WithCancelCause(ctx)
	g := &progressGuard{limit: limit, cancel: cancel}
	if limit > 0 {
		g.timer = time.AfterFunc(limit, func() { cancel(errStalled) })
	}
	return ctx, g
}

// reset records progress.
func (g *progressGuard) reset() {
	if g.timer != nil {
		g.timer.Reset(g.limit)
	}
}

func (g *progressGuard) stop() {
	if g.timer != nil {
		g.timer.Stop()
	}
	g.cancel(nil)
}

// answerProgress is how much of an answer has arrived.
type answerProgress int8

const (
	progressNone answerProgress = iota
	// progressBegun means that a part of the head has arrived.
	progressBegun
	// progressHead means that the head has arrived, and nothing of the body.
	progressHead
	// progressPartial means that a part of the body has arrived, but no complete
	// event.
	progressPartial
	progressEvents
)

var progressNames = [...]string{"none", "begun", "head", "partial", "events"}

// String returns the name used in logs.
func (p answerProgress) String() string { return progressNames[p] }
