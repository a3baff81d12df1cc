package platform

import (
	"github.com/apex/log"

	"github.com/samphirewing/coordkit/events"
)

// Events of the platform adapter.
var (
	EventListingReceived       = events.New(938, "listing-received", log.InfoLevel)
	EventListingAwaited        = events.New(939, "listing-awaited-in-vain", log.WarnLevel)
	EventStarted               = events.New(950, "platform-started", log.InfoLevel)
	EventStopping              = events.New(951, "platform-stopping", log.InfoLevel)
	EventStopped               = events.New(952, "platform-stopped", log.InfoLevel)
	EventSettingsReloaded      = events.New(953, "settings-reloaded", log.InfoLevel)
	EventSettingsFault         = events.New(954, "settings-fault", log.ErrorLevel)
	EventStoreLost             = events.New(955, "store-lost", log.WarnLevel)
	EventStoreRestored         = events.New(956, "store-back", log.InfoLevel)
	EventRecordsExpired        = events.New(957, "topic-expired", log.InfoLevel)
	EventListingStale          = events.New(958, "listing-stale", log.WarnLevel)
	EventConfigurationFault    = events.New(959, "configuration-document-fault", log.ErrorLevel)
	EventEndpointFault         = events.New(960, "endpoint-entry-fault", log.WarnLevel)
	EventEndpointChanged       = events.New(961, "endpoint-changed", log.InfoLevel)
	EventInstanceNotRecorded   = events.New(962, "instance-not-recorded", log.WarnLevel)
	EventServerFault           = events.New(963, "http-server-fault", log.WarnLevel)
	EventInstanceFault         = events.New(964, "instance-entry-fault", log.WarnLevel)
	EventStopAbortedRequests   = events.New(965, "stop-cut-requests", log.WarnLevel)
	EventEndpointEntryLate     = events.New(966, "endpoint-entry-late", log.InfoLevel)
	EventRolloutOrderFault     = events.New(968, "rollout-order-fault", log.ErrorLevel)
	EventRolloutStatusFault    = events.New(969, "rollout-status-fault", log.WarnLevel)
	EventRolloutStatusRaced    = events.New(970, "rollout-status-raced", log.InfoLevel)
	EventStoreEpochBegan       = events.New(974, "store-epoch-began", log.WarnLevel)
	EventStreamRecordFault     = events.New(975, "stream-record-fault", log.WarnLevel)
	EventStreamVersionsWritten = events.New(976, "stream-versions-written", log.InfoLevel)
	EventStreamListNotWritten  = events.New(977, "stream-list-not-written", log.WarnLevel)
	EventReadDirectly          = events.New(967, "topic-read-directly", log.InfoLevel)
)
