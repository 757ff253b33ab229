package model

import "strconv"

// Position is a place in the log of a group: the term in which its last entry
// was written, and the entry's number. The zero value is before everything.
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

// IsZero reports whether p names no place.
func (p Position) IsZero() bool { return p == Position{} }

// String returns the position as it stands in logs.
func (p Position) String() string {
	return strconv.FormatUint(uint64(p.Term), 10) + "." + strconv.FormatUint(uint64(p.LSN), 10)
}
