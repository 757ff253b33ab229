package lines

import (
	"net"
	"syscall"
)

// InputProbe detects whether a connection has input, without reading it. It is
// not safe for concurrent use.
type InputProbe struct {
	raw syscall.RawConn
	// control is the method value of peek. It is kept so that HasInput does not
	// allocate.
	control func(descriptor uintptr)
	found   bool
}

// NewInputProbe returns a probe of connection. A connection without access to
// its file descriptor is reported as having no input.
func NewInputProbe(connection net.Conn) *InputProbe {
	p := &InputProbe{}
	p.control = p.peek
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

// HasInput reports whether the connection has input that was not read yet, or
// has ended. It neither blocks nor reads.
func (p *InputProbe) HasInput() bool {
	if p.raw == nil {
		return false
	}
	// Unlike Read, Control does not fail because of an expired read deadline.
	if err := p.raw.Control(p.control); err != nil {
		return true
	}
	return p.found
}

// peek sets found to whether the socket has input, an end of file or an error.
func (p *InputProbe) peek(descriptor uintptr) {
	var one [1]byte
	_, _, err := syscall.Recvfrom(int(descriptor), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	p.found = err != syscall.EAGAIN
}
