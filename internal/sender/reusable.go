package sender

import (
	"net"
	"syscall"
)

// isReusable reports whether an idle connection is open and has no unread bytes.
// Unread bytes belong to no pending request; after an end of stream or an error
// the next request would be lost.
func isReusable(c net.Conn) bool {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = control.Read(func(fd uintptr) bool {
		var peeked [1]byte
		_, _, errno := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = errno == syscall.EAGAIN
		return true
	})
	return err == nil && reusable
}
