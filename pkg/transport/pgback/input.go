package pgback

import (
	"net"
	"syscall"
)

// hasInput reports whether connection has something to read: bytes that no
// request asked for, or its end. It does not wait and reads nothing. A
// connection that can't be looked at is taken as quiet.
func hasInput(connection net.Conn) bool {
	system, ok := connection.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := system.SyscallConn()
	if err != nil {
		return true
	}
	found := true
	// Control, other than Read, does not fail for a deadline of the last use.
	err = raw.Control(func(descriptor uintptr) {
		var one [1]byte
		_, _, peekErr := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		found = peekErr != syscall.EAGAIN
	})
	return err != nil || found
}
