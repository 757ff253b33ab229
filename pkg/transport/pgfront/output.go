package pgfront

import (
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Sizes of an output buffer, in bytes.
const (
	outputBufferBytes = 16 << 10
	// outputFlushBytes is the fill level at which the buffer is written.
	outputFlushBytes = 12 << 10
	// maxPooledOutputBytes is the capacity up to which a buffer is kept in the pool.
	maxPooledOutputBytes = 64 << 10
)

var outputBuffers = sync.Pool{
	New: func() any {
		buffer := make([]byte, 0, outputBufferBytes)
		return &buffer
	},
}

// output writes messages to a caller. It takes a buffer from the pool for the
// first message and returns it at a flush, so that idle sessions hold none.
type output struct {
	conn   net.Conn
	buffer *[]byte
	// written counts the bytes that were written to conn.
	written uint64
	err     error
}

// send appends message and writes the buffer when it reaches outputFlushBytes. The
// first error is kept and stops all further writing.
func (o *output) send(message pgproto3.BackendMessage) {
	if o.err != nil {
		return
	}
	o.borrowBuffer()
	encoded, err := message.Encode(*o.buffer)
	if err != nil {
		o.err = err
		return
	}
	*o.buffer = encoded
	if len(encoded) >= outputFlushBytes {
		o.write()
	}
}

// sendEncoded appends complete messages that are already encoded.
func (o *output) sendEncoded(encoded []byte) {
	if o.err != nil {
		return
	}
	o.borrowBuffer()
	*o.buffer = append(*o.buffer, encoded...)
	if len(*o.buffer) >= outputFlushBytes {
		o.write()
	}
}

func (o *output) borrowBuffer() {
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

// flush writes the buffer and returns it to the pool.
func (o *output) flush() error {
	if o.buffer == nil {
		return o.err
	}
	if o.err == nil && len(*o.buffer) > 0 {
		o.write()
	}
	if cap(*o.buffer) <= maxPooledOutputBytes {
		outputBuffers.Put(o.buffer)
	}
	o.buffer = nil
	return o.err
}

// rewindPoint is a position in the output to which unwritten messages can be
// discarded.
type rewindPoint struct {
	written  uint64
	buffered int
}

func (o *output) rewindPoint() rewindPoint {
	p := rewindPoint{written: o.written}
	if o.buffer != nil {
		p.buffered = len(*o.buffer)
	}
	return p
}

// rewind discards what was sent since p. It returns false, and discards nothing, if
// some of that was already written or an error has occurred.
func (o *output) rewind(p rewindPoint) bool {
	if o.err != nil || o.written != p.written {
		return false
	}
	if o.buffer != nil {
		*o.buffer = (*o.buffer)[:p.buffered]
	}
	return true
}

func (o *output) setDeadline(at time.Time) {
	if err := o.conn.SetWriteDeadline(at); err != nil && o.err == nil {
		o.err = err
	}
}
