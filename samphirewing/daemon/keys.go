package daemon

import (
	"crypto/tls"
	"net"

	"github.com/juju/errors"

	"github.com/samphirewing/coordkit/events"
	"github.com/samphirewing/samphirewing/transport/tlskeys"
)

// listenerKeys are the TLS keys of each listener; nil means plain TCP.
type listenerKeys struct {
	caller   *tlskeys.Keys
	mesh     *tlskeys.Keys
	operator *tlskeys.Keys
}

func loadKeys(s Settings) (listenerKeys, error) {
	var k listenerKeys
	parts := []struct {
		name     string
		settings TLSSettings
		into     **tlskeys.Keys
	}{
		{"caller", s.CallerTLS, &k.caller},
		{"mesh", s.MeshTLS, &k.mesh},
		{"operator", s.OperatorTLS, &k.operator},
	}
	for _, p := range parts {
		if !p.settings.Enabled() {
			continue
		}
		loaded, err := tlskeys.Load(tlskeys.Source(p.settings))
		if err != nil {
			return k, errors.Annotatef(err, "--%s-tls-*", p.name)
		}
		*p.into = loaded
	}
	return k, nil
}

// secure wraps a listener when there are keys for it.
func secure(l net.Listener, k *tlskeys.Keys) net.Listener {
	if k == nil {
		return l
	}
	return tls.NewListener(l, k.Server())
}

func (k listenerKeys) meshConfig() *tls.Config {
	if k.mesh == nil {
		return nil
	}
	return k.mesh.Mutual()
}

// Reload reads the keys that settings name by file again. Open connections
// keep theirs; a fault leaves the keys in use.
func (d *Daemon) Reload() {
	for _, k := range []*tlskeys.Keys{d.keys.caller, d.keys.mesh, d.keys.operator} {
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
