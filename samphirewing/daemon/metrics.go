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

// gaugeEvery is how often gauges are brought up to date.
const gaugeEvery = time.Second

// The names of metrics.
const (
	metricRequests       = "samphirewing_requests_total"
	metricGood           = "samphirewing_good_answers_total"
	metricFirstToken     = "samphirewing_first_token_seconds"
	metricPrompt         = "samphirewing_prompt_tokens_total"
	metricPrefillWasted  = "samphirewing_prefill_wasted_tokens_total"
	metricOutput         = "samphirewing_output_tokens_total"
	metricHeld           = "samphirewing_entry_held_requests"
	metricEntryWaiting   = "samphirewing_entry_waiting_requests"
	metricAnswerBytes    = "samphirewing_entry_answer_bytes"
	metricQueue          = "samphirewing_owner_waiting_requests"
	metricOwnerRunning   = "samphirewing_owner_running_requests"
	metricEndpointWindow = "samphirewing_endpoint_window_tokens"
	metricEndpointInUse  = "samphirewing_endpoint_in_flight_tokens"
	metricRevision       = "samphirewing_configuration_revision"
	metricJournalKeys    = "samphirewing_journal_keys"
	metricJournalOpen    = "samphirewing_journal_open_keys"
	metricMembers        = "samphirewing_members_live"
	metricBreaches       = "samphirewing_invariant_breaches"
)

// meter counts what this daemon does.
type meter struct {
	registry metrics.Registry
	daemon   *Daemon
}

func newMeter(d *Daemon) *meter { return &meter{registry: metrics.NewRegistry(), daemon: d} }

// ended counts one request's end. Prompt tokens that an endpoint worked
// through for an answer that was not delivered whole count as wasted.
func (m *meter) ended(r callerapi.Result, a *answer) {
	tier := telemetry.L("tier", string(a.submission.Tier))
	telemetry.Counter(m.registry, metricRequests, tier,
		telemetry.L("outcome", r.Outcome.String()), telemetry.L("reason", string(r.Reason))).Inc(1)
	prefilled := int64(max(0, r.PromptTokens-r.CachedTokens))
	telemetry.Counter(m.registry, metricPrompt, tier).Inc(prefilled)
	telemetry.Counter(m.registry, metricOutput, tier).Inc(int64(r.OutputTokens))
	if r.Outcome == structs.OutcomeDone {
		telemetry.Counter(m.registry, metricGood, tier).Inc(1)
		return
	}
	telemetry.Counter(m.registry, metricPrefillWasted, tier).Inc(prefilled)
}

// firstToken records the time from acceptance to the first token.
func (m *meter) firstToken(tier structs.TierName, after time.Duration) {
	telemetry.Timer(m.registry, metricFirstToken, telemetry.L("tier", string(tier))).Update(after)
}

// run keeps gauges up to date until the context ends.
func (m *meter) run(ctx context.Context) {
	ticker := time.NewTicker(gaugeEvery)
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
	m.gauge(metricHeld, int64(d.Held()))
	m.gauge(metricEntryWaiting, d.entry.waiting.Load())
	m.gauge(metricAnswerBytes, int64(d.answers.bytes()))
	m.gauge(metricRevision, int64(d.View().Revision()))
	m.gauge(metricMembers, int64(len(*d.members.live.Load())))
	m.gauge(metricBreaches, invariant.Violations())
	for _, o := range d.owners.running() {
		gauges, ok := d.owners.gauges(o)
		if !ok {
			continue
		}
		pool := telemetry.L("pool", string(o.shard.Pool))
		shard := telemetry.L("shard", strconv.Itoa(o.shard.Number))
		m.gauge(metricQueue, int64(gauges.Waiting), pool, shard)
		m.gauge(metricOwnerRunning, int64(gauges.Running), pool, shard)
		for _, e := range gauges.Endpoints {
			endpoint := telemetry.L("endpoint", string(e.Name))
			m.gauge(metricEndpointWindow, int64(e.WindowTokens), pool, endpoint)
			m.gauge(metricEndpointInUse, int64(e.InFlightTokens), pool, endpoint)
		}
	}
}

func (m *meter) updateJournal(ctx context.Context) {
	for _, c := range m.daemon.bookings.journal.Counts(ctx) {
		partition := telemetry.L("partition", strconv.Itoa(c.Partition))
		m.gauge(metricJournalKeys, int64(c.Keys), partition)
		m.gauge(metricJournalOpen, int64(c.Open), partition)
	}
}

func (m *meter) gauge(name string, value int64, labels ...telemetry.Label) {
	telemetry.Gauge(m.registry, name, labels...).Update(value)
}
