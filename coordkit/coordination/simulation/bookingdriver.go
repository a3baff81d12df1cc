package simulation

import (
	"fmt"
	"time"

	"github.com/samphirewing/coordkit/coordination/journal"
	"github.com/samphirewing/coordkit/protocol/invariant"
	"github.com/samphirewing/coordkit/protocol/journalpb"
	"github.com/samphirewing/coordkit/state/eventlog"
)

const (
	invariantAtMostOnce   invariant.Name = "simulation-key-runs-at-most-once"
	invariantNotRunIsTrue invariant.Name = "simulation-not-run-is-true"
)

const (
	partitions        = 2
	intentTimeout     = 700 * time.Millisecond
	intentRetryDelay  = 100 * time.Millisecond
	persistRetryDelay = 500 * time.Millisecond
)

var bookingLimits = journal.Limits{
	Window: 12 * time.Second, MaxFuture: 2 * time.Second, ResolveMargin: 2 * time.Second,
	Partitions: partitions, AppendsPerSecond: 40, MaxKeys: 10_000,
}

// service simulates the service that bookings call; it counts runs.
type service struct {
	world *world
	runs  map[journal.Key]int
	// reportedNotRun holds the attempts whose callers were told "not run".
	reportedNotRun map[journal.AttemptID]bool
	// ran holds the attempts that ran.
	ran       map[journal.AttemptID]bool
	completed int
}

func (s *service) call(k journal.Key, a journal.AttemptID) {
	s.runs[k]++
	s.ran[a] = true
	s.world.tracef("service runs %s for %s", k, a)
	invariant.Check(s.runs[k] == 1, invariantAtMostOnce, "%s ran %d times, last for %s", k, s.runs[k], a)
	invariant.Check(!s.reportedNotRun[a], invariantNotRunIsTrue, "%s ran after its caller was told that it did not", a)
}

func (s *service) reportNotRun(k journal.Key, a journal.AttemptID, reason string) {
	s.world.tracef("caller of %s for %s is told not_run: %s", a, k, reason)
	invariant.Check(!s.ran[a], invariantNotRunIsTrue, "%s had run when its caller was told that it did not", a)
	s.reportedNotRun[a] = true
}

// writerDriver runs the Writer of one partition in one incarnation of a node.
type writerDriver struct {
	node   *node
	run    *Run
	stream eventlog.Stream
	writer *journal.Writer
	token  uint64
	// callbacks holds the functions to call for unanswered submissions, by
	// token; records holds the submitted records.
	callbacks map[uint64]func(journal.Answer)
	records   map[uint64]*journalpb.Record
}

func newWriterDriver(r *Run, n *node, partition int) *writerDriver {
	return &writerDriver{
		node: n, run: r, stream: eventlog.Stream(fmt.Sprintf("bookings-%d", partition)),
		writer: journal.NewWriter(journal.WriterConfig{
			ID: fmt.Sprintf("%s/%d", n.incarnationName(), partition), Limits: bookingLimits,
		}),
		callbacks: make(map[uint64]func(journal.Answer)),
		records:   make(map[uint64]*journalpb.Record),
	}
}

func (d *writerDriver) step(e journal.WriterEvent) {
	for _, effect := range d.writer.Step(d.node.now(), e) {
		switch effect := effect.(type) {
		case journal.AppendBatch:
			d.node.world.log.append(d.node, d.stream, effect.Data, func(o eventlog.Offset, err error) {
				if err == nil && d.run.defect == DefectNoReadBack {
					d.answerPendingIntents()
				}
				d.step(journal.Appended{BatchID: effect.ID, Offset: o, Err: err})
			})
		case journal.ReadLog:
			d.node.world.log.read(d.node, d.stream, effect.From, effect.Limit, func(b eventlog.Batch, err error) {
				d.step(journal.ReadCompleted{Batch: b, Err: err})
			})
		case journal.Reply:
			d.answer(effect.Token, effect.Answer)
		}
	}
}

func (d *writerDriver) answer(token uint64, a journal.Answer) {
	if f := d.callbacks[token]; f != nil {
		delete(d.callbacks, token)
		delete(d.records, token)
		f(a)
	}
}

