// Package lines reads messages that are lines ended by CR LF, and looks at
// connections that should be quiet.
package lines

import (
	"bufio"

	"github.com/go-faster/errors"
)

// Errors of lines.
var (
	// ErrTooLong means that a line exceeds the limit.
	ErrTooLong = errors.New("line too long")
	// ErrMissingCRLF means that a line ends without CR, or holds a CR of its own.
	ErrMissingCRLF = errors.New("line without CR LF")
)

// Read returns the next line without its end. It is valid until the next use
// of the reader.
func Read(reader *bufio.Reader, limit int) ([]byte, error) {
	line, err := reader.ReadSlice('\n')
	if err == nil {
		return trim(line)
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
	return trim(whole)
}

// trim removes the end of a line.
func trim(line []byte) ([]byte, error) {
	end := len(line) - 2
	if end < 0 || line[end] != '\r' {
		return nil, ErrMissingCRLF
	}
	return line[:end], nil
}
