package journal

import (
	"time"

	"github.com/samphirewing/coordkit/protocol/journalpb"
)

func keyOf(r *journalpb.Record) Key { return Key{Namespace: r.Namespace, Name: r.Key} }

func record(kind journalpb.Kind, k Key, a AttemptID) *journalpb.Record {
	return &journalpb.Record{Kind: kind, Namespace: k.Namespace, Key: k.Name, Attempt: string(a)}
}

func intentRecord(k Key, a AttemptID, issued, sendBy time.Time) *journalpb.Record {
	r := record(journalpb.Kind_KIND_INTENT, k, a)
	r.IssuedUnixNano = issued.UnixNano()
	r.SendByUnixNano = sendBy.UnixNano()
	return r
}

func voidRecord(k Key, a AttemptID, issued time.Time) *journalpb.Record {
	r := record(journalpb.Kind_KIND_VOID, k, a)
	r.IssuedUnixNano = issued.UnixNano()
	return r
}

func outcomeRecord(k Key, a AttemptID, issued time.Time, o Outcome, summary []byte) *journalpb.Record {
	r := record(journalpb.Kind_KIND_OUTCOME, k, a)
	r.IssuedUnixNano = issued.UnixNano()
	r.Outcome = journalpb.Outcome(o)
	r.Summary = summary
	return r
}

// resolveRecord settles the open attempt a; decided is the time of the
// operator's statement.
func resolveRecord(k Key, a AttemptID, decided time.Time, o Outcome, operator string) *journalpb.Record {
	r := record(journalpb.Kind_KIND_RESOLVE, k, a)
	r.IssuedUnixNano = decided.UnixNano()
	r.Outcome = journalpb.Outcome(o)
	r.Operator = operator
	return r
}

func timeOf(unixNano int64) time.Time {
	if unixNano == 0 {
		return time.Time{}
	}
	return time.Unix(0, unixNano).UTC()
}

func rowToProto(r Row) *journalpb.Row {
	return &journalpb.Row{
		Namespace: r.Key.Namespace, Key: r.Key.Name, Attempt: string(r.Winner),
		Outcome: journalpb.Outcome(r.Outcome), IssuedUnixNano: r.Issued.UnixNano(),
		SendByUnixNano: r.SendBy.UnixNano(), ChangedUnixNano: r.Changed.UnixNano(),
		Summary: r.Summary, Operator: r.Operator,
	}
}

func rowFromProto(p *journalpb.Row) Row {
	return Row{
		Key: Key{Namespace: p.Namespace, Name: p.Key}, Winner: AttemptID(p.Attempt),
		Outcome: Outcome(p.Outcome), Issued: timeOf(p.IssuedUnixNano), SendBy: timeOf(p.SendByUnixNano),
		Changed: timeOf(p.ChangedUnixNano), Summary: p.Summary, Operator: p.Operator,
	}
}
