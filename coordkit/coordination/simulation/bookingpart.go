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
	invariantAtMostOnce    invariant.Name = "simulation-key-runs-at-most-once"
	invariantTruthfulNoRun invariant.Name = "simulation-not-run-is-true"
)

const (
	partitions  = 2
	askTimeout  = 700 * time.Millisecond
	askPause    = 100 * time.Millisecond
	deliverWait = 500 * time.Millisecond
)

var bookingLimits = journal.Limits{
	Window: 12 * time.Second, MaxFuture: 2 * time.Second, ResolveMargin: 2 * time.Second,
	Partitions: partitions, AppendsPerSecond: 40, MaxKeys: 10_000,
}

// service is the plain service that bookings go to; it counts runs.
type service struct {
	world *world
	runs  map[journal.Key]int
	// refused are the attempts whose callers were told "not run".
	refused map[journal.AttemptID]bool
	// ran are the attempts that ran.
	ran  map[journal.AttemptID]bool
	done int
}

func (s *service) call(k journal.Key, a journal.AttemptID) {
	s.runs[k]++
	s.ran[a] = true
	s.world.note("service runs %s for %s", k, a)
	invariant.Check(s.runs[k] == 1, invariantAtMostOnce, "%s ran %d times, last for %s", k, s.runs[k], a)
	invariant.Check(!s.refused[a], invariantTruthfulNoRun, "%s ran after its caller was told that it did not", a)
}

func (s *service) notRun(k journal.Key, a journal.AttemptID, why string) {
	s.world.note("caller of %s for %s is told not_run: %s", a, k, why)
	invariant.Check(!s.ran[a], invariantTruthfulNoRun, "%s had run when its caller was told that it did not", a)
	s.refused[a] = true
}

// writerPart runs the Writer of one partition on one life of a node.
type writerPart struct {
	node   *node
	run    *Run
	stream eventlog.Stream
	writer *journal.Writer
	token  uint64
	// waiting holds the answers owed; records what was asked.
	waiting map[uint64]func(journal.Answer)
	records map[uint64]*journalpb.Record
}

func newWriterPart(r *Run, n *node, partition int) *writerPart {
	return &writerPart{
		node: n, run: r, stream: eventlog.Stream(fmt.Sprintf("bookings-%d", partition)),
		writer: journal.NewWriter(journal.WriterConfig{
			Life: fmt.Sprintf("%s/%d", n.lifeName(), partition), Limits: bookingLimits,
		}),
		waiting: make(map[uint64]func(journal.Answer)),
		records: make(map[uint64]*journalpb.Record),
	}
}

func (p *writerPart) step(e journal.WriterEvent) {
	for _, effect := range p.writer.Step(p.node.now(), e) {
		switch effect := effect.(type) {
		case journal.AppendBatch:
			p.node.world.log.append(p.node, p.stream, effect.Data, func(o eventlog.Offset, err error) {
				if err == nil && p.run.broken == BreakNoReadBack {
					p.answerIntents()
				}
				p.step(journal.Appended{BatchID: effect.ID, Offset: o, Err: err})
			})
		case journal.ReadLog:
			p.node.world.log.read(p.node, p.stream, effect.From, effect.Limit, func(b eventlog.Batch, err error) {
				p.step(journal.LogAnswered{Batch: b, Err: err})
			})
		case journal.Decided:
			p.answer(effect.Token, effect.Answer)
		}
	}
}

func (p *writerPart) answer(token uint64, a journal.Answer) {
	if f := p.waiting[token]; f != nil {
		delete(p.waiting, token)
		delete(p.records, token)
		f(a)
	}
}

// answerIntents is the breakage of a writer that does not read back.
func (p *writerPart) answerIntents() {
	for token := uint64(1); token <= p.token; token++ {
		if r := p.records[token]; r != nil && r.Kind == journalpb.Kind_KIND_INTENT {
			p.answer(token, journal.Answer{Verdict: journal.VerdictWon})
		}
	}
}

func (p *writerPart) submit(r *journalpb.Record, answer func(journal.Answer)) {
	p.token++
	p.waiting[p.token], p.records[p.token] = answer, r
	if p.run.broken == BreakTrustIndex && r.Kind == journalpb.Kind_KIND_INTENT {
		if v, known := p.writer.Index().Judge(p.node.now(), r); !known || v == journal.VerdictWon {
			p.answer(p.token, journal.Answer{Verdict: journal.VerdictWon})
		}
	}
	p.step(journal.Submit{Token: p.token, Record: r})
}

// writer returns the node's writer of a partition, starting it when needed.
func (n *node) writer(r *Run, partition int) *writerPart {
	if n.part.writers[partition] == nil {
		n.part.writers[partition] = newWriterPart(r, n, partition)
	}
	return n.part.writers[partition]
}

// submit sends a record to the node that owns the partition in the asker's
// view. answer runs at most once on this life of the asker.
func (r *Run) submit(n *node, k journal.Key, record *journalpb.Record, answer func(journal.Answer)) {
	partition := k.Partition(partitions)
	owner := r.world.nodes[r.ownerSeenBy(n, partition)]
	life := n.life
	r.world.deliver(n, owner, func() {
		owner.writer(r, partition).submit(record, func(a journal.Answer) {
			r.world.deliver(owner, n, func() {
				if n.life == life {
					answer(a)
				}
			})
		})
	})
}

// booking is one attempt of an entry, in the manner of Journal.Begin.
type booking struct {
	run     *Run
	node    *node
	key     journal.Key
	issued  time.Time
	id      journal.AttemptID
	sendBy  time.Time
	attempt *journal.Attempt
	record  *journalpb.Record
	over    bool
	// retries is how often the caller asks again after not_run.
	retries int
}

