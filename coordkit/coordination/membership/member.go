// Package membership maintains an instance's view of the other instances.
//
// The Machine is a single-threaded state machine. Its inputs are heartbeats,
// the platform's membership list and the time; its outputs are heartbeats to
// send and changes of the view. Within a failure domain, every instance
// exchanges heartbeats with every other one (its neighbours). Between failure
// domains, a few relays exchange reports of the live instances and forward the
// reports they receive to their neighbours, so that the cost for an instance
// depends on the size of its own failure domain.
//
// The record that an instance publishes about itself is its line: addresses,
// failure domain and region, which are fixed for an incarnation, and a mutable
// part, whose version increases with each change.
package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/protocol/memberpb"
)

// State is the state of a member.
type State uint32

// The states of a member. Leaving is final for an incarnation. No member
// reports itself as Dead: others assign it when the failure detector times out.
const (
	Joining State = iota
	Ready
	Draining
	Leaving
	Dead
)

var stateNames = [...]string{"joining", "ready", "draining", "leaving", "dead"}

// String returns the state's name.
func (s State) String() string {
	if int(s) < len(stateNames) {
		return stateNames[s]
	}
	return "unknown"
}

// Addresses are the listen addresses of an instance, each "IP:port" or empty.
type Addresses struct {
	Mesh     string
	Caller   string
	Operator string
}

// Member is one instance as observed by the local one.
type Member struct {
	// Process has incarnation zero if only the platform's list names the
	// instance.
	instance.Process
	Addresses     Addresses
	FailureDomain instance.FailureDomain
	Region        instance.Region
	State         State
	// Revision is the configuration revision that the instance has applied.
	Revision int64
	// Load is the instance's load in percent. It changes in coarse steps.
	Load uint32
	// Weight is the instance's relative share of new callers.
	Weight uint32
}

// ListedMember is one entry of the platform's membership list.
type ListedMember struct {
	ID            instance.ID
	MeshAddress   string
	FailureDomain instance.FailureDomain
	Leaving       bool
}

// Event is an input of the Machine.
type Event interface{ membershipEvent() }

// ListRead carries the platform's membership list as just read. If reading it
// fails, the caller sends no event, and the previous list stays in use.
type ListRead struct{ Members []ListedMember }

// HeartbeatReceived carries a heartbeat and the incarnation that sent it.
type HeartbeatReceived struct {
	From      instance.Process
	Heartbeat *memberpb.Heartbeat
}

// SelfChanged replaces the mutable part of this instance's own line.
type SelfChanged struct {
	State    State
	Revision int64
	Load     uint32
	Weight   uint32
}

// RevisionObserved reports that a configuration revision exists.
type RevisionObserved struct{ Revision int64 }

func (ListRead) membershipEvent()          {}
func (HeartbeatReceived) membershipEvent() {}
func (SelfChanged) membershipEvent()       {}
func (RevisionObserved) membershipEvent()  {}

// Effect is an output of the Machine.
type Effect interface{ membershipEffect() }

// SendHeartbeat requests that a heartbeat be sent. Delivery is best effort.
type SendHeartbeat struct {
	To        instance.ID
	Heartbeat *memberpb.Heartbeat
}

// MemberChanged reports a new or changed member. Previous is the zero Member
// for a new one.
type MemberChanged struct {
	Member   Member
	Previous Member
}

// MemberRemoved reports that a dead member was removed.
type MemberRemoved struct{ Member Member }

// RevisionAdvanced reports a configuration revision higher than any before.
type RevisionAdvanced struct{ Revision int64 }

// Superseded reports that a later incarnation of this instance, Successor, is
// running. This process should stop.
type Superseded struct{ Successor instance.Process }

func (SendHeartbeat) membershipEffect()    {}
func (MemberChanged) membershipEffect()    {}
func (MemberRemoved) membershipEffect()    {}
func (RevisionAdvanced) membershipEffect() {}
func (Superseded) membershipEffect()       {}

// The defaults of Options.
const (
	DefaultInterval      = time.Second
	DefaultDeadAfter     = 2500 * time.Millisecond
	DefaultPushDelay     = 100 * time.Millisecond
	DefaultDeadRetention = 10 * time.Minute
	DefaultLoadInterval  = 10 * time.Second
	DefaultRelaysPerLink = 2
)

// Options configure a Machine. Zero values select the defaults.
type Options struct {
	// Self is this instance's initial line.
	Self Member
	// Interval is the time between regular heartbeats to one instance.
	Interval time.Duration
	// DeadAfter is how long no heartbeat may arrive from a neighbour, or no
	// report of another failure domain, before the instances concerned are
	// considered dead.
	DeadAfter time.Duration
	// PushDelay is how long a change is held back to be sent together with
	// others.
	PushDelay time.Duration
	// DeadRetention is how long dead members are retained.
	DeadRetention time.Duration
	// LoadInterval is the minimum time between two changes of the own line's
	// load.
	LoadInterval time.Duration
	// RelaysPerLink is the number of instances of a failure domain that report
	// to another one, and the number of instances there that each reports to.
	RelaysPerLink int
}

func (o Options) withDefaults() Options {
	setDefault(&o.Interval, DefaultInterval)
	setDefault(&o.DeadAfter, DefaultDeadAfter)
	setDefault(&o.PushDelay, DefaultPushDelay)
	setDefault(&o.DeadRetention, DefaultDeadRetention)
	setDefault(&o.LoadInterval, DefaultLoadInterval)
	setDefault(&o.RelaysPerLink, DefaultRelaysPerLink)
	return o
}

func setDefault[T int | time.Duration](value *T, defaultValue T) {
	if *value == 0 {
		*value = defaultValue
	}
}

// memberRef is the hash that represents an instance ID on the wire.
type memberRef uint64

func memberRefOf(id instance.ID) memberRef { return memberRef(xxhash.Sum64String(string(id))) }

// domainRef is the hash that represents a failure domain on the wire.
type domainRef uint32

func domainRefOf(name instance.FailureDomain) domainRef {
	return domainRef(xxhash.Sum64String(string(name)))
}
