// Package access decides whether a unit of work may run under the access key of
// its caller. It holds no state: the configuration and the times are arguments.
package access

import (
	"time"

	"gypsumdock/pkg/state/catalog"
	"gypsumdock/pkg/state/model"
)

// Reason is the result of a decision. The caller is not told more than that its
// key was denied; the reason is for the log.
type Reason uint8

// The results.
const (
	// Allowed means that the unit may run.
	Allowed Reason = iota
	// KeyUnknown means that no account holds the key.
	KeyUnknown
	// KeyRemoved means that the account for which the session was accepted
	// exists, but no longer holds the key.
	KeyRemoved
	// AccountRemoved means that the account for which the session was accepted
	// no longer exists.
	AccountRemoved
	// ConfirmationTooOld means that the configuration may have been replaced too
	// long before the request arrived.
	ConfirmationTooOld
	// ConfigurationTooOld means that the key is not valid by the configuration of
	// this instance, but that the sender of the unit has a newer one.
	ConfigurationTooOld
	reasonCount
)

var reasonNames = [reasonCount]string{
	"allowed", "key unknown", "key removed", "account removed", "confirmation too old", "configuration older than the sender's",
}

// String returns the name of the reason in logs and metrics.
func (r Reason) String() string { return reasonNames[r] }

// IsDenial reports whether the key is not valid.
func (r Reason) IsDenial() bool {
	return r == KeyUnknown || r == KeyRemoved || r == AccountRemoved
}

// IsUnconfirmed reports whether another instance may be able to tell that the
// key is valid.
func (r Reason) IsUnconfirmed() bool {
	return r == ConfirmationTooOld || r == ConfigurationTooOld
}

// Decision is the result for a unit of work.
type Decision struct {
	Reason Reason
	// Caller is the account that the key identifies by the configuration. It is
	// empty for a key that is not valid, and for a route that needs none.
	Caller model.CallerName
}

// Request is what a decision is made on.
type Request struct {
	Catalog *catalog.Catalog
	// Route is the route of the unit, or nil if the catalog has no such route, which
	// needs a key then.
	Route *catalog.Route
	Key   model.KeyDigest
	// Caller is the account for which the session was accepted before; empty if it
	// was not accepted for any.
	Caller model.CallerName
	// Sender is the version of the configuration by which a peer has accepted the
	// unit; 0 for a unit of a caller of this instance.
	Sender catalog.Version
}

// Identify decides whether the key of a unit is valid by the configuration. The
// configuration may be out of date.
func Identify(request Request) Decision {
	if !needsKey(request) {
		if request.Caller != "" && !request.Catalog.Authenticates && request.isOutdated() {
			return Decision{Reason: ConfigurationTooOld}
		}
		return Decision{}
	}
	found, known := request.Catalog.CallerByKey(request.Key)
	// A session is accepted for one account. A key that has passed to another one
	// since is no longer valid in it.
	if known && (request.Caller == "" || found.Name == request.Caller) {
		return Decision{Caller: found.Name}
	}
	return Decision{Reason: request.denial()}
}

// Decide decides whether a unit may run that arrived at the given time at the
// first instance. confirmedAt is the time at which the configuration was known
// to be the newest, zero for never. bound is the time after which a removed key
// must have no effect; zero if that is not required.
func Decide(request Request, arrived, confirmedAt, bound time.Duration) Decision {
	decision := Identify(request)
	if decision.Reason != Allowed || bound == 0 || !needsKey(request) {
		return decision
	}
	if confirmedAt == 0 || arrived-confirmedAt > UsableAge(bound) {
		decision.Reason = ConfirmationTooOld
	}
	return decision
}

// UsableAge returns the age of a confirmation up to which units may run. The
// remaining fifth of the bound covers the transmission of the store's answer.
func UsableAge(bound time.Duration) time.Duration { return bound / 5 * 4 }

func needsKey(request Request) bool {
	if request.Route == nil {
		return request.Catalog.Authenticates
	}
	return request.Catalog.NeedsKey(request.Route)
}

// isOutdated reports whether the sender of the unit has a newer configuration.
func (r Request) isOutdated() bool { return r.Sender > r.Catalog.Version }

// denial returns why the key is not valid.
func (r Request) denial() Reason {
	if r.isOutdated() {
		return ConfigurationTooOld
	}
	if r.Caller == "" {
		return KeyUnknown
	}
	if _, found := r.Catalog.CallerNamed(r.Caller); !found {
		return AccountRemoved
	}
	return KeyRemoved
}
