package lines

import (
	"net"
	"syscall"
)

// Probe looks whether a connection has something to read. It is not safe for
// concurrent use.
type Probe struct {
	raw syscall.RawConn
	// look is bound once, so that a look allocates nothing.
	look  func(descriptor uintptr)
	found bool
}

// NewProbe returns the probe of connection. One that can't be looked at is
// taken as quiet.
func NewProbe(connection net.Conn) *Probe {
	p := &Probe{}
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
func (p *Probe) HasInput() bool {
	if p.raw == nil {
		return false
	}
	// Control, other than Read, does not fail for a deadline of the last use.
	if err := p.raw.Control(p.look); err != nil {
		return true
	}
	return p.found
}

func (p *Probe) peek(descriptor uintptr) {
	var one [1]byte
	_, _, err := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	p.found = err != syscall.EAGAIN
}
