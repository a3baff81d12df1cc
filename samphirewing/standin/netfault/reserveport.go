package netfault

import (
	"net/netip"
	"syscall"

	"github.com/juju/errors"
)

// reservePort binds an IPv4 address without listening on it, so that the
// system refuses connections and no other process gets the port. The returned
// function frees the port.
func reservePort(address string) (release func(), err error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if !parsed.Addr().Is4() {
		return nil, errors.Errorf("address %s isn't IPv4", address)
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, errors.Trace(err)
	}
	release = func() { _ = syscall.Close(fd) }
	err = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err == nil {
		err = syscall.Bind(fd, &syscall.SockaddrInet4{Port: int(parsed.Port()), Addr: parsed.Addr().As4()})
	}
	if err != nil {
		release()
		return nil, errors.Annotatef(err, "holding %s", address)
	}
	return release, nil
}
