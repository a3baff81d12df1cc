package mesh

import (
	"crypto/tls"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/protocol/instance"
)

// The defaults of Options.
const (
	DefaultMaxFrameBytes = 4 << 20
	DefaultQueueBytes    = 8 << 20
	DefaultMaxSessions   = 1024
	DefaultDialTimeout   = 2 * time.Second
	DefaultPingInterval  = 1500 * time.Millisecond
	DefaultSilenceLimit  = 3 * time.Second
	DefaultIdleLimit     = time.Minute
	DefaultRedialMin     = 100 * time.Millisecond
	DefaultRedialMax     = 2 * time.Second
)

// Options set a Mesh up. Zero limits take the defaults.
type Options struct {
	// Self is this instance in its present life.
	Self instance.Process
	// ListenAddress is "IP:port"; port 0 lets the system choose.
	ListenAddress string
	// TLS secures both directions and should ask for client certificates.
	// Nil means plain TCP.
	TLS *tls.Config
	// Events receives the numbered events of this package.
	Events events.Sink

	// MaxFrameBytes bounds one message.
	MaxFrameBytes int
	// QueueBytes bounds what waits to be written to one peer.
	QueueBytes int
	// MaxSessions bounds the sessions that this instance accepts.
	MaxSessions int
	// DialTimeout bounds a dial with its handshakes.
	DialTimeout time.Duration
	// PingInterval is the longest time without a write in a session.
	PingInterval time.Duration
	// SilenceLimit closes a session whose peer has sent nothing, or has
	// confirmed nothing of what was sent, for so long.
	SilenceLimit time.Duration
	// IdleLimit closes a session that carried no message or call for so long.
	IdleLimit time.Duration
	// RedialMin and RedialMax bound the wait between two dials to a peer.
	RedialMin time.Duration
	RedialMax time.Duration
}

func orDefault[T int | time.Duration](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}

// withDefaults returns the options filled in, or an error that names the
// setting at fault.
func (o Options) withDefaults() (Options, error) {
	if o.Self.ID == "" {
		return o, errors.New("mesh: Self.ID is empty; give the instance a name")
	}
	if o.Events == nil {
		o.Events = events.Discard{}
	}
	orDefault(&o.MaxFrameBytes, DefaultMaxFrameBytes)
	orDefault(&o.QueueBytes, DefaultQueueBytes)
	orDefault(&o.MaxSessions, DefaultMaxSessions)
	orDefault(&o.DialTimeout, DefaultDialTimeout)
	orDefault(&o.PingInterval, DefaultPingInterval)
	orDefault(&o.SilenceLimit, DefaultSilenceLimit)
	orDefault(&o.IdleLimit, DefaultIdleLimit)
	orDefault(&o.RedialMin, DefaultRedialMin)
	orDefault(&o.RedialMax, DefaultRedialMax)
	if o.SilenceLimit < 2*o.PingInterval {
		return o, errors.Errorf("mesh: SilenceLimit %v is under two PingIntervals of %v; raise it", o.SilenceLimit, o.PingInterval)
	}
	if o.RedialMax < o.RedialMin {
		return o, errors.Errorf("mesh: RedialMax %v is under RedialMin %v; raise it", o.RedialMax, o.RedialMin)
	}
	return o, nil
}
