package pgfront

import (
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Sizes of an output buffer, in bytes.
const (
	outputSize = 16 << 10
	// outputFlush is the fill at which the buffer is written.
	outputFlush = 12 << 10
	// outputKeep is the largest buffer that is kept for later use.
	outputKeep = 64 << 10
)

var outputBuffers = sync.Pool{
	New: func() any {
		buffer := make([]byte, 0, outputSize)
		return &buffer
	},
}

// output writes to a caller. Its buffer is borrowed while it holds something.
type output struct {
	conn   net.Conn
	buffer *[]byte
	// written counts bytes that have left the buffer.
	written uint64
	err     error
}

// send appends message and writes the buffer when it is full. The first error
// is kept and ends all further writing.
func (o *output) send(message pgproto3.BackendMessage) {
	if o.err != nil {
		return
	}
	o.borrow()
	encoded, err := message.Encode(*o.buffer)
	if err != nil {
		o.err = err
		return
	}
	*o.buffer = encoded
	if len(encoded) >= outputFlush {
		o.write()
	}
}

// sendEncoded appends whole messages in their wire form.
func (o *output) sendEncoded(encoded []byte) {
	if o.err != nil {
		return
	}
	o.borrow()
	*o.buffer = append(*o.buffer, encoded...)
	if len(*o.buffer) >= outputFlush {
		o.write()
	}
}

func (o *output) borrow() {
	if o.buffer == nil {
		o.buffer = outputBuffers.Get().(*[]byte)
	}
}

func (o *output) write() {
	n, err := o.conn.Write(*o.buffer)
	o.written += uint64(n)
	o.err = err
	*o.buffer = (*o.buffer)[:0]
}

// flush writes the buffer and gives it back.
func (o *output) flush() error {
	if o.buffer == nil {
		return o.err
	}
	if o.err == nil && len(*o.buffer) > 0 {
		o.write()
	}
	if cap(*o.buffer) <= outputKeep {
		outputBuffers.Put(o.buffer)
	}
	o.buffer = nil
	return o.err
}

// mark is a place in the output that it can be taken back to, until it has
// been written.
type mark struct {
	written  uint64
	buffered int
}

func (o *output) mark() mark {
	m := mark{written: o.written}
	if o.buffer != nil {
		m.buffered = len(*o.buffer)
	}
	return m
}

// rewind takes back what was sent since m and reports whether none of it had
// been written.
func (o *output) rewind(m mark) bool {
	if o.err != nil || o.written != m.written {
		return false
	}
	if o.buffer != nil {
		*o.buffer = (*o.buffer)[:m.buffered]
	}
	return true
}

func (o *output) setDeadline(at time.Time) {
	if err := o.conn.SetWriteDeadline(at); err != nil && o.err == nil {
		o.err = err
	}
}
