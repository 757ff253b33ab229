package hosted

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// Account is a client account of the configuration.
type Account struct {
	Name string
	Keys []string
	// Rate is the limit in operations per second; zero for none. Burst operations
	// more may run at once.
	Rate, Burst float64
}

// RateBounds are the settings that say how far the sum over all instances may
// exceed a limit: in each Window by the fraction Overage of the limit, and by Slack
// operations more.
type RateBounds struct {
	Window  time.Duration
	Overage float64
	Slack   float64
}

// DefaultRateBounds are the bounds in the settings of the deployments.
var DefaultRateBounds = RateBounds{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// Most returns the number of operations of an account that may run in any window.
func (b RateBounds) Most(account Account) float64 {
	return (account.Rate*b.Window.Seconds()+account.Burst)*(1+b.Overage) + b.Slack
}

// Ran is a statement that a database ran without an error.
type Ran struct {
	// ID is the request ID, and Account the account that the connection's START
	// named.
	ID, Account string
	At          time.Time
	// IsOperation is set for what counts against a rate: a statement outside a
	// transaction, and the beginning of a transaction.
	IsOperation bool
}

// Ran returns what the databases ran so far, in the order of time.
func (g *Group) Ran() []Ran {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Clone(g.ran)
}

// Starts returns the distinct first lines of connections to the databases.
func (g *Group) Starts() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.Sorted(maps.Keys(g.starts))
}

// noteStart records the first line of a connection.
func (g *Group) noteStart(line string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.starts[line] = true
}

// accountOf returns the account in a request ID of the form "account/rest", or
// nothing.
func accountOf(id string) string {
	account, _, found := strings.Cut(id, "/")
	if !found {
		return ""
	}
	return account
}

// noteRequest records a violation if the request belongs to another account than
// the connection.
func (c *conn) noteRequest() {
	account := accountOf(c.requestID)
	if account == "" || account == c.account {
		return
	}
	c.database.set(func() {
		g := c.database.group
		g.violations = append(g.violations, "request "+c.requestID+" came on a connection of account "+c.account)
	})
}

// noteRan records a statement that was run. The group's mutex is held.
func (c *conn) noteRan(isOperation bool) {
	c.database.group.ran = append(c.database.group.ran, Ran{
		ID: c.requestID, Account: c.account, At: time.Now(), IsOperation: isOperation,
	})
}

// MostInWindow returns the largest number of an account's operations in any window
// that begins at from or later and ends at to or earlier. A zero time is no bound.
func MostInWindow(ran []Ran, account string, window time.Duration, from, to time.Time) int {
	var times []time.Time
	for _, r := range ran {
		if r.IsOperation && r.Account == account && !r.At.Before(from) && (to.IsZero() || !r.At.After(to)) {
			times = append(times, r.At)
		}
	}
	most, first := 0, 0
	for last := range times {
		for times[last].Sub(times[first]) >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}

// tenants returns the accounts as the configuration has them.
func tenants(accounts []Account) []any {
	all := []any{}
	for _, a := range accounts {
		all = append(all, map[string]any{
			"name": a.Name, "api_keys": append([]string{}, a.Keys...), "requests_per_s": a.Rate, "burst": a.Burst,
		})
	}
	return all
}

// SetAccounts writes the next version of the configuration, with these accounts. The
// store has acknowledged it when SetAccounts returns.
func (s *System) SetAccounts(timeout time.Duration, accounts ...Account) {
	s.mu.Lock()
	s.accounts = slices.Clone(accounts)
	s.mu.Unlock()
	s.Configure(timeout)
}

// keysAccount is the account of Options.Keys and SetKeys.
func keysAccount(keys []string) Account { return Account{Name: "acme", Keys: keys} }

// SetKeys writes the next version of the configuration, with one account with these
// access keys. The store has acknowledged it when SetKeys returns.
func (s *System) SetKeys(timeout time.Duration, keys ...string) {
	s.SetAccounts(timeout, keysAccount(keys))
}