// answerPendingIntents implements DefectNoReadBack.
func (d *writerDriver) answerPendingIntents() {
	for token := uint64(1); token <= d.token; token++ {
		if r := d.records[token]; r != nil && r.Kind == journalpb.Kind_KIND_INTENT {
			d.answer(token, journal.Answer{Verdict: journal.VerdictWon})
		}
	}
}

func (d *writerDriver) submit(r *journalpb.Record, answer func(journal.Answer)) {
	d.token++
	d.callbacks[d.token], d.records[d.token] = answer, r
	if d.run.defect == DefectTrustIndex && r.Kind == journalpb.Kind_KIND_INTENT {
		if v, known := d.writer.Index().Precheck(d.node.now(), r); !known || v == journal.VerdictWon {
			d.answer(d.token, journal.Answer{Verdict: journal.VerdictWon})
		}
	}
	d.step(journal.Submit{Token: d.token, Record: r})
}

// writer returns the node's writer of a partition and starts it when needed.
func (n *node) writer(r *Run, partition int) *writerDriver {
	if n.drivers.writers[partition] == nil {
		n.drivers.writers[partition] = newWriterDriver(r, n, partition)
	}
	return n.drivers.writers[partition]
}

// submit sends a record to the owner of the partition in the view of node n.
// answer runs at most once, and only in the same incarnation of n.
func (r *Run) submit(n *node, k journal.Key, record *journalpb.Record, answer func(journal.Answer)) {
	partition := k.Partition(partitions)
	owner := r.world.nodes[r.ownerInViewOf(n, partition)]
	incarnation := n.incarnation
	r.world.deliver(n, owner, func() {
		owner.writer(r, partition).submit(record, func(a journal.Answer) {
			r.world.deliver(owner, n, func() {
				if n.incarnation == incarnation {
					answer(a)
				}
			})
		})
	})
}

// booking is one attempt of an entry; it follows the steps of Journal.Begin.
type booking struct {
	run      *Run
	node     *node
	key      journal.Key
	issued   time.Time
	id       journal.AttemptID
	sendBy   time.Time
	attempt  *journal.Attempt
	record   *journalpb.Record
	finished bool
	// retries is how often the caller retries after "not run".
	retries int
}

func (r *Run) book(n *node, key journal.Key, issued time.Time, retries int) {
	r.attempts++
	b := &booking{
		run: r, node: n, key: key, issued: issued, retries: retries,
		id:     journal.AttemptID(fmt.Sprintf("%s/a%d", n.incarnationName(), r.attempts)),
		sendBy: n.now().Add(r.world.randomDuration(500*time.Millisecond, 3*time.Second)),
	}
	b.attempt = journal.NewAttempt(b.id, b.sendBy)
	b.record = &journalpb.Record{
		Kind: journalpb.Kind_KIND_INTENT, Namespace: key.Namespace, Key: key.Name, Attempt: string(b.id),
		IssuedUnixNano: issued.UnixNano(), SendByUnixNano: b.sendBy.UnixNano(),
	}
	r.world.tracef("%s: attempt %s begins %s", n.incarnationName(), b.id, key)
	n.later(b.sendBy.Sub(n.now()), func() { b.abandon("no answer in time") })
	if r.defect == DefectDispatchEarly {
		b.send()
	}
	b.submitIntent()
}

func (b *booking) submitIntent() {
	if b.finished {
		return
	}
	answered := false
	b.attempt.IntentSubmitted()
	b.run.submit(b.node, b.key, b.record, func(a journal.Answer) {
		if !answered {
			answered = true
			b.handleAnswer(a)
		}
	})
	b.node.later(intentTimeout, func() {
		if !answered {
			answered = true
			b.submitIntent()
		}
	})
}

func (b *booking) handleAnswer(a journal.Answer) {
	if b.finished && b.run.defect != DefectLateWin {
		return
	}
	switch a.Verdict {
	case journal.VerdictWon:
		if b.run.defect == DefectLateWin && b.finished {
			b.send()
			return
		}
		if b.attempt.IntentWon(b.node.now()) {
			// Some time passes between the permit and the first byte.
			b.node.later(b.run.world.randomDuration(0, 400*time.Millisecond), b.dispatch)
		}
	case journal.VerdictTaken:
		b.finished = true
		if b.attempt.Abandon() {
			b.run.persistRecord(b.node, b.key, b.voidRecord())
		}
		b.run.world.tracef("%s: %s is %s for %s", b.node.incarnationName(), b.key, a.Existing.Outcome, b.id)
		if a.Existing.Outcome == journal.OutcomeUnknown {
			b.run.retryLater(b)
		}
	case journal.VerdictIndeterminate:
		b.node.later(intentRetryDelay, b.submitIntent)
	default:
		b.abandon(fmt.Sprintf("verdict %d", a.Verdict))
	}
}

