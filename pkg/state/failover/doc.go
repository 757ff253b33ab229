// Package failover decides who may write to a group, and replaces a primary
// that failed. It is deterministic: an event and the time go in, actions come
// out. It reads no clock and no random source, and no result depends on the
// iteration order of a map.
//
// A group is in one of these states, which stand in the head row:
//
//   - open (no seal): instances that read the row hold permits for the
//     generation. A lost primary or a planned switch leads to sealed.
//   - sealed: no permit is renewed. The promoter named in the seal collects the
//     confirmations of all members, or waits until every permit has run out,
//     and then orders the promotion of the candidate. A member takes over from
//     a promoter that is silent or stuck. A candidate that fails is replaced by
//     a further seal with a higher next generation.
//   - open again, in the next generation, on the candidate.
//
// An instance is in one of these states:
//
//   - unregistered: it holds no permit and writes only its own registration.
//   - registered: it holds permits and confirms seals. It may finish a
//     promotion only if every member has confirmed.
//   - established: no permit can exist that rests on a row without it, so it may
//     also finish a promotion by waiting, and evict members.
//   - evicted: another member found it gone. It holds no permit, and registers
//     again as soon as it reads the row.
//
// Every decision is taken from the newest known row and the volatile state of
// the instance, not from remembered intentions. So an event that is lost,
// repeated or late changes nothing but the time of the decision.
//
// The caller publishes View before it carries out the actions of the same
// Handle: a confirmation may leave only when the traffic goroutines no longer
// see the permit.
package failover
