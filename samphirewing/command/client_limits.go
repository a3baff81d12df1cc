package command

import (
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// clientLimits adds the flags that bound what a daemon holds for callers. Zero
// selects a default that follows from the memory.
func clientLimits(app *kingpin.Application, bodies, bodiesPerPeer *int, minRate *int64, unread *time.Duration, unreadDefault time.Duration) {
	flag(app, "max-bodies", "Most bodies that are read at once; from the memory when 0.").Default("0").IntVar(bodies)
	flag(app, "max-bodies-per-peer", "The same for one address of callers; 3/4 of max-bodies when 0.").Default("0").IntVar(bodiesPerPeer)
	flag(app, "min-body-rate", "Bytes per second that a body must reach after 5 s; 256 when 0.").Default("0").Int64Var(minRate)
	flag(app, "unread-timeout", "How long a caller may take nothing of its response; "+unreadDefault.String()+" when 0.").Default("0s").DurationVar(unread)
}
