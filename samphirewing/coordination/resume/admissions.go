package resume

import (
	"maps"
	"slices"
	"time"

	"github.com/samphirewing/samphirewing/state/structs"
)

const (
	// removeAfter is how long no endpoint of a version may have been listed before
	// the version is removed.
	removeAfter = 10 * time.Minute
	// readDelay and writeDelay are how long each daemon waits for those that rank before
	// it until it reads and writes; readDelayMax and writeDelayMax bound the sums.
	readDelay     = 20 * time.Millisecond
	readDelayMax  = 500 * time.Millisecond
	writeDelay    = 100 * time.Millisecond
	writeDelayMax = 2 * time.Second
	// writeRetry is the delay after an attempt to write.
	writeRetry = 300 * time.Millisecond
)

// Record is what the store has of a pool: the versions at which streams may begin.
type Record struct {
	// Epoch is that of the store when the record was written. The copy from which a
	// store is restored may lack a later admission.
	Epoch    uint64
	Versions []string
}

// Write is a record to be written on condition that the topic still ends at At.
type Write struct {
	Pool   structs.PoolName
	Record Record
	At     int64
}

// Admissions holds the versions at which streams of each pool may begin.
//
// Invariant: a version is admitted only once the store was read with it.
type Admissions struct {
	startedAt time.Time
	// firstStart is set if nothing was written before this process started.
	firstStart bool
	// latestEpoch is the latest epoch of the store that is known, epoch that of the
	// last read, at which the topic ended at end.
	latestEpoch, epoch uint64
	end                int64
	readAt             time.Time
	pools              map[structs.PoolName]*admission
}

// admission is the state of one pool.
type admission struct {
	record Record
	// admitted holds the versions of the record and those that were admitted in an
	// earlier epoch, while this daemon ran.
	admitted map[string]bool
	// lastListed is when endpoints of a version were last listed, listed the versions
	// that are listed now.
	lastListed map[string]time.Time
	listed     map[string]bool
	// remembers is set if the admissions of an earlier epoch are known.
	remembers bool
	// wantedSince is when a change of the record became necessary.
	wantedSince time.Time
	inFlight    bool
	retryAt     time.Time
}

// NewAdmissions returns admissions of which nothing is known yet.
func NewAdmissions(now time.Time, firstStart bool) *Admissions {
	return &Admissions{startedAt: now, firstStart: firstStart, end: -1, pools: map[structs.PoolName]*admission{}}
}

func (a *Admissions) pool(name structs.PoolName) *admission {
	p := a.pools[name]
	if p == nil {
		p = &admission{admitted: map[string]bool{}, lastListed: map[string]time.Time{}, listed: map[string]bool{}}
		a.pools[name] = p
	}
	return p
}

// SetListed applies the versions of the listed endpoints, by pool. Pools that are not
// among them are forgotten.
func (a *Admissions) SetListed(now time.Time, versions map[structs.PoolName]map[string]bool) {
	for name, listed := range versions {
		p := a.pool(name)
		for version := range p.listed {
			p.lastListed[version] = now
		}
		p.listed = listed
		for version := range listed {
			p.lastListed[version] = now
		}
	}
	for name := range a.pools {
		if _, needed := versions[name]; !needed {
			delete(a.pools, name)
		}
	}
}

// BeginEpoch records that the store has been restored from a copy.
func (a *Admissions) BeginEpoch(epoch uint64) { a.latestEpoch = max(a.latestEpoch, epoch) }

// Read applies all records of the topic, which ended at end in an epoch of the store.
func (a *Admissions) Read(now time.Time, epoch uint64, end int64, records map[structs.PoolName]Record) {
	if epoch < a.epoch {
		return
	}
	risen := epoch > a.epoch && a.end >= 0
	a.epoch, a.end, a.readAt = epoch, end, now
	for name, p := range a.pools {
		p.remembers = p.remembers || risen
		p.record = records[name]
		if !p.remembers || p.record.Epoch == epoch {
			p.remembers, p.admitted = false, map[string]bool{}
		}
		for _, version := range p.record.Versions {
			p.admitted[version] = true
			if _, known := p.lastListed[version]; !known {
				p.lastListed[version] = now
			}
		}
	}
}

