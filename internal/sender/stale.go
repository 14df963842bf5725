package sender

import (
	"net"
	"syscall"
)

// isQuiet says whether an unused connection is still open and carries no bytes.
// Bytes on it would belong to no request; an end of stream or an error would
// take the next request with it.
func isQuiet(c net.Conn) bool {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = control.Read(func(fd uintptr) bool {
		var one [1]byte
		_, _, failure := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = failure == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}
