package operatorapi

import (
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/coordkit/transport/clock"
	"github.com/samphirewing/samphirewing/language"
	"github.com/samphirewing/samphirewing/state/catalogue"
)

// The limits that hold unless Options says otherwise.
const (
	DefaultQueryTimeout  = 2 * time.Second
	DefaultCommitTimeout = 30 * time.Second
	DefaultBodyTimeout   = 10 * time.Second
	DefaultWriteTimeout  = 30 * time.Second
)

const maxBodyBytes = language.MaxTextBytes

// Operator is one who may use this interface.
type Operator struct {
	Name string
	Hash catalogue.TokenHash
}

// ParseOperator reads "name=<SHA-256 of the token>", the form of settings.
func ParseOperator(text string) (Operator, error) {
	name, hash, ok := strings.Cut(text, "=")
	if !ok || catalogue.InvalidNameReason(name) != "" {
		return Operator{}, errors.New("operator is not given as name=hash; write the name, '=' and the SHA-256 of the token in hexadecimal")
	}
	h, err := catalogue.ParseTokenHash(hash)
	return Operator{Name: name, Hash: h}, errors.Annotatef(err, "operator %s", name)
}

// Options sets who may connect and the limits. Zero limits take the defaults.
type Options struct {
	Operators []Operator
	// QueryTimeout is how long daemons may take to answer a query.
	QueryTimeout time.Duration
	// CommitTimeout is how long a change may take to be in force everywhere.
	CommitTimeout time.Duration
	BodyTimeout   time.Duration
	// WriteTimeout bounds each write to an operator.
	WriteTimeout time.Duration
	Events       events.Sink
	Clock        clock.Clock
}

func (o Options) withDefaults() Options {
	setDefault(&o.QueryTimeout, DefaultQueryTimeout)
	setDefault(&o.CommitTimeout, DefaultCommitTimeout)
	setDefault(&o.BodyTimeout, DefaultBodyTimeout)
	setDefault(&o.WriteTimeout, DefaultWriteTimeout)
	if o.Events == nil {
		o.Events = events.Discard{}
	}
	if o.Clock == nil {
		o.Clock = clock.System{}
	}
	return o
}

func setDefault(d *time.Duration, fallback time.Duration) {
	if *d == 0 {
		*d = fallback
	}
}

// authenticate returns the operator that a token belongs to. It compares with
// every operator, so that its time tells nothing.
func (o Options) authenticate(token string) (string, bool) {
	hash := catalogue.HashToken(token)
	name, found := "", false
	for _, operator := range o.Operators {
		if operator.Hash.Equal(hash) {
			name, found = operator.Name, true
		}
	}
	return name, found
}
