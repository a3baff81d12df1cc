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

// Options configure a Mesh. Zero limits select the defaults.
type Options struct {
	// Self is the ID and incarnation of this instance.
	Self instance.Process
	// ListenAddress is "IP:port"; port 0 lets the system choose.
	ListenAddress string
	// TLS configures both dialled and accepted connections, and should request
	// client certificates. Nil means plain TCP.
	TLS *tls.Config
	// Events receives the numbered events of this package.
	Events events.Sink

	// MaxFrameBytes bounds the encoded size of a message.
	MaxFrameBytes int
	// QueueBytes bounds the messages queued for a peer.
	QueueBytes int
	// MaxSessions bounds the accepted connections that are open at a time.
	MaxSessions int
	// DialTimeout bounds a dial including its handshakes.
	DialTimeout time.Duration
	// PingInterval is the maximum time between two writes to a session.
	PingInterval time.Duration
	// SilenceLimit is the time after which a session is closed if its peer has
	// sent no frame, or has not confirmed any of the frames sent to it.
	SilenceLimit time.Duration
	// IdleLimit is the time after which a session without messages and calls is
	// closed.
	IdleLimit time.Duration
	// RedialMin and RedialMax bound the back-off between dials to a peer.
	RedialMin time.Duration
	RedialMax time.Duration
}

func setDefault[T int | time.Duration](value *T, defaultValue T) {
	if *value == 0 {
		*value = defaultValue
	}
}

// withDefaults returns the options with defaults filled in, or an error that
// names the invalid option.
func (o Options) withDefaults() (Options, error) {
	if o.Self.ID == "" {
		return o, errors.New("mesh: Self.ID is empty; give the instance a name")
	}
	if o.Events == nil {
		o.Events = events.Discard{}
	}
	setDefault(&o.MaxFrameBytes, DefaultMaxFrameBytes)
	setDefault(&o.QueueBytes, DefaultQueueBytes)
	setDefault(&o.MaxSessions, DefaultMaxSessions)
	setDefault(&o.DialTimeout, DefaultDialTimeout)
	setDefault(&o.PingInterval, DefaultPingInterval)
	setDefault(&o.SilenceLimit, DefaultSilenceLimit)
	setDefault(&o.IdleLimit, DefaultIdleLimit)
	setDefault(&o.RedialMin, DefaultRedialMin)
	setDefault(&o.RedialMax, DefaultRedialMax)
	if o.SilenceLimit < 2*o.PingInterval {
		return o, errors.Errorf("mesh: SilenceLimit %v is under two PingIntervals of %v; raise it", o.SilenceLimit, o.PingInterval)
	}
	if o.RedialMax < o.RedialMin {
		return o, errors.Errorf("mesh: RedialMax %v is under RedialMin %v; raise it", o.RedialMax, o.RedialMin)
	}
	return o, nil
}
