package pgfront

import (
	"net"
	"syscall"
)

// isPeerClosed reports whether the peer has closed connection and no data is left
// to read. It neither blocks nor consumes data. A connection that can't be checked
// counts as open.
func isPeerClosed(connection net.Conn) bool {
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
