package lines

import (
	"net"
	"syscall"
)

// InputProbe looks whether a connection has something to read. It is not safe for
// concurrent use.
type InputProbe struct {
	raw syscall.RawConn
	// look is bound once, so that a look allocates nothing.
	look  func(descriptor uintptr)
	found bool
}

// NewInputProbe returns the probe of connection. One that can't be looked at is
// taken as quiet.
func NewInputProbe(connection net.Conn) *InputProbe {
	p := &InputProbe{}
	p.look = p.peek
	system, ok := connection.(syscall.Conn)
	if !ok {
		return p
	}
	raw, err := system.SyscallConn()
	if err == nil {
		p.raw = raw
	}
	return p
}

// HasInput reports whether the connection has something to read: bytes that no
// request asked for, or its end. It does not wait and reads nothing.
func (p *InputProbe) HasInput() bool {
	if p.raw == nil {
		return false
	}
	// Control, other than Read, does not fail for a deadline of the last use.
	if err := p.raw.Control(p.look); err != nil {
		return true
	}
	return p.found
}

func (p *InputProbe) peek(descriptor uintptr) {
	var one [1]byte
	_, _, err := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	p.found = err != syscall.EAGAIN
}