func (r *Run) book(n *node, key journal.Key, issued time.Time, retries int) {
	r.attempts++
	b := &booking{
		run: r, node: n, key: key, issued: issued, retries: retries,
		id:     journal.AttemptID(fmt.Sprintf("%s/a%d", n.lifeName(), r.attempts)),
		sendBy: n.now().Add(r.world.between(500*time.Millisecond, 3*time.Second)),
	}
	b.attempt = journal.NewAttempt(b.id, b.sendBy)
	b.record = &journalpb.Record{
		Kind: journalpb.Kind_KIND_INTENT, Namespace: key.Namespace, Key: key.Name, Attempt: string(b.id),
		IssuedUnixNano: issued.UnixNano(), SendByUnixNano: b.sendBy.UnixNano(),
	}
	r.world.note("%s: attempt %s begins %s", n.lifeName(), b.id, key)
	n.later(b.sendBy.Sub(n.now()), func() { b.giveUp("no answer in time") })
	if r.broken == BreakDispatchEarly {
		b.send()
	}
	b.ask()
}

func (b *booking) ask() {
	if b.over {
		return
	}
	answered := false
	b.attempt.Asked()
	b.run.submit(b.node, b.key, b.record, func(a journal.Answer) {
		if !answered {
			answered = true
			b.answered(a)
		}
	})
	b.node.later(askTimeout, func() {
		if !answered {
			answered = true
			b.ask()
		}
	})
}

func (b *booking) answered(a journal.Answer) {
	if b.over && b.run.broken != BreakLateWin {
		return
	}
	switch a.Verdict {
	case journal.VerdictWon:
		if b.run.broken == BreakLateWin && b.over {
			b.send()
			return
		}
		if b.attempt.Won(b.node.now()) {
			// Some work passes between the permit and the first byte.
			b.node.later(b.run.world.between(0, 400*time.Millisecond), b.dispatch)
		}
	case journal.VerdictTaken:
		b.over = true
		if b.attempt.GiveUp() {
			b.run.deliver(b.node, b.key, b.voided())
		}
		b.run.world.note("%s: %s is %s for %s", b.node.lifeName(), b.key, a.Settled.Outcome, b.id)
		if a.Settled.Outcome == journal.OutcomeUnknown {
			b.run.callAgain(b)
		}
	case journal.VerdictFateUnknown:
		b.node.later(askPause, b.ask)
	default:
		b.giveUp(fmt.Sprintf("verdict %d", a.Verdict))
	}
}

func (b *booking) voided() *journalpb.Record {
	return &journalpb.Record{
		Kind: journalpb.Kind_KIND_VOID, Namespace: b.key.Namespace, Key: b.key.Name,
		Attempt: string(b.id), IssuedUnixNano: b.issued.UnixNano(),
	}
}

// giveUp answers not_run and voids the attempt, unless it has begun to send.
func (b *booking) giveUp(why string) {
	if b.over {
		return
	}
	b.over = true
	if b.attempt.GiveUp() && b.run.broken != BreakLateWin {
		b.run.deliver(b.node, b.key, b.voided())
	}
	b.run.service.notRun(b.key, b.id, why)
	b.run.callAgain(b)
}

// dispatch checks the permit right before it sends.
func (b *booking) dispatch() {
	if b.over {
		return
	}
	if b.run.broken != BreakNoSendBy && !b.attempt.MaySend(b.node.now()) {
		b.giveUp("send-by time passed")
		return
	}
	b.over = true
	b.send()
}

// send calls the service; the answer may be lost.
func (b *booking) send() {
	w := b.run.world
	w.after(w.between(time.Millisecond, 50*time.Millisecond), func() { b.run.service.call(b.key, b.id) })
	outcome := journal.OutcomeDone
	if w.chance(200) {
		outcome = journal.OutcomeUnknown
	}
	if b.run.broken == BreakFalseNotRun && outcome == journal.OutcomeUnknown {
		outcome = journal.OutcomeNotRun
	}
	b.node.later(100*time.Millisecond, func() {
		if outcome == journal.OutcomeDone {
			b.run.service.done++
		}
		b.run.deliver(b.node, b.key, &journalpb.Record{
			Kind: journalpb.Kind_KIND_OUTCOME, Namespace: b.key.Namespace, Key: b.key.Name, Attempt: string(b.id),
			IssuedUnixNano: b.issued.UnixNano(), Outcome: journalpb.Outcome(outcome),
		})
	})
}

// deliver records an outcome or a void, trying until it stands or the node
// dies.
func (r *Run) deliver(n *node, k journal.Key, record *journalpb.Record) {
	recorded := false
	r.submit(n, k, record, func(a journal.Answer) {
		recorded = recorded || a.Verdict == journal.VerdictRecorded || a.Verdict == journal.VerdictNotOpen
	})
	n.later(deliverWait, func() {
		if !recorded {
			r.deliver(n, k, record)
		}
	})
}

// callAgain lets the caller retry the same key through another entry.
func (r *Run) callAgain(b *booking) {
	if b.retries == 0 {
		return
	}
	r.world.after(r.world.between(100*time.Millisecond, 4*time.Second), func() {
		n := r.anyNode()
		n.run(func() { r.book(n, b.key, b.issued, b.retries-1) })
	})
}

// resolveOpen settles the open keys of a writer as an operator would, after
// asking the service.
func (r *Run) resolveOpen(n *node) {
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
