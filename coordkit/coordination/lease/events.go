package lease

import (
	"github.com/apex/log"

	"github.com/samphirewing/coordkit/events"
)

var (
	eventGranted = events.New(300, "lease-granted", log.InfoLevel)
	eventRevoked = events.New(301, "lease-ended", log.InfoLevel)
)
