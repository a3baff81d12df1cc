package main

import (
	"io"
	"net"
	"time"
)

// linkPiece is the size of one write of a link.
const linkPiece = 8 << 10

// startLink starts a proxy to an address that passes on what comes from there at the
// speed of a link. It neither drops nor delays anything else.
func startLink(ip, target string, mbps float64) (address string, err error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return "", err
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go pass(conn, target, mbps)
		}
	}()
	return listener.Addr().String(), nil
}

func pass(conn net.Conn, target string, mbps float64) {
	defer conn.Close()
	other, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer other.Close()
	go func() {
		_, _ = io.Copy(other, conn)
		other.Close()
	}()
	piece := make([]byte, linkPiece)
	free := time.Now()
	for {
		n, err := other.Read(piece)
		if n > 0 {
			if now := time.Now(); free.Before(now) {
				free = now
			}
			free = free.Add(time.Duration(float64(n) * 8 / mbps * float64(time.Microsecond)))
			time.Sleep(time.Until(free))
			if _, err := conn.Write(piece[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
