package journal

import (
	"context"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/protocol/journalpb"
	"github.com/samphirewing/coordkit/transport/mesh"
)

// Kinds of the calls between Journals.
const (
	KindSubmit mesh.Kind = 220
	KindShow   mesh.Kind = 221
)

// errNoSuchPartition means that instances were started with different limits.
const errNoSuchPartition = errors.ConstError("no such partition; start all instances with the same number of partitions")

func (j *Journal) submitRemote(ctx context.Context, owner instance.ID, partition int, r *journalpb.Record) (Answer, bool, error) {
	body, err := proto.Marshal(&journalpb.SubmitRequest{Partition: uint32(partition), Record: r})
	if err != nil {
		return Answer{}, false, errors.Trace(err)
	}
	m, err := j.options.Mesh.Call(ctx, owner, mesh.Message{Kind: KindSubmit, Body: body})
	if err != nil {
		return Answer{}, mayHaveArrived(err), errors.Trace(err)
	}
	var p journalpb.Answer
	if err := proto.Unmarshal(m.Body, &p); err != nil {
		return Answer{}, true, errors.Trace(err)
	}
	return Answer{
		Verdict:  Verdict(p.Verdict),
		Existing: KeyStatus{Outcome: Outcome(p.Outcome), Winner: AttemptID(p.Winner), Summary: p.Summary},
	}, false, nil
}

// mayHaveArrived tells whether a failed call may have reached its writer.
func mayHaveArrived(err error) bool {
	for _, notSent := range []error{mesh.ErrNoPeer, mesh.ErrNoSession, mesh.ErrQueueFull, mesh.ErrTooLarge, mesh.ErrUnknownKind} {
		if errors.Is(err, notSent) {
			return false
		}
	}
	return true
}

func (j *Journal) onSubmit(ctx context.Context, _ instance.Process, m mesh.Message) (mesh.Message, error) {
	var p journalpb.SubmitRequest
	if err := proto.Unmarshal(m.Body, &p); err != nil {
		return mesh.Message{}, errors.Trace(err)
	}
	if int(p.Partition) >= j.options.Limits.Partitions || p.Record == nil {
		return mesh.Message{}, errNoSuchPartition
	}
	w, err := j.writer(int(p.Partition))
	if err != nil {
		return mesh.Message{}, err
	}
	a, err := w.submit(ctx, p.Record)
	if err != nil {
		return mesh.Message{}, err
	}
	body, err := proto.Marshal(&journalpb.Answer{
		Verdict: int32(a.Verdict), Outcome: journalpb.Outcome(a.Existing.Outcome),
		Winner: string(a.Existing.Winner), Summary: a.Existing.Summary,
	})
	return mesh.Message{Kind: KindSubmit, Body: body}, errors.Trace(err)
}

func (j *Journal) onShow(ctx context.Context, _ instance.Process, m mesh.Message) (mesh.Message, error) {
	var p journalpb.ShowRequest
	if err := proto.Unmarshal(m.Body, &p); err != nil {
		return mesh.Message{}, errors.Trace(err)
	}
	if int(p.Partition) >= j.options.Limits.Partitions {
		return mesh.Message{}, errNoSuchPartition
	}
	w, err := j.writer(int(p.Partition))
	if err != nil {
		return mesh.Message{}, err
	}
	f := Filter{Namespace: p.Namespace, OpenOnly: p.OpenOnly, Limit: int(p.Limit)}
	if p.Key != "" {
		f.Key = Key{Namespace: p.Namespace, Name: p.Key}
	}
	rows, err := w.rows(ctx, f)
	if err != nil {
		return mesh.Message{}, err
	}
	answer := &journalpb.ShowAnswer{}
	for _, r := range rows {
		answer.Rows = append(answer.Rows, rowToProto(r))
	}
	body, err := proto.Marshal(answer)
	return mesh.Message{Kind: KindShow, Body: body}, errors.Trace(err)
}

func (j *Journal) showRemote(ctx context.Context, owner instance.ID, partition int, f Filter) ([]Row, error) {
	namespace := f.Namespace
	if f.Key != (Key{}) {
		namespace = f.Key.Namespace
	}
	body, err := proto.Marshal(&journalpb.ShowRequest{
		Partition: uint32(partition), Namespace: namespace, Key: f.Key.Name,
		OpenOnly: f.OpenOnly, Limit: uint32(f.Limit),
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	m, err := j.options.Mesh.Call(ctx, owner, mesh.Message{Kind: KindShow, Body: body})
	if err != nil {
		return nil, errors.Annotatef(err, "ask %s for partition %d", owner, partition)
	}
	var p journalpb.ShowAnswer
	if err := proto.Unmarshal(m.Body, &p); err != nil {
		return nil, errors.Trace(err)
	}
	var rows []Row
	for _, r := range p.Rows {
		rows = append(rows, rowFromProto(r))
	}
	return rows, nil
}
