// Package members is the failure detector for the registered instances. It
// combines the messages that arrive from them with the platform's list of
// instances, which is updated with a delay.
//
// A member is Live while messages arrive from it, Suspect once none has arrived
// for SuspectAfter, and Leaving once its registration or the platform's list
// says that it is shutting down. A suspect member is Gone if the platform's list
// lacks it, or if no message has arrived for GoneAfter while at least half of
// the other members are responsive. A message from a Suspect or Gone member
// makes it Live or Leaving again.
package members
