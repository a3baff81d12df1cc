package catchup

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a daemon that the store turns away and that ignores what others relay,
// and against one that relies on a relay which is turned away as well.
func TestRelayIsUsableOnlyIfItHasReadSinceTheFailure(t *testing.T) {
	const maxAge = time.Second
	failedAt := time.Now()
	now := failedAt.Add(500 * time.Millisecond)
	before := Relay{Connected: true, ReadAt: failedAt.Add(-time.Millisecond), MaxAge: maxAge}
	since := Relay{Connected: true, ReadAt: failedAt.Add(time.Millisecond), MaxAge: maxAge}
	assert.Assert(t, before.Usable(now, time.Time{}))
	assert.Assert(t, !before.Usable(now, failedAt))
	assert.Assert(t, since.Usable(now, failedAt))
	assert.Assert(t, !since.Usable(now.Add(maxAge), failedAt), "its last read is too long ago")
	since.Connected = false
	assert.Assert(t, !since.Usable(now, failedAt))
}
