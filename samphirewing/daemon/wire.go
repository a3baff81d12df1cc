package daemon

import (
	"time"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/transport/mesh"
	"github.com/samphirewing/samphirewing/coordination/entry"
	"github.com/samphirewing/samphirewing/coordination/scheduling"
	"github.com/samphirewing/samphirewing/protocol/schedpb"
	"github.com/samphirewing/samphirewing/state/structs"
)

// Kinds of application messages between daemons.
const (
	kindOffers mesh.Kind = mesh.FirstApplicationKind + iota
	kindWithdraw
	kindGrant
	kindRefuse
	kindReturn
	kindProgress
	kindFinish
	kindCancel
	kindQuery
	kindSibling
	kindHeartbeat
)

func offerToWire(o scheduling.Offer, now time.Time) *schedpb.Offer {
	r := o.Request
	prefix := make([]uint64, len(r.Prefix))
	for i, h := range r.Prefix {
		prefix[i] = uint64(h)
	}
	return &schedpb.Offer{
		RequestId:       string(r.ID),
		WorkKind:        uint32(r.Kind),
		Target:          string(r.Target),
		Tier:            string(r.Tier),
		Rank:            int32(r.Rank),
		Organisation:    string(r.Organisation),
		Weight:          r.Weight,
		CallerKey:       r.CallerKey,
		WorkClass:       r.WorkClass,
		PromptTokens:    int64(r.PromptTokens),
		MaxOutputTokens: int64(r.MaxOutputTokens),
		Prefix:          prefix,
		DeadlineAfterUs: r.Deadline.Sub(now).Microseconds(),
		Running:         o.Running,
		Endpoint:        string(o.Endpoint),
		Streamed:        int64(o.Streamed),
		TraceParent:     r.TraceParent,
	}
}

func offerFromWire(m *schedpb.Offer, pool structs.PoolName, from instance.Process, now time.Time) scheduling.Offer {
	prefix := make([]structs.PrefixHash, len(m.Prefix))
	for i, h := range m.Prefix {
		prefix[i] = structs.PrefixHash(h)
	}
	return scheduling.Offer{
		Request: structs.Request{
			ID:              structs.RequestID(m.RequestId),
			Entry:           from,
			Pool:            pool,
			Kind:            structs.WorkKind(m.WorkKind),
			Target:          structs.Target(m.Target),
			Tier:            structs.TierName(m.Tier),
			Rank:            structs.Rank(m.Rank),
			Organisation:    structs.OrganisationName(m.Organisation),
			Weight:          m.Weight,
			CallerKey:       m.CallerKey,
			WorkClass:       m.WorkClass,
			PromptTokens:    structs.Tokens(m.PromptTokens),
			MaxOutputTokens: structs.Tokens(m.MaxOutputTokens),
			Prefix:          prefix,
			Deadline:        now.Add(microseconds(m.DeadlineAfterUs)),
			TraceParent:     m.TraceParent,
		},
		Running:  m.Running,
		Endpoint: structs.EndpointName(m.Endpoint),
		Streamed: structs.Tokens(m.Streamed),
	}
}

func withdrawToWire(s entry.Shard, w scheduling.Withdraw) *schedpb.Withdraw {
	return &schedpb.Withdraw{
		Pool: string(s.Pool), Shard: uint32(s.Number),
		RequestId: string(w.ID), Reason: string(w.Reason),
	}
}

func withdrawFromWire(m *schedpb.Withdraw) scheduling.Withdraw {
	return scheduling.Withdraw{ID: structs.RequestID(m.RequestId), Reason: structs.Reason(m.Reason)}
}

func returnToWire(s entry.Shard, r scheduling.Return) *schedpb.Return {
	return &schedpb.Return{
		Pool: string(s.Pool), Shard: uint32(s.Number),
		RequestId: string(r.ID), GrantId: uint64(r.Grant), Reason: string(r.Reason),
	}
}

func returnFromWire(m *schedpb.Return) scheduling.Return {
	return scheduling.Return{
		ID:     structs.RequestID(m.RequestId),
		Grant:  scheduling.GrantID(m.GrantId),
		Reason: structs.Reason(m.Reason),
	}
}

func progressToWire(s entry.Shard, p scheduling.Progress) *schedpb.Progress {
	return &schedpb.Progress{
		Pool: string(s.Pool), Shard: uint32(s.Number),
		RequestId: string(p.ID), GrantId: uint64(p.Grant), Endpoint: string(p.Endpoint),
		FirstTokenAfterUs: p.FirstTokenAfter.Microseconds(),
		Output:            int64(p.Output),
	}
}

