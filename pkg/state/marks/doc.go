// Package marks keeps the position of each session's last write, so that a
// read through any instance can tell whether a replica has applied it.
//
// The home of a session is one member of the registered set, found by
// rendezvous hash. A write is acknowledged after its mark is stored at the
// home; a read asks the home. The set of members is agreed in the head row,
// and its version V is used only within the permit lifetime of a confirmation
// of V, counted from before the question was sent.
//
// A change from V to V+1 takes effect as follows. Let L be the permit lifetime
// with the allowance for clock drift.
//
//   - A reader asks the home of the newest version that it has confirmed.
//
//   - A writer stores at the home of its newest version and, until L after it
//     learned of that version, also at the home of each earlier version whose
//     users may still be reading there. An earlier home that has itself
//     learned of the newer version refuses; that counts as stored, since it
//     serves no more reads of the older one. The same answer of the present
//     home does not: the writer has to learn of the newer version first.
//
//   - A home answers unknown for a session that it did not have before, until
//     L after it learned of the version and until it has then sampled the
//     primary's position. That position is from then on the floor of every
//     such session: the writes whose marks went to the earlier home are below.
//
//   - An instance that joins, or missed a version, knows no earlier homes; and
//     leases renewed by promises of the other members may outlast its window. It
//     waits until it has heard of every member at its row, and for L from then
//     on. Until then it answers unknown, and its writes wait for the replicas.
//
//   - A home also waits until every member of the version has handed over the
//     marks of lost writes, as of the head row in which the home saw the
//     floor's generation.
//
// Where a mark cannot be stored, the write is acknowledged once every replica
// in use has applied it, and otherwise its outcome is reported as not known.
// A mark is dropped once every replica in use has passed it.
//
// A change of primary can lose acknowledged writes: those whose mark is above
// the position at which the next generation starts. The home and, in its
// Ledger, the instance that acknowledged the write both notice it; the session
// is told on its next read, and the mark is cleared when it was.
//
// View is the side of readers and writers, Home the side that stores. All are
// deterministic and owned by one goroutine each. Times are measured from the
// start of the process.
package marks
