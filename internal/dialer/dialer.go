// Package dialer configures TCP connections so that each of them fails within a
// bounded time after its peer has stopped responding.
package dialer

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// With these settings, an idle connection fails within three seconds after its
	// peer has stopped responding.
	keepaliveIdle     = time.Second
	keepaliveInterval = time.Second
	keepaliveCount    = 2
)

// New returns a dialer whose attempts to connect fail after dialTimeout, and whose
// connections fail when sent data remains unacknowledged for ackTimeout.
func New(dialTimeout, ackTimeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepaliveIdle, Interval: keepaliveInterval, Count: keepaliveCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error { return setUserTimeout(c, ackTimeout) },
	}
}

func setUserTimeout(c syscall.RawConn, timeout time.Duration) error {
	var sockoptErr error
	err := c.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockoptErr
}
