package gateway

import (
	"github.com/apex/log"

	"github.com/samphirewing/coordkit/events"
)

// Events of forwarded requests.
var (
	EventConfigurationApplied = events.New(900, "routing-in-force", log.InfoLevel)
	EventRequestPlaced        = events.New(901, "request-placed", log.InfoLevel)
	EventRequestRefused       = events.New(902, "request-refused", log.InfoLevel)
	EventAttemptFailed        = events.New(903, "attempt-failed", log.InfoLevel)
	EventRequestEnded         = events.New(904, "request-ended", log.InfoLevel)
	EventPeerResponsive       = events.New(905, "peer-heard", log.InfoLevel)
	EventPeerUnresponsive     = events.New(906, "peer-silent", log.WarnLevel)
	EventPeeringFault         = events.New(907, "peering-fault", log.WarnLevel)
	EventParentChanged        = events.New(908, "parent-changed", log.InfoLevel)
	EventEndpointCrashed      = events.New(910, "endpoint-crashed", log.WarnLevel)
	EventPromptPartBlocked    = events.New(911, "prompt-part-blocked", log.WarnLevel)
	EventPromptPartReleased   = events.New(912, "prompt-part-released", log.InfoLevel)
	EventEndpointLimitNamed   = events.New(913, "endpoint-limit-named", log.WarnLevel)
	EventEndpointLimitLifted  = events.New(914, "endpoint-limit-lifted", log.InfoLevel)
	EventEndpointLeaving      = events.New(915, "endpoint-leaving", log.InfoLevel)
	EventEndpointBackoff      = events.New(916, "endpoint-backoff", log.InfoLevel)
	EventGrantUnfinished      = events.New(917, "grant-unfinished", log.ErrorLevel)
	EventOverShare            = events.New(925, "organisation-over-share", log.InfoLevel)
	EventRequestDisplaced     = events.New(926, "waiting-request-displaced", log.InfoLevel)
	EventLargerThanEngines    = events.New(927, "request-larger-than-engines", log.WarnLevel)
	EventRetryScheduleFull    = events.New(928, "retry-schedule-full", log.InfoLevel)
	EventEpisodeBegan         = events.New(929, "engine-episode-began", log.InfoLevel)
	EventEpisodeEnded         = events.New(930, "engine-episode-ended", log.InfoLevel)
	EventDomainTrafficBegan   = events.New(931, "domain-traffic-began", log.InfoLevel)
	EventDomainTrafficEnded   = events.New(932, "domain-traffic-ended", log.InfoLevel)
	EventRolloutOrdered       = events.New(918, "rollout-ordered", log.InfoLevel)
	EventRolloutStep          = events.New(919, "rollout-step", log.InfoLevel)
	EventRolloutGateClosed    = events.New(920, "rollout-gate-closed", log.WarnLevel)
	EventRolloutGateOpened    = events.New(921, "rollout-gate-opened", log.InfoLevel)
	EventRolloutBadVersion    = events.New(922, "rollout-bad-version", log.ErrorLevel)
	EventRolloutVerdict       = events.New(923, "rollout-verdict", log.InfoLevel)
	EventRolloutWriteFailed   = events.New(924, "rollout-status-not-written", log.WarnLevel)
	EventListingRelayed       = events.New(937, "listing-relayed", log.InfoLevel)
	EventTopicBehind          = events.New(940, "topic-behind", log.WarnLevel)
	EventTopicCaughtUp        = events.New(941, "topic-caught-up", log.InfoLevel)
	EventStreamOriginUnknown  = events.New(942, "stream-origin-unknown", log.InfoLevel)
	EventEndpointReplaced     = events.New(943, "endpoint-replaced", log.WarnLevel)
	EventPanicRecovered       = events.New(909, "panic-recovered", log.ErrorLevel)
)
