package endpointlimit

import (
	"math"
	"time"

	"github.com/samphirewing/samphirewing/protocol/peerpb"
)

// limitScale is the number of units of encoded limits per request and second. An
// encoded limit of zero means none.
const limitScale = 1000

// Outgoing returns the limits to send to the other daemons with the next message,
// or nil.
func (t *Table) Outgoing(now time.Time) *peerpb.EndpointLimits {
	refresh := t.refresh.Due(now)
	m := &peerpb.EndpointLimits{}
	for key, r := range t.rows {
		if !r.pending.Take(refresh) {
			continue
		}
		m.Endpoints = append(m.Endpoints, uint64(key))
		m.Limits = append(m.Limits, encodeLimit(r.perSecond))
		m.AgesMs = append(m.AgesMs, uint32(min(max(now.Sub(r.observedAt).Milliseconds(), 0), math.MaxUint32)))
	}
	if len(m.Endpoints) == 0 {
		return nil
	}
	return m
}

func encodeLimit(perSecond float64) uint32 {
	if perSecond == Unlimited {
		return 0
	}
	return uint32(math.Round(min(perSecond, maxLimit) * limitScale))
}

func decodeLimit(encoded uint32) float64 {
	if encoded == 0 {
		return Unlimited
	}
	return float64(encoded) / limitScale
}

// Merge adds the limits known to another daemon. It returns the endpoints whose
// limit has changed.
func (t *Table) Merge(now time.Time, m *peerpb.EndpointLimits) (changed []Key) {
	for i := range min(len(m.GetEndpoints()), len(m.GetLimits()), len(m.GetAgesMs())) {
		observedAt := now.Add(-time.Duration(m.AgesMs[i]) * time.Millisecond)
		if now.Sub(observedAt) > limitRetention {
			continue
		}
		if key := Key(m.Endpoints[i]); t.Observe(observedAt, key, decodeLimit(m.Limits[i])) {
			changed = append(changed, key)
		}
	}
	return changed
}
