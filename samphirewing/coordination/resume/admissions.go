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
	// epochSlack is how long a daemon may begin streams as in an earlier epoch of the
	// store, since it has not learnt of the new one.
	epochSlack = 5 * time.Second
	// settleAfter is the age from which a record covers all streams that callers may
	// still take up.
	settleAfter = StreamLife + epochSlack
	// standstillAfter is the time between two ticks after which this process counts as
	// having stood still.
	standstillAfter = time.Second
)

// Record is what the store has of a pool: the versions at which streams may begin.
type Record struct {
	// Epoch is that of the store when the record was written. The copy from which a
	// store is restored may lack a later admission.
	Epoch    uint64
	Versions []string
	// Settled is set once no stream that callers may still take up has begun at
	// another version, as one may have before the record was written.
	Settled bool
}

// Write is a record to be written on condition that the topic still ends at At.
type Write struct {
	Pool   structs.PoolName
	Record Record
	At     int64
}

// Admissions holds the versions at which streams of each pool may begin.
//
// Invariant: a stream begins at a version only once the store was read with it. So the
// records of an epoch lack no version at which streams begin, but for those that began
// before the first record of the epoch or by daemons that have not learnt of it. These
// have ended when the record is settled.
type Admissions struct {
	// firstStart is set if nothing was written before this process started.
	firstStart bool
	// latestEpoch is the latest epoch of the store that is known, epoch that of the
	// last read, at which the topic ended at end, firstEpoch that of the first read.
	latestEpoch, epoch, firstEpoch uint64
	end                            int64
	readAt                         time.Time
	// tickedAt is the time of the last tick, upSince when this process started or last
	// stood still.
	tickedAt, upSince time.Time
	pools             map[structs.PoolName]*admission
}

// admission is the state of one pool.
type admission struct {
	record Record
	// recordSince is when a record of the current epoch was first read.
	recordSince time.Time
	// admitted holds the versions of the record and, until there is one of the current
	// epoch, those that were admitted in an earlier one while this daemon ran.
	admitted map[string]bool
	// lastListed is when endpoints of a version were last listed, listed the versions
	// that are listed now.
	lastListed map[string]time.Time
	listed     map[string]bool
	// wantedSince is when a change of the record became necessary.
	wantedSince time.Time
	inFlight    bool
	retryAt     time.Time
}

// NewAdmissions returns admissions of which nothing is known yet.
func NewAdmissions(now time.Time, firstStart bool) *Admissions {
	return &Admissions{upSince: now, firstStart: firstStart, end: -1, pools: map[structs.PoolName]*admission{}}
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
	if a.end < 0 {
		a.firstEpoch = epoch
	}
	a.epoch, a.end, a.readAt = epoch, end, now
	for name, p := range a.pools {
		previous := p.record
		p.record = records[name]
		if p.record.Epoch != epoch || len(p.record.Versions) == 0 {
			p.recordSince = time.Time{}
		} else {
			if p.recordSince.IsZero() || previous.Epoch != epoch {
				p.recordSince = now
			}
			p.admitted = map[string]bool{}
		}
		for _, version := range p.record.Versions {
			p.admitted[version] = true
			if _, known := p.lastListed[version]; !known {
				p.lastListed[version] = now
			}
		}
	}
}

// Admits reports whether streams of a pool may begin at a version. Until the store has it,
// none may, even if no other version has an endpoint: another daemon could take the rest
// of such a stream for one of the versions that the store has.
func (a *Admissions) Admits(pool structs.PoolName, version string) bool {
	p := a.pools[pool]
	return p != nil && p.admitted[version]
}

// MayBegin reports whether streams may begin at some endpoint of each pool that has any.
func (a *Admissions) MayBegin() bool {
	for name, p := range a.pools {
		may := len(p.listed) == 0
		for version := range p.listed {
			may = may || a.Admits(name, version)
		}
		if !may {
			return false
		}
	}
	return true
}

// Single returns the only version at which streams of a pool may have begun, as of the
// last read.
func (a *Admissions) Single(pool structs.PoolName) (version string, single bool) {
	p := a.pools[pool]
	if p == nil || a.end < 0 || a.epoch < a.latestEpoch || p.record.Epoch != a.epoch || len(p.record.Versions) != 1 || !p.record.Settled {
		return "", false
	}
	return p.record.Versions[0], true
}

// Tick must be called several times a second. A process that stood still forgets for how
// long versions had no endpoint, and when a change became necessary: others have gone on
// meanwhile, and the listed endpoints are old.
func (a *Admissions) Tick(now time.Time) {
	if !a.tickedAt.IsZero() && now.Sub(a.tickedAt) > standstillAfter {
		a.upSince, a.readAt = now, time.Time{}
		for _, p := range a.pools {
			p.wantedSince = time.Time{}
		}
	}
	a.tickedAt = now
}

// Due returns the records to write now, each of which must be followed by Written, and
// whether the topic is to be read first. rank is this daemon's place among those that
// respond.
func (a *Admissions) Due(now time.Time, rank func(structs.PoolName) int) (writes []Write, read bool) {
	if len(a.pools) > 0 && (a.end < 0 || a.epoch < a.latestEpoch) {
		return nil, true
	}
	for name, p := range a.pools {
		record, wanted := a.wanted(now, p)
		if !wanted {
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
			writes = append(writes, Write{Pool: name, Record: record, At: a.end})
		}
	}
	return writes, read
}

// wanted returns the record that a pool should have, and whether it has to be written.
func (a *Admissions) wanted(now time.Time, p *admission) (Record, bool) {
	if len(p.listed) == 0 {
		return Record{}, false
	}
	versions := map[string]bool{}
	maps.Copy(versions, p.admitted)
	maps.Copy(versions, p.listed)
	for version := range versions {
		if !p.listed[version] && now.Sub(a.upSince) >= removeAfter && now.Sub(p.lastListed[version]) >= removeAfter {
			delete(versions, version)
		}
	}
	wanted := Record{Epoch: a.epoch, Versions: slices.Sorted(maps.Keys(versions))}
	switch {
	case !p.recordSince.IsZero():
		wanted.Settled = p.record.Settled || now.Sub(p.recordSince) >= settleAfter
		return wanted, wanted.Settled != p.record.Settled || !slices.Equal(wanted.Versions, p.record.Versions)
	case len(p.record.Versions) == 0:
		// Without a record no stream has begun, unless a restore has lost it.
		wanted.Settled = a.firstStart && a.epoch == a.firstEpoch
	}
	return wanted, true
}

// Written records the end of an attempt to write. What it has changed is read back.
func (a *Admissions) Written(now time.Time, pool structs.PoolName) {
	if p := a.pools[pool]; p != nil {
		p.inFlight, p.retryAt = false, now.Add(writeRetry)
	}
	// The next decision needs another read.
	a.readAt = time.Time{}
}
