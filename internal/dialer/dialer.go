// Package dialer owns how TCP connections are opened, so that each of them ends
// in bounded time when the other side has gone silent. It does not own pools.
package dialer

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepaliveIdle, keepaliveInterval and keepaliveCount find an unused
	// connection that has gone silent within three seconds.
	keepaliveIdle     = time.Second
	keepaliveInterval = time.Second
	keepaliveCount    = 2
)

// New returns a dialer whose handshakes take at most handshake, and whose
// connections fail when sent data has no acknowledgement for silence.
func New(handshake, silence time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: handshake,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepaliveIdle, Interval: keepaliveInterval, Count: keepaliveCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, silence) },
	}
}

func setUserTimeout(c syscall.RawConn, silence time.Duration) error {
	var failure error
	err := c.Control(func(fd uintptr) {
		failure = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silence.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failure
}
