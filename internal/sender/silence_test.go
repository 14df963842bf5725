package sender_test

import (
	"net"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/wigeonstand/wigeonstand/internal/sender"
)

// maxSilence is how long a sound endpoint may send nothing, acknowledgements included: about a
// second by the users' pages.
const maxSilence = 1500 * time.Millisecond

// A connection was given up while its endpoint was silent for a second. As on Linux, a
// TCP_USER_TIMEOUT that is set also decides when keep-alive probes give up, whatever their
// number.
func TestConnectionsOutliveAShortSilence(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	conn, err := sender.NewDial()(t.Context(), "tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	get := func(option int) (value int) {
		err := raw.Control(func(fd uintptr) {
			if value, err = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, option); err != nil {
				t.Error(err)
			}
		})
		if err != nil {
			t.Fatal(err)
		}
		return value
	}
	userTimeout := time.Duration(get(unix.TCP_USER_TIMEOUT)) * time.Millisecond
	idle, interval := time.Duration(get(unix.TCP_KEEPIDLE))*time.Second, time.Duration(get(unix.TCP_KEEPINTVL))*time.Second
	// The silence begins just before the first probe; the connection is given up at the first
	// probe for which the last packet is older than the timeout.
	givenUp := idle + interval
	for givenUp < userTimeout {
		givenUp += interval
	}
	if silence := givenUp - idle; silence <= maxSilence {
		t.Errorf("an idle connection is given up after a silence of %v", silence)
	}
	if userTimeout <= maxSilence {
		t.Errorf("a connection with data in flight is given up after a silence of %v", userTimeout)
	}
}
