// Package marks tracks the log position of each session's last write, so that
// a read through any instance can tell whether a replica has applied it.
//
// Terms:
//
//   - A mark is the position of a write: generation and LSN (model.Mark).
//
//   - The home of a session is the instance that stores the session's marks.
//     Rendezvous hashing picks it from the members in the head row.
//
//   - The floor of a group is a mark that stands for the writes of all sessions
//     of which the home holds no mark.
//
//   - A lost mark belongs to a write that was acknowledged, but did not survive
//     a change of primary.
//
//   - The window is the longest time for which a member set that was replaced
//     may still be in use somewhere: the permit lifetime plus the allowance for
//     clock drift.
//
// A write is acknowledged after its mark is stored at the session's home; a
// read asks the home. An instance uses version V of the members only until the
// permit lifetime has passed since it sent the newest request that confirmed V.
//
// A change of the members from version V to V+1 takes effect as follows:
//
//   - A reader asks the home of the newest version that it has confirmed.
//
//   - A writer stores the mark at the home of its newest version. For one
//     window after it learned of that version, it also stores the mark at the
//     home of each earlier version under which others may still read. If an
//     earlier home refuses because it knows a newer version, the mark counts as
//     stored there, since that home answers no more reads under the old
//     version. If the current home refuses for this reason, the writer has to
//     learn of the newer version first.
//
//   - A home that is new to a session answers "unknown" until one window after
//     it learned of the version, and until it has then sampled the primary's
//     position. That position becomes the floor of the session: it covers all
//     writes whose marks went to the earlier home.
//
//   - An instance that joins, or that missed a version, does not know the
//     earlier homes. Members can also renew their leases through each other
//     without reading the head row, and so use a version for longer than one
//     window. The instance therefore waits until it has heard from every member
//     at its version of the head row, and then for one window. Until then it
//     answers "unknown", and its writes wait for the replicas.
//
//   - A home also waits until every member of the version has handed over its
//     lost marks, as of the head row that the home knew when it sampled the
//     primary.
//
// If a mark cannot be stored, the write is acknowledged once every replica in
// use has applied it; otherwise its outcome is reported as unknown. A mark is
// dropped once every replica in use has applied its position.
//
// A change of primary loses the acknowledged writes whose marks are above the
// position at which the next generation starts. Both the home and the instance
// that acknowledged the write (in its Ledger) detect the loss. The session is
// told of it on its next read, and then the lost mark is cleared.
//
// MembershipView serves readers and writers, Home stores the marks. All types
// are deterministic, and each value is owned by one goroutine. Times are
// measured from the start of the process.
package marks
