// Package membership keeps an instance's view of the other instances.
//
// The Machine is a single-threaded state machine: heartbeats, the platform's
// list and the time go in; heartbeats to send and changes of the view come
// out. In a failure domain every instance watches every other one. Between
// failure domains a few relays exchange reports of who lives, and pass on what
// they receive, so that the cost of an instance follows the size of its own
// failure domain.
package membership

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/samphirewing/coordkit/protocol/instance"
	"github.com/samphirewing/coordkit/protocol/memberpb"
)

// State is what an instance does.
type State uint32

// The states of a member. Leaving is final for an incarnation. Dead is never
// said by a member: it is how others see one that is no longer heard.
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

// Addresses are where an instance is reached, each "IP:port" or empty.
type Addresses struct {
	Mesh     string
	Caller   string
	Operator string
}

// Member is one instance as seen from here.
type Member struct {
	// Life has incarnation zero when only the platform's list names the
	// instance.
	instance.Process
	Addresses     Addresses
	FailureDomain instance.FailureDomain
	Region        instance.Region
	State         State
	// Revision is the configuration revision in force there.
	Revision int64
	// Load is the instance's load in percent, in coarse steps.
	Load uint32
	// Weight is its relative share of new callers.
	Weight uint32
}

// ListedMember is one line of the platform's membership list.
type ListedMember struct {
	ID            instance.ID
	MeshAddress   string
	FailureDomain instance.FailureDomain
	Leaving       bool
}

// Event is an input of the Machine.
type Event interface{ membershipEvent() }

// ListRead brings the platform's list as it was just read. A list that could
// not be read is no event: what was known stays.
type ListRead struct{ Members []ListedMember }

// HeartbeatReceived brings a heartbeat and the life that sent it.
type HeartbeatReceived struct {
	From      instance.Process
	Heartbeat *memberpb.Heartbeat
}

// SelfChanged replaces the changing part of this instance's own line.
type SelfChanged struct {
	State    State
	Revision int64
	Load     uint32
	Weight   uint32
}

// RevisionHeard tells that a configuration revision exists.
type RevisionHeard struct{ Revision int64 }

func (ListRead) membershipEvent()          {}
func (HeartbeatReceived) membershipEvent() {}
func (SelfChanged) membershipEvent()       {}
func (RevisionHeard) membershipEvent()     {}

// Effect is an output of the Machine.
type Effect interface{ membershipEffect() }

// SendHeartbeat asks for a heartbeat to be sent. It may be lost.
type SendHeartbeat struct {
	To        instance.ID
	Heartbeat *memberpb.Heartbeat
}

// MemberChanged tells that a member is new or differs from before. Previous
// is the zero Member when it is new.
type MemberChanged struct {
	Member   Member
	Previous Member
}

// MemberRemoved tells that a dead member is no longer kept.
type MemberRemoved struct{ Member Member }

// RevisionKnown tells of a higher configuration revision than any before.
type RevisionKnown struct{ Revision int64 }

// Superseded tells that a later life of this instance's own ID is running.
// This process should stop.
type Superseded struct{ By instance.Process }

func (SendHeartbeat) membershipEffect() {}
func (MemberChanged) membershipEffect() {}
func (MemberRemoved) membershipEffect() {}
func (RevisionKnown) membershipEffect() {}
func (Superseded) membershipEffect()    {}

// The defaults of Options.
const (
	DefaultInterval      = time.Second
	DefaultDeadAfter     = 2500 * time.Millisecond
	DefaultPushDelay     = 100 * time.Millisecond
	DefaultForgetAfter   = 10 * time.Minute
	DefaultLoadInterval  = 10 * time.Second
	DefaultRelaysPerLink = 2
)

// Options set a Machine up. Zero values take the defaults.
type Options struct {
	// Self is this instance's line at the start.
	Self Member
	// Interval is the time between two heartbeats to one instance.
	Interval time.Duration
	// DeadAfter is how long an instance, or all news of a failure domain, may
	// stay away before it counts as dead.
	DeadAfter time.Duration
	// PushDelay is how long a change waits for others to go with it.
	PushDelay time.Duration
	// ForgetAfter is how long dead members are kept.
	ForgetAfter time.Duration
	// LoadInterval is the least time between two changes of the load figure.
	LoadInterval time.Duration
	// RelaysPerLink is how many instances of a failure domain report to each
	// other failure domain, and to how many instances there.
	RelaysPerLink int
}

func (o Options) withDefaults() Options {
	setDefault(&o.Interval, DefaultInterval)
	setDefault(&o.DeadAfter, DefaultDeadAfter)
	setDefault(&o.PushDelay, DefaultPushDelay)
	setDefault(&o.ForgetAfter, DefaultForgetAfter)
	setDefault(&o.LoadInterval, DefaultLoadInterval)
	setDefault(&o.RelaysPerLink, DefaultRelaysPerLink)
	return o
}

func setDefault[T int | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

// memberRef stands for an instance ID on the wire.
type memberRef uint64

func refOf(id instance.ID) memberRef { return memberRef(xxhash.Sum64String(string(id))) }

// domainRef stands for a failure domain on the wire.
type domainRef uint32

func domainRefOf(d instance.FailureDomain) domainRef {
	return domainRef(xxhash.Sum64String(string(d)))
}
