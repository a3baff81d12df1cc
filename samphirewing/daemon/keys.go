package daemon

import (
	"crypto/tls"
	"net"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/samphirewing/transport/tlsreload"
)

// listenerKeys are the TLS keys of each listener; nil means plain TCP.
type listenerKeys struct {
	caller   *tlsreload.Source
	mesh     *tlsreload.Source
	operator *tlsreload.Source
}

func loadKeys(s Settings) (listenerKeys, error) {
	var k listenerKeys
	parts := []struct {
		name     string
		settings TLSSettings
		into     **tlsreload.Source
	}{
		{"caller", s.CallerTLS, &k.caller},
		{"mesh", s.MeshTLS, &k.mesh},
		{"operator", s.OperatorTLS, &k.operator},
	}
	for _, p := range parts {
		if !p.settings.Enabled() {
			continue
		}
		loaded, err := tlsreload.Load(tlsreload.Material(p.settings))
		if err != nil {
			return k, errors.Annotatef(err, "--%s-tls-*", p.name)
		}
		*p.into = loaded
	}
	return k, nil
}

// secure wraps a listener when there are keys for it.
func secure(l net.Listener, k *tlsreload.Source) net.Listener {
	if k == nil {
		return l
	}
	return tls.NewListener(l, k.ServerConfig())
}

// meshConfig returns the configuration of sessions between daemons, nil for
// plain TCP.
func (k listenerKeys) meshConfig() (*tls.Config, error) {
	if k.mesh == nil {
		return nil, nil
	}
	return k.mesh.MutualConfig()
}

// Reload reads the keys that settings name by file again. Open connections
// keep theirs; a fault leaves the keys in use.
func (d *Daemon) Reload() {
	for _, k := range []*tlsreload.Source{d.keys.caller, d.keys.mesh, d.keys.operator} {
		if k == nil {
			continue
		}
		if err := k.Reload(); err != nil {
			d.events.Emit(EventKeysFault, events.F("error", err.Error()))
			continue
		}
		d.events.Emit(EventKeysReloaded)
	}
}
