// Package quota limits the rate of a caller over all members. Each member runs
// a Machine, which is deterministic: time is an argument.
//
// A member keeps for each caller a token bucket of the whole region. Two members
// are in touch, or linked, while each receives the reports of the other. Members
// that are in touch and agree on who is in touch form a group. A member of a group
// may spend its share of the tokens that the region has, less what it has spent
// and not every member of the group knows of. A member without a group is limited
// to an equal share 1/N of the rate, with N the number of members. See
// docs/design/18-rate-limits.md for the proof.
package quota
