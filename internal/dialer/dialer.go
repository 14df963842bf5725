// Package dialer configures TCP connections so that each of them fails within a
// bounded time after its peer has stopped responding.
package dialer

import (
	"errors"
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

// socketOption is an option of the kernel for a connection.
type socketOption struct{ level, name, value int }

// Option sets one property of the connections.
type Option func(*[]socketOption)

// WithReceiveBuffer sets the size of the receive buffer in bytes, which the kernel doubles. Without it,
// the buffer grows with what the peer sends.
func WithReceiveBuffer(size int) Option {
	return func(options *[]socketOption) {
		*options = append(*options, socketOption{unix.SOL_SOCKET, unix.SO_RCVBUF, size})
	}
}

// New returns a dialer whose attempts to connect fail after dialTimeout, and whose
// connections fail when sent data remains unacknowledged for ackTimeout.
func New(dialTimeout, ackTimeout time.Duration, options ...Option) *net.Dialer {
	socketOptions := []socketOption{{unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds())}}
	for _, option := range options {
		option(&socketOptions)
	}
	return &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepaliveIdle, Interval: keepaliveInterval, Count: keepaliveCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error { return setOptions(c, socketOptions) },
	}
}

func setOptions(c syscall.RawConn, options []socketOption) error {
	var sockoptErr error
	err := c.Control(func(fd uintptr) {
		for _, o := range options {
			sockoptErr = errors.Join(sockoptErr, unix.SetsockoptInt(int(fd), o.level, o.name, o.value))
		}
	})
	if err != nil {
		return err
	}
	return sockoptErr
}
