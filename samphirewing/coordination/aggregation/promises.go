package aggregation

import (
	"time"

	"github.com/samphirewing/samphirewing/coordination/fairshare"
	"github.com/samphirewing/samphirewing/coordination/retryschedule"
	"github.com/samphirewing/samphirewing/protocol/peerpb"
	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	// minPromises and maxPromises bound the promises in a message. There are fewer with
	// many daemons, whose roots send messages to many others: promisesPerSum divided by
	// the number of daemons. Those beyond are known to the daemon that made them only.
	minPromises    = 8
	maxPromises    = 32
	promisesPerSum = 1600
)

// Promise is a time at which a refused caller is to come back, to any daemon.
type Promise struct {
	Group fairshare.Group
	retryschedule.Promise
}

// promiseLists hold the promises of the next messages.
type promiseLists struct {
	// up goes to the parent or to other roots: what is new of this daemon and those that
	// report to it. down goes to children: what is new of all.
	up, down []Promise
	bound    int
}

func (l *promiseLists) addOwn(own []Promise) {
	l.up = l.bounded(append(l.up, own...))
	l.down = l.bounded(append(l.down, own...))
}

func (l *promiseLists) bounded(all []Promise) []Promise {
	return all[:min(len(all), max(l.bound, minPromises))]
}

func (l *promiseLists) sentUp() { l.up = l.up[:0] }

func (l *promiseLists) sentDown() { l.down = l.down[:0] }

// receivePromises returns the promises of a message and adds them to those that are
// passed on.
func (u *organisationUses) receivePromises(now time.Time, kind Kind, m *peerpb.Summary) []Promise {
	var all []Promise
	for _, p := range m.GetOrganisations().GetPromises() {
		group := fairshare.Group{Pool: structs.PoolName(p.GetPool()), Rank: structs.Rank(p.GetRank())}
		for i := range min(len(p.GetFingerprints()), len(p.GetDueInMs()), maxPromises) {
			due := now.Add(time.Duration(min(p.DueInMs[i], uint32(retryschedule.Horizon.Milliseconds()))) * time.Millisecond)
			all = append(all, Promise{Group: group, Promise: retryschedule.Promise{Fingerprint: retryschedule.Fingerprint(p.Fingerprints[i]), Due: due}})
		}
	}
	l := &u.promises
	if kind == KindReport {
		l.up = l.bounded(append(l.up, all...))
	}
	l.down = l.bounded(append(l.down, all...))
	return all
}

func encodePromises(now time.Time, all []Promise) []*peerpb.Promises {
	groups := map[fairshare.Group]*peerpb.Promises{}
	var messages []*peerpb.Promises
	for _, p := range all {
		m := groups[p.Group]
		if m == nil {
			m = &peerpb.Promises{Pool: string(p.Group.Pool), Rank: int32(p.Group.Rank)}
			groups[p.Group] = m
			messages = append(messages, m)
		}
		m.Fingerprints = append(m.Fingerprints, uint32(p.Fingerprint))
		m.DueInMs = append(m.DueInMs, uint32Of(p.Due.Sub(now).Milliseconds()))
	}
	return messages
}
