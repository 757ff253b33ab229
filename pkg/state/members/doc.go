// Package members combines what the mesh sees of the registered instances with
// the platform's list of instances, which lags. Neither alone removes a member.
//
// A member is Live while messages arrive from it, Suspect once it has been
// silent for SuspectAfter, and Leaving once it says so itself or the platform's
// list does. A suspect member that the list no longer names is Gone; so is one
// that has been silent for GoneAfter while at least half of the other members
// are heard. A message makes a Suspect or Gone member Live again.
package members
