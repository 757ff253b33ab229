package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"gypsumdock/testbench/hosted"
)

const (
	// maxOperations bounds the operations of one session.
	maxOperations = 40
	// maxKeyedOperations is that of a session with an access key, so that some
	// sessions outlast the removal of their key by more than revocationTime.
	maxKeyedOperations = 1000
	// callerPause is the longest pause between two operations.
	callerPause = 30 * time.Millisecond
)

// ages are the ages that the routes of hosted.System allow.
var ages = map[string]time.Duration{
	hosted.DatabaseLatest:  0,
	hosted.DatabaseSession: 2500 * time.Millisecond,
	hosted.DatabaseBounded: 1500 * time.Millisecond,
}

// caller runs sessions at random instances. It keeps to an open session until
// its instance ends it.
type caller struct {
	name   string
	random *rand.Rand
	ledger *ledger
	site   *site
	items  int
	// client is the open session, at the instance with the index.
	client   *hosted.Client
	instance int
	database string
	// load and key are those of a caller with an account, and sessions counts its
	// sessions, so that no request ID comes twice. denied counts the denials in the
	// open session.
	load     load
	key      *key
	sessions int
	denied   int
	// pause is the longest pause between two operations.
	pause time.Duration
	// written holds the newest acknowledged writes of the session.
	written map[string]int
}

func (c *caller) run(ctx context.Context) {
	item := c.nextItem()
	for ctx.Err() == nil {
		if !c.open() {
			pause(ctx, callerPause)
			continue
		}
		most := maxOperations
		if c.key != nil {
			most = maxKeyedOperations
		}
		for range c.random.IntN(most) + 1 {
			if ctx.Err() != nil || !c.operate(&item) || c.denied > maxDenied {
				break
			}
			pause(ctx, time.Duration(c.random.Int64N(int64(c.pause))))
		}
		c.client.Close()
	}
}

func (c *caller) nextItem() string {
	c.items++
	return fmt.Sprintf("%s.%d", c.name, c.items)
}

func (c *caller) open() bool {
	databases := []string{hosted.DatabaseLatest, hosted.DatabaseSession, hosted.DatabaseSession, hosted.DatabaseBounded}
	c.database = databases[c.random.IntN(len(databases))]
	c.instance = c.random.IntN(len(c.site.system.Instances))
	c.written = map[string]int{}
	address := c.site.system.Instances[c.instance].Callers()
	var err error
	if c.key = nil; c.site.accounts == nil {
		c.client, err = hosted.Dial(address, c.database, c.name)
		return err == nil
	}
	c.denied = 0
	c.sessions++
	c.key = c.site.accounts.choose(c.random, c.load.account.Name)
	name := fmt.Sprintf("%s/%s.%d", c.key.account, c.name, c.sessions)
	c.client, err = hosted.DialKey(address, c.database, c.key.text, name)
	if err != nil && err.Error() == "DENIED" {
		c.noteDenied()
	}
	return err == nil
}

// noteDenied records a denial, which a key that is never removed must not get.
func (c *caller) noteDenied() {
	c.denied++
	if c.key == nil || c.site.accounts.isPermanent(c.key) {
		c.ledger.violate("%s at instance %d was denied, though its key was never removed", c.name, c.instance)
	}
}

// operate runs one operation, and reports whether the session goes on.
func (c *caller) operate(item *string) bool {
	switch c.random.IntN(5) {
	case 0:
		return c.write(item)
	case 1:
		return c.transact(item)
	default:
		return c.read(*item)
	}
}

// do runs a statement, and checks that a session does not end without the
// answer to it unless its process was harmed.
func (c *caller) do(text string) (hosted.Reply, error) {
	sent := time.Now()
	if c.key != nil {
		c.site.accounts.note(c.client.NextID(), c.key)
	}
	reply, err := c.client.Do(text)
	if err != nil {
		c.ledger.count("no answer")
		if time.Since(sent) > c.site.bounds.LossSlack && !c.site.wasHarmed(c.instance, sent) {
			c.ledger.violate("a session at instance %d ended %v after %q was sent, without an answer",
				c.instance, time.Since(sent), text)
		}
		return reply, err
	}
	c.ledger.count(reply.Code)
	if reply.Code == "DENIED" {
		c.noteDenied()
	}
	return reply, nil
}

func (c *caller) write(item *string) bool {
	made := c.ledger.attempt(*item)
	reply, err := c.do("WRITE " + *item + " " + made.data())
	return c.settle(item, made, reply, err)
}

func (c *caller) transact(item *string) bool {
	begun, err := c.do("BEGIN")
	if err != nil || begun.Code != "" {
		return err == nil && begun.State == "I"
	}
	made := c.ledger.attempt(*item)
	wrote, err := c.do("WRITE " + *item + " " + made.data())
	if err != nil || wrote.Code != "" {
		// Nothing of a transaction is kept that was not asked to commit.
		made.promised = true
		if err == nil {
			_, err = c.do("ROLLBACK")
		}
		return err == nil
	}
	reply, err := c.do("COMMIT")
	return c.settle(item, made, reply, err)
}

// settle records the outcome of a write, and goes on to a new item if that is
// unknown.
func (c *caller) settle(item *string, made *write, reply hosted.Reply, err error) bool {
	c.ledger.settle(made, reply, err)
	switch {
	case err == nil && reply.Code == "":
		c.written[*item] = made.number
	case err != nil || !reply.IsNotRun():
		*item = c.nextItem()
	}
	return err == nil && reply.State == "I"
}

func (c *caller) read(own string) bool {
	item := own
	if items := c.ledger.items(); len(items) > 0 && c.random.IntN(2) == 0 {
		item = items[c.random.IntN(len(items))]
	}
	seen := read{item: item, age: ages[c.database], sent: time.Now()}
	seen.by = fmt.Sprintf("%s at instance %d", c.database, c.instance)
	if c.database == hosted.DatabaseSession {
		seen.own = c.written[item]
	}
	reply, err := c.do("READ " + item)
	if err != nil {
		return false
	}
	if reply.Code == "" && len(reply.Rows) == 1 {
		seen.row = reply.Rows[0]
		c.ledger.saw(seen)
	}
	return reply.State == "I"
}

// pause waits for a time, or until ctx ends.
func pause(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}

// runCallers runs callers until ctx ends.
func runCallers(ctx context.Context, site *site, seed uint64, count int) {
	group := sync.WaitGroup{}
	for i := range count {
		one := &caller{
			name: fmt.Sprintf("c%d", i), random: rand.New(rand.NewPCG(seed, uint64(i)+1)),
			ledger: site.ledger, site: site, pause: callerPause,
		}
		if site.accounts != nil {
			one.load = loadOf(i)
			one.pause = one.load.pause
		}
		group.Go(func() { one.run(ctx) })
	}
	group.Wait()
}
