package sender

import (
	"net"
	"syscall"
)

// isReusable says whether an unused connection is still open and carries no bytes.
// Bytes on it would belong to no request; an end of stream or an error would
// take the next request with it.
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
