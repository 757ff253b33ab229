package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"gypsumdock/testbench/hosted"
)

const (
	// revocationTime is the time after which a removed key must have no effect.
	revocationTime = 5 * time.Second
	// keysPerAccount is the number of valid keys of an account.
	keysPerAccount = 3
	// maxDenied is the number of denials after which a caller gives up its session;
	// those of the heavy account then last about as long as revocationTime.
	maxDenied = 400
)

// load is an account with the callers that use it.
type load struct {
	account hosted.Account
	// callers is the part of all callers, and pause the longest pause of one.
	callers int
	pause   time.Duration
}

// loads are the accounts of a run: one far above its rate, one near its rate, and
// one without a limit.
var loads = []load{
	{hosted.Account{Name: "heavy", Rate: 30, Burst: 15}, 4, 20 * time.Millisecond},
	{hosted.Account{Name: "light", Rate: 25, Burst: 10}, 2, 400 * time.Millisecond},
	{hosted.Account{Name: "free"}, 2, 60 * time.Millisecond},
}

// loadOf returns the load that a caller belongs to.
func loadOf(caller int) load {
	total := 0
	for _, l := range loads {
		total += l.callers
	}
	at := caller % total
	for _, l := range loads {
		if at < l.callers {
			return l
		}
		at -= l.callers
	}
	return load{}
}

// key is an access key in a run.
type key struct {
	text    string
	account string
	// removed is when the store had acknowledged the removal; zero before that.
	removed time.Time
	// removing is set before the removal is written.
	removing bool
}

// accounts are the accounts of a run with the keys that they have and had, and
// what was sent under them. It is safe for concurrent use.
type accounts struct {
	mu   sync.Mutex
	keys []*key
	sent map[string]sending
}

// sending is a statement that was sent under a key.
type sending struct {
	key *key
	at  time.Time
}

func newAccounts() *accounts {
	a := &accounts{sent: map[string]sending{}}
	for _, l := range loads {
		for range keysPerAccount {
			a.add(l.account.Name)
		}
	}
	return a
}

// add adds a key to an account. No key is ever added again. a.mu is held, or a is
// not shared yet.
func (a *accounts) add(account string) {
	a.keys = append(a.keys, &key{text: fmt.Sprintf("key-%s-%d", account, len(a.keys)), account: account})
}

// valid returns the keys of an account that are not about to be removed. a.mu is
// held.
func (a *accounts) valid(account string) []*key {
	var found []*key
	for _, k := range a.keys {
		if k.account == account && !k.removing {
			found = append(found, k)
		}
	}
	return found
}

// configured returns the accounts with their present keys.
func (a *accounts) configured() []hosted.Account {
	a.mu.Lock()
	defer a.mu.Unlock()
	var all []hosted.Account
	for _, l := range loads {
		next := l.account
		for _, k := range a.valid(next.Name) {
			next.Keys = append(next.Keys, k.text)
		}
		all = append(all, next)
	}
	return all
}

// choose returns a key of an account: mostly a valid one, at times one that was
// removed.
func (a *accounts) choose(random *rand.Rand, account string) *key {
	a.mu.Lock()
	defer a.mu.Unlock()
	valid := a.valid(account)
	if random.IntN(8) == 0 {
		valid = slices.DeleteFunc(slices.Clone(a.keys), func(k *key) bool { return k.account != account })
	}
	return valid[random.IntN(len(valid))]
}

// isPermanent reports whether a key has been valid since the start: the first key
// of each account is never removed.
func (a *accounts) isPermanent(k *key) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.keys[slices.IndexFunc(a.keys, func(other *key) bool { return other.account == k.account })] == k
}

// unlimitedKey returns a key that is never removed, of the account without a limit.
func (a *accounts) unlimitedKey() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.valid(loads[len(loads)-1].account.Name)[0].text
}

// removedKeys returns the keys that were removed.
func (a *accounts) removedKeys() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var found []string
	for _, k := range a.keys {
		if !k.removed.IsZero() {
			found = append(found, k.text)
		}
	}
	return found
}

// note records a statement before it is sent.
func (a *accounts) note(id string, k *key) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sent[id] = sending{key: k, at: time.Now()}
}

// playKeys changes the keys of an account.
func playKeys(_ context.Context, s *site, random *rand.Rand, _ time.Duration) {
	s.changeKeys(random, loads[random.IntN(len(loads))].account.Name)
}

// changeKeys removes a key of an account and adds one in its place.
func (s *site) changeKeys(random *rand.Rand, account string) {
	s.configureMu.Lock()
	defer s.configureMu.Unlock()
	a := s.accounts
	a.mu.Lock()
	valid := a.valid(account)
	removed := valid[1+random.IntN(len(valid)-1)]
	removed.removing = true
	a.add(account)
	a.mu.Unlock()
	s.system.SetAccounts(time.Second, a.configured()...)
	a.mu.Lock()
	defer a.mu.Unlock()
	removed.removed = time.Now()
	s.log("       key %s removed", removed.text)
}

// denies reports whether an instance denies each key that was removed.
func (s *site) denies(instance *hosted.Instance, index int) bool {
	if s.accounts == nil {
		return true
	}
	for _, text := range s.accounts.removedKeys() {
		client, err := hosted.DialKey(instance.Callers(), hosted.DatabaseLatest, text, fmt.Sprintf("check%d", index))
		if err == nil {
			client.Close()
		}
		if err == nil || err.Error() != "DENIED" {
			return false
		}
	}
	return true
}

// checkAccounts checks what the databases ran for accounts: nothing that was sent
// under a key later than its removal allows, no rate above its bound, and no key in
// the first line of a connection. The group itself notes a request on a connection of
// another account.
func (s *site) checkAccounts() {
	ran := s.system.Group.Ran()
	a := s.accounts
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, r := range ran {
		by, found := a.sent[r.ID]
		if found && !by.key.removed.IsZero() && by.at.After(by.key.removed.Add(revocationTime)) {
			s.ledger.violate("%s was run, though %s was removed %v before it was sent",
				r.ID, by.key.text, by.at.Sub(by.key.removed))
		}
	}
	for _, l := range loads {
		if l.account.Rate == 0 {
			continue
		}
		bounds := hosted.DefaultRateBounds
		most := hosted.MostInWindow(ran, l.account.Name, bounds.Window, time.Time{}, time.Time{})
		s.log("%s: at most %d operations in a window, bound %.1f", l.account.Name, most, bounds.Most(l.account))
		if float64(most) > bounds.Most(l.account) {
			s.ledger.violate("%d operations of %s in a window, its bound is %.1f", most, l.account.Name, bounds.Most(l.account))
		}
	}
	s.checkNoKeyShown()
}

// checkNoKeyShown checks the first lines of connections. The accounts' mutex is held.
func (s *site) checkNoKeyShown() {
	for _, line := range s.system.Group.Starts() {
		for _, k := range s.accounts.keys {
			if strings.Contains(line, k.text) {
				s.ledger.violate("a connection to a database shows %s", k.text)
			}
		}
	}
}