// Admits reports whether streams of a pool may begin at a version. A pool of which no
// listed version is admitted yet serves nevertheless.
func (a *Admissions) Admits(pool structs.PoolName, version string) bool {
	p := a.pools[pool]
	if p == nil || p.admitted[version] {
		return true
	}
	for listed := range p.listed {
		if p.admitted[listed] {
			return false
		}
	}
	return true
}

// Single returns the only version at which streams of a pool may have begun, as of the
// last read.
func (a *Admissions) Single(pool structs.PoolName) (version string, single bool) {
	p := a.pools[pool]
	if p == nil || a.end < 0 || a.epoch < a.latestEpoch || p.record.Epoch != a.epoch || len(p.record.Versions) != 1 {
		return "", false
	}
	return p.record.Versions[0], true
}

// Due returns the records to write now, each of which must be followed by Written, and
// whether the topic is to be read first. rank is this daemon's place among those that
// respond.
func (a *Admissions) Due(now time.Time, rank func(structs.PoolName) int) (writes []Write, read bool) {
	if len(a.pools) > 0 && (a.end < 0 || a.epoch < a.latestEpoch) {
		return nil, true
	}
	for name, p := range a.pools {
		versions := a.wanted(now, p)
		if versions == nil {
			p.wantedSince = time.Time{}
			continue
		}
		if p.wantedSince.IsZero() {
			p.wantedSince = now
		}
		place := time.Duration(rank(name))
		readTurn := p.wantedSince.Add(min(place*readDelay, readDelayMax))
		writeTurn := p.wantedSince.Add(min(place*writeDelay, writeDelayMax))
		switch {
		case p.inFlight || now.Before(p.retryAt) || now.Before(readTurn):
		case a.readAt.Before(readTurn) || a.readAt.Before(p.retryAt):
			read = true
		case now.Before(writeTurn):
		case a.readAt.Before(writeTurn):
			read = true
		default:
			p.inFlight = true
			writes = append(writes, Write{Pool: name, Record: Record{Epoch: a.epoch, Versions: versions}, At: a.end})
		}
	}
	return writes, read
}

// wanted returns the versions that the record of a pool should have, or nil if it need
// not be changed or this daemon can't tell.
func (a *Admissions) wanted(now time.Time, p *admission) []string {
	if len(p.listed) == 0 {
		return nil
	}
	// Without a record, or with one of an earlier epoch, admissions may be lost. They
	// are known to a daemon that has run since before, and of no use any more once
	// all streams of that time have ended.
	uptime := now.Sub(a.startedAt)
	if p.record.Epoch != a.epoch || len(p.record.Versions) == 0 {
		if !p.remembers && !a.firstStart && uptime < StreamLife {
			return nil
		}
	}
	versions := map[string]bool{}
	maps.Copy(versions, p.admitted)
	maps.Copy(versions, p.listed)
	for version := range versions {
		if !p.listed[version] && uptime >= removeAfter && now.Sub(p.lastListed[version]) >= removeAfter {
			delete(versions, version)
		}
	}
	wanted := slices.Sorted(maps.Keys(versions))
	if p.record.Epoch == a.epoch && slices.Equal(wanted, p.record.Versions) {
		return nil
	}
	return wanted
}

// Written records the end of an attempt to write. What it has changed is read back.
func (a *Admissions) Written(now time.Time, pool structs.PoolName) {
	if p := a.pools[pool]; p != nil {
		p.inFlight, p.retryAt = false, now.Add(writeRetry)
	}
	// The next decision needs another read.
	a.readAt = time.Time{}
}
