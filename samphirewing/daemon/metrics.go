package daemon

import (
	"context"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/samphirewing/coordkit/protocol/invariant"
	"github.com/samphirewing/samphirewing/state/structs"
	"github.com/samphirewing/samphirewing/telemetry"
	"github.com/samphirewing/samphirewing/transport/callerapi"
)

// gaugeInterval is the interval at which gauges are updated.
const gaugeInterval = time.Second

// Names of metrics.
const (
	metricRequests            = "samphirewing_requests_total"
	metricGoodAnswers         = "samphirewing_good_answers_total"
	metricFirstToken          = "samphirewing_first_token_seconds"
	metricPromptTokens        = "samphirewing_prompt_tokens_total"
	metricWastedPrefillTokens = "samphirewing_prefill_wasted_tokens_total"
	metricOutputTokens        = "samphirewing_output_tokens_total"
	metricEntryHeld           = "samphirewing_entry_held_requests"
	metricEntryWaiting        = "samphirewing_entry_waiting_requests"
	metricEntryAnswerBytes    = "samphirewing_entry_answer_bytes"
	metricOwnerWaiting        = "samphirewing_owner_waiting_requests"
	metricOwnerRunning        = "samphirewing_owner_running_requests"
	metricEndpointWindow      = "samphirewing_endpoint_window_tokens"
	metricEndpointInFlight    = "samphirewing_endpoint_in_flight_tokens"
	metricRevision            = "samphirewing_configuration_revision"
	metricJournalKeys         = "samphirewing_journal_keys"
	metricJournalOpen         = "samphirewing_journal_open_keys"
	metricLiveMembers         = "samphirewing_members_live"
	metricInvariantViolations = "samphirewing_invariant_breaches"
)

// meter records the metrics of this daemon.
type meter struct {
	registry metrics.Registry
	daemon   *Daemon
}

func newMeter(d *Daemon) *meter { return &meter{registry: metrics.NewRegistry(), daemon: d} }

// countFinished counts a finished request. Prompt tokens that an endpoint
// prefilled for an answer that was not delivered completely count as wasted.
func (m *meter) countFinished(r callerapi.Result, a *answer) {
	tier := telemetry.L("tier", string(a.submission.Tier))
	telemetry.Counter(m.registry, metricRequests, tier,
		telemetry.L("outcome", r.Outcome.String()), telemetry.L("reason", string(r.Reason))).Inc(1)
	prefilled := int64(max(0, r.PromptTokens-r.CachedTokens))
	telemetry.Counter(m.registry, metricPromptTokens, tier).Inc(prefilled)
	telemetry.Counter(m.registry, metricOutputTokens, tier).Inc(int64(r.OutputTokens))
	if r.Outcome == structs.OutcomeDone {
		telemetry.Counter(m.registry, metricGoodAnswers, tier).Inc(1)
		return
	}
	telemetry.Counter(m.registry, metricWastedPrefillTokens, tier).Inc(prefilled)
}

// observeFirstToken records the time from acceptance to the first token.
func (m *meter) observeFirstToken(tier structs.TierName, after time.Duration) {
	telemetry.Timer(m.registry, metricFirstToken, telemetry.L("tier", string(tier))).Update(after)
}

// run updates gauges until the context ends.
func (m *meter) run(ctx context.Context) {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			m.updateGauges()
			m.updateJournal(ctx)
		}
	}
}

func (m *meter) updateGauges() {
	d := m.daemon
	m.setGauge(metricEntryHeld, int64(d.Held()))
	m.setGauge(metricEntryWaiting, d.entry.waiting.Load())
	m.setGauge(metricEntryAnswerBytes, int64(d.answers.retainedBytes()))
	m.setGauge(metricRevision, int64(d.View().Revision()))
	m.setGauge(metricLiveMembers, int64(len(*d.members.live.Load())))
	m.setGauge(metricInvariantViolations, invariant.Violations())
	for _, o := range d.owners.running() {
		gauges, ok := d.owners.gauges(o)
		if !ok {
			continue
		}
		pool := telemetry.L("pool", string(o.shard.Pool))
		shard := telemetry.L("shard", strconv.Itoa(o.shard.Number))
		m.setGauge(metricOwnerWaiting, int64(gauges.Waiting), pool, shard)
		m.setGauge(metricOwnerRunning, int64(gauges.Running), pool, shard)
		for _, e := range gauges.Endpoints {
			endpoint := telemetry.L("endpoint", string(e.Name))
			m.setGauge(metricEndpointWindow, int64(e.WindowTokens), pool, endpoint)
			m.setGauge(metricEndpointInFlight, int64(e.InFlightTokens), pool, endpoint)
		}
	}
}

func (m *meter) updateJournal(ctx context.Context) {
	for _, c := range m.daemon.bookings.journal.Counts(ctx) {
		partition := telemetry.L("partition", strconv.Itoa(c.Partition))
		m.setGauge(metricJournalKeys, int64(c.Keys), partition)
		m.setGauge(metricJournalOpen, int64(c.Open), partition)
	}
}

func (m *meter) setGauge(name string, value int64, labels ...telemetry.Label) {
	telemetry.Gauge(m.registry, name, labels...).Update(value)
}
