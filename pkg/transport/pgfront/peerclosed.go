package pgfront

import (
	"net"
	"syscall"
)

// hasEnded reports whether the other side has closed connection and nothing
// is left to read. It does not wait and reads nothing; a connection that can't
// be looked at is taken as open.
func hasEnded(connection net.Conn) bool {
	system, ok := connection.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return false
	}
	ended := false
	err = raw.Control(func(descriptor uintptr) {
		var one [1]byte
		n, _, peekErr := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		isOpen := peekErr == syscall.EAGAIN || n > 0
		ended = !isOpen
	})
	return err == nil && ended
}
