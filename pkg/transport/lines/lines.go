// Package lines reads messages that are lines ended by CR LF, and detects input
// on connections on which none is expected.
package lines

import (
	"bufio"

	"github.com/go-faster/errors"
)

var (
	// ErrTooLong means that a line exceeds the size limit.
	ErrTooLong = errors.New("line too long")
	// ErrMissingCRLF means that a line feed was read that does not follow a
	// carriage return.
	ErrMissingCRLF = errors.New("line without CR LF")
)

// Read returns the next line without its CR LF. The result is valid until the
// next use of reader. Lines longer than the buffer of reader are limited to
// limit bytes.
func Read(reader *bufio.Reader, limit int) ([]byte, error) {
	line, err := reader.ReadSlice('\n')
	if err == nil {
		return trimCRLF(line)
	}
	if !errors.Is(err, bufio.ErrBufferFull) {
		return nil, err
	}
	whole := append([]byte(nil), line...)
	for errors.Is(err, bufio.ErrBufferFull) {
		line, err = reader.ReadSlice('\n')
		whole = append(whole, line...)
		if len(whole) > limit {
			return nil, ErrTooLong
		}
	}
	if err != nil {
		return nil, err
	}
	return trimCRLF(whole)
}

// trimCRLF removes CR LF from the end of a line.
func trimCRLF(line []byte) ([]byte, error) {
	end := len(line) - 2
	if end < 0 || line[end] != '\r' {
		return nil, ErrMissingCRLF
	}
	return line[:end], nil
}
