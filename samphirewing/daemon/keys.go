package daemon

import (
	"crypto/tls"
	"net"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/samphirewing/transport/tlsreload"
)

// listenerKeys holds the TLS keys of each listener; nil means plain TCP.
type listenerKeys struct {
	caller   *tlsreload.Source
	mesh     *tlsreload.Source
	operator *tlsreload.Source
}

func loadKeys(s Settings) (listenerKeys, error) {
	var k listenerKeys
	listeners := []struct {
		name     string
		settings TLSSettings
		target   **tlsreload.Source
	}{
		{"caller", s.CallerTLS, &k.caller},
		{"mesh", s.MeshTLS, &k.mesh},
		{"operator", s.OperatorTLS, &k.operator},
	}
	for _, l := range listeners {
		if !l.settings.Enabled() {
			continue
		}
		loaded, err := tlsreload.Load(tlsreload.Material(l.settings))
		if err != nil {
			return k, errors.Annotatef(err, "--%s-tls-*", l.name)
		}
		*l.target = loaded
	}
	return k, nil
}

// wrapTLS returns a TLS listener, or l itself without keys.
func wrapTLS(l net.Listener, k *tlsreload.Source) net.Listener {
	if k == nil {
		return l
	}
	return tls.NewListener(l, k.ServerConfig())
}

// meshTLSConfig returns the mutual TLS configuration of sessions between daemons,
// or nil for plain TCP.
func (k listenerKeys) meshTLSConfig() (*tls.Config, error) {
	if k.mesh == nil {
		return nil, nil
	}
	return k.mesh.MutualConfig()
}

// ReloadKeys reloads the TLS keys that the settings give as files. Open
// connections are not affected. If a listener's keys can't be loaded, the failure
// is logged and its current keys stay in use.
func (d *Daemon) ReloadKeys() {
	for _, k := range []*tlsreload.Source{d.keys.caller, d.keys.mesh, d.keys.operator} {
		if k == nil {
			continue
		}
		if err := k.Reload(); err != nil {
			d.events.Emit(EventKeysNotReloaded, events.F("error", err.Error()))
			continue
		}
		d.events.Emit(EventKeysReloaded)
	}
}
