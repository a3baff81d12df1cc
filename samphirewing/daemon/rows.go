package daemon

import (
	"context"
	"strings"
	"time"

	"github.com/samphirewing/coordkit/coordination/journal"
	"github.com/samphirewing/coordkit/coordination/membership"
	"github.com/samphirewing/samphirewing/coordination/entry"
	"github.com/samphirewing/samphirewing/coordination/poolowner"
	"github.com/samphirewing/samphirewing/coordination/scheduling"
	"github.com/samphirewing/samphirewing/language"
	"github.com/samphirewing/samphirewing/state/structs"
	"github.com/samphirewing/samphirewing/transport/callerapi"
)

// maxRefusedRequests is the number of refused and failed requests that a daemon
// retains.
const maxRefusedRequests = 1024

// refusedRequest is a request with an outcome other than done.
type refusedRequest struct {
	id           structs.RequestID
	endedAt      time.Time
	organisation structs.OrganisationName
	tier         structs.TierName
	target       structs.Target
	outcome      structs.Outcome
	reason       structs.Reason
}

// recordOutcome counts a finished request and retains it if its outcome is not
// done.
func (d *Daemon) recordOutcome(r callerapi.Result, a *answer) {
	d.meter.countFinished(r, a)
	if r.Outcome == structs.OutcomeDone {
		return
	}
	d.refused.add(refusedRequest{
		id: a.id, endedAt: d.clock.Now(),
		organisation: a.organisation, tier: a.submission.Tier, target: a.submission.Target,
		outcome: r.Outcome, reason: r.Reason,
	})
}

// localRows returns this daemon's rows of a subject, before selection.
func (d *Daemon) localRows(ctx context.Context, q language.Query) []language.Row {
	switch q.Subject {
	case language.SubjectDaemons:
		return []language.Row{d.daemonRow()}
	case language.SubjectRunning:
		return d.entryRows(true)
	case language.SubjectWaiting:
		return d.entryRows(false)
	case language.SubjectRefused:
		return d.refusedRows()
	case language.SubjectBookings:
		return d.bookingRows(ctx)
	case language.SubjectLoads:
		return d.loadRows()
	case language.SubjectOwners:
		return d.ownerRows()
	case language.SubjectLeases:
		return d.leaseRows()
	case language.SubjectHistory:
		return d.historyRows(ctx)
	case language.SubjectDecisions:
		return d.decisionRows(structs.RequestID(q.Request))
	default:
		return nil
	}
}

func (d *Daemon) daemonRow() language.Row {
	self := d.members.selfMember()
	leaving := self.State == membership.Leaving || self.State == membership.Draining
	return language.Row{
		language.Text(d.self.ID), language.Text(d.self.Incarnation.String()), language.Text(self.FailureDomain),
		language.Text(self.Addresses.Caller), language.Bool(d.Ready()), language.Bool(leaving),
		language.Integer(d.View().Revision()), language.Integer(d.Held()), language.Duration(d.clock.Now().Sub(d.startedAt)),
	}
}

func (d *Daemon) entryRows(running bool) []language.Row {
	var rows []language.Row
	now := d.clock.Now()
	for _, r := range d.entry.rows() {
		if r.Running != running {
			continue
		}
		if running {
			rows = append(rows, d.runningRow(r, now))
		} else {
			rows = append(rows, d.waitingRow(r, now))
		}
	}
	return rows
}

func (d *Daemon) runningRow(r entry.Row, now time.Time) language.Row {
	request := r.Request
	return language.Row{
		language.Text(request.ID), language.Text(request.Organisation), language.Text(request.Tier), language.Text(request.Target),
		language.Text(request.Pool), language.Text(r.Endpoint), language.Text(d.self.ID), language.Duration(r.Age),
		language.Duration(request.Deadline.Sub(now)), language.Integer(r.Output),
	}
}

func (d *Daemon) waitingRow(r entry.Row, now time.Time) language.Row {
	request := r.Request
	return language.Row{
		language.Text(request.ID), language.Text(request.Organisation), language.Text(request.Tier), language.Text(request.Target),
		language.Text(request.Pool), language.Text(d.self.ID), language.Duration(r.Age),
		language.Duration(request.Deadline.Sub(now)), language.Integer(request.PromptTokens),
	}
}

