package model

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// LSN (log sequence number) is a position in a PostgreSQL write-ahead log, in
// bytes.
type LSN uint64

// lsnHalfBits is the size of each half of an LSN in PostgreSQL's text format.
const lsnHalfBits = 32

// ParseLSN parses PostgreSQL's text format, for example "16/B374D848".
func ParseLSN(text string) (LSN, error) {
	high, low, found := strings.Cut(text, "/")
	if !found {
		return 0, errors.Errorf("log position %q: no slash, want two hexadecimal numbers such as 16/B374D848", text)
	}
	upper, err := strconv.ParseUint(high, 16, lsnHalfBits)
	if err != nil {
		return 0, errors.Wrapf(err, "log position %q", text)
	}
	lower, err := strconv.ParseUint(low, 16, lsnHalfBits)
	if err != nil {
		return 0, errors.Wrapf(err, "log position %q", text)
	}
	return LSN(upper<<lsnHalfBits | lower), nil
}

// String returns the position in PostgreSQL's text format.
func (l LSN) String() string {
	return fmt.Sprintf("%X/%X", uint64(l)>>lsnHalfBits, uint64(l)&(1<<lsnHalfBits-1))
}

// Mark is the position of a write in a group: the generation of the primary that
// executed it, and the LSN after its commit. Unlike a Position, which holds what
// upstreams report, it refers to the generation agreed in the head row.
type Mark struct {
	Generation Generation
	LSN        LSN
}

// IsZero reports whether m is the zero Mark, which stands for no write.
func (m Mark) IsZero() bool { return m == Mark{} }

// Before reports whether m is older than other.
func (m Mark) Before(other Mark) bool {
	if m.Generation != other.Generation {
		return m.Generation < other.Generation
	}
	return m.LSN < other.LSN
}

// Max returns the newer of m and other.
func (m Mark) Max(other Mark) Mark {
	if m.Before(other) {
		return other
	}
	return m
}