func (b *booking) voidRecord() *journalpb.Record {
	return &journalpb.Record{
		Kind: journalpb.Kind_KIND_VOID, Namespace: b.key.Namespace, Key: b.key.Name,
		Attempt: string(b.id), IssuedUnixNano: b.issued.UnixNano(),
	}
}

// abandon reports "not run" and voids the attempt, unless it has started to
// send.
func (b *booking) abandon(reason string) {
	if b.finished {
		return
	}
	b.finished = true
	if b.attempt.Abandon() && b.run.defect != DefectLateWin {
		b.run.persistRecord(b.node, b.key, b.voidRecord())
	}
	b.run.service.reportNotRun(b.key, b.id, reason)
	b.run.retryLater(b)
}

// dispatch checks the permit immediately before it sends.
func (b *booking) dispatch() {
	if b.finished {
		return
	}
	if b.run.defect != DefectNoSendByCheck && !b.attempt.StartSend(b.node.now()) {
		b.abandon("send-by time passed")
		return
	}
	b.finished = true
	b.send()
}

// send calls the service; the answer may be lost.
func (b *booking) send() {
	w := b.run.world
	w.after(w.randomDuration(time.Millisecond, 50*time.Millisecond), func() { b.run.service.call(b.key, b.id) })
	outcome := journal.OutcomeDone
	if w.randomChance(200) {
		outcome = journal.OutcomeUnknown
	}
	if b.run.defect == DefectFalseNotRun && outcome == journal.OutcomeUnknown {
		outcome = journal.OutcomeNotRun
	}
	b.node.later(100*time.Millisecond, func() {
		if outcome == journal.OutcomeDone {
			b.run.service.completed++
		}
		b.run.persistRecord(b.node, b.key, &journalpb.Record{
			Kind: journalpb.Kind_KIND_OUTCOME, Namespace: b.key.Namespace, Key: b.key.Name, Attempt: string(b.id),
			IssuedUnixNano: b.issued.UnixNano(), Outcome: journalpb.Outcome(outcome),
		})
	})
}

// persistRecord submits an outcome or a void and retries until it is recorded
// or the node's incarnation ends.
func (r *Run) persistRecord(n *node, k journal.Key, record *journalpb.Record) {
	recorded := false
	r.submit(n, k, record, func(a journal.Answer) {
		recorded = recorded || a.Verdict == journal.VerdictRecorded || a.Verdict == journal.VerdictNotOpen
	})
	n.later(persistRetryDelay, func() {
		if !recorded {
			r.persistRecord(n, k, record)
		}
	})
}

// retryLater lets the caller retry the same key through a random entry.
func (r *Run) retryLater(b *booking) {
	if b.retries == 0 {
		return
	}
	r.world.after(r.world.randomDuration(100*time.Millisecond, 4*time.Second), func() {
		n := r.randomNode()
		n.run(func() { r.book(n, b.key, b.issued, b.retries-1) })
	})
}

// resolveOpenKeys resolves the open keys of a node's writers as an operator
// would after asking the service.
func (r *Run) resolveOpenKeys(n *node) {
	for partition := range partitions {
		for _, row := range n.writer(r, partition).writer.Index().Rows("", true, 10) {
			outcome := journalpb.Outcome_OUTCOME_NOT_RUN
			if r.service.runs[row.Key] > 0 {
				outcome = journalpb.Outcome_OUTCOME_DONE
			}
			r.submit(n, row.Key, &journalpb.Record{
				Kind: journalpb.Kind_KIND_RESOLVE, Namespace: row.Key.Namespace, Key: row.Key.Name,
				Outcome: outcome, Operator: "operator", Attempt: string(row.Winner), IssuedUnixNano: n.now().UnixNano(),
			}, func(journal.Answer) {})
		}
	}
}
