// Package failover decides which instances may write to a database group, and
// replaces a primary that has failed. Machine is a deterministic state machine:
// Handle takes an event and the time, and returns the actions to carry out. It
// reads no clock and no random source, and no result depends on the iteration
// order of a map.
//
// The instances of a region agree on one row of the platform's table, the head
// row (model.Head). It lists the registered instances, called members, and the
// generation and primary of each group. Each change of primary starts a new
// generation. These terms are used throughout:
//
//   - Permit: a lease that an instance holds on the right to send writes to a
//     group's primary, and to acknowledge them, in one generation. A successful
//     read of the head row renews it.
//   - Permit holder: an instance with a valid permit.
//   - Seal: the entry of a group in the head row that ends a generation. No
//     permit for the generation is renewed once the seal has been read.
//   - Candidate: the upstream that the seal names as the next primary.
//   - Promoter: the member that the seal names as coordinator of the change.
//   - Takeover: another member replaces the promoter in the seal.
//   - Promotion lease: the time in which the promoter of a seal, or of the present
//     generation, may order promotions. No other member orders one before it has
//     expired.
//   - Promise: a member's confirmation that it knows no newer head row. The
//     promises of all members renew permits while the table gives no answer.
//   - Eviction: the withdrawal of a member's right to hold permits, by another
//     member that no longer hears from it.
//
// A group is in one of these states, which are stored in the head row:
//
//   - open (no seal): members that read the row hold permits for the generation.
//     A lost primary or a planned switch leads to sealed.
//   - sealed: no permit is renewed. The promoter waits until all members have
//     confirmed that they hold no permit, or until every permit has expired, and
//     then orders the promotion of the candidate. Another member takes over from
//     a promoter that is silent or makes no progress. A candidate that fails is
//     replaced by a further seal with a higher next generation. The old primary
//     can be the candidate. Where the platform promotes, an order that nothing
//     tells of may have deposed it (see mayHavePromoted): it then starts a
//     generation only after the platform has accepted an order for it too.
//   - open again, in the next generation, with the candidate as primary.
//
// An instance is in one of these states:
//
//   - unregistered: it holds no permit and writes only its own registration.
//   - registered: it holds permits and confirms seals. As promoter, it may
//     complete a promotion only if every member has confirmed.
//   - established: every permit that was renewed from a row without this
//     instance has expired, so all permit holders know of it. It may also
//     complete a promotion by waiting for permits to expire, and evict members.
//   - evicted: it holds no permit, and registers again as soon as it reads the
//     row.
//
// Every decision is taken from the newest known row and the volatile state of
// the instance, not from remembered intentions. An event that is lost, repeated
// or late therefore affects only when a decision is taken.
//
// The caller must publish View before it carries out the actions of the same
// Handle: a confirmation that a permit was given up may be sent only after the
// goroutines that handle traffic no longer see the permit.
package failover
