package model

import "strconv"

// Position is a position in the log of a group, as an upstream reports it: the
// term (PostgreSQL timeline) in which the last log entry was written, and its
// LSN, called number in the upstream protocol and in mesh.proto. The zero value
// is before all other positions.
type Position struct {
	Term uint32
	LSN  LSN
}

// Before reports whether p is older than other.
func (p Position) Before(other Position) bool {
	if p.Term != other.Term {
		return p.Term < other.Term
	}
	return p.LSN < other.LSN
}

// Max returns the newer of p and other.
func (p Position) Max(other Position) Position {
	if p.Before(other) {
		return other
	}
	return p
}

// IsZero reports whether p is the zero Position.
func (p Position) IsZero() bool { return p == Position{} }

// String returns the position in the form term.LSN, both decimal.
func (p Position) String() string {
	return strconv.FormatUint(uint64(p.Term), 10) + "." + strconv.FormatUint(uint64(p.LSN), 10)
}