func (d *Daemon) refusedRows() []language.Row {
	var rows []language.Row
	for _, r := range d.refused.all() {
		rows = append(rows, language.Row{
			language.Text(r.id), language.Time(r.endedAt), language.Text(r.organisation), language.Text(r.tier),
			language.Text(r.target), language.Text(r.outcome.String()), language.Text(r.reason),
			language.Text(r.reason.Remedy()), language.Text(d.self.ID),
		})
	}
	return rows
}

// bookingRows returns the keys of the journal partitions owned by this daemon.
func (d *Daemon) bookingRows(ctx context.Context) []language.Row {
	var rows []language.Row
	for p := range d.settings.JournalPartitions {
		if d.journalOwner(p) != d.self.ID {
			continue
		}
		found, err := d.bookings.journal.ShowPartition(ctx, p, journal.Filter{})
		if err != nil {
			continue
		}
		for _, r := range found {
			rows = append(rows, d.bookingRow(r))
		}
	}
	return rows
}

func (d *Daemon) bookingRow(r journal.Row) language.Row {
	organisation, service, _ := strings.Cut(r.Key.Namespace, "/")
	entryID, _, _ := strings.Cut(string(r.Winner), "@")
	return language.Row{
		language.Text(service), language.Text(organisation + "/" + r.Key.Name), language.Text(r.Outcome.String()),
		language.Text(entryID), language.Time(r.Issued), language.Duration(d.clock.Now().Sub(r.Issued)),
	}
}

func (d *Daemon) loadRows() []language.Row {
	var rows []language.Row
	d.forEachOwnedShard(func(gauges poolowner.Gauges) {
		for _, e := range gauges.Endpoints {
			state := e.State
			rows = append(rows, language.Row{
				language.Text(e.Name), language.Text(gauges.Pool), language.Text(d.self.ID),
				language.Bool(state != poolowner.EndpointUnlisted),
				language.Bool(state == poolowner.EndpointLeaving),
				language.Bool(state == poolowner.EndpointDrained),
				language.Text(endpointState(e)), language.Integer(e.Running),
				language.Integer(e.InFlightTokens), language.Integer(e.WindowTokens),
			})
		}
	})
	return rows
}

func endpointState(e poolowner.EndpointRow) string {
	if e.Reason == "" {
		return string(e.State)
	}
	return string(e.State) + ": " + e.Reason
}

func (d *Daemon) ownerRows() []language.Row {
	var rows []language.Row
	d.forEachOwnedShard(func(gauges poolowner.Gauges) {
		rows = append(rows, language.Row{
			language.Text(gauges.Pool), language.Integer(gauges.Shard), language.Text(d.self.ID),
			language.Text(d.self.Incarnation.String()), language.Integer(gauges.Waiting), language.Integer(gauges.Running),
		})
	})
	return rows
}

// forEachOwnedShard calls visit with the gauges of each shard that this daemon
// owns in the current membership view.
func (d *Daemon) forEachOwnedShard(visit func(poolowner.Gauges)) {
	for _, o := range d.owners.running() {
		if owner, ok := d.shardOwner(o.shard); !ok || owner != d.self.ID {
			continue
		}
		if gauges, ok := d.owners.gauges(o); ok {
			visit(gauges)
		}
	}
}

func (d *Daemon) historyRows(ctx context.Context) []language.Row {
	history, err := d.config.History(ctx)
	if err != nil {
		return nil
	}
	return language.HistoryRows(history)
}

// decisionRows returns the decisions on one request that this daemon's pool
// owners retain.
func (d *Daemon) decisionRows(id structs.RequestID) []language.Row {
	var rows []language.Row
	for _, o := range d.owners.running() {
		var decisions []scheduling.Decision
		answered := d.owners.query(o, func(m *poolowner.Owner) { decisions = m.Explain(id) })
		if !answered {
			continue
		}
		for _, decision := range decisions {
			rows = append(rows, language.DecisionRows(decision)...)
		}
	}
	return rows
}
