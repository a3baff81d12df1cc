// Package memorybudget decides how much memory a process holds for others: the heads
// and bodies of requests that are being read or wait, and the parts of responses
// that callers have not taken.
//
// The load that it handles: clients send many bodies at once, most stop just short
// of the end and keep the connection open, and clients read their responses slowly
// or not at all. Without a bound the process runs out of memory; with a bound alone,
// such clients would use up the budget and ordinary callers would be refused.
//
// Memory is reserved as bytes arrive, not as they are announced. Each reservation
// has a class, and the lower classes may fill the account only up to limits, so that a
// part is left for the classes above them. When a reservation fails, the holder of
// the most memory that has made no progress for a time gives way.
//
// The package does no input or output. The time is a parameter, and waiting is left
// to the caller.
package memorybudget

import "sync"

// Class is what memory is held for, least important first.
type Class int8

const (
	// Bulk is the part of a body beyond OrdinaryBytes.
	Bulk Class = iota
	// Response is what callers have not taken of their responses. The work for it is
	// done already, so it goes before further bodies.
	Response
	// Ordinary is the head of a request and the first OrdinaryBytes of its body.
	Ordinary
	// Exchange is the messages of other daemons. They are small and bounded by
	// their senders, so they are counted and never refused.
	Exchange

	classCount = int(Exchange) + 1
)

// String returns the class's name as used in metrics.
func (c Class) String() string { return [...]string{"bulk", "response", "ordinary", "exchange"}[c] }

// OrdinaryBytes is the part of each body that has the priority of ordinary
// requests. Requests of chat and of plain services are smaller than this.
const OrdinaryBytes = 64 << 10

// share is the part of the account that a class may use.
type share struct {
	// own bounds what the class itself uses, total the use of the whole account up to
	// which it may add to it.
	own, total float64
}

// shares leaves at least a fifth of the account to ordinary requests whatever the
// other classes hold, and lets neither large bodies nor unread responses displace
// each other completely.
var shares = [classCount]share{
	Bulk:     {own: 0.5, total: 0.9},
	Response: {own: 0.3, total: 0.95},
	Ordinary: {own: 1, total: 1},
	Exchange: {own: 1, total: 1},
}

const (
	// accountShare is the share of a process's memory that the account gets. The
	// daemon itself takes 64 MB at the target size, which is two fifths of the least
	// memory of a deployment (160 MB). Garbage that is not yet collected, sockets'
	// buffers and goroutines take as much again as what is held.
	accountShare = 0.25
	// bodiesInAccount is the least size of the account in bodies of the largest size.
	// One takes twice its size for a moment, and Bulk is half of the account; the
	// fifth is for the pieces in which memory is reserved.
	bodiesInAccount = 5
	// DefaultSize is the size if the memory of the process is not known.
	DefaultSize = 256 << 20
)

// SizeFor returns the size of the account of a process with this memory, in bytes;
// zero means that the memory is not known. maxBody is the size of the largest body,
// for which the account always has room.
func SizeFor(memory, maxBody int64) int64 {
	size := int64(DefaultSize)
	if memory > 0 {
		size = int64(accountShare * float64(memory))
	}
	return max(size, bodiesInAccount*maxBody)
}

// Account counts memory. It is safe for concurrent use. All methods of a nil Account
// do nothing, and grant everything.
type Account struct {
	size int64

	mu    sync.Mutex
	used  [classCount]int64
	total int64
	// freed is nil while nobody waits.
	freed chan struct{}
}

// New returns an account of the given size in bytes.
func New(size int64) *Account {
	return &Account{size: size}
}

// Size returns the size in bytes.
func (a *Account) Size() int64 { return a.size }

// Limit returns how much the class may use, in bytes.
func (a *Account) Limit(c Class) int64 { return int64(shares[c].own * float64(a.size)) }

// Reserve reserves n bytes, and returns false if the class may not.
func (a *Account) Reserve(c Class, n int64) bool {
	if a == nil {
		return true
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.used[c]+n > a.Limit(c) || a.total+n > int64(shares[c].total*float64(a.size)) {
		return false
	}
	a.used[c] += n
	a.total += n
	return true
}

// Count reserves n bytes even if the account is full.
func (a *Account) Count(c Class, n int64) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.used[c] += n
	a.total += n
}

// Release returns n bytes.
func (a *Account) Release(c Class, n int64) {
	if a == nil || n == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.used[c] -= n
	a.total -= n
	if a.freed != nil {
		close(a.freed)
		a.freed = nil
	}
}

// Freed returns a channel that is closed at the next release. To miss none, obtain it
// and try the reservation again before waiting for it.
func (a *Account) Freed() <-chan struct{} {
	if a == nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.freed == nil {
		a.freed = make(chan struct{})
	}
	return a.freed
}

// Used returns the bytes reserved by a class.
func (a *Account) Used(c Class) int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.used[c]
}
