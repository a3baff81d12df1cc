package replication

import (
	"context"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"github.com/samphirewing/coordkit/protocol/configpb"
	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/state/configstore"
	"github.com/samphirewing/coordkit/state/eventlog"
	"github.com/samphirewing/coordkit/transport/mesh"
)

// Kinds of the messages between Runners.
const (
	KindRelay mesh.Kind = 200
	KindFetch mesh.Kind = 201
)

// errSnapshotGone means that a peer has a newer snapshot than the one asked for.
const errSnapshotGone = errors.ConstError("snapshot replaced by a newer one; fetch again")

func (r *Runner) register() {
	r.options.Mesh.OnMessage(KindRelay, r.onRelay)
	r.options.Mesh.OnCall(KindFetch, r.onFetch)
}

func (r *Runner) relay(e RelayRecords) {
	if r.options.Mesh == nil {
		return
	}
	body, err := proto.Marshal(relayToProto(PeerRecords{
		Generation: e.Generation, Records: e.Records, Revision: e.Revision,
	}))
	if err != nil {
		return
	}
	for _, p := range r.options.Peers() {
		if p != r.options.Config.Self {
			// A peer that misses this learns of it from heartbeats.
			_ = r.options.Mesh.Send(p, mesh.Message{Kind: KindRelay, Body: body})
		}
	}
}

// onRelay must not block; a relay that finds the inbox full is dropped.
func (r *Runner) onRelay(from instance.Process, m mesh.Message) {
	var p configpb.Relay
	if proto.Unmarshal(m.Body, &p) != nil {
		return
	}
	select {
	case r.inbox <- request{event: relayFromProto(from.ID, &p, false)}:
	default:
	}
}

func (r *Runner) onFetch(ctx context.Context, _ instance.Process, m mesh.Message) (mesh.Message, error) {
	var p configpb.FetchRequest
	if err := proto.Unmarshal(m.Body, &p); err != nil {
		return mesh.Message{}, errors.Annotate(err, "decode fetch")
	}
	type result struct {
		answer *configpb.FetchAnswer
		err    error
	}
	done := make(chan result, 1)
	r.post(request{run: func(time.Time) {
		a, err := r.serve(&p)
		done <- result{a, err}
	}})
	select {
	case res := <-done:
		if res.err != nil {
			return mesh.Message{}, res.err
		}
		body, err := proto.Marshal(res.answer)
		return mesh.Message{Kind: KindFetch, Body: body}, errors.Trace(err)
	case <-ctx.Done():
		return mesh.Message{}, errors.Trace(ctx.Err())
	case <-r.ctx.Done():
		return mesh.Message{}, errors.New("replication has stopped; ask another instance")
	}
}

func (r *Runner) serve(p *configpb.FetchRequest) (*configpb.FetchAnswer, error) {
	if p.SnapshotId == "" {
		records, ok := r.replica.RecordsAfter(configstore.Revision(p.Revision))
		if ok {
			return &configpb.FetchAnswer{Relay: relayToProto(records)}, nil
		}
		if r.served.Revision != r.replica.Revision() {
			var err error
			if r.served, err = r.replica.ServeSnapshot(); err != nil {
				return nil, err
			}
		}
	}
	if p.SnapshotId != "" && p.SnapshotId != r.served.ID || int(p.Chunk) >= len(r.served.Chunks) {
		return nil, errSnapshotGone
	}
	return &configpb.FetchAnswer{Chunk: r.served.Chunks[p.Chunk]}, nil
}

// fetch asks a peer for what follows a revision: records, or all chunks of a
// snapshot.
func (r *Runner) fetch(e FetchFromPeer) {
	event, err := r.fetchAll(e)
	if err != nil {
		event = PeerFailed{Peer: e.Peer}
	}
	r.post(request{event: event})
}

func (r *Runner) fetchAll(e FetchFromPeer) (Event, error) {
	if r.options.Mesh == nil {
		return nil, mesh.ErrNoPeer
	}
	ask := &configpb.FetchRequest{Revision: int64(e.Revision)}
	assembler := configstore.NewAssembler()
	for {
		answer, err := r.fetchOnce(e.Peer, ask)
		if err != nil {
			return nil, err
		}
		if answer.Relay != nil {
			return relayFromProto(e.Peer, answer.Relay, true), nil
		}
		if answer.Chunk == nil {
			return nil, configstore.ErrMalformed
		}
		data, whole, err := assembler.Add(answer.Chunk)
		if err != nil {
			return nil, err
		}
		if whole {
			return PeerState{Peer: e.Peer, Data: data}, nil
		}
		ask.SnapshotId = answer.Chunk.Id
		ask.Chunk = answer.Chunk.Index + 1
	}
}

func (r *Runner) fetchOnce(peer instance.ID, ask *configpb.FetchRequest) (*configpb.FetchAnswer, error) {
	body, err := proto.Marshal(ask)
	if err != nil {
		return nil, errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(r.ctx, fetchTimeout)
	defer cancel()
	m, err := r.options.Mesh.Call(ctx, peer, mesh.Message{Kind: KindFetch, Body: body})
	if err != nil {
		return nil, errors.Trace(err)
	}
	var answer configpb.FetchAnswer
	if err := proto.Unmarshal(m.Body, &answer); err != nil {
		return nil, errors.Trace(err)
	}
	return &answer, nil
}

func relayToProto(p PeerRecords) *configpb.Relay {
	out := &configpb.Relay{Generation: int64(p.Generation), Revision: int64(p.Revision)}
	for _, rec := range p.Records {
		out.Records = append(out.Records, &configpb.RelayedRecord{
			Offset: int64(rec.Offset), TimeUnixNano: rec.Time.UnixNano(), Data: rec.Data,
		})
	}
	return out
}

func relayFromProto(peer instance.ID, p *configpb.Relay, fetched bool) PeerRecords {
	out := PeerRecords{
		Peer: peer, Generation: configstore.Generation(p.Generation),
		Revision: configstore.Revision(p.Revision), Fetched: fetched,
	}
	for _, rec := range p.Records {
		out.Records = append(out.Records, eventlog.Record{
			Offset: eventlog.Offset(rec.Offset), Time: time.Unix(0, rec.TimeUnixNano).UTC(), Data: rec.Data,
		})
	}
	return out
}
