package daemon

import (
	"github.com/apex/log"

	"github.com/samphirewing/coordkit/events"
)

// Events logged by the daemon.
var (
	EventStarted             = events.New(800, "daemon-started", log.InfoLevel)
	EventStopping            = events.New(801, "daemon-stopping", log.InfoLevel)
	EventStopped             = events.New(802, "daemon-stopped", log.InfoLevel)
	EventCatalogueUnreadable = events.New(803, "catalogue-not-readable", log.ErrorLevel)
	EventInvariantBroken     = events.New(804, "invariant-broken", log.ErrorLevel)
	EventListUnreachable     = events.New(805, "membership-list-unreachable", log.WarnLevel)
	EventListReachable       = events.New(806, "membership-list-reachable", log.InfoLevel)
	EventKeysReloaded        = events.New(807, "keys-reloaded", log.InfoLevel)
	EventKeysNotReloaded     = events.New(808, "keys-not-reloaded", log.ErrorLevel)
)