func progressFromWire(m *schedpb.Progress) scheduling.Progress {
	return scheduling.Progress{
		ID:              structs.RequestID(m.RequestId),
		Grant:           scheduling.GrantID(m.GrantId),
		Endpoint:        structs.EndpointName(m.Endpoint),
		FirstTokenAfter: microseconds(m.FirstTokenAfterUs),
		Output:          structs.Tokens(m.Output),
	}
}

func finishToWire(s entry.Shard, f scheduling.Finish) *schedpb.Finish {
	return &schedpb.Finish{
		Pool: string(s.Pool), Shard: uint32(s.Number),
		RequestId: string(f.ID), GrantId: uint64(f.Grant), Endpoint: string(f.Endpoint),
		Outcome: uint32(f.Outcome), Reason: string(f.Reason),
		FirstTokenAfterUs: f.FirstTokenAfter.Microseconds(),
		WholeUs:           f.Duration.Microseconds(),
		PromptTokens:      int64(f.PromptTokens),
		CachedTokens:      int64(f.CachedTokens),
		OutputTokens:      int64(f.OutputTokens),
	}
}

func finishFromWire(m *schedpb.Finish) scheduling.Finish {
	return scheduling.Finish{
		ID:              structs.RequestID(m.RequestId),
		Grant:           scheduling.GrantID(m.GrantId),
		Endpoint:        structs.EndpointName(m.Endpoint),
		Outcome:         structs.Outcome(m.Outcome),
		Reason:          structs.Reason(m.Reason),
		FirstTokenAfter: microseconds(m.FirstTokenAfterUs),
		Duration:        microseconds(m.WholeUs),
		PromptTokens:    structs.Tokens(m.PromptTokens),
		CachedTokens:    structs.Tokens(m.CachedTokens),
		OutputTokens:    structs.Tokens(m.OutputTokens),
	}
}

func grantToWire(s entry.Shard, g scheduling.Grant, self instance.Process) *schedpb.Grant {
	return &schedpb.Grant{
		Pool: string(s.Pool), Shard: uint32(s.Number),
		RequestId: string(g.Request), GrantId: uint64(g.ID), Endpoint: string(g.Endpoint),
		ValidForUs:       g.ValidFor.Microseconds(),
		OwnerIncarnation: uint64(self.Incarnation),
		EntryIncarnation: uint64(g.Entry.Incarnation),
	}
}

func grantFromWire(m *schedpb.Grant, self instance.ID) scheduling.Grant {
	return scheduling.Grant{
		Request:  structs.RequestID(m.RequestId),
		Entry:    instance.Process{ID: self, Incarnation: instance.Incarnation(m.EntryIncarnation)},
		ID:       scheduling.GrantID(m.GrantId),
		Endpoint: structs.EndpointName(m.Endpoint),
		ValidFor: microseconds(m.ValidForUs),
	}
}

func refuseToWire(s entry.Shard, r scheduling.Refuse) *schedpb.Refuse {
	return &schedpb.Refuse{
		Pool: string(s.Pool), Shard: uint32(s.Number),
		RequestId: string(r.Request), Outcome: uint32(r.Refusal.Outcome),
		Reason:           string(r.Refusal.Reason),
		RetryAfterUs:     r.Refusal.RetryAfter.Microseconds(),
		EntryIncarnation: uint64(r.Entry.Incarnation),
	}
}

func refusalFromWire(m *schedpb.Refuse) structs.Refusal {
	return structs.Refusal{
		Outcome:    structs.Outcome(m.Outcome),
		Reason:     structs.Reason(m.Reason),
		RetryAfter: microseconds(m.RetryAfterUs),
	}
}

func siblingToWire(to entry.Shard, r scheduling.SiblingReport) *schedpb.SiblingReport {
	return &schedpb.SiblingReport{
		Pool: string(to.Pool), Shard: uint32(to.Number), FromShard: uint32(r.Shard),
		LowestRank: int32(r.LowestRank), Waiting: uint32(r.Waiting),
	}
}

func siblingFromWire(m *schedpb.SiblingReport) scheduling.SiblingReport {
	return scheduling.SiblingReport{
		Shard:      int(m.FromShard),
		LowestRank: structs.Rank(m.LowestRank),
		Waiting:    int(m.Waiting),
	}
}

func shardOf(pool string, number uint32) entry.Shard {
	return entry.Shard{Pool: structs.PoolName(pool), Number: int(number)}
}

func microseconds(us int64) time.Duration { return time.Duration(us) * time.Microsecond }
