package model

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
)

// LSN is a position in a PostgreSQL write-ahead log, in bytes.
type LSN uint64

const lsnHalfBits = 32

// ParseLSN reads the form that PostgreSQL prints, for instance "16/B374D848".
func ParseLSN(text string) (LSN, error) {
	high, low, found := strings.Cut(text, "/")
	if !found {
		return 0, errors.Errorf("log position %q: no slash", text)
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

// String formats the position as PostgreSQL does.
func (l LSN) String() string {
	return fmt.Sprintf("%X/%X", uint64(l)>>lsnHalfBits, uint64(l)&(1<<lsnHalfBits-1))
}

// Mark is the position of a write in a group: the generation of the primary
// that took it and the log position reached by its commit.
type Mark struct {
	Generation Generation
	LSN        LSN
}

// IsZero reports whether m marks no write.
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
