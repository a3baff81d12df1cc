package httplimit

import (
	"math"
	"syscall"
	"time"
)

// Limits bounds what a process holds for clients. Zero fields take defaults that no
// client within the limits of a deployment reaches.
type Limits struct {
	// MemoryBytes is the memory of the process, Descriptors the number of files that
	// it may open. The other defaults follow from them.
	MemoryBytes int64
	Descriptors int
	// MaxBodyBytes is the size of the largest body. The account has room for one.
	MaxBodyBytes int64
	// MaxConnections bounds the connections of callers.
	MaxConnections int
	// MaxBodies and MaxBodiesPerPeer bound the bodies that are being read, in total
	// and by address.
	MaxBodies        int
	MaxBodiesPerPeer int
	// MinBodyRate is the average transfer rate in bytes per second that a body must
	// have reached after bodyGrace.
	MinBodyRate int64
	// BodyTimeout bounds the transfer of one body.
	BodyTimeout time.Duration
	// UnreadTimeout is how long a caller may take nothing of its response.
	UnreadTimeout time.Duration
}

// The defaults.
const (
	DefaultMinBodyRate   int64 = 256
	DefaultUnreadTimeout       = 15 * time.Second
	// DefaultBodyTimeout lets a body of 4 MiB arrive at 2.3 Mbit/s.
	DefaultBodyTimeout = 15 * time.Second
)

const (
	// bodyGrace is how long a body may take at any rate. It is longer than callers
	// pause in the middle of a request.
	bodyGrace = 5 * time.Second
	// reservedDescriptors are kept for the exchange between daemons, the store,
	// operators, logs and the runtime.
	reservedDescriptors = 200
	// connectionShare is the share of the other descriptors for callers'
	// connections. The rest is for connections to endpoints, which the endpoints'
	// slots bound; most connections of callers are idle.
	connectionShare = 0.75
	// connectionBytes is the memory of an idle connection: a goroutine, buffers and
	// net/http's state, which take 10 to 20 KiB.
	connectionBytes = 16 << 10
	// connectionMemoryShare is the share of the memory for connections.
	connectionMemoryShare = 0.25
	// minConnections is more than the callers of the smallest deployments use.
	minConnections = 128
	// bodyBytes is the account's share per body in progress, for bodies of ordinary
	// size.
	bodyBytes = 16 << 10
	// peerShare is the share of the bodies that one address may send, since several
	// hundred callers may come from one.
	peerShare = 0.75
	// unknownDescriptors is the limit if the system does not tell one.
	unknownDescriptors = 1024
)

// withDefaults returns the limits with the defaults filled in. account is the size of
// the account of memory.
func (l Limits) withDefaults(account int64) Limits {
	if l.Descriptors <= 0 {
		l.Descriptors = systemDescriptors()
	}
	if l.MaxConnections <= 0 {
		l.MaxConnections = int(connectionShare * float64(l.Descriptors-reservedDescriptors))
		if l.MemoryBytes > 0 {
			l.MaxConnections = min(l.MaxConnections, int(connectionMemoryShare*float64(l.MemoryBytes)/connectionBytes))
		}
		l.MaxConnections = max(l.MaxConnections, minConnections)
	}
	if l.MaxBodies <= 0 {
		l.MaxBodies = int(account / bodyBytes)
	}
	if l.MaxBodiesPerPeer <= 0 {
		l.MaxBodiesPerPeer = int(math.Ceil(peerShare * float64(l.MaxBodies)))
	}
	if l.MinBodyRate <= 0 {
		l.MinBodyRate = DefaultMinBodyRate
	}
	if l.BodyTimeout <= 0 {
		l.BodyTimeout = DefaultBodyTimeout
	}
	if l.UnreadTimeout <= 0 {
		l.UnreadTimeout = DefaultUnreadTimeout
	}
	return l
}

// systemDescriptors returns how many files the system lets this process open.
func systemDescriptors() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return unknownDescriptors
	}
	return int(min(limit.Cur, math.MaxInt32))
}
